/* Whom instances connect to, at the sizes of fleets. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hubs.h"
#include "mem.h"
#include "str.h"
#include "unit.h"

#define LARGE 500
#define SMALL 120

/* @n instances in @centres data centres; the first @n_large of each are large.
 */
static struct hub_member *make(int n, int centres, int n_large)
{
	struct hub_member *members = mem_zalloc((size_t)n * sizeof(*members));
	int i;

	for (i = 0; i < n; i++) {
		struct hub_member *member = &members[i];

		snprintf(member->instance, sizeof(member->instance), "n%d", i);
		snprintf(member->data_centre, sizeof(member->data_centre),
			 "dc%d", i % centres);
		member->capacity = i / centres < n_large ? LARGE : SMALL;
		member->score = str_hash(str_from(member->instance));
	}
	hubs_choose(members, n);
	return members;
}

/* Links of the one that holds most, those that others open to it included. */
static int most_links(const struct hub_member *members, int n)
{
	int *held = mem_zalloc((size_t)n * sizeof(*held));
	struct hub_links links;
	int most = 0;
	int i;
	int k;

	hub_links_init(&links);
	for (i = 0; i < n; i++) {
		hub_links_plan(&links, members, n, i);
		held[i] += links.n;
		for (k = 0; k < n; k++)
			held[k] +=
				hub_links_contain(&links, members[k].instance);
	}
	for (i = 0; i < n; i++)
		most = held[i] > most ? held[i] : most;
	hub_links_finish(&links);
	free(held);
	return most;
}

static int most_links_of(int n, int centres, int n_large)
{
	struct hub_member *members = make(n, centres, n_large);
	int most = most_links(members, n);

	free(members);
	return most;
}

/*
 * At a start of hundreds each dialled all others, on a tenth of a core: 590
 * connections an instance at 295. What one holds must follow the size of its
 * data centre, not that of the fleet.
 */
static void test_links_follow_the_data_centre(void)
{
	/* Both ways of each pair of hubs, and its own data centre. */
	CU_ASSERT(most_links_of(8, 4, 2) <= 14);
	CU_ASSERT(most_links_of(76, 4, 3) <= 2 * 11 + 19);
	CU_ASSERT(most_links_of(295, 6, 3) <= 2 * 17 + 50);
	/* All alike and all taking callers: hubs are asked by each of them. */
	CU_ASSERT(most_links_of(295, 6, 0) <= 6 * HUBS_PER_DC_MAX + 295);
}

static void test_small_fleets_are_linked_as_before(void)
{
	struct hub_member *members = make(8, 4, 2);
	struct hub_links links;
	int i;

	hub_links_init(&links);
	for (i = 0; i < 8; i++) {
		CU_ASSERT(members[i].hub);
		hub_links_plan(&links, members, 8, i);
		CU_ASSERT(links.n == 7);
		CU_ASSERT(!hub_links_contain(&links, members[i].instance));
	}
	hub_links_finish(&links);
	free(members);
}

/* A small instance that takes no callers speaks through three of its own. */
static void test_small_instance(void)
{
	struct hub_member *members = make(295, 6, 3);
	struct hub_links links;
	int i;

	hub_links_init(&links);
	hub_links_plan(&links, members, 295, 294);
	CU_ASSERT(members[294].capacity == SMALL);
	CU_ASSERT(links.n == LOCAL_HUBS_PER_MEMBER);
	for (i = 0; i < 295; i++) {
		if (hub_links_contain(&links, members[i].instance))
			CU_ASSERT(members[i].hub &&
				  !strcmp(members[i].data_centre,
					  members[294].data_centre));
	}
	hub_links_finish(&links);
	free(members);
}

/*
 * All large instances of a data centre lose power. Those that are left there
 * must become hubs at once, bounded in number, and be linked to the others.
 */
static void test_large_ones_lost(void)
{
	struct hub_member *members = make(295, 6, 3);
	struct hub_links links;
	int n = 0;
	int hubs = 0;
	int i;

	for (i = 0; i < 295; i++) {
		if (strcmp(members[i].data_centre, "dc0") ||
		    members[i].capacity == SMALL)
			members[n++] = members[i];
	}
	hubs_choose(members, n);
	for (i = 0; i < n; i++)
		hubs += members[i].hub &&
			!strcmp(members[i].data_centre, "dc0");
	CU_ASSERT(hubs == HUBS_PER_DC_MAX);
	hub_links_init(&links);
	hub_links_plan(&links, members, n, 0);
	CU_ASSERT(strcmp(members[0].data_centre, "dc0"));
	CU_ASSERT(links.n == 4 * 3 + 2 + HUBS_PER_DC_MAX);
	hub_links_finish(&links);
	free(members);
}

static const struct unit_test tests[] = {
	{"links follow the data centre", test_links_follow_the_data_centre},
	{"small fleets as before", test_small_fleets_are_linked_as_before},
	{"a small instance", test_small_instance},
	{"large ones lost", test_large_ones_lost},
};

UNIT_MAIN("hubs", tests)
