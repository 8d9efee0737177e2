#include <string.h>

#include "settings.h"
#include "table.h"
#include "unit.h"

static const char good[] =
	"// a comment\n"
	"{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"be\"]]},\n"
	" \"services\":{\"columns\":[\"name\",\"market\",\"mode\"],\n"
	"  \"rows\":[[\"desk\",\"be\",\"coverage\"]]},\n"
	" \"servers\":{\"columns\":[\"name\",\"service\",\"data_centre\","
	"\"address\",\"slots\"],\n"
	"  \"rows\":[[\"b1\",\"desk\",\"be1\",\"127.0.0.1:9000\",2],\n"
	"            [\"b2\",\"desk\",\"be2\",\"127.0.0.1:9001\",3]]},\n"
	" \"tunables\":{\"columns\":[\"name\",\"value\"],"
	"\"rows\":[[\"lease_ms\",700]]}}\n";

static int load(struct table *table, const char *text, struct error *err)
{
	return table_init(table, text, strlen(text), 7, err);
}

/* The good table with one piece replaced. */
static int load_with(const char *from, const char *to, struct error *err)
{
	char text[2048];
	const char *at = strstr(good, from);
	struct table table;
	int ret;

	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - good), good, to,
		 at + strlen(from));
	ret = load(&table, text, err);
	if (!ret)
		table_finish(&table);
	return ret;
}

static void test_good(void)
{
	struct table table;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(load(&table, good, &err), 0);
	CU_ASSERT_EQUAL(table.n_servers, 2);
	CU_ASSERT_EQUAL(table.servers[1].slots, 3);
	CU_ASSERT_EQUAL(table.servers[1].connections, 25);
	CU_ASSERT_EQUAL(table.services[0].n_servers, 2);
	CU_ASSERT_EQUAL(table.services[0].mode, SERVICE_COVERAGE);
	CU_ASSERT_EQUAL(table.tunables.lease_ms, 700);
	CU_ASSERT_EQUAL(table_find_service(&table, STR("desk")), 0);
	CU_ASSERT_EQUAL(table_find_server(&table, STR("b2")), 1);
	CU_ASSERT_EQUAL(table_find_server(&table, STR("b3")), ERR_REFERENCE);
	table_finish(&table);
}

static void check(const char *from, const char *to, int code,
		  const char *subject)
{
	struct error err = {0};

	CU_ASSERT_EQUAL(load_with(from, to, &err), code);
	CU_ASSERT_STRING_EQUAL(err.subject, subject);
}

/*
 * An operator mistypes one cell. The whole table is refused and the message
 * names the sheet, the row and the column, so that the cell is found at once.
 */
static void test_bad_cells(void)
{
	check("9001\",3", "9001\",0", ERR_RANGE, "servers row 2 column slots");
	check("9001\",3", "9001\",\"x\"", ERR_TYPE,
	      "servers row 2 column slots");
	check("127.0.0.1:9001", "host:9001", ERR_ADDRESS,
	      "servers row 2 column address");
	check("\"b2\"", "\"b1\"", ERR_DUPLICATE, "servers row 2 column name");
	check("\"b2\",\"desk\"", "\"b2\",\"dusk\"", ERR_REFERENCE,
	      "servers row 2 column service");
	check("\"slots\"", "\"slits\"", ERR_KEY_UNKNOWN, "servers columns");
	check("lease_ms", "leash_ms", ERR_KEY_UNKNOWN, "tunables row 1");
	check("700", "7", ERR_RANGE, "tunables row 1 column value");
	check(",3]", "]", ERR_RANGE, "servers row 2");
	check("[\"lease_ms\",700]", "[\"lease_ms\",700],[\"lease_ms\",800]",
	      ERR_DUPLICATE, "tunables row 2 column name");
	check("[\"name\",\"value\"]", "[\"value\",\"name\"]", ERR_KEY_UNKNOWN,
	      "tunables columns");
	check("\"tunables\"", "\"turntables\"", ERR_KEY_UNKNOWN, "turntables");
}

static void test_syntax_line(void)
{
	struct error err = {0};

	CU_ASSERT_EQUAL(load_with("[\"b2\"", "[\"b2\" \"b3\"", &err),
			ERR_SYNTAX);
	CU_ASSERT_EQUAL(err.line, 7);
	CU_ASSERT_EQUAL(load_with("700]]}}", "700]]}} x", &err), ERR_SYNTAX);
	CU_ASSERT_EQUAL(load_with("700]]}}", "700]]}} // x", &err), 0);
	CU_ASSERT_EQUAL(load_with("700]]}}", "700]]}", &err), ERR_SYNTAX);
}

static int load_settings(const char *text, struct error *err)
{
	struct settings settings;
	int ret = settings_init(&settings, text, strlen(text), err);

	if (!ret)
		settings_finish(&settings);
	return ret;
}

#define ADDRESSES                                                              \
	"\"caller_address\":\"127.0.0.1:1\",\"peer_address\":\"127.0.0.1:2\","

static void test_settings(void)
{
	struct error err = {0};

	CU_ASSERT_EQUAL(load_settings("{\"instance\":\"a\",\"data_centre\":"
				      "\"d\"," ADDRESSES
				      "\"platform_addresses\":["
				      "\"127.0.0.1:3\"]}",
				      &err),
			0);
	CU_ASSERT_EQUAL(load_settings("{\"instance\":\"a\"}", &err),
			ERR_KEY_MISSING);
	CU_ASSERT_STRING_EQUAL(err.subject, "data_centre");
	CU_ASSERT_EQUAL(load_settings("{\"instanse\":\"a\"}", &err),
			ERR_KEY_UNKNOWN);
	CU_ASSERT_EQUAL(load_settings("{\"instance\":7}", &err), ERR_TYPE);
	CU_ASSERT_EQUAL(load_settings("{\"platform_addresses\":[\"x\"]}", &err),
			ERR_ADDRESS);
	CU_ASSERT_STRING_EQUAL(err.subject, "platform_addresses[0]");
}

static const struct unit_test tests[] = {
	{"good table", test_good},
	{"bad cells", test_bad_cells},
	{"syntax error line", test_syntax_line},
	{"settings", test_settings},
};

UNIT_MAIN("table", tests)
