#include <stdio.h>
#include <string.h>

#include "error.h"
#include "instances.h"
#include "unit.h"

#define ADDRESSES                                                              \
	"\"data_centre\":\"dc\",\"peer_address\":\"127.0.0.1:1\","             \
	"\"caller_address\":\"127.0.0.1:2\""

static int count_members(const char *rows)
{
	struct fleet fleet;
	char text[600];
	int n;

	fleet_init(&fleet);
	snprintf(text, sizeof(text), "[{\"instance\":\"i-1\"," ADDRESSES "}%s]",
		 rows);
	CU_ASSERT(!instances_apply(&fleet, str_from(text)));
	CU_ASSERT(fleet_find(&fleet, STR("i-1")) != NULL);
	n = (int)HASH_COUNT(fleet.members);
	fleet_finish(&fleet);
	return n;
}

/* Guards against a row that ends the list, or takes an instance's place. */
static void test_odd_rows(void)
{
	CU_ASSERT_EQUAL(count_members(""), 1);
	CU_ASSERT_EQUAL(count_members(",{\"instance\":\"a b\"," ADDRESSES "}"),
			2);
	CU_ASSERT_EQUAL(
		count_members(",{\"instance\":\"i-1\\u0000x\"," ADDRESSES "}"),
		1);
	CU_ASSERT_EQUAL(count_members(",{\"instance\":\"j\\u0000x\"," ADDRESSES
				      "}"),
			1);
	CU_ASSERT_EQUAL(count_members(",{\"instance\":\"\"," ADDRESSES "}"), 1);
	CU_ASSERT_EQUAL(count_members(",{\"instance\":7," ADDRESSES "}"), 1);
	CU_ASSERT_EQUAL(count_members(",{\"instance\":\"j\"}"), 1);
	CU_ASSERT_EQUAL(count_members(",null,7,\"j\",[],{}"), 1);
	CU_ASSERT_EQUAL(count_members(
				",{\"instance\":\"j\",\"data_centre\":\"dc\","
				"\"peer_address\":\"127.0.0.1:99999\","
				"\"caller_address\":\"127.0.0.1:2\"}"),
			1);
}

static void test_no_list(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	CU_ASSERT_EQUAL(instances_apply(&fleet, STR("{}")), ERR_SYNTAX);
	CU_ASSERT_EQUAL(instances_apply(&fleet, STR("[")), ERR_SYNTAX);
	CU_ASSERT_EQUAL(instances_apply(&fleet, STR("")), ERR_SYNTAX);
	fleet_finish(&fleet);
}

static const struct unit_test tests[] = {
	{"odd rows", test_odd_rows},
	{"no list", test_no_list},
};

UNIT_MAIN("instances", tests)
