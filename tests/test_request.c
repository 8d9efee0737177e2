#include <stdio.h>
#include <string.h>

#include "request.h"
#include "unit.h"

#define NESTING_DEPTH 100000

static int parse_search(const char *text, struct error *err)
{
	struct search_request request;
	int ret = search_request_init(&request, text, strlen(text), err);

	if (!ret)
		search_request_finish(&request);
	return ret;
}

static void test_defaults(void)
{
	static const char text[] = "{\"service\":\"desk\"}";
	struct search_request request;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(search_request_init(&request, text, strlen(text),
						  &err),
			      0);
	CU_ASSERT_STRING_EQUAL(request.service, "desk");
	CU_ASSERT_STRING_EQUAL(request.where, "{}");
	CU_ASSERT_STRING_EQUAL(request.request_id, "");
	CU_ASSERT_EQUAL(request.mode, REQUEST_RECORDS);
	CU_ASSERT_EQUAL(request.limit, REQUEST_LIMIT_DEFAULT);
	CU_ASSERT_EQUAL(request.deadline_ms, 0);
	search_request_finish(&request);
}

static void test_all_members(void)
{
	static const char text[] =
		"{\"service\":\"desk\",\"where\":{ \"a\" : [1, \"x/y\"] },"
		"\"mode\":\"count\",\"limit\":1000,\"deadline_ms\":5,"
		"\"request_id\":\"mine-1\"}";
	struct search_request request;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(search_request_init(&request, text, strlen(text),
						  &err),
			      0);
	CU_ASSERT_STRING_EQUAL(request.where, "{\"a\":[1,\"x/y\"]}");
	CU_ASSERT_EQUAL(request.mode, REQUEST_COUNT);
	CU_ASSERT_EQUAL(request.limit, 1000);
	CU_ASSERT_EQUAL(request.deadline_ms, 5);
	CU_ASSERT_STRING_EQUAL(request.request_id, "mine-1");
	search_request_finish(&request);
}

static void test_errors_name_the_member(void)
{
	static const struct {
		const char *text;
		int code;
		const char *subject;
	} cases[] = {
		{"{}", ERR_KEY_MISSING, "service"},
		{"{\"service\":\"\"}", ERR_RANGE, "service"},
		{"{\"service\":7}", ERR_TYPE, "service"},
		{"{\"service\":null}", ERR_TYPE, "service"},
		{"{\"service\":\"d\",\"limit\":0}", ERR_RANGE, "limit"},
		{"{\"service\":\"d\",\"limit\":1001}", ERR_RANGE, "limit"},
		{"{\"service\":\"d\",\"limit\":\"9\"}", ERR_TYPE, "limit"},
		{"{\"service\":\"d\",\"limit\":1.5}", ERR_TYPE, "limit"},
		{"{\"service\":\"d\",\"limit\":null}", ERR_TYPE, "limit"},
		{"{\"service\":\"d\",\"limit\":99999999999999999999}",
		 ERR_RANGE, "limit"},
		{"{\"service\":\"d\",\"mode\":\"all\"}", ERR_RANGE, "mode"},
		{"{\"service\":\"d\",\"mode\":1}", ERR_TYPE, "mode"},
		{"{\"service\":\"d\",\"deadline_ms\":0}", ERR_RANGE,
		 "deadline_ms"},
		{"{\"service\":\"d\",\"deadline_ms\":-5}", ERR_RANGE,
		 "deadline_ms"},
		{"{\"service\":\"d\",\"where\":[]}", ERR_TYPE, "where"},
		{"{\"service\":\"d\",\"where\":null}", ERR_TYPE, "where"},
		{"{\"service\":\"d\",\"request_id\":\"a b\"}", ERR_RANGE,
		 "request_id"},
		{"{\"service\":\"d\",\"request_id\":\"a\\nb\"}", ERR_RANGE,
		 "request_id"},
		{"{\"service\":\"d\",\"request_id\":\"\\u00e9\"}", ERR_RANGE,
		 "request_id"},
		{"{\"service\":\"d\",\"request_id\":\"\"}", ERR_RANGE,
		 "request_id"},
		{"{\"service\":\"d\",\"other\":1}", ERR_KEY_UNKNOWN, "other"},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct error err = {0};
		int ret = parse_search(cases[i].text, &err);

		if (ret != cases[i].code ||
		    strcmp(err.subject, cases[i].subject))
			printf("%s: %s at %s\n", cases[i].text, error_name(ret),
			       err.subject);
		CU_ASSERT_EQUAL(ret, cases[i].code);
		CU_ASSERT_STRING_EQUAL(err.subject, cases[i].subject);
	}
}

