/* Which region a data centre is in, and in which regions a route may run. */
#ifndef REGIONS_H
#define REGIONS_H

#include <stdbool.h>

/**
 * struct region_entry - the region of a data centre
 * @data_centre: its name; owned
 * @region: its region; owned
 */
struct region_entry {
	char *data_centre;
	char *region;
};

/**
 * struct regions - the regions of all data centres, from the settings
 * @entries: owned
 * @n: length of @entries
 */
struct regions {
	struct region_entry *entries;
	int n;
};

void regions_add(struct regions *regions, const char *data_centre,
		 const char *region);
void regions_finish(struct regions *regions);

/**
 * regions_find() - look up the region of a data centre
 * @regions: may be NULL
 * @data_centre: its name
 *
 * Return: borrowed; empty if it is not known.
 */
const char *regions_find(const struct regions *regions,
			 const char *data_centre);

/**
 * struct region_set - regions that requests may run in
 * @names: owned; none: any region
 * @n: length of @names
 */
struct region_set {
	char **names;
	int n;
};

void region_set_add(struct region_set *set, const char *region);
void region_set_finish(struct region_set *set);

/**
 * region_set_allows() - whether requests may run in a region
 * @set: NULL or empty: in any region
 * @region: empty if it is not known, which only such a set allows
 */
bool region_set_allows(const struct region_set *set, const char *region);

#endif
