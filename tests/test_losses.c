#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "json_value.h"
#include "losses.h"
#include "unit.h"

#define AT(second) "{\"time\":\"2026-05-05T13:16:" second ".552783Z\","
#define REQUEST "\"event\":\"request\",\"route\":\"r\",\"goal_ms\":100,"

static void take(struct losses *losses, const char *line)
{
	losses_add_line(losses, str_from(line));
}

/* The cause that one line is counted under. */
static enum loss_cause cause_of(const char *line)
{
	struct losses losses;
	int found = LOSS_CAUSES;
	int i;

	losses_init(&losses);
	take(&losses, line);
	for (i = 0; i < LOSS_CAUSES; i++) {
		if (losses.total.causes[i])
			found = i;
	}
	losses_finish(&losses);
	return (enum loss_cause)found;
}

static void test_answers(void)
{
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":200,\"took_us\":90000,\"parts\":20,"
			   "\"parts_in\":20,\"error\":\"none\"}") == LOSS_NONE);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":200,\"took_us\":90000,\"parts\":20,"
			   "\"parts_in\":18,\"error\":\"none\"}") ==
		  LOSS_PARTS);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":200,\"took_us\":110000,\"parts\":20,"
			   "\"parts_in\":18,\"error\":\"none\"}") == LOSS_LATE);
}

static void test_failures(void)
{
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":503,\"error\":\"no_replica\"}") ==
		  LOSS_NO_SERVER);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":502,\"error\":\"budget\"}") ==
		  LOSS_FULL);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":503,\"error\":\"overload\"}") ==
		  LOSS_OVERLOAD);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":502,\"error\":\"left_out\"}") ==
		  LOSS_OVERLOAD);
	CU_ASSERT(cause_of(AT("38") "\"event\":\"request_refused\","
				    "\"status\":503,\"why\":\"early\"}") ==
		  LOSS_EARLY);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":502,\"error\":\"lost\"}") ==
		  LOSS_BROKEN);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":504,\"error\":\"too_late\"}") ==
		  LOSS_TIMEOUT);
	CU_ASSERT(cause_of(AT("38") REQUEST
			   "\"status\":0,\"error\":\"cancelled\"}") ==
		  LOSS_LEFT);
}

static void test_refusals(void)
{
	CU_ASSERT(cause_of(AT("38") "\"event\":\"request_refused\","
				    "\"status\":503,\"why\":\"starting\"}") ==
		  LOSS_NO_ROUTES);
	CU_ASSERT(cause_of(AT("38") "\"event\":\"request_refused\","
				    "\"status\":404,\"why\":\"no_route\"}") ==
		  LOSS_REQUEST);
}

/*
 * An engineer reads the lines of two instances, behind a collector's prefix,
 * with one line cut in the middle. Each request counts once, under its second
 * and its route, and the cut line is told.
 */
static void test_tables(void)
{
	struct losses losses;
	struct json_object *root;
	struct json_object *row;

	losses_init(&losses);
	take(&losses, AT("38") "\"event\":\"store_lost\"}");
	take(&losses, "  2.6 front-1 " AT("39") REQUEST
	     "\"status\":200,\"took_us\":9,\"parts\":4,\"parts_in\":3,"
	     "\"error\":\"none\"}\n");
	take(&losses, AT("39") REQUEST "\"status\":502,\"error\":\"lost\"}");
	take(&losses, AT("40") REQUEST "\"status\":502,\"err");
	root = losses_json(&losses);
	CU_ASSERT(json_value_int(root, "lines") == 4);
	CU_ASSERT(json_value_int(root, "unreadable") == 1);
	row = json_object_object_get(json_object_object_get(root, "seconds"),
				     "2026-05-05T13:16:39");
	CU_ASSERT(json_value_int(row, "parts") == 1);
	CU_ASSERT(json_value_int(row, "broken") == 1);
	CU_ASSERT(json_value_int(row, "shards_in") == 3);
	CU_ASSERT(json_object_object_length(
			  json_object_object_get(root, "seconds")) == 2);
	row = json_object_object_get(json_object_object_get(root, "routes"),
				     "r");
	CU_ASSERT(json_value_int(row, "broken") == 1);
	json_object_put(root);
	losses_finish(&losses);
}

static const struct unit_test tests[] = {
	{"answers", test_answers},
	{"failures", test_failures},
	{"refusals", test_refusals},
	{"tables", test_tables},
};

UNIT_MAIN("losses", tests)
