#include <stdio.h>
#include <string.h>

#include "error.h"
#include "platform/names.h"
#include "unit.h"

#define GOOD                                                                   \
	"{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"data_centre\":"    \
	"\"dc\",\"slots\":2,\"state\":\"ready\",\"cold_for_ms\":0}"

static int read_as(const char *name, const char *value,
		   struct server_entry *entry)
{
	struct store_item item = {.value = str_from(value)};

	store_key_set(&item.name, str_from(name));
	return platform_store.decode_server(&item, entry);
}

static int read_value(const char *value)
{
	struct server_entry entry;

	return read_as("i-1", value, &entry);
}

/* Parses the valid entry with @from replaced by @to. */
static int read_with(const char *from, const char *to)
{
	const char *at = strstr(GOOD, from);
	char text[512];

	CU_ASSERT_FATAL(at != NULL);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - GOOD), GOOD, to,
		 at + strlen(from));
	return read_value(text);
}

static void test_good(void)
{
	struct server_entry entry;

	CU_ASSERT(!read_as("i-1", GOOD, &entry));
	CU_ASSERT(!strcmp(entry.id, "i-1"));
	CU_ASSERT(!strcmp(entry.service, "s"));
	CU_ASSERT(!strcmp(entry.data_centre, "dc"));
	CU_ASSERT(entry.slots == 2);
	CU_ASSERT(!entry.draining);
	CU_ASSERT(!read_with("\"ready\"", "\"draining\""));
	CU_ASSERT(!read_with("{", "{\"more\":[1],"));
}

/*
 * Another program writes an entry without some of the fields. If they defaulted
 * to zero or empty, requests would go to a server that does not exist.
 */
static void test_missing(void)
{
	CU_ASSERT(read_with("\"service\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_with("\"address\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_with("\"data_centre\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_with("\"slots\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_with("\"state\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_with("\"cold_for_ms\"", "\"a\"") == ERR_KEY_MISSING);
	CU_ASSERT(read_value("{}") == ERR_KEY_MISSING);
}

static void test_wrong_type(void)
{
	CU_ASSERT(read_with("\"s\"", "7") == ERR_TYPE);
	CU_ASSERT(read_with("\"10.1.0.9:8080\"", "[]") == ERR_TYPE);
	CU_ASSERT(read_with("\"dc\"", "null") == ERR_TYPE);
	CU_ASSERT(read_with(":2", ":\"2\"") == ERR_TYPE);
	CU_ASSERT(read_with(":2", ":2.5") == ERR_TYPE);
	CU_ASSERT(read_with("\"ready\"", "true") == ERR_TYPE);
	CU_ASSERT(read_with("_ms\":0", "_ms\":{}") == ERR_TYPE);
}

/*
 * A changed start time signals that a server restarted under its id. An entry
 * without one is accepted; an invalid one makes the whole entry invalid.
 */
static void test_born(void)
{
	struct server_entry entry;

	CU_ASSERT(!read_as("i-1", GOOD, &entry));
	CU_ASSERT(entry.started_at_ms == 0);
	CU_ASSERT(!read_as("i-1",
			   "{\"service\":\"s\",\"address\":\"10.1.0.9:80\","
			   "\"data_centre\":\"dc\",\"slots\":2,\"state\":"
			   "\"ready\",\"cold_for_ms\":0,"
			   "\"born\":1796256000123}",
			   &entry));
	CU_ASSERT(entry.started_at_ms == 1796256000123);
	CU_ASSERT(read_with("{", "{\"born\":\"1796256000123\",") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"born\":1.5,") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"born\":null,") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"born\":-1,") == ERR_RANGE);
}

/* Guards against entries of other writers whose sequence is none. */
static void test_sequence(void)
{
	struct server_entry entry;

	CU_ASSERT(!read_as("i-1", GOOD, &entry));
	CU_ASSERT_EQUAL(entry.sequence, 0);
	CU_ASSERT(!read_as("i-1",
			   "{\"service\":\"s\",\"address\":\"10.1.0.9:80\","
			   "\"data_centre\":\"dc\",\"slots\":2,\"state\":"
			   "\"ready\",\"cold_for_ms\":0,\"Sequence\":27}",
			   &entry));
	CU_ASSERT_EQUAL(entry.sequence, 27);
	CU_ASSERT(read_with("{", "{\"Sequence\":\"27\",") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"Sequence\":2.5,") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"Sequence\":null,") == ERR_TYPE);
	CU_ASSERT(read_with("{", "{\"Sequence\":-1,") == ERR_RANGE);
}

