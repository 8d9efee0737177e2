/* Fuzzes the parsers of search and run request bodies. */
#include "fuzz.h"

#include <string.h>

#include "request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct search_request search;
	struct run_request run;
	struct error err;

	if (!search_request_init(&search, (const char *)data, size, &err)) {
		if (!*search.service || search.where[0] != '{')
			__builtin_trap();
		search_request_finish(&search);
	}
	if (!run_request_init(&run, (const char *)data, size, &err)) {
		if (!*run.ticket || !run.payload)
			__builtin_trap();
		run_request_finish(&run);
	}
	return 0;
}
