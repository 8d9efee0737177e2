#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "merge.h"
#include "unit.h"

/* Add the records of one shard, each in the form "sort:key". */
static void add(struct merge *merge, const char *const *texts, int n)
{
	Backend__Record *records = mem_zalloc((size_t)n * sizeof(*records));
	Backend__Record **list = mem_zalloc((size_t)n * sizeof(*list));
	int i;

	for (i = 0; i < n; i++) {
		const char *colon = strchr(texts[i], ':');

		backend__record__init(&records[i]);
		records[i].sort.data = (uint8_t *)texts[i];
		records[i].sort.len = (size_t)(colon - texts[i]);
		records[i].key.data = (uint8_t *)colon + 1;
		records[i].key.len = strlen(colon + 1);
		records[i].body = records[i].key;
		list[i] = &records[i];
	}
	merge_add(merge, list, (size_t)n);
	free(list);
	free(records);
}

static void check_records(const struct merge *merge, const char *expected)
{
	char text[256] = "";
	size_t len = 0;
	int i;

	for (i = 0; i < merge->n; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
					STR_FMT ":" STR_FMT " ",
					STR_ARG(merge->records[i].sort),
					STR_ARG(merge->records[i].key));
	CU_ASSERT_STRING_EQUAL(text, expected);
}

#define ADD(merge, ...)                                                        \
	do {                                                                   \
		static const char *const texts[] = {__VA_ARGS__};              \
		add(merge, texts, (int)(sizeof(texts) / sizeof(*texts)));      \
	} while (0)

static void test_order_across_shards(void)
{
	struct merge merge;

	merge_init(&merge, 10);
	ADD(&merge, "b:1", "d:1");
	ADD(&merge, "a:1", "c:1", "e:1");
	check_records(&merge, "a:1 b:1 c:1 d:1 e:1 ");
	merge_finish(&merge);
}

static void test_ties_by_key(void)
{
	struct merge merge;

	merge_init(&merge, 10);
	ADD(&merge, "a:3", "a:5");
	ADD(&merge, "a:1", "a:4", "a:9");
	check_records(&merge, "a:1 a:3 a:4 a:5 a:9 ");
	merge_finish(&merge);
}

static void test_keeps_first_records(void)
{
	struct merge merge;

	merge_init(&merge, 3);
	ADD(&merge, "c:1", "d:1", "e:1", "f:1");
	check_records(&merge, "c:1 d:1 e:1 ");
	ADD(&merge, "a:1", "d:0", "z:1");
	check_records(&merge, "a:1 c:1 d:0 ");
	ADD(&merge, "x:1");
	check_records(&merge, "a:1 c:1 d:0 ");
	merge_finish(&merge);
}

static void test_compares_bytes(void)
{
	struct merge merge;

	merge_init(&merge, 4);
	ADD(&merge, "Z:1", "a:1", "\xc3\xa9:1");
	ADD(&merge, ":1", "aa:1");
	check_records(&merge, ":1 Z:1 a:1 aa:1 ");
	merge_finish(&merge);
}

static void test_limit_zero(void)
{
	struct merge merge;

	merge_init(&merge, 0);
	ADD(&merge, "a:1");
	CU_ASSERT_EQUAL(merge.n, 0);
	CU_ASSERT_PTR_NULL(merge.records);
	merge_finish(&merge);
}

/* Guards against references into the answer, which is freed right after. */
static void test_records_are_copied(void)
{
	struct merge merge;
	char text[] = "a:1";
	const char *texts[] = {text};

	merge_init(&merge, 1);
	add(&merge, texts, 1);
	memset(text, 'x', sizeof(text));
	check_records(&merge, "a:1 ");
	merge_finish(&merge);
}

static const struct unit_test tests[] = {
	{"order across shards", test_order_across_shards},
	{"ties by key", test_ties_by_key},
	{"limit keeps first records", test_keeps_first_records},
	{"compares bytes", test_compares_bytes},
	{"limit of 0", test_limit_zero},
	{"records are copied", test_records_are_copied},
};

UNIT_MAIN("merge", tests)