/* A server in an unknown state must not receive requests. */
static void test_unknown_state(void)
{
	CU_ASSERT(read_with("\"ready\"", "\"stopping\"") == ERR_REFERENCE);
	CU_ASSERT(read_with("\"ready\"", "\"\"") == ERR_RANGE);
}

static void test_out_of_bounds(void)
{
	char name[201];
	struct store_item item = {.value = STR(GOOD)};
	struct server_entry entry;

	CU_ASSERT(read_with("\"s\"", "\"\"") == ERR_RANGE);
	CU_ASSERT(read_with("\"s\"", "\"s\\u0000t\"") == ERR_RANGE);
	CU_ASSERT(read_with(":2", ":-2") == ERR_RANGE);
	CU_ASSERT(read_with("10.1.0.9:8080", "10.1.0.9") == ERR_ADDRESS);
	CU_ASSERT(read_with("10.1.0.9:8080", "host:80") == ERR_ADDRESS);
	CU_ASSERT(read_with("10.1.0.9:8080", "10.1.0.9:0") == ERR_ADDRESS);
	CU_ASSERT(read_as("", GOOD, &entry) == ERR_RANGE);
	store_key_set(&item.name, STR("i\0x"));
	CU_ASSERT(platform_store.decode_server(&item, &entry) == ERR_NAME);
	memset(name, 'i', sizeof(name));
	name[sizeof(name) - 1] = '\0';
	CU_ASSERT(read_as(name, GOOD, &entry) == ERR_RANGE);
}

static void test_not_readable(void)
{
	CU_ASSERT(read_value("") == ERR_SYNTAX);
	CU_ASSERT(read_value("[]") == ERR_SYNTAX);
	CU_ASSERT(read_value("{\"service\":") == ERR_SYNTAX);
	CU_ASSERT(read_value("\xff\xfe\x01") == ERR_SYNTAX);
}

/* Decodes a list with one row, which has @key in JSON. */
static void read_list(enum store_topic topic, const char *key,
		      struct store_answer *answer)
{
	char body[1200];
	struct store_reply reply = {.status = 200, .era = STR("")};

	snprintf(body, sizeof(body),
		 "{\"read_at\":3,\"more\":true,\"items\":[{\"key\":\"%s\","
		 "\"value\":\"e30=\",\"changed_at\":2}]}",
		 key);
	reply.body = str_from(body);
	platform_store.decode_answer(topic, &reply, answer);
	CU_ASSERT_FATAL(!answer->code && answer->n_items == 1);
}

static void check_key(enum store_topic topic, const char *key,
		      enum store_kind kind, struct str name)
{
	struct store_answer answer;

	read_list(topic, key, &answer);
	CU_ASSERT_EQUAL(answer.items[0].kind, kind);
	CU_ASSERT(str_eq(store_key_str(&answer.items[0].name), name));
	platform_store.release_answer(&answer);
}

/* Guards against a NUL in a key that ends it: the rest names another item. */
static void test_nul_in_key(void)
{
	struct store_answer answer;

	check_key(STORE_SERVERS, "servers/i\\u0000x", STORE_ITEM_PLAIN,
		  STR("i\0x"));
	check_key(STORE_SERVERS, "servers/\\u0000", STORE_ITEM_PLAIN,
		  STR("\0"));
	check_key(STORE_ROUTES, "op/config\\u0000x", STORE_ITEM_OTHER,
		  STR("op/config\0x"));
	check_key(STORE_ROUTES, "op/evacuate/dc\\u0000x", STORE_ITEM_CORDON,
		  STR("dc\0x"));
	check_key(STORE_SERVERS, "elsewhere/i", STORE_ITEM_PLAIN, STR(""));
	read_list(STORE_SERVERS, "servers/i\\u0000x", &answer);
	CU_ASSERT(str_eq(store_key_str(&answer.last_key), STR("servers/i\0x")));
	platform_store.release_answer(&answer);
}

