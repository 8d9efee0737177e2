/* Which instances connect to which, for fleets of several sizes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hubs.h"
#include "mem.h"
#include "str.h"
#include "unit.h"

#define LARGE 500
#define SMALL 120

/* @n instances in @centres data centres, @n_large large ones in each. */
static struct hub_member *make_members(int n, int centres, int n_large)
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

/* Maximum number of links of an instance, both outgoing and incoming. */
static int max_links(const struct hub_member *members, int n)
{
	int *n_links = mem_zalloc((size_t)n * sizeof(*n_links));
	struct hub_links links;
	int max = 0;
	int i;
	int k;

	hub_links_init(&links);
	for (i = 0; i < n; i++) {
		hub_links_plan(&links, members, n, i);
		n_links[i] += links.n;
		for (k = 0; k < n; k++)
			n_links[k] +=
				hub_links_contain(&links, members[k].instance);
	}
	for (i = 0; i < n; i++)
		max = n_links[i] > max ? n_links[i] : max;
	hub_links_finish(&links);
	free(n_links);
	return max;
}

static int max_links_of(int n, int centres, int n_large)
{
	struct hub_member *members = make_members(n, centres, n_large);
	int max = max_links(members, n);

	free(members);
	return max;
}

/*
 * When 295 instances with a tenth of a core each started together and each
 * connected to all others, an instance held 590 connections. The number must
 * grow with the size of the data centre and not with that of the fleet.
 */
static void test_links_grow_with_data_centre(void)
{
	/* Two links per pair of hubs, and those within the data centre. */
	CU_ASSERT(max_links_of(8, 4, 2) <= 14);
	CU_ASSERT(max_links_of(76, 4, 3) <= 2 * 11 + 19);
	CU_ASSERT(max_links_of(295, 6, 3) <= 2 * 17 + 50);
	/* Equal instances all accept callers, so each connects to all hubs. */
	CU_ASSERT(max_links_of(295, 6, 0) <= 6 * HUBS_PER_DC_MAX + 295);
}

static void test_small_fleet_is_fully_connected(void)
{
	struct hub_member *members = make_members(8, 4, 2);
	struct hub_links links;
	int i;

	hub_links_init(&links);
	for (i = 0; i < 8; i++) {
		CU_ASSERT(members[i].is_hub);
		hub_links_plan(&links, members, 8, i);
		CU_ASSERT(links.n == 7);
		CU_ASSERT(!hub_links_contain(&links, members[i].instance));
	}
	hub_links_finish(&links);
	free(members);
}

/* A small instance without callers connects to three hubs of its own centre. */
static void test_small_instance(void)
{
	struct hub_member *members = make_members(295, 6, 3);
	struct hub_links links;
	int i;

	hub_links_init(&links);
	hub_links_plan(&links, members, 295, 294);
	CU_ASSERT(members[294].capacity == SMALL);
	CU_ASSERT(links.n == LOCAL_HUBS_PER_MEMBER);
	for (i = 0; i < 295; i++) {
		if (hub_links_contain(&links, members[i].instance))
			CU_ASSERT(members[i].is_hub &&
				  !strcmp(members[i].data_centre,
					  members[294].data_centre));
	}
	hub_links_finish(&links);
	free(members);
}

/*
 * If all large instances of a data centre fail, small ones must become hubs at
 * once, no more than the maximum, and be connected to the other data centres.
 */
static void test_large_instances_lost(void)
{
	struct hub_member *members = make_members(295, 6, 3);
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
		hubs += members[i].is_hub &&
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
	{"links grow with the data centre", test_links_grow_with_data_centre},
	{"small fleet is fully connected", test_small_fleet_is_fully_connected},
	{"small instance", test_small_instance},
	{"large instances lost", test_large_instances_lost},
};

UNIT_MAIN("hubs", tests)
