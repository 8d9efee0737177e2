#include <stdlib.h>
#include <string.h>

#include "table_gen.h"
#include "table_delta.h"
#include "unit.h"

#define ROWS 40
#define STEPS 200

static struct table make_table(const struct table_gen *sheets,
			       uint64_t revision)
{
	struct error err = {0};
	struct table table;
	size_t len;
	char *text = table_gen_text(sheets, &len);

	CU_ASSERT_EQUAL_FATAL(table_init(&table, text, len, revision, &err), 0);
	free(text);
	return table;
}

static void check_tunables(const struct table *a, const struct table *b)
{
	CU_ASSERT_EQUAL(a->tunables.lease_ms, b->tunables.lease_ms);
	CU_ASSERT_EQUAL(a->tunables.probe_period_ms,
			b->tunables.probe_period_ms);
	CU_ASSERT_EQUAL(a->tunables.queue_max, b->tunables.queue_max);
}

static void check_same(const struct table *a, const struct table *b)
{
	int i;

	CU_ASSERT_EQUAL(a->digest, b->digest);
	CU_ASSERT_STRING_EQUAL(a->text, b->text);
	CU_ASSERT_EQUAL_FATAL(a->n_servers, b->n_servers);
	check_tunables(a, b);
	for (i = 0; i < a->n_servers; i++) {
		CU_ASSERT_STRING_EQUAL(a->servers[i].name, b->servers[i].name);
		CU_ASSERT_EQUAL(a->servers[i].slots, b->servers[i].slots);
		CU_ASSERT_EQUAL(a->servers[i].service_index,
				b->servers[i].service_index);
		CU_ASSERT_EQUAL(table_find_server(a,
						  str_from(b->servers[i].name)),
				i);
	}
	for (i = 0; i < a->n_services; i++)
		CU_ASSERT_EQUAL(a->services[i].n_servers,
				b->services[i].n_servers);
}

/*
 * Two readers get the same sheet with its rows, columns and comments in a
 * different order. Their tables must have the same digest; otherwise the fleet
 * reports a conflict between equal tables.
 */
static void test_canonical(void)
{
	struct table_gen sheets;
	struct table one;
	struct table two;
	struct table again;

	table_gen_init(&sheets, ROWS);
	one = make_table(&sheets, 3);
	sheets.rows_reversed = true;
	sheets.columns_reordered = true;
	two = make_table(&sheets, 3);
	check_same(&one, &two);
	CU_ASSERT_EQUAL(table_init(&again, one.text, one.len, 3, NULL), 0);
	check_same(&one, &again);
	sheets.slots[7]++;
	table_finish(&two);
	two = make_table(&sheets, 3);
	CU_ASSERT_NOT_EQUAL(one.digest, two.digest);
	table_finish(&one);
	table_finish(&two);
	table_finish(&again);
	table_gen_finish(&sheets);
}

static void change(struct table_gen *sheets)
{
	int n = rand() % 3 + 1;
	int i;

	for (i = 0; i < n; i++)
		sheets->slots[rand() % sheets->n_servers] = rand() % 4;
	if (!(rand() % 4))
		sheets->lease_ms = rand() % 2 ? 200 + rand() % 9 : 0;
}

/* Applies a delta after packing and unpacking its message. */
static int deliver(const struct table_delta *delta, struct table *to,
		   const struct table *from)
{
	struct table_delta copy;
	Peer__TableUpdate message;
	Peer__TableUpdate *got;
	uint8_t *bytes;
	size_t len;
	int ret;

	table_delta_write(delta, &message);
	len = peer__table_update__get_packed_size(&message);
	bytes = malloc(len + 1);
	peer__table_update__pack(&message, bytes);
	table_delta_write_finish(&message);
	got = peer__table_update__unpack(NULL, len, bytes);
	free(bytes);
	CU_ASSERT_EQUAL_FATAL(table_delta_read(&copy, got), 0);
	peer__table_update__free_unpacked(got, NULL);
	ret = table_delta_apply(&copy, to, from, NULL);
	table_delta_finish(&copy);
	return ret;
}

