#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "burn_report.h"
#include "error.h"
#include "report.h"
#include "unit.h"

#define NEAR(a, b) CU_ASSERT_DOUBLE_EQUAL(a, b, 1e-9)

/*
 * What an instance says of one service. The counts of its 5-minute window,
 * and twice as many in the longer ones.
 */
static struct json_object *make_body(const char *service, const char *market,
				     const char *state, int total, int late,
				     int partial, int refused)
{
	char windows[1024];
	char text[2048];
	int len = 0;
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		int times = i ? 2 : 1;

		len += snprintf(windows + len, sizeof(windows) - (size_t)len,
				"%s{\"window\":\"%s\",\"state\":\"%s\","
				"\"total\":%d,\"late\":%d,\"partial\":%d,"
				"\"refused\":%d}",
				i ? "," : "", burn_window_names[i], state,
				times * total, times * late, times * partial,
				times * refused);
	}
	snprintf(text, sizeof(text),
		 "{\"instance\":\"x\",\"observed_s\":4000,"
		 "\"table_revision\":7,\"windows\":[{\"window\":\"6h\","
		 "\"seconds\":21600,\"observed_s\":4000}],\"services\":[{"
		 "\"service\":\"%s\",\"market\":\"%s\",\"in_table\":true,"
		 "\"targets\":{\"latency_ms\":100,\"latency_ratio\":0.9,"
		 "\"coverage_ratio\":0.8},\"windows\":[%s],"
		 "\"causes\":{\"servers\":[{\"name\":\"b1\",\"count\":%d,"
		 "\"error\":1,\"reason\":\"shed\"}],\"shards\":[]}}]}",
		 service, market, windows, late + 1);
	return json_tokener_parse(text);
}

static void add(struct burn_report *report, struct json_object *body)
{
	struct burn_instance instance = {.address = "127.0.0.1:1"};

	burn_report_add(report, &instance, body);
	json_object_put(body);
}

static const struct burn_row *row_of(struct burn_row *rows, const char *name)
{
	struct burn_row *row;

	HASH_FIND_STR(rows, name, row);
	CU_ASSERT_PTR_NOT_NULL_FATAL(row);
	return row;
}

/*
 * By hand: two instances with 100 and 300 requests, 10 and 30 late, 4 and 0
 * refused. Bad for latency are 44 of 400, and 400 * (1 - 0.9) = 40 may be:
 * 1.1 times. Bad for coverage are 4, and 80 may be: 0.05 times.
 */
static void test_instances_add_up(void)
{
	struct burn_report report;
	const struct burn_row *row;

	burn_report_init(&report);
	add(&report, make_body("desk", "be", "full", 100, 10, 0, 4));
	add(&report, make_body("desk", "be", "full", 300, 30, 0, 0));
	burn_report_sort(&report);
	row = row_of(report.services, "desk");
	CU_ASSERT_EQUAL(row->counts[BURN_5M].total, 400);
	CU_ASSERT_EQUAL(row->counts[BURN_3D].total, 800);
	NEAR(burn_row_rate(row, BURN_LATENCY, BURN_5M), 1.1);
	NEAR(burn_row_rate(row, BURN_COVERAGE, BURN_5M), 0.05);
	NEAR(burn_row_budget_left(row, BURN_LATENCY), -0.1);
	CU_ASSERT_STRING_EQUAL(burn_row_alarm(row, BURN_LATENCY),
			       "slo_burn_slow");
	CU_ASSERT_PTR_NULL(burn_row_alarm(row, BURN_COVERAGE));
	CU_ASSERT_EQUAL(row->states[BURN_1H], BURN_FULL);
	CU_ASSERT_EQUAL_FATAL(row->top[BURN_SERVER].n, 1);
	CU_ASSERT_EQUAL(row->top[BURN_SERVER].entries[0].count, 42);
	CU_ASSERT_EQUAL(row->top[BURN_SERVER].entries[0].error, 2);
	CU_ASSERT_EQUAL(row->top[BURN_SERVER].entries[0].code, ERR_SHED);
	CU_ASSERT_FALSE(burn_report_is_partial(&report));
	CU_ASSERT_EQUAL(report.min_observed_s[BURN_6H], 4000);
	CU_ASSERT_EQUAL(report.min_observed_s[BURN_5M], 300);
	burn_report_finish(&report);
}

/*
 * By hand: a market of two services, 100 requests with 30 late and 300 with
 * none. Allowed are 10 + 30, so the market burns 30 / 40 = 0.75 times.
 */
static void test_market(void)
{
	struct burn_report report;
	const struct burn_row *row;

	burn_report_init(&report);
	add(&report, make_body("desk", "be", "full", 100, 30, 0, 0));
	add(&report, make_body("portal", "be", "short", 300, 0, 0, 0));
	add(&report, make_body("kitchen", "cr", "full", 10, 0, 0, 0));
	burn_report_sort(&report);
	row = row_of(report.markets, "be");
	CU_ASSERT_EQUAL(row->n_services, 2);
	NEAR(burn_row_rate(row, BURN_LATENCY, BURN_1H), 0.75);
	CU_ASSERT_EQUAL(row->states[BURN_1H], BURN_SHORT);
	CU_ASSERT_STRING_EQUAL(report.services->name, "desk");
	CU_ASSERT_STRING_EQUAL(report.markets->name, "be");
	burn_report_finish(&report);
}

