#include "resource_plan.h"
#include "unit.h"

#define MB ((size_t)1024 * 1024)
#define MEMORY (260 * MB)
#define LONGEST_ANSWER (8 * MB)
#define DESCRIPTORS 4100
/* Of them, those that sockets can't use. */
#define FILES 200

/* Guards against shares that together exceed the process's memory. */
static void test_memory_adds_up(void)
{
	struct memory_plan plan;
	size_t sum;

	memory_plan_init(&plan, MEMORY);
	sum = plan.requests + plan.answers_read + plan.answers_sent +
	      plan.unread + plan.pages + plan.peers + plan.relayed;
	CU_ASSERT(sum <= MEMORY * 4 / 5);
	CU_ASSERT(plan.answers_read > 2 * LONGEST_ANSWER);
	CU_ASSERT(plan.answers_sent > 2 * LONGEST_ANSWER);
}

/* Guards against callers that take what servers and instances need. */
static void test_descriptors_add_up(void)
{
	struct descriptor_plan plan;
	int sum;

	descriptor_plan_init(&plan, DESCRIPTORS);
	sum = plan.callers + plan.directory + 3 * plan.page + plan.strangers;
	CU_ASSERT(sum <= (DESCRIPTORS - FILES) * 3 / 4);
	CU_ASSERT(plan.callers >= DESCRIPTORS / 2);
	CU_ASSERT(plan.page > 0);
}

static void test_unlimited_descriptors(void)
{
	struct descriptor_plan plan;

	descriptor_plan_init(&plan, 0);
	CU_ASSERT(plan.callers >= 2000);
}

static const struct unit_test tests[] = {
	{"shares of memory add up to less than all", test_memory_adds_up},
	{"shares of descriptors add up to less than all",
	 test_descriptors_add_up},
	{"no limit on descriptors", test_unlimited_descriptors},
};

UNIT_MAIN("resource_plan", tests)