/*
 * Rows are set, added, deleted and added again at random. Applying one delta,
 * or two joined ones, must produce the same table as parsing the full text.
 */
static void test_random_changes(void)
{
	struct table_delta first;
	struct table_delta second;
	struct table_delta both;
	struct table tables[3];
	struct table got;
	struct table_gen sheets;
	int i;

	srand(1);
	table_gen_init(&sheets, ROWS);
	for (i = 0; i < STEPS; i++) {
		int k;

		for (k = 0; k < 3; k++) {
			tables[k] =
				make_table(&sheets, 3 * (uint64_t)i + k + 1);
			change(&sheets);
		}
		CU_ASSERT_EQUAL_FATAL(table_delta_init(&first, &tables[0],
						       &tables[1]),
				      0);
		CU_ASSERT_EQUAL_FATAL(table_delta_init(&second, &tables[1],
						       &tables[2]),
				      0);
		CU_ASSERT_EQUAL(table_delta_join(&both, &first, &second), 0);
		CU_ASSERT_EQUAL_FATAL(deliver(&first, &got, &tables[0]), 0);
		check_same(&got, &tables[1]);
		table_finish(&got);
		CU_ASSERT_EQUAL_FATAL(deliver(&both, &got, &tables[0]), 0);
		check_same(&got, &tables[2]);
		table_finish(&got);
		table_delta_finish(&both);
		CU_ASSERT_EQUAL(table_delta_join(&both, &second, &first),
				ERR_VERSION);
		table_delta_finish(&first);
		table_delta_finish(&second);
		for (k = 0; k < 3; k++)
			table_finish(&tables[k]);
	}
	table_gen_finish(&sheets);
}

/*
 * A peer's delta has another base, was corrupted in transit, or contains an
 * invalid row. It must be refused as a whole.
 */
static void test_refused(void)
{
	struct table_delta delta;
	struct error err = {0};
	struct table_gen sheets;
	struct table from;
	struct table to;
	struct table got;

	table_gen_init(&sheets, ROWS);
	from = make_table(&sheets, 1);
	sheets.slots[3] = 3;
	to = make_table(&sheets, 2);
	CU_ASSERT_EQUAL_FATAL(table_delta_init(&delta, &from, &to), 0);
	CU_ASSERT_EQUAL(delta.n, 1);
	CU_ASSERT_EQUAL(table_delta_apply(&delta, &got, &to, &err),
			ERR_VERSION);
	delta.digest++;
	CU_ASSERT_EQUAL(table_delta_apply(&delta, &got, &from, &err),
			ERR_PROTOCOL);
	memcpy(strstr(delta.changes[0].cells, "3,25"), "0,2]", sizeof("0,2]"));
	CU_ASSERT_EQUAL(table_delta_apply(&delta, &got, &from, &err),
			ERR_RANGE);
	CU_ASSERT_STRING_EQUAL(err.subject, "servers row 4 column slots");
	memcpy(delta.changes[0].cells, "nonsense", sizeof("nonsense"));
	CU_ASSERT_EQUAL(table_delta_apply(&delta, &got, &from, &err), ERR_TYPE);
	table_delta_finish(&delta);
	table_finish(&from);
	table_finish(&to);
	table_gen_finish(&sheets);
}

/* If most rows change, the full text is sent instead of a delta. */
static void test_full_text(void)
{
	struct table_delta delta;
	struct table_gen sheets;
	struct table from;
	struct table to;
	int i;

	table_gen_init(&sheets, ROWS);
	from = make_table(&sheets, 1);
	for (i = 0; i < ROWS; i++)
		sheets.slots[i] = 9;
	to = make_table(&sheets, 2);
	CU_ASSERT_EQUAL(table_delta_init(&delta, &from, &to), ERR_TOO_LARGE);
	table_finish(&from);
	table_finish(&to);
	table_gen_finish(&sheets);
}

static const struct unit_test tests[] = {
	{"canonical text", test_canonical},
	{"random changes", test_random_changes},
	{"refused deltas", test_refused},
	{"full text instead of a delta", test_full_text},
};

UNIT_MAIN("table_delta", tests)
