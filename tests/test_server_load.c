#include "clock.h"
#include "error.h"
#include "server_load.h"
#include "unit.h"

#define NOW MSEC(1000000)

static int parse(const char *text, struct server_load *load)
{
	return server_load_parse(str_from(text), load);
}

static void test_figures(void)
{
	struct server_load load = {.at = NOW};

	CU_ASSERT(!parse("3,0,8", &load));
	CU_ASSERT(load.running == 3 && !load.waiting && load.slots == 8);
	CU_ASSERT(load.pace == SERVER_SLOWDOWN_NONE);
	CU_ASSERT(!parse(" 2 , 11 ,2,\t400 ", &load));
	CU_ASSERT(load.running == 2 && load.waiting == 11 && load.slots == 2);
	CU_ASSERT(load.pace == 400);
}

/*
 * A server, or whatever answers at its address, says nonsense of its load. What
 * was known before stays, and no figure that cannot be is chosen by.
 */
static void test_nonsense(void)
{
	static const char *const texts[] = {
		"",
		"3",
		"3,0",
		"3,0,8,100,1",
		"3,,8",
		"a,0,8",
		"3,0,8,",
		"-1,0,8",
		"3,0,8,-100",
		"3.5,0,8",
		"3,0,0",
		"3,0,8,0",
		"3,0,8,99999",
		"1234567,0,8",
		"99999999999999999999,0,8",
		"3;0;8",
		"0x3,0,8",
		"3,0,8,+100",
	};
	struct server_load load = {.running = 1, .pace = 150, .at = NOW};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		CU_ASSERT(parse(texts[i], &load) < 0);
		CU_ASSERT(load.running == 1 && load.pace == 150);
		CU_ASSERT(load.at == NOW);
	}
}

static const struct unit_test tests[] = {
	{"figures", test_figures},
	{"nonsense", test_nonsense},
};

UNIT_MAIN("server_load", tests)