static void test_invalid_json(void)
{
	static const char *const texts[] = {
		"",
		" ",
		"{",
		"[]",
		"null",
		"7",
		"\"a\"",
		"{\"service\":\"d\"} x",
		"{\"service\":\"d\",}}",
		"\xff\xfe",
		"{\"service\":\"\xff\"}",
	};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(*texts); i++) {
		struct error err = {0};

		CU_ASSERT_NOT_EQUAL(parse_search(texts[i], &err), 0);
	}
}

static void test_bytes_after_nul_are_refused(void)
{
	static const char text[] = "{\"service\":\"d\"}\0{\"service\":\"e\"}";
	struct search_request request;
	struct error err;
	int ret = search_request_init(&request, text, sizeof(text) - 1, &err);

	CU_ASSERT_NOT_EQUAL(ret, 0);
	if (!ret)
		search_request_finish(&request);
}

static void test_long_names_are_refused(void)
{
	char text[512];
	char name[REQUEST_NAME_SIZE + 1];
	struct error err;

	memset(name, 'a', sizeof(name));
	name[REQUEST_NAME_SIZE - 1] = '\0';
	snprintf(text, sizeof(text), "{\"service\":\"%s\"}", name);
	CU_ASSERT_EQUAL(parse_search(text, &err), 0);
	name[REQUEST_NAME_SIZE - 1] = 'a';
	name[REQUEST_NAME_SIZE] = '\0';
	snprintf(text, sizeof(text), "{\"service\":\"%s\"}", name);
	CU_ASSERT_EQUAL(parse_search(text, &err), ERR_RANGE);
}

/*
 * A caller repeats a member. Whichever counts, the memory of the first must be
 * freed, or each such request would leak.
 */
static void test_repeated_members_do_not_leak(void)
{
	struct error err;

	CU_ASSERT_EQUAL(parse_search("{\"service\":\"a\",\"service\":\"b\","
				     "\"where\":{\"x\":1},\"where\":{},"
				     "\"request_id\":\"p\",\"request_id\":"
				     "\"q\"}",
				     &err),
			0);
}

/* Deep nesting must be refused before it overflows the parser's stack. */
static void test_deep_nesting_is_refused(void)
{
	static char text[NESTING_DEPTH + 64] =
		"{\"service\":\"d\",\"where\":{\"a\":";
	struct error err;

	memset(text + strlen(text), '[', NESTING_DEPTH);
	CU_ASSERT_EQUAL(parse_search(text, &err), ERR_SYNTAX);
}

static void test_run_members(void)
{
	static const char good[] = "{\"ticket\":\"t\",\"service\":\"d\","
				   "\"key\":\"k\",\"payload\":{\"a\":1}}";
	static const char *const bad[] = {
		"{\"ticket\":\"t\",\"service\":\"d\",\"key\":\"k\"}",
		"{\"service\":\"d\",\"key\":\"k\",\"payload\":1}",
		"{\"ticket\":\"t\",\"service\":\"d\",\"payload\":1}",
		"{\"ticket\":\"t\",\"service\":\"d\",\"key\":\"k\","
		"\"payload\":1,\"limit\":1}",
	};
	struct run_request request;
	struct error err;
	size_t i;

	CU_ASSERT_EQUAL_FATAL(run_request_init(&request, good, strlen(good),
					       &err),
			      0);
	CU_ASSERT_STRING_EQUAL(request.payload, "{\"a\":1}");
	run_request_finish(&request);
	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		CU_ASSERT_NOT_EQUAL(run_request_init(&request, bad[i],
						     strlen(bad[i]), &err),
				    0);
}

static const struct unit_test tests[] = {
	{"defaults", test_defaults},
	{"all members", test_all_members},
	{"errors name the member", test_errors_name_the_member},
	{"invalid JSON and other types are refused", test_invalid_json},
	{"bytes after a NUL are refused", test_bytes_after_nul_are_refused},
	{"names that are too long are refused", test_long_names_are_refused},
	{"repeated members do not leak", test_repeated_members_do_not_leak},
	{"deep nesting is refused", test_deep_nesting_is_refused},
	{"members of a run request", test_run_members},
};

UNIT_MAIN("request", tests)