/* Guards against a value that is cut, and so is another one. */
static void test_odd_values_of_items(void)
{
	static const char *const values[] = {
		"\"e30=\\u0000e30=\"", "\"-\"", "7", "null", "[]", "\"!\""};
	char body[200];
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(*values); i++) {
		struct store_reply reply = {.status = 200, .era = STR("")};
		struct store_answer answer;

		snprintf(body, sizeof(body),
			 "{\"read_at\":3,\"items\":[{\"key\":\"servers/i\","
			 "\"value\":%s}]}",
			 values[i]);
		reply.body = str_from(body);
		platform_store.decode_answer(STORE_SERVERS, &reply, &answer);
		CU_ASSERT_FATAL(!answer.code && answer.n_items == 1);
		CU_ASSERT_EQUAL(answer.items[0].value.len, 0);
		platform_store.release_answer(&answer);
	}
}

static void check_target(struct str key, const char *after)
{
	struct store_call call = {.topic = STORE_SERVERS};
	char expected[STORE_TARGET_SIZE];
	char target[STORE_TARGET_SIZE];

	CU_ASSERT(!store_key_set(&call.from, key));
	platform_store.format_target(&call, target, sizeof(target));
	snprintf(expected, sizeof(expected),
		 "/garnetreach/kv-range?prefix=servers/&after=%s", after);
	CU_ASSERT_STRING_EQUAL(target, expected);
}

/* Guards against a key that ends the target, or adds to its query. */
static void test_next_page(void)
{
	struct store_call call = {.topic = STORE_SERVERS};
	char target[STORE_TARGET_SIZE];

	check_target(STR("servers/i-7f3a91c2"), "servers%2Fi-7f3a91c2");
	check_target(STR("servers/a&after=x"), "servers%2Fa%26after%3Dx");
	check_target(STR("a+b c#d%41"), "a%2Bb%20c%23d%2541");
	check_target(STR("a\r\nb\t\x01\x7f"), "a%0D%0Ab%09%01%7F");
	check_target(STR("a\0x"), "a%00x");
	check_target(STR("\xc3\xa9\xff"), "%C3%A9%FF");
	memset(call.from.data, '%', STORE_KEY_MAX);
	call.from.len = STORE_KEY_MAX;
	platform_store.format_target(&call, target, sizeof(target));
	CU_ASSERT_EQUAL(strlen(strstr(target, "after=")),
			strlen("after=") + strlen("%25") * STORE_KEY_MAX);
	call.from.len = 0;
	platform_store.format_target(&call, target, sizeof(target));
	CU_ASSERT_STRING_EQUAL(target, "/garnetreach/kv-range?prefix=servers/");
}

static uint64_t era_of(int status, const char *header)
{
	const struct store_reply reply = {
		.status = status,
		.era = str_from(header),
		.body = STR("{\"read_at\":3,\"items\":[]}")};
	struct store_answer answer;
	uint64_t era;

	platform_store.decode_answer(STORE_SERVERS, &reply, &answer);
	era = answer.era;
	platform_store.release_answer(&answer);
	return era;
}

/* A malformed header must not move all instances to another era. */
static void test_era(void)
{
	CU_ASSERT_EQUAL(era_of(200, "7"), 7);
	CU_ASSERT_EQUAL(era_of(410, "8"), 8);
	CU_ASSERT_EQUAL(era_of(503, "18446744073709551615"), UINT64_MAX);
	CU_ASSERT_EQUAL(era_of(200, ""), 0);
	CU_ASSERT_EQUAL(era_of(200, "7x"), 0);
	CU_ASSERT_EQUAL(era_of(200, "-1"), 0);
	CU_ASSERT_EQUAL(era_of(200, "18446744073709551616"), 0);
}

static const struct unit_test tests[] = {
	{"era", test_era},
	{"good", test_good},
	{"missing", test_missing},
	{"NUL in key", test_nul_in_key},
	{"odd values of items", test_odd_values_of_items},
	{"next page", test_next_page},
	{"wrong type", test_wrong_type},
	{"sequence", test_sequence},
	{"born", test_born},
	{"unknown state", test_unknown_state},
	{"out of bounds", test_out_of_bounds},
	{"not readable", test_not_readable},
};

UNIT_MAIN("server entry", tests)
