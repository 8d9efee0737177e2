/* Statistics of a whole run and of each interval, printed as JSON lines. */
#ifndef BENCH_LOAD_REPORT_H
#define BENCH_LOAD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "load_answer.h"

struct json_object;

#define LOAD_STATUS_MAX 600

/**
 * struct load_samples - durations, sorted on output
 * @values: microseconds
 * @n: number of @values
 * @cap: allocated number of @values
 */
struct load_samples {
	int64_t *values;
	size_t n;
	size_t cap;
};

void load_samples_add(struct load_samples *samples, int64_t usec);
void load_samples_finish(struct load_samples *samples);

/**
 * load_samples_json() - sample count, p50, p90, p99, p99.9 and max
 * @samples: may be empty
 *
 * Sorts the samples.
 *
 * Return: an object that the caller releases.
 */
struct json_object *load_samples_json(struct load_samples *samples);

/**
 * struct load_attempt - the end of one attempt at a request
 * @is_final: the request has finished; else it continues after this attempt
 * @is_run: a run, which is not idempotent; else a search
 * @usec: time since the intended start of the request
 * @status: HTTP status, 0 without a response
 * @outcome: that of the answer, or why there is none
 * @answer: the parsed answer; its coverage counts only if it is final and done
 * @wrong: constant name of a mismatch, see load_answer_check(), or NULL
 */
struct load_attempt {
	bool is_final;
	bool is_run;
	int64_t usec;
	int status;
	enum load_outcome outcome;
	const struct load_answer *answer;
	const char *wrong;
};

/**
 * struct load_totals - statistics of a run or an interval
 * @sent: requests started
 * @attempts: attempts finished
 * @by_outcome: searches, by final outcome
 * @runs_by_outcome: runs, by final outcome
 * @by_status: attempts, by HTTP status
 * @latency: of searches that were done
 * @run_latency: of runs that were done
 * @other_latency: of searches with any other outcome
 * @ratio_sum: sum of the coverage ratios
 * @ratio_min: least coverage ratio
 * @n_with_coverage: answers in @ratio_sum
 * @insufficient: those among them without sufficient coverage
 * @wrong: answers that failed a check
 * @first_wrong: name of the first failed check, or NULL
 * @work: sum over all answers
 */
struct load_totals {
	uint64_t sent;
	uint64_t attempts;
	uint64_t by_outcome[LOAD_N_OUTCOMES];
	uint64_t runs_by_outcome[LOAD_N_OUTCOMES];
	uint64_t by_status[LOAD_STATUS_MAX];
	struct load_samples latency;
	struct load_samples run_latency;
	struct load_samples other_latency;
	double ratio_sum;
	double ratio_min;
	uint64_t n_with_coverage;
	uint64_t insufficient;
	uint64_t wrong;
	const char *first_wrong;
	struct load_work work;
};

/**
 * struct load_report - statistics of a run
 * @overall: totals of the whole run
 * @interval: totals since the last load_report_interval()
 * @has_intervals: attempts are counted in @interval too
 */
struct load_report {
	struct load_totals overall;
	struct load_totals interval;
	bool has_intervals;
};

void load_report_init(struct load_report *report, bool has_intervals);
void load_report_finish(struct load_report *report);
void load_report_sent(struct load_report *report);
void load_report_attempt(struct load_report *report,
			 const struct load_attempt *attempt);

/**
 * load_report_wrong() - count a failed check that belongs to no attempt
 * @report: to update
 * @what: constant name of the mismatch
 */
void load_report_wrong(struct load_report *report, const char *what);

/**
 * load_report_interval() - the interval's totals, which are then reset
 * @report: whose interval ends
 *
 * Return: an object that the caller releases.
 */
struct json_object *load_report_interval(struct load_report *report);

/**
 * load_report_overall() - totals of the whole run
 * @report: unchanged, except that samples are sorted
 *
 * Return: an object that the caller releases.
 */
struct json_object *load_report_overall(struct load_report *report);

#endif
