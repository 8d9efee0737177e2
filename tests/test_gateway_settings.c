#include <string.h>

#include "gateway_settings.h"
#include "unit.h"

#define ADDRESSES                                                              \
	"\"caller_address\": \"127.0.0.1:1\", \"ready_address\":"              \
	"\"127.0.0.1:2\", \"directory_address\": \"127.0.0.1:3\","             \
	"\"control_address\": \"127.0.0.1:4\", \"store_address\":"             \
	"\"127.0.0.1:5\""
#define SETTINGS_HEAD                                                          \
	"{ // comment\n\"instance\": \"i\", \"data_centre\": \"d\"," ADDRESSES

static int read_text(const char *text, struct gateway_settings *settings,
		     struct error *err)
{
	return gateway_settings_init(settings, text, strlen(text), err);
}

static void test_read(void)
{
	struct gateway_settings settings;

	CU_ASSERT(!read_text(SETTINGS_HEAD
			     ", \"peer_ports\": [7, 9], \"seeds\": "
			     "[\"127.0.0.1:8\"], \"cpu_quota\": null,"
			     "\"retry_ratio\": 0.2}",
			     &settings, NULL));
	CU_ASSERT_STRING_EQUAL(settings.instance, "i");
	CU_ASSERT(settings.store_address.port == 5);
	CU_ASSERT(settings.peer_ports[0] == 7);
	CU_ASSERT(settings.n_seeds == 1 && settings.seeds[0].port == 8);
	CU_ASSERT(settings.retry_ratio == 0.2);
	CU_ASSERT(settings.metrics_address.port == 0);
	gateway_settings_finish(&settings);
}

static void check_error(const char *text, int code, const char *subject)
{
	struct gateway_settings settings;
	struct error err = {.code = ERR_NONE};

	CU_ASSERT(read_text(text, &settings, &err) == code);
	CU_ASSERT_STRING_EQUAL(err.subject, subject);
}

static void test_refused(void)
{
	check_error(SETTINGS_HEAD "}", ERR_KEY_MISSING, "peer_ports");
	check_error(SETTINGS_HEAD ", \"peer_ports\": [7]}", ERR_TYPE,
		    "peer_ports");
	check_error(SETTINGS_HEAD ", \"peer_ports\": [0, 9]}", ERR_RANGE,
		    "peer_ports");
	check_error(SETTINGS_HEAD
		    ", \"peer_ports\": [7, 9], \"seeds\": [\"x\"]}",
		    ERR_ADDRESS, "seeds[0]");
	check_error(SETTINGS_HEAD ", \"peer_ports\": [7, 9], \"what\": 1}",
		    ERR_KEY_UNKNOWN, "what");
	check_error("{\"instance\": \"i\"}", ERR_KEY_MISSING, "data_centre");
}

static void test_load_control(void)
{
	struct gateway_settings settings;

	CU_ASSERT(!read_text(SETTINGS_HEAD ", \"peer_ports\": [7, 9]}",
			     &settings, NULL));
	CU_ASSERT(!settings.load_control.priorities &&
		  !settings.load_control.turns);
	gateway_settings_finish(&settings);
	CU_ASSERT(!read_text(SETTINGS_HEAD ", \"peer_ports\": [7, 9], "
					   "\"load_control\": [\"priorities\", "
					   "\"left_out\"]}",
			     &settings, NULL));
	CU_ASSERT(settings.load_control.priorities);
	CU_ASSERT(settings.load_control.left_out);
	CU_ASSERT(!settings.load_control.returns &&
		  !settings.load_control.turns && !settings.load_control.pace);
	gateway_settings_finish(&settings);
	check_error(SETTINGS_HEAD
		    ", \"peer_ports\": [7, 9], \"load_control\": true}",
		    ERR_TYPE, "load_control");
	check_error(SETTINGS_HEAD
		    ", \"peer_ports\": [7, 9], \"load_control\": [\"turn\"]}",
		    ERR_RANGE, "load_control");
}

/* Names and ports in use must not change at run time; other settings do. */
static void test_update(void)
{
	struct gateway_settings settings;
	struct gateway_settings next;

	CU_ASSERT(!read_text(SETTINGS_HEAD ", \"peer_ports\": [7, 9]}",
			     &settings, NULL));
	CU_ASSERT(!read_text("{\"instance\": \"other\", \"data_centre\": "
			     "\"d\"," ADDRESSES ", \"peer_ports\": [1, 2],"
			     "\"seeds\": [\"127.0.0.1:8\"], \"retry_slack\":"
			     "77}",
			     &next, NULL));
	gateway_settings_update(&settings, &next);
	gateway_settings_finish(&next);
	CU_ASSERT_STRING_EQUAL(settings.instance, "i");
	CU_ASSERT(settings.peer_ports[0] == 7);
	CU_ASSERT(settings.n_seeds == 1);
	CU_ASSERT(settings.retry_slack == 77);
	gateway_settings_finish(&settings);
}

static const struct unit_test tests[] = {
	{"valid settings are read", test_read},
	{"invalid settings are refused", test_refused},
	{"update keeps names and ports in use", test_update},
	{"mechanisms of load control", test_load_control},
};

UNIT_MAIN("gateway_settings", tests)
