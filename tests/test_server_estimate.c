#include "server_estimate.h"

#include "clock.h"
#include "unit.h"

#define START MSEC(1000)
#define BASELINE 10000.0

static void test_levels(void)
{
	CU_ASSERT(server_estimate_level(-1) == 0);
	CU_ASSERT(server_estimate_level(0) == 0);
	CU_ASSERT(server_estimate_level(2) == 2);
	CU_ASSERT(server_estimate_level(99) == ESTIMATE_LEVELS - 1);
}

/* Without reports, a server must not be considered busy. */
static void test_unknown(void)
{
	struct server_estimate estimate = {.processing_time = 0};

	CU_ASSERT(server_estimate_wait(&estimate, 0, START) == 0);
	CU_ASSERT(server_estimate_processing_time(&estimate, BASELINE, START) ==
		  BASELINE);
}

static void test_wait_decreases(void)
{
	struct server_estimate estimate = {.processing_time = 0};

	server_estimate_set_wait(&estimate, 1, MSEC(50), START);
	CU_ASSERT(server_estimate_wait(&estimate, 1, START) == MSEC(50));
	CU_ASSERT(server_estimate_wait(&estimate, 1, START + MSEC(20)) ==
		  MSEC(30));
	CU_ASSERT(server_estimate_wait(&estimate, 1, START + MSEC(60)) == 0);
	CU_ASSERT(server_estimate_wait(&estimate, 0, START) == 0);
}

/* A server that was slow and gets no requests must be tried again. */
static void test_processing_time_decays(void)
{
	struct server_estimate estimate = {.processing_time = 0};
	double soon;
	double late;

	server_estimate_add_report(&estimate, 8 * BASELINE, START);
	CU_ASSERT(server_estimate_processing_time(&estimate, BASELINE, START) ==
		  8 * BASELINE);
	soon = server_estimate_processing_time(&estimate, BASELINE,
					       START + MSEC(500));
	late = server_estimate_processing_time(&estimate, BASELINE,
					       START + MSEC(10000));
	CU_ASSERT(soon > 5 * BASELINE && soon < 8 * BASELINE);
	CU_ASSERT(late < 1.1 * BASELINE);
}

/* Peers may report any value. */
static void test_out_of_range(void)
{
	struct server_estimate estimate = {.processing_time = 0};

	server_estimate_set_wait(&estimate, 0, -5, START);
	CU_ASSERT(server_estimate_wait(&estimate, 0, START) == 0);
	server_estimate_set_wait(&estimate, 0, INT64_MAX, START);
	CU_ASSERT(server_estimate_wait(&estimate, 0, START) <= MSEC(10000));
	server_estimate_add_report(&estimate, 0, START);
	CU_ASSERT(server_estimate_processing_time(&estimate, BASELINE, START) ==
		  BASELINE);
}

static const struct unit_test tests[] = {
	{"levels", test_levels},
	{"unknown", test_unknown},
	{"wait decreases", test_wait_decreases},
	{"processing time decays", test_processing_time_decays},
	{"out of range", test_out_of_range},
};

UNIT_MAIN("server_estimate", tests)
