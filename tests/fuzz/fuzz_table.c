/*
 * Fuzzes the table parser. Parsing the canonical text of an accepted table must
 * give the same table.
 */
#include "fuzz.h"

#include "table.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct table table;
	struct table again;
	struct error err;

	if (table_init(&table, (const char *)data, size, 1, &err))
		return 0;
	if (table_init(&again, table.text, table.len, 1, &err) ||
	    again.digest != table.digest || again.len != table.len)
		__builtin_trap();
	table_finish(&again);
	table_finish(&table);
	return 0;
}
