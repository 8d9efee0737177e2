#include "burn.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define SHORT_WIDTH ((int64_t)30 * USEC_PER_SEC)
#define LONG_WIDTH ((int64_t)1800 * USEC_PER_SEC)

const char *const burn_window_names[] = {"5m", "1h", "6h", "3d"};
const int64_t burn_window_seconds[] = {300, 3600, 21600, 259200};
const char *const burn_state_names[] = {"full", "short", "empty",
					"rolled_over"};
const char *const burn_objective_names[] = {"latency", "coverage"};

const char *const burn_alarm_names[] = {
	[BURN_ALARM_FAST] = "slo_burn_fast",
	[BURN_ALARM_SLOW] = "slo_burn_slow",
};

void burn_target_fill(struct burn_target *target, const struct service *row)
{
	memset(target, 0, sizeof(*target));
	str_copy(target->market, sizeof(target->market), str_from(row->market));
	target->latency_ms = row->slo_latency_ms;
	target->latency_ratio = row->slo_latency_ratio;
	target->coverage_ratio = row->slo_coverage_ratio;
}

void burn_init(struct burn *burn, const struct clock *clock)
{
	memset(burn, 0, sizeof(*burn));
	burn->clock = clock;
	burn->started_at = clock_now(clock);
}

static void free_service(struct burn *burn, struct burn_service *service)
{
	HASH_DEL(burn->services, service);
	free(service->short_ring.buckets);
	free(service->long_ring.buckets);
	free(service->causes[0]);
	free(service->causes[1]);
	free(service);
}

void burn_finish(struct burn *burn)
{
	struct burn_service *service;
	struct burn_service *next;

	HASH_ITER (hh, burn->services, service, next)
		free_service(burn, service);
}

void burn_set_services_max(struct burn *burn, int64_t services_max)
{
	burn->services_max = services_max;
}

static void init_ring(struct burn_ring *ring, int n, int64_t width, int64_t now)
{
	ring->buckets = mem_zalloc((size_t)n * sizeof(*ring->buckets));
	ring->n = n;
	ring->width = width;
	ring->newest = now / width;
}

struct burn_service *burn_find(const struct burn *burn, struct str service)
{
	struct burn_service *found;

	HASH_FIND(hh, burn->services, service.data, service.len, found);
	return found;
}

/* Services that left the table make room only when it is needed. */
static bool drop_idle(struct burn *burn)
{
	int64_t idle_at = clock_now(burn->clock) -
			  burn_window_seconds[BURN_3D] * USEC_PER_SEC;
	struct burn_service *service;
	struct burn_service *next;

	HASH_ITER (hh, burn->services, service, next) {
		if (service->last_at > idle_at)
			continue;
		free_service(burn, service);
		return true;
	}
	return false;
}

static struct burn_service *put_service(struct burn *burn, struct str name)
{
	struct burn_service *service = burn_find(burn, name);
	int64_t now = clock_now(burn->clock);

	if (service || name.len >= BURN_NAME_SIZE)
		return service;
	if (HASH_COUNT(burn->services) >= burn->services_max &&
	    !drop_idle(burn))
		return NULL;
	service = mem_zalloc(sizeof(*service));
	str_copy(service->name, sizeof(service->name), name);
	init_ring(&service->short_ring, BURN_SHORT_BUCKETS, SHORT_WIDTH, now);
	init_ring(&service->long_ring, BURN_LONG_BUCKETS, LONG_WIDTH, now);
	HASH_ADD_KEYPTR(hh, burn->services, service->name, name.len, service);
	return service;
}

static struct burn_bucket *bucket_at(struct burn_ring *ring, int64_t number)
{
	return &ring->buckets[number % ring->n];
}

/*
 * A process that wakes late finds old counts in the ring's places: each place
 * that time has passed over is emptied before it is counted into or read.
 */
static void roll(struct burn_ring *ring, int64_t now)
{
	int64_t number = now / ring->width;

	if (number - ring->newest > ring->n)
		ring->newest = number - ring->n;
	while (ring->newest < number) {
		ring->newest++;
		memset(bucket_at(ring, ring->newest), 0,
		       sizeof(*ring->buckets));
	}
}

static bool is_late(const struct burn_target *target,
		    const struct burn_event *event)
{
	return event->answered && event->latency > MSEC(target->latency_ms);
}

bool burn_is_bad(const struct burn_target *target,
		 const struct burn_event *event)
{
	return !event->answered || !event->complete || is_late(target, event);
}

static void count(struct burn_ring *ring, int64_t now,
		  const struct burn_target *target,
		  const struct burn_event *event)
{
	struct burn_bucket *bucket;

	roll(ring, now);
	bucket = bucket_at(ring, ring->newest);
	bucket->total++;
	bucket->late += is_late(target, event);
	bucket->partial += event->answered && !event->complete;
	bucket->refused += !event->answered;
}

