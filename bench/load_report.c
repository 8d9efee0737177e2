#include "load_report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"

struct quantile {
	const char *name;
	double fraction;
};

static const struct quantile quantiles[] = {
	{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"max", 1},
};

#define N_QUANTILES (sizeof(quantiles) / sizeof(quantiles[0]))

void load_samples_add(struct load_samples *samples, int64_t usec)
{
	MEM_GROW(samples->values, samples->n, samples->cap);
	samples->values[samples->n++] = usec;
}

void load_samples_finish(struct load_samples *samples)
{
	free(samples->values);
	memset(samples, 0, sizeof(*samples));
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Nearest-rank quantile of sorted samples. */
static int64_t quantile_value(const struct load_samples *samples,
			      double fraction)
{
	size_t rank = (size_t)(fraction * (double)samples->n);

	if ((double)rank < fraction * (double)samples->n)
		rank++;
	return samples->values[rank ? rank - 1 : 0];
}

struct json_object *load_samples_json(struct load_samples *samples)
{
	struct json_object *out = json_object_new_object();
	size_t i;

	json_object_object_add(out, "n", json_object_new_uint64(samples->n));
	if (!samples->n)
		return out;
	qsort(samples->values, samples->n, sizeof(*samples->values), compare);
	for (i = 0; i < N_QUANTILES; i++)
		json_object_object_add(out, quantiles[i].name,
				       json_object_new_int64(quantile_value(
					       samples,
					       quantiles[i].fraction)));
	return out;
}

static void init_totals(struct load_totals *totals)
{
	memset(totals, 0, sizeof(*totals));
	totals->ratio_min = 1;
}

static void finish_totals(struct load_totals *totals)
{
	load_samples_finish(&totals->latency);
	load_samples_finish(&totals->run_latency);
	load_samples_finish(&totals->other_latency);
}

void load_report_init(struct load_report *report, bool has_intervals)
{
	init_totals(&report->overall);
	init_totals(&report->interval);
	report->has_intervals = has_intervals;
}

void load_report_finish(struct load_report *report)
{
	finish_totals(&report->overall);
	finish_totals(&report->interval);
}

static void add_coverage(struct load_totals *totals,
			 const struct load_answer *answer)
{
	double ratio = 1;

	if (!answer->has_coverage)
		return;
	if (answer->total)
		ratio = (double)answer->covered / (double)answer->total;
	totals->n_with_coverage++;
	totals->ratio_sum += ratio;
	if (ratio < totals->ratio_min)
		totals->ratio_min = ratio;
	totals->insufficient += !answer->sufficient;
}

static void add_work(struct load_work *sum, const struct load_work *work)
{
	sum->homes += work->homes;
	sum->requests += work->requests;
	sum->hedges += work->hedges;
	sum->retries += work->retries;
	sum->restarts += work->restarts;
}

static void add_wrong(struct load_totals *totals, const char *what)
{
	if (!what)
		return;
	totals->wrong++;
	if (!totals->first_wrong)
		totals->first_wrong = what;
}

static void add_final(struct load_totals *totals,
		      const struct load_attempt *attempt)
{
	if (attempt->is_run) {
		totals->runs_by_outcome[attempt->outcome]++;
		if (attempt->outcome == LOAD_DONE)
			load_samples_add(&totals->run_latency, attempt->usec);
		return;
	}
	totals->by_outcome[attempt->outcome]++;
	if (attempt->outcome != LOAD_DONE) {
		load_samples_add(&totals->other_latency, attempt->usec);
		return;
	}
	load_samples_add(&totals->latency, attempt->usec);
	add_coverage(totals, attempt->answer);
}

static void add_attempt(struct load_totals *totals,
			const struct load_attempt *attempt)
{
	totals->attempts++;
	totals->by_status[attempt->status]++;
	add_wrong(totals, attempt->wrong);
	if (attempt->answer)
		add_work(&totals->work, &attempt->answer->work);
	if (attempt->is_final)
		add_final(totals, attempt);
}

void load_report_sent(struct load_report *report)
{
	report->overall.sent++;
	report->interval.sent++;
}

void load_report_attempt(struct load_report *report,
			 const struct load_attempt *attempt)
{
	add_attempt(&report->overall, attempt);
	if (report->has_intervals)
		add_attempt(&report->interval, attempt);
}

void load_report_wrong(struct load_report *report, const char *what)
{
	add_wrong(&report->overall, what);
	add_wrong(&report->interval, what);
}

static void put_u64(struct json_object *out, const char *key, uint64_t value)
{
	json_object_object_add(out, key, json_object_new_uint64(value));
}

static struct json_object *outcomes_json(const uint64_t *by_outcome)
{
	struct json_object *out = json_object_new_object();
	int i;

	for (i = 0; i < LOAD_N_OUTCOMES; i++) {
		if (by_outcome[i])
			put_u64(out, load_outcome_name(i), by_outcome[i]);
	}
	return out;
}

static struct json_object *statuses_json(const uint64_t *by_status)
{
	struct json_object *out = json_object_new_object();
	char key[8];
	int i;

	for (i = 1; i < LOAD_STATUS_MAX; i++) {
		if (!by_status[i])
			continue;
		snprintf(key, sizeof(key), "%d", i);
		put_u64(out, key, by_status[i]);
	}
	return out;
}

static struct json_object *coverage_json(const struct load_totals *totals)
{
	struct json_object *out = json_object_new_object();
	double mean = 0;

	if (totals->n_with_coverage)
		mean = totals->ratio_sum / (double)totals->n_with_coverage;
	put_u64(out, "n", totals->n_with_coverage);
	json_object_object_add(out, "mean", json_object_new_double(mean));
	json_object_object_add(out, "min",
			       json_object_new_double(totals->ratio_min));
	put_u64(out, "insufficient", totals->insufficient);
	return out;
}

static struct json_object *work_json(const struct load_work *work)
{
	struct json_object *out = json_object_new_object();

	put_u64(out, "homes", work->homes);
	put_u64(out, "requests", work->requests);
	put_u64(out, "hedges", work->hedges);
	put_u64(out, "retries", work->retries);
	put_u64(out, "restarts", work->restarts);
	return out;
}

static struct json_object *totals_json(struct load_totals *totals)
{
	struct json_object *out = json_object_new_object();

	put_u64(out, "sent", totals->sent);
	put_u64(out, "attempts", totals->attempts);
	json_object_object_add(out, "outcomes",
			       outcomes_json(totals->by_outcome));
	json_object_object_add(out, "runs",
			       outcomes_json(totals->runs_by_outcome));
	json_object_object_add(out, "status", statuses_json(totals->by_status));
	json_object_object_add(out, "latency_us",
			       load_samples_json(&totals->latency));
	json_object_object_add(out, "run_latency_us",
			       load_samples_json(&totals->run_latency));
	json_object_object_add(out, "other_latency_us",
			       load_samples_json(&totals->other_latency));
	json_object_object_add(out, "coverage", coverage_json(totals));
	put_u64(out, "wrong", totals->wrong);
	if (totals->first_wrong)
		json_object_object_add(out, "first_wrong",
				       json_object_new_string(
					       totals->first_wrong));
	json_object_object_add(out, "work", work_json(&totals->work));
	return out;
}

struct json_object *load_report_interval(struct load_report *report)
{
	struct json_object *out = totals_json(&report->interval);

	finish_totals(&report->interval);
	init_totals(&report->interval);
	return out;
}

struct json_object *load_report_overall(struct load_report *report)
{
	return totals_json(&report->overall);
}
