/* Fuzzes the ticket parser. */
#include "fuzz.h"

#include "ticket.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct ticket_id id;

	if (ticket_parse(text, &id))
		return 0;
	if (!id.instance.len || id.instance.data < text.data ||
	    id.instance.data + id.instance.len > text.data + text.len)
		__builtin_trap();
	return 0;
}
