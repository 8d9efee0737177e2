#include <stdlib.h>
#include <string.h>

#include "records.h"
#include "rng.h"
#include "unit.h"

#define MANY 500

static int falling(const void *a, const void *b)
{
	return memcmp(b, a, RECORD_SIZE);
}

/* Many parts, with equal records among them, against a sort of all. */
static void test_greatest(void)
{
	static char all[MANY][RECORD_SIZE];
	struct records records;
	struct rng rng;
	int i;

	rng_init(&rng, 1);
	for (i = 0; i < MANY; i++) {
		uint64_t key = rng_next(&rng) % 100;

		memcpy(all[i], &key, sizeof(key));
		all[i][0] = (char)(0x80 | key);
	}
	records_init(&records, 40);
	for (i = 0; i < MANY; i += 50)
		records_add(&records, (struct str){all[i], 50 * RECORD_SIZE},
			    (uint8_t)(i / 50));
	qsort(all, MANY, RECORD_SIZE, falling);
	CU_ASSERT(records.n == 40);
	CU_ASSERT(!memcmp(records.bytes, all, 40 * RECORD_SIZE));
	records_finish(&records);
}

/* Those equal to the floor all count. */
static void test_cut(void)
{
	char body[4][RECORD_SIZE] = {{4}, {2}, {3}, {2}};
	char floor[RECORD_SIZE] = {2};
	struct records records;

	records_init(&records, 4);
	records_add(&records, (struct str){body[0], sizeof(body)}, 7);
	records_drop_below(&records, floor);
	CU_ASSERT_EQUAL(records.n, 4);
	floor[1] = 1;
	records_drop_below(&records, floor);
	CU_ASSERT_EQUAL(records.n, 2);
	CU_ASSERT_EQUAL(records.bytes[RECORD_SIZE], 3);
	floor[0] = 5;
	records_drop_below(&records, floor);
	CU_ASSERT_EQUAL(records.n, 0);
	records_finish(&records);
}

static void test_rest_is_no_record(void)
{
	struct records records;

	records_init(&records, 5);
	records_add(&records, STR("0123456789abcdefXYZ"), 0);
	CU_ASSERT(records.n == 1);
	records_add(&records, STR("short"), 0);
	records_add(&records, STR(""), 0);
	CU_ASSERT(records.n == 1);
	records_finish(&records);
	records_init(&records, 0);
	records_add(&records, STR("0123456789abcdef"), 0);
	CU_ASSERT(records.n == 0);
	records_finish(&records);
}

static const struct unit_test tests[] = {
	{"cut", test_cut},
	{"greatest", test_greatest},
	{"a rest is no record", test_rest_is_no_record},
};

UNIT_MAIN("records", tests)
