/* Runs the tests of a CUnit program as one suite. */
#ifndef UNIT_H
#define UNIT_H

#include <CUnit/Basic.h>

struct unit_test {
	const char *name;
	void (*run)(void);
};

static inline int unit_main(const char *suite_name,
			    const struct unit_test *tests, int n)
{
	unsigned failures;
	CU_pSuite suite;
	int i;

	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	suite = CU_add_suite(suite_name, NULL, NULL);
	for (i = 0; i < n; i++) {
		if (!CU_add_test(suite, tests[i].name, tests[i].run))
			return 1;
	}
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}

#define UNIT_MAIN(suite, tests)                                                \
	int main(void)                                                         \
	{                                                                      \
		return unit_main(suite, tests,                                 \
				 (int)(sizeof(tests) / sizeof(*(tests))));     \
	}

#endif
