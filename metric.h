/* Counters, gauges and latency histograms in the Prometheus text format. */
#ifndef METRIC_H
#define METRIC_H

#include <stdint.h>

struct evbuffer;

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

/*
 * Each power of two is split into four histogram buckets, from 1 us to about
 * 67 s: the true value is at most a fifth below the quantile returned.
 */
#define METRIC_BUCKET_STEPS 4
#define METRIC_BUCKETS (26 * METRIC_BUCKET_STEPS + 1)

/**
 * struct metric_histogram - latencies by bucket
 * @buckets: number of values in each
 * @count: number of values
 * @sum: sum of the values, microseconds
 */
struct metric_histogram {
	uint64_t buckets[METRIC_BUCKETS];
	uint64_t count;
	uint64_t sum;
};

/**
 * struct metric - one exported metric
 * @kind: counter, gauge or histogram
 * @name: with the unit as suffix, as in garnetreach_queries_total; not owned
 * @help: help text of one line; not owned
 * @value: value of a counter or gauge
 * @histogram: values of a histogram, microseconds
 * @next: in the registry
 */
struct metric {
	enum metric_kind kind;
	const char *name;
	const char *help;
	int64_t value;
	struct metric_histogram histogram;
	struct metric *next;
};

/**
 * struct metric_registry - metrics in the order they are exported
 * @first: first metric, or NULL
 * @last: where to link the next metric
 */
struct metric_registry {
	struct metric *first;
	struct metric **last;
};

void metric_registry_init(struct metric_registry *registry);

/**
 * metric_init() - initialise a metric and add it to a registry
 * @metric: owned by the caller, outlives the registry
 * @name: outlives the metric
 * @help: outlives the metric
 */
void metric_init(struct metric *metric, struct metric_registry *registry,
		 enum metric_kind kind, const char *name, const char *help);

static inline void metric_add(struct metric *metric, int64_t n)
{
	metric->value += n;
}

static inline void metric_inc(struct metric *metric)
{
	metric->value++;
}

static inline void metric_set(struct metric *metric, int64_t value)
{
	metric->value = value;
}

/**
 * metric_histogram_add() - add a value
 * @usec: microseconds; a negative value counts as 0
 */
void metric_histogram_add(struct metric_histogram *histogram, int64_t usec);

/**
 * metric_histogram_quantile() - upper bound of a quantile
 * @q: 0 to 1
 *
 * Return: microseconds; 0 for an empty histogram.
 */
int64_t metric_histogram_quantile(const struct metric_histogram *histogram,
				  double q);

/**
 * metric_expose() - append all metrics in the text format
 *
 * Histogram buckets without values are left out.
 */
void metric_expose(const struct metric_registry *registry,
		   struct evbuffer *out);

#endif
