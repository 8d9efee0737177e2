/* Runs a fuzz entry point once on each file given, without libFuzzer. */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz.h"
#include "command.h"

int main(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++) {
		char *data;
		size_t len;

		if (command_read_file(argv[i], &data, &len))
			return EXIT_FAILURE;
		LLVMFuzzerTestOneInput((const uint8_t *)data, len);
		free(data);
	}
	return EXIT_SUCCESS;
}
