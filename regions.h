/* Which region a data centre is in, and in which regions a route may run. */
#ifndef REGIONS_H
#define REGIONS_H

#include <stdbool.h>

/**
 * struct region_entry - one data centre
 */
struct region_entry {
	char *data_centre;
	char *region;
};

/**
 * struct regions - of all data centres, as the settings name them
 */
struct regions {
	struct region_entry *entries;
	int n;
};

void regions_add(struct regions *regions, const char *data_centre,
		 const char *region);
void regions_finish(struct regions *regions);

/**
 * regions_find() - the region of a data centre
 * @regions: may be NULL
 *
 * Return: empty if it is not known.
 */
const char *regions_find(const struct regions *regions,
			 const char *data_centre);

/**
 * struct region_set - regions that requests must not leave; none: no bound
 */
struct region_set {
	char **names;
	int n;
};

void region_set_add(struct region_set *set, const char *region);
void region_set_finish(struct region_set *set);

/**
 * region_set_allows() - a region is in a set
 * @set: NULL or empty: any is
 * @region: one that is not known is in no set but those
 */
bool region_set_allows(const struct region_set *set, const char *region);

#endif