struct burn_service *burn_record(struct burn *burn, struct str service,
				 const struct burn_target *target,
				 const struct burn_event *event)
{
	struct burn_service *found = put_service(burn, service);
	int64_t now = clock_now(burn->clock);

	if (!found) {
		burn->uncounted++;
		return NULL;
	}
	found->target = *target;
	found->last_at = now;
	count(&found->short_ring, now, target, event);
	count(&found->long_ring, now, target, event);
	return found;
}

static int64_t causes_period(const struct burn *burn)
{
	return clock_now(burn->clock) / USEC_PER_SEC / BURN_CAUSES_SEC;
}

void burn_add_cause(struct burn *burn, struct burn_service *service,
		    enum burn_cause cause, struct str key, int code)
{
	int64_t period = causes_period(burn);
	struct burn_causes **causes = &service->causes[period % 2];

	if (!*causes)
		*causes = mem_zalloc(sizeof(**causes));
	if ((*causes)->period != period)
		memset(*causes, 0, sizeof(**causes));
	(*causes)->period = period;
	top_k_add(&(*causes)->top[cause], key, 1, 0, code);
}

static int window_buckets(const struct burn_ring *ring, enum burn_window window)
{
	return (int)(burn_window_seconds[window] * USEC_PER_SEC / ring->width);
}

static void sum_ring(const struct burn_ring *ring, int n,
		     struct burn_counts *counts)
{
	int64_t number;

	for (number = ring->newest - n + 1; number <= ring->newest; number++) {
		const struct burn_bucket *bucket =
			&ring->buckets[(number + ring->n) % ring->n];

		counts->total += bucket->total;
		counts->late += bucket->late;
		counts->partial += bucket->partial;
		counts->refused += bucket->refused;
	}
}

enum burn_state burn_count_window(struct burn *burn,
				  struct burn_service *service,
				  enum burn_window window,
				  struct burn_counts *counts)
{
	struct burn_ring *ring;

	memset(counts, 0, sizeof(*counts));
	if (!service)
		return BURN_EMPTY;
	ring = window <= BURN_1H ? &service->short_ring : &service->long_ring;
	roll(ring, clock_now(burn->clock));
	sum_ring(ring, window_buckets(ring, window), counts);
	if (!counts->total)
		return BURN_ROLLED_OVER;
	return burn_observed(burn, window) <
			       burn_window_seconds[window] * USEC_PER_SEC
		       ? BURN_SHORT
		       : BURN_FULL;
}

int64_t burn_observed(const struct burn *burn, enum burn_window window)
{
	int64_t age = clock_now(burn->clock) - burn->started_at;
	int64_t length = burn_window_seconds[window] * USEC_PER_SEC;

	return age < length ? age : length;
}

void burn_top_causes(struct burn *burn, const struct burn_service *service,
		     enum burn_cause cause, struct top_k *out)
{
	int64_t period = causes_period(burn);
	int i;
	int j;

	memset(out, 0, sizeof(*out));
	for (i = 0; service && i < 2; i++) {
		const struct burn_causes *causes = service->causes[i];

		if (!causes || causes->period + 1 < period)
			continue;
		for (j = 0; j < causes->top[cause].n; j++) {
			const struct top_k_entry *entry =
				&causes->top[cause].entries[j];

			top_k_add(out, str_from(entry->key), entry->count,
				  entry->error, entry->code);
		}
	}
	top_k_sort(out);
}

uint64_t burn_count_bad(const struct burn_counts *counts,
			enum burn_objective objective)
{
	uint64_t bad =
		objective == BURN_LATENCY ? counts->late : counts->partial;

	return bad + counts->refused;
}

double burn_required_ratio(const struct burn_target *target,
			   enum burn_objective objective)
{
	return objective == BURN_LATENCY ? target->latency_ratio
					 : target->coverage_ratio;
}

double burn_rate(double bad, double allowed)
{
	if (bad <= 0)
		return 0;
	return allowed > 0 ? bad / allowed : INFINITY;
}

double burn_budget_left(double bad, double allowed)
{
	return 1 - burn_rate(bad, allowed);
}

bool burn_is_fast(const double *rates, const uint64_t *bad)
{
	return rates[BURN_5M] > BURN_FAST_RATE &&
	       rates[BURN_1H] > BURN_FAST_RATE &&
	       bad[BURN_1H] >= BURN_LEAST_BAD;
}

bool burn_is_slow(const double *rates, const uint64_t *bad)
{
	return rates[BURN_6H] > BURN_SLOW_RATE &&
	       rates[BURN_3D] > BURN_SLOW_RATE &&
	       bad[BURN_3D] >= BURN_LEAST_BAD;
}
