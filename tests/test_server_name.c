#include <string.h>

#include "error.h"
#include "registry.h"
#include "server_name.h"
#include "unit.h"

/* Guards against a set that leaves out names which servers have. */
static void test_names_of_servers(void)
{
	char name[REGISTRY_NAME_SIZE - 1];

	CU_ASSERT(!server_name_check(STR("i-7f3a91c2")));
	CU_ASSERT(!server_name_check(STR("I_0.a~b:8080@dc-1")));
	CU_ASSERT(!server_name_check(STR("7")));
	memset(name, 'i', sizeof(name));
	CU_ASSERT(!server_name_check((struct str){name, sizeof(name)}));
}

/* Guards against a name that ends, or adds to, a head, a target or a line. */
static void test_other_bytes(void)
{
	static const char used[] = "-._~:@";
	char name[] = "a?b";
	int c;

	for (c = 0; c < 256; c++) {
		bool is_alnum = (c >= '0' && c <= '9') ||
				(c >= 'A' && c <= 'Z') ||
				(c >= 'a' && c <= 'z');
		bool is_used = is_alnum || memchr(used, c, sizeof(used) - 1);

		name[1] = (char)c;
		CU_ASSERT_EQUAL(server_name_check((struct str){name, 3}),
				is_used ? 0 : ERR_NAME);
		CU_ASSERT_EQUAL(server_name_check((struct str){name + 1, 1}),
				is_used ? 0 : ERR_NAME);
	}
}

static void test_length(void)
{
	char name[REGISTRY_NAME_SIZE];

	CU_ASSERT(server_name_check(STR("")) == ERR_RANGE);
	memset(name, 'i', sizeof(name));
	CU_ASSERT(server_name_check((struct str){name, sizeof(name)}) ==
		  ERR_RANGE);
}

static const struct unit_test tests[] = {
	{"names of servers", test_names_of_servers},
	{"other bytes", test_other_bytes},
	{"length", test_length},
};

UNIT_MAIN("server name", tests)