/*
 * An instance is down. Its requests can't be counted, so that a service may
 * look healthy that is not: the report must say whose are missing.
 */
static void test_partial(void)
{
	struct burn_instance lost = {.name = "i2", .ret = ERR_CONNECT};
	struct burn_report report;

	burn_report_init(&report);
	add(&report, make_body("desk", "be", "full", 100, 0, 0, 0));
	burn_report_add(&report, &lost, NULL);
	add(&report, json_tokener_parse("{\"instance\":\"x\"}"));
	burn_report_sort(&report);
	CU_ASSERT_TRUE(burn_report_is_partial(&report));
	CU_ASSERT_EQUAL(report.n_answered, 1);
	CU_ASSERT_EQUAL(report.n_instances, 3);
	CU_ASSERT_EQUAL(report.instances[1].ret, ERR_CONNECT);
	CU_ASSERT_EQUAL(report.instances[2].ret, ERR_PROTOCOL);
	burn_report_finish(&report);
}

static enum burn_state state_of(const char *a, const char *b)
{
	struct burn_report report;
	enum burn_state state;

	burn_report_init(&report);
	add(&report, make_body("desk", "be", a, 0, 0, 0, 0));
	add(&report, make_body("desk", "be", b, 0, 0, 0, 0));
	burn_report_sort(&report);
	state = row_of(report.services, "desk")->states[BURN_1H];
	burn_report_finish(&report);
	return state;
}

static void test_states(void)
{
	CU_ASSERT_EQUAL(state_of("empty", "empty"), BURN_EMPTY);
	CU_ASSERT_EQUAL(state_of("empty", "rolled_over"), BURN_ROLLED_OVER);
	CU_ASSERT_EQUAL(state_of("rolled_over", "full"), BURN_FULL);
	CU_ASSERT_EQUAL(state_of("full", "short"), BURN_SHORT);
}

static char *print(const struct burn_report *report,
		   void (*form)(const struct burn_report *report, FILE *out))
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);

	form(report, out);
	fclose(out);
	return text;
}

/* Each form must say which windows have nothing to show, and why. */
static void test_forms_tell_states(void)
{
	struct burn_instance lost = {.name = "<i2>", .ret = ERR_CONNECT};
	struct burn_report report;
	struct json_object *root;
	char *text;

	burn_report_init(&report);
	add(&report, make_body("old", "be", "rolled_over", 0, 0, 0, 0));
	add(&report, make_body("new", "be", "short", 10, 1, 0, 0));
	add(&report, make_body("idle", "be", "empty", 0, 0, 0, 0));
	burn_report_add(&report, &lost, NULL);
	burn_report_sort(&report);
	text = print(&report, report_text);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "3 of 4 instances answered"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "PARTIAL"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, " rolled "));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, " 1.00* "));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "6h (66m)"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "services without any request: 1"));
	free(text);
	text = print(&report, report_html);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "PARTIAL"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "&lt;i2&gt;"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, ">rolled<"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, ">1.00*<"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "window 6h is short"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "Services without any request: 1"));
	free(text);
	root = report_json(&report);
	text = strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"partial\":true"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"rolled_over\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"short\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"empty\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"least_observed_s\":4000"));
	free(text);
	json_object_put(root);
	burn_report_finish(&report);
}

/* A target of 1 allows no bad request: the rate has no number. */
static void test_no_budget(void)
{
	struct burn_report report;
	struct json_object *body = make_body("desk", "be", "full", 9, 1, 0, 0);
	struct json_object *targets;
	char *text;

	targets = json_object_object_get(
		json_object_array_get_idx(json_object_object_get(body,
								 "services"),
					  0),
		"targets");
	json_object_object_add(targets, "latency_ratio",
			       json_object_new_double(1));
	burn_report_init(&report);
	add(&report, body);
	burn_report_sort(&report);
	text = print(&report, report_text);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "no budget"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "none"));
	free(text);
	burn_report_finish(&report);
}

static void test_empty(void)
{
	struct burn_report report;

	burn_report_init(&report);
	burn_report_sort(&report);
	CU_ASSERT_EQUAL(report.n_answered, 0);
	CU_ASSERT_PTR_NULL(report.services);
	burn_report_finish(&report);
}

static const struct unit_test tests[] = {
	{"instances add up, by hand", test_instances_add_up},
	{"services add up to markets, by hand", test_market},
	{"an instance is missing", test_partial},
	{"states of a sum", test_states},
	{"each form tells the states", test_forms_tell_states},
	{"no budget", test_no_budget},
	{"no instance at all", test_empty},
};

UNIT_MAIN("burn_report", tests)
