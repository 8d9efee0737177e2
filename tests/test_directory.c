#include <stdio.h>
#include <string.h>

#include "directory.h"
#include "unit.h"

static struct directory_candidate candidate(const char *dc, bool ready)
{
	struct directory_candidate candidate = {.region = "r",
						.home = true,
						.ready = ready};

	snprintf(candidate.data_centre, sizeof(candidate.data_centre), "%s",
		 dc);
	return candidate;
}

/* For a caller of the region of all candidates. */
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
 * A data centre loses power. Its callers keep the addresses that they were
 * named, all there, and the instances that they would ask for others are there
 * too. One address elsewhere is named besides: in the caller's region, and
 * another one to each data centre, so that its callers do not all come to the
 * same.
 */
static void test_one_elsewhere(void)
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

/* Of two instances of a data centre one is lost: callers there get others. */
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
 * Most machines are small. Callers there would be late with each request; they
 * go to the large ones, and to small ones only once no large one is left.
 */
static void test_large_ones(void)
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

/* Nearly equal ones share the load. */
static void test_nearly_equal(void)
{
	struct directory_candidate all[] = {candidate("a", true),
					    candidate("a", true)};
	int out[DIRECTORY_ADDRESSES_MAX];

	all[0].capacity = 250;
	all[1].capacity = 300;
	CU_ASSERT(choose(all, 2, STR("a"), out) == 2);
}

static void test_bounded(void)
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
 * Records of a host must not leave their regions. Callers were named all
 * instances once two of their own data centre were gone, and sent requests to
 * machines in regions that are neither theirs nor allowed.
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
	all[3].home = false;
	all[3].capacity = 900;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 2);
	CU_ASSERT(out[0] == 0 && out[1] == 1);
	all[0].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 1);
	/* Nobody is left in the caller's region: where its records are. */
	all[1].ready = false;
	all[0].home = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 2);
	/* Nor there: any is better than none, it sends nothing on elsewhere. */
	all[2].ready = false;
	CU_ASSERT(choose(all, 4, STR("a"), out) == 1);
	CU_ASSERT(out[0] == 3);
}

static const struct unit_test tests[] = {
	{"own data centre", test_own_data_centre},
	{"one elsewhere", test_one_elsewhere},
	{"too few there", test_too_few},
	{"none ready", test_none_ready},
	{"large ones", test_large_ones},
	{"nearly equal", test_nearly_equal},
	{"bounded", test_bounded},
	{"regions", test_regions},
};

UNIT_MAIN("directory", tests)
