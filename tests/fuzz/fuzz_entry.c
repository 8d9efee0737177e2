/* Fuzzes the decoder of server entries that are read from the store. */
#include "fuzz.h"

#include <stdlib.h>

#include "platform/names.h"

/* A decoded entry must identify a server that requests can be sent to. */
static void check_entry(const struct server_entry *entry)
{
	if (!entry->id[0] || !entry->service[0] || !entry->data_centre[0])
		abort();
	if (!entry->address.port || entry->slots < 0 ||
	    entry->started_at_ms < 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct store_item item = {.value = {(const char *)data, size}};
	struct server_entry entry;

	store_key_set(&item.name, STR("i"));
	if (!platform_store.decode_server(&item, &entry))
		check_entry(&entry);
	return 0;
}
