#include <string.h>

#include "routes.h"
#include "unit.h"

static const char document[] =
	"{\"version\": 7, \"services\": [{\"name\": \"a\"}, {\"name\": \"b\","
	" \"connections_max\": 26}, {\"name\": \"c\"}],"
	" \"limits\": {\"header_bytes_max\": 100, \"idle_timeout_ms\": 5},"
	" \"routes\": ["
	"{\"host\": \"h.example\", \"prefix\": \"/x/\", \"service\": \"a\","
	" \"repeat\": \"once\", \"timeout_ms\": 50},"
	"{\"host\": \"h.example\", \"prefix\": \"/x/y/\", \"service\": \"b\","
	" \"repeat\": \"any\"},"
	"{\"host\": \"h.example\", \"prefix\": \"/s/\","
	" \"shards\": [\"a\", \"b\", \"c\"], \"records_max\": 5,"
	" \"coverage_min\": 0.5, \"repeat\": \"once\"},"
	"{\"host\": \"other.example\", \"prefix\": \"/\", \"split\": ["
	"{\"service\": \"a\", \"weight\": 3}, {\"service\": \"b\","
	" \"weight\": 1}, {\"service\": \"c\", \"weight\": 0}]}]}";

static struct route_set *parse(const char *text)
{
	struct route_set *set = NULL;

	CU_ASSERT(!route_set_parse(str_from(text), &set, NULL));
	return set;
}

static const struct route *find(const struct route_set *set, const char *host,
				const char *path)
{
	return route_set_find(set, str_from(host), str_from(path));
}

static void test_find(void)
{
	struct route_set *set = parse(document);

	CU_ASSERT(set->version == 7);
	CU_ASSERT(find(set, "h.example", "/x/1") == &set->routes[0]);
	CU_ASSERT(find(set, "H.Example", "/x/y/1?q") == &set->routes[1]);
	CU_ASSERT(find(set, "h.example", "/x/yy") == &set->routes[0]);
	CU_ASSERT(!find(set, "h.example", "/x"));
	CU_ASSERT(!find(set, "h.example.org", "/x/1"));
	CU_ASSERT(find(set, "other.example", "/") == &set->routes[3]);
	route_set_unref(set);
}

static void test_members(void)
{
	struct route_set *set = parse(document);

	CU_ASSERT(!set->routes[0].repeatable);
	CU_ASSERT(set->routes[1].repeatable);
	/* Requests to shards may always run more than once. */
	CU_ASSERT(set->routes[2].repeatable);
	CU_ASSERT(!set->routes[3].repeatable);
	CU_ASSERT(set->routes[0].timeout_ms == 50);
	CU_ASSERT(set->routes[2].n_targets == 3);
	CU_ASSERT(set->routes[2].coverage_min == 0.5);
	CU_ASSERT(set->routes[1].targets[0].service->connections_max == 26);
	CU_ASSERT(set->limits.header_bytes_max == 100);
	CU_ASSERT(set->limits.idle_timeout_ms == 5);
	route_set_unref(set);
}

/*
 * An operator sends a quarter of the requests to another service. Counted over
 * a hundred requests it must be a quarter, and none go to a weight of 0.
 */
static void test_weights(void)
{
	struct route_set *set = parse(document);
	const struct route *route = &set->routes[3];
	int counts[3] = {0};
	int i;

	for (i = 0; i < 100; i++)
		counts[route_pick_target(route) - set->services]++;
	CU_ASSERT(counts[0] == 75);
	CU_ASSERT(counts[1] == 25);
	CU_ASSERT(counts[2] == 0);
	route_set_unref(set);
}

static int parse_error(const char *text, struct error *err)
{
	struct route_set *set;

	return route_set_parse(str_from(text), &set, err);
}

static void test_refused(void)
{
	struct error err;

	CU_ASSERT(parse_error("[]", &err) == ERR_SYNTAX);
	CU_ASSERT(parse_error("{\"version\": 1", &err) == ERR_SYNTAX);
	CU_ASSERT(parse_error("{\"routes\": [], \"services\": []}", &err) ==
		  ERR_KEY_MISSING);
	CU_ASSERT(parse_error("{\"version\": 1, \"services\": []}", &err) ==
		  ERR_TYPE);
	CU_ASSERT(parse_error("{\"version\": 1, \"services\": [], \"routes\":"
			      "[{\"host\": \"h\", \"prefix\": \"/\","
			      "\"service\": \"x\"}]}",
			      &err) == ERR_REFERENCE);
	CU_ASSERT_STRING_EQUAL(err.subject, "routes[0].service");
	CU_ASSERT(parse_error("{\"version\": 1, \"services\": [], \"routes\":"
			      "[{\"host\": \"h\", \"prefix\": \"/\","
			      "\"shards\": []}]}",
			      &err) == ERR_RANGE);
}

static const struct unit_test tests[] = {
	{"find", test_find},
	{"members", test_members},
	{"weights", test_weights},
	{"refused", test_refused},
};

UNIT_MAIN("routes", tests)
