#include <stdio.h>
#include <string.h>

#include "directory.h"
#include "unit.h"

static struct directory_candidate candidate(const char *dc, bool ready)
{
	struct directory_candidate candidate = {.region = "r",
						.region_allowed = true,
						.ready = ready};

	snprintf(candidate.data_centre, sizeof(candidate.data_centre), "%s",
		 dc);
	return candidate;
}

/* Chooses for a caller in the region of all candidates. */
static int choose(const struct directory_candidate *candidates, int n,
		  struct str data_centre, int *out)
{
	return directory_choose(candidates, n, data_centre, STR("r"), out);
}

static void test_own_data_centre(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("b", true),
					    candidate("a", true),
					    candidate("a", false)};
	int out[DIRECTORY_ADDRESSES_MAX];

	CU_ASSERT(choose(all, 4, STR("a"), out) == 3);
	CU_ASSERT(out[0] == 0 && out[1] == 2 && out[2] == 1);
}

/*
 * A data centre loses power. If its callers had only addresses there, they
 * could not ask for others. They get one more address in another data centre of
 * their region, a different one for each data centre, so that not all callers
 * go to the same instance.
 */
static void test_one_in_other_data_centre(void)
{
	struct directory_candidate all[40];
	bool named[40] = {false};
	char dc[8];
	int out[DIRECTORY_ADDRESSES_MAX];
	int different = 0;
	int i;

	for (i = 0; i < 40; i++) {
		snprintf(dc, sizeof(dc), "dc%d", i / 4);
		all[i] = candidate(dc, true);
		all[i].capacity = i % 4 < 3 ? 500 : 120;
		snprintf(all[i].instance, sizeof(all[i].instance), "n%d", i);
		if (i >= 20)
			all[i].region = "elsewhere";
	}
	for (i = 0; i < 5; i++) {
		snprintf(dc, sizeof(dc), "dc%d", i);
		CU_ASSERT(choose(all, 40, str_from(dc), out) == 4);
		CU_ASSERT(out[0] / 4 == i && out[2] / 4 == i);
		CU_ASSERT(out[3] / 4 != i && out[3] < 20);
		CU_ASSERT(all[out[3]].capacity == 500);
		different += !named[out[3]];
		named[out[3]] = true;
	}
	CU_ASSERT(different >= 3);
}

/* One of a data centre's two instances is down: callers get others as well. */
static void test_too_few(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("b", true),
					    candidate("a", false)};
	int out[DIRECTORY_ADDRESSES_MAX];

	CU_ASSERT(choose(all, 3, STR("a"), out) == 2);
	CU_ASSERT(choose(all, 3, STR("elsewhere"), out) == 2);
}

static void test_none_ready(void)
{
	struct directory_candidate all[] = {candidate("a", false)};
	int out[DIRECTORY_ADDRESSES_MAX];

	CU_ASSERT(choose(all, 1, STR("a"), out) == 0);
	CU_ASSERT(choose(all, 0, STR("a"), out) == 0);
}

/*
 * Most machines are small, and each request there would be late. Callers go to
 * large machines, and to small ones only if no large one is ready.
 */
static void test_large_instances_first(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("a", true),
					    candidate("b", true),
					    candidate("b", true)};
	int out[DIRECTORY_ADDRESSES_MAX];

	all[0].capacity = 120;
	all[1].capacity = 500;
	all[2].capacity = 500;
	all[3].capacity = 120;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 2);
	CU_ASSERT(out[0] == 1 && out[1] == 2);
	all[1].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 2);
	all[2].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 2);
	CU_ASSERT(out[0] == 0 && out[1] == 3);
}

/* Instances of nearly equal capacity share the load. */
static void test_nearly_equal_capacity(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("a", true)};
	int out[DIRECTORY_ADDRESSES_MAX];

	all[0].capacity = 250;
	all[1].capacity = 300;
	CU_ASSERT(choose(all, 2, STR("a"), out) == 2);
}

static void test_limited(void)
{
	static struct directory_candidate all[DIRECTORY_ADDRESSES_MAX + 9];
	int out[DIRECTORY_ADDRESSES_MAX];
	int i;

	for (i = 0; i < DIRECTORY_ADDRESSES_MAX + 9; i++)
		all[i] = candidate("a", true);
	CU_ASSERT(choose(all, DIRECTORY_ADDRESSES_MAX + 9, STR("a"), out) ==
		  DIRECTORY_ADDRESSES_MAX);
}

/*
 * Records of a host must not leave their regions. Once two instances of their
 * data centre were gone, callers got the addresses of all instances, and sent
 * requests to regions that are neither their own nor allowed.
 */
static void test_regions(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("a2", true),
					    candidate("b", true),
					    candidate("c", true)};
	int out[DIRECTORY_ADDRESSES_MAX];

	all[2].region = "home";
	all[3].region = "foreign";
	all[3].region_allowed = false;
	all[3].capacity = 900;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 2);
	CU_ASSERT(out[0] == 0 && out[1] == 1);
	all[0].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 1);
	/* None ready in the caller's region: use the allowed regions. */
	all[1].ready = false;
	all[0].region_allowed = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 2);
	/*
	 * None ready there either: any instance is better than none, as it does
	 * not forward requests to regions that are not allowed.
	 */
	all[2].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 3);
}

static const struct unit_test tests[] = {
	{"instances of the own data centre", test_own_data_centre},
	{"one instance of another data centre", test_one_in_other_data_centre},
	{"too few instances in the data centre", test_too_few},
	{"none ready", test_none_ready},
	{"large instances first", test_large_instances_first},
	{"nearly equal capacity", test_nearly_equal_capacity},
	{"number of addresses is limited", test_limited},
	{"allowed regions", test_regions},
};

UNIT_MAIN("directory", tests)
