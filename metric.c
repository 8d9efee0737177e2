#include "metric.h"

#include <inttypes.h>
#include <string.h>

#include <event2/buffer.h>

void metric_registry_init(struct metric_registry *registry)
{
	registry->first = NULL;
	registry->last = &registry->first;
}

void metric_init(struct metric *metric, struct metric_registry *registry,
		 enum metric_kind kind, const char *name, const char *help)
{
	memset(metric, 0, sizeof(*metric));
	metric->kind = kind;
	metric->name = name;
	metric->help = help;
	*registry->last = metric;
	registry->last = &metric->next;
}

static int bucket_of(uint64_t usec)
{
	int exponent;
	int step;
	int bucket;

	if (usec < METRIC_BUCKET_STEPS)
		return (int)usec;
	exponent = 63 - __builtin_clzll(usec);
	step = (int)(usec >> (exponent - 2)) & (METRIC_BUCKET_STEPS - 1);
	bucket = (exponent - 1) * METRIC_BUCKET_STEPS + step;
	return bucket < METRIC_BUCKETS ? bucket : METRIC_BUCKETS - 1;
}

/* The largest value that falls into a bucket, microseconds. */
static int64_t bucket_max(int bucket)
{
	int exponent = bucket / METRIC_BUCKET_STEPS + 1;
	int step = bucket % METRIC_BUCKET_STEPS;

	if (bucket < METRIC_BUCKET_STEPS)
		return bucket;
	return ((int64_t)(METRIC_BUCKET_STEPS + step + 1) << (exponent - 2)) -
	       1;
}

void metric_histogram_add(struct metric_histogram *histogram, int64_t usec)
{
	if (usec < 0)
		usec = 0;
	histogram->buckets[bucket_of((uint64_t)usec)]++;
	histogram->count++;
	histogram->sum += (uint64_t)usec;
}

int64_t metric_histogram_quantile(const struct metric_histogram *histogram,
				  double q)
{
	uint64_t rank = (uint64_t)(q * (double)histogram->count);
	uint64_t seen = 0;
	int i;

	if (!histogram->count)
		return 0;
	for (i = 0; i < METRIC_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen > rank)
			return bucket_max(i);
	}
	return bucket_max(METRIC_BUCKETS - 1);
}

static void expose_histogram(const struct metric *metric, struct evbuffer *out)
{
	const struct metric_histogram *h = &metric->histogram;
	uint64_t seen = 0;
	int i;

	for (i = 0; i < METRIC_BUCKETS; i++) {
		seen += h->buckets[i];
		if (!h->buckets[i])
			continue;
		evbuffer_add_printf(out, "%s_bucket{le=\"%.6f\"} %" PRIu64 "\n",
				    metric->name, (double)bucket_max(i) / 1e6,
				    seen);
	}
	evbuffer_add_printf(out,
			    "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
			    "%s_sum %.6f\n%s_count %" PRIu64 "\n",
			    metric->name, h->count, metric->name,
			    (double)h->sum / 1e6, metric->name, h->count);
}

void metric_expose(const struct metric_registry *registry, struct evbuffer *out)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	const struct metric *m;

	for (m = registry->first; m; m = m->next) {
		evbuffer_add_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
				    m->name, m->help, m->name, kinds[m->kind]);
		if (m->kind == METRIC_HISTOGRAM)
			expose_histogram(m, out);
		else
			evbuffer_add_printf(out, "%s %" PRId64 "\n", m->name,
					    m->value);
	}
}
