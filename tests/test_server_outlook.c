#include "server_outlook.h"

#include "clock.h"
#include "unit.h"

#define START MSEC(1000)
#define USUAL 10000.0

static void test_levels(void)
{
	CU_ASSERT(server_estimate_level(-1) == 0);
	CU_ASSERT(server_estimate_level(0) == 0);
	CU_ASSERT(server_estimate_level(2) == 2);
	CU_ASSERT(server_estimate_level(99) == ESTIMATE_LEVELS - 1);
}

/* Nothing was told: a server is never taken for busy. */
static void test_unknown(void)
{
	struct server_estimate outlook = {.pace = 0};

	CU_ASSERT(server_estimate_wait(&outlook, 0, START) == 0);
	CU_ASSERT(server_estimate_processing_time(&outlook, USUAL, START) ==
		  USUAL);
}

static void test_work_drains(void)
{
	struct server_estimate outlook = {.pace = 0};

	server_estimate_set_wait(&outlook, 1, MSEC(50), START);
	CU_ASSERT(server_estimate_wait(&outlook, 1, START) == MSEC(50));
	CU_ASSERT(server_estimate_wait(&outlook, 1, START + MSEC(20)) ==
		  MSEC(30));
	CU_ASSERT(server_estimate_wait(&outlook, 1, START + MSEC(60)) == 0);
	CU_ASSERT(server_estimate_wait(&outlook, 0, START) == 0);
}

/* A server that was slow and gets no requests is tried again. */
static void test_pace_fades(void)
{
	struct server_estimate outlook = {.pace = 0};
	double soon;
	double late;

	server_estimate_add_report(&outlook, 8 * USUAL, START);
	CU_ASSERT(server_estimate_processing_time(&outlook, USUAL, START) ==
		  8 * USUAL);
	soon = server_estimate_processing_time(&outlook, USUAL,
					       START + MSEC(500));
	late = server_estimate_processing_time(&outlook, USUAL,
					       START + MSEC(10000));
	CU_ASSERT(soon > 5 * USUAL && soon < 8 * USUAL);
	CU_ASSERT(late < 1.1 * USUAL);
}

/* A peer may tell any number. */
static void test_odd_figures(void)
{
	struct server_estimate outlook = {.pace = 0};

	server_estimate_set_wait(&outlook, 0, -5, START);
	CU_ASSERT(server_estimate_wait(&outlook, 0, START) == 0);
	server_estimate_set_wait(&outlook, 0, INT64_MAX, START);
	CU_ASSERT(server_estimate_wait(&outlook, 0, START) <= MSEC(10000));
	server_estimate_add_report(&outlook, 0, START);
	CU_ASSERT(server_estimate_processing_time(&outlook, USUAL, START) ==
		  USUAL);
}

static const struct unit_test tests[] = {
	{"levels", test_levels},	   {"unknown", test_unknown},
	{"work drains", test_work_drains}, {"pace fades", test_pace_fades},
	{"odd figures", test_odd_figures},
};

UNIT_MAIN("server_outlook", tests)
