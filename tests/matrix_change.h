/* The cells of the fault matrix for changes of the table. */
#ifndef MATRIX_CHANGE_H
#define MATRIX_CHANGE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * matrix_change_run() - inject every fault at every step of a table change
 * @seed: of the first run of each cell; further runs use the numbers after it
 * @seeds: runs of each cell
 * @cell: name of the only cell to run, NULL for all
 * @quiet: print failed cells only
 * @passed: increased by the number of runs that passed
 * @failed: increased by the number of runs that failed
 * @not_run: increased by the number of runs skipped because of @cell
 */
void matrix_change_run(uint64_t seed, int seeds, const char *cell, bool quiet,
		       int *passed, int *failed, int *not_run);

#endif
