#include "regions.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void regions_add(struct regions *regions, const char *data_centre,
		 const char *region)
{
	struct region_entry *entry;

	regions->entries =
		mem_realloc(regions->entries,
			    (size_t)(regions->n + 1) * sizeof(*entry));
	entry = &regions->entries[regions->n++];
	entry->data_centre = mem_dup(data_centre);
	entry->region = mem_dup(region);
}

void regions_finish(struct regions *regions)
{
	int i;

	for (i = 0; i < regions->n; i++) {
		free(regions->entries[i].data_centre);
		free(regions->entries[i].region);
	}
	free(regions->entries);
}

const char *regions_find(const struct regions *regions, const char *data_centre)
{
	int i;

	for (i = 0; regions && i < regions->n; i++) {
		if (!strcmp(regions->entries[i].data_centre, data_centre))
			return regions->entries[i].region;
	}
	return "";
}

void region_set_add(struct region_set *set, const char *region)
{
	set->names = mem_realloc(set->names,
				 (size_t)(set->n + 1) * sizeof(*set->names));
	set->names[set->n++] = mem_dup(region);
}

void region_set_finish(struct region_set *set)
{
	int i;

	for (i = 0; i < set->n; i++)
		free(set->names[i]);
	free(set->names);
}

bool region_set_allows(const struct region_set *set, const char *region)
{
	int i;

	if (!set || !set->n)
		return true;
	for (i = 0; i < set->n; i++) {
		if (!strcmp(set->names[i], region))
			return true;
	}
	return false;
}
