#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

#define LIMIT_INITIAL 16
#define LIMIT_MIN 1
#define SAMPLE_WINDOW MSEC(100)
#define SAMPLE_WINDOW_MIN 8
#define LIMIT_GROWTH 0.1
#define DECREASE_FACTOR_MIN 0.7
#define DECREASE_FACTOR_MAX 0.95
#define WAIT_TARGET_MIN MSEC(2)
#define SERVICE_IDLE_TIMEOUT MSEC(600000)
#define REFUSAL_RATE_WINDOW MSEC(1000)
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 10000
#define LATENCY_QUANTILE 0.95
#define LATENCY_QUANTILE_STEP 0.1
/* The mean latency covers the last tens of requests. */
#define MEAN_LATENCY_WEIGHT 0.05

/* Queued requests of one workspace of one service, oldest first. */
struct admission_workspace {
	uint64_t name;
	struct admission_request *requests;
	int n_waiting;
	struct admission_workspace *prev;
	struct admission_workspace *next;
};

/*
 * Workspaces with queued requests are served round-robin. virtual_finish is the
 * virtual finish time of the service's last start in weighted fair queueing.
 */
struct admission_service {
	uint64_t name;
	int priority;
	int64_t weight;
	int64_t slo_latency;
	struct admission_limit limit;
	struct admission_workspace *workspaces;
	int n_waiting;
	double virtual_finish;
	double latency_quantile; /* from start to answer, microseconds */
	double mean_latency;	 /* from start to answer, microseconds */
	int64_t last_used;
	UT_hash_handle hh;
};

static void limit_init(struct admission_limit *limit)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_INITIAL;
	limit->min_wait = INT64_MAX;
}

static bool limit_is_full(const struct admission_limit *limit)
{
	return limit->in_flight >= (int)limit->limit;
}

static void limit_start(struct admission_limit *limit)
{
	limit->in_flight++;
	limit->was_full = limit->was_full || limit_is_full(limit);
}

/*
 * The minimum wait within a window shows the standing queue. While it exceeds
 * the target, the limit is decreased in proportion; otherwise the limit is
 * increased if it was reached. The minimum is used instead of the mean, because
 * a burst or one slow server is not overload.
 */
static void limit_adjust(struct admission_limit *limit, int64_t target,
			 int64_t max)
{
	if (limit->min_wait > target) {
		double factor = (double)target / (double)limit->min_wait;

		factor = factor < DECREASE_FACTOR_MIN ? DECREASE_FACTOR_MIN
						      : factor;
		factor = factor > DECREASE_FACTOR_MAX ? DECREASE_FACTOR_MAX
						      : factor;
		limit->limit *= factor;
	} else if (limit->was_full) {
		limit->limit += 1 + limit->limit * LIMIT_GROWTH;
	}
	if (limit->limit < LIMIT_MIN)
		limit->limit = LIMIT_MIN;
	if (limit->limit > (double)max)
		limit->limit = (double)max;
}

static void limit_sample(struct admission_limit *limit, int64_t now,
			 int64_t wait, int64_t target, int64_t max)
{
	if (wait < limit->min_wait)
		limit->min_wait = wait;
	limit->n_samples++;
	if (now < limit->window_end || limit->n_samples < SAMPLE_WINDOW_MIN)
		return;
	limit_adjust(limit, target, max);
	limit->window_end = now + SAMPLE_WINDOW;
	limit->min_wait = INT64_MAX;
	limit->n_samples = 0;
	limit->was_full = limit_is_full(limit);
}

static int64_t wait_target(const struct admission *admission,
			   const struct admission_service *service)
{
	int64_t target = (int64_t)((double)service->slo_latency *
				   admission->tunables.wait_target_ratio);

	return target < WAIT_TARGET_MIN ? WAIT_TARGET_MIN : target;
}

static struct admission_service *find_service(const struct admission *admission,
					      uint64_t name)
{
	struct admission_service *service;

	HASH_FIND(hh, admission->services, &name, sizeof(name), service);
	return service;
}

/*
 * The routing table may have changed since the last request. Queued requests
 * keep their position.
 */
static void update_service(struct admission *admission,
			   struct admission_service *service,
			   const struct admission_request *request)
{
	int priority = request->priority;

	if (priority < 0)
		priority = 0;
	if (priority >= ADMISSION_PRIORITIES)
		priority = ADMISSION_PRIORITIES - 1;
	admission->n_queued[service->priority] -= service->n_waiting;
	admission->n_queued[priority] += service->n_waiting;
	service->priority = priority;
	service->weight = request->weight > 0 ? request->weight : 1;
	service->slo_latency = request->slo_latency;
	service->last_used = clock_now(admission->clock);
}

static struct admission_service *
get_service(struct admission *admission,
	    const struct admission_request *request)
{
	uint64_t name = str_hash(request->service);
	struct admission_service *service = find_service(admission, name);

	if (!service) {
		service = mem_zalloc(sizeof(*service));
		service->name = name;
		limit_init(&service->limit);
		HASH_ADD(hh, admission->services, name, sizeof(name), service);
	}
	update_service(admission, service, request);
	return service;
}

/*
 * Estimated time from start to answer. If all servers of a service are slow,
 * its requests take until their deadline. They must still be admitted, or the
 * estimate would never recover when the servers do: it is therefore at most
 * half of the time between entry and deadline.
 */
static int64_t expected_duration(const struct admission_service *service,
				 const struct admission_request *request)
{
	int64_t half = (request->deadline - request->entered_at) / 2;
	int64_t usual = (int64_t)service->latency_quantile;

	return usual < half ? usual : half;
}

static int64_t queueing_time(const struct admission_limit *limit, int n,
			     double mean)
{
	if (!limit_is_full(limit) && !n)
		return 0;
	return (int64_t)((n + 1) * mean / limit->limit);
}

static int count_queued_up_to(const struct admission *admission, int priority)
{
	int n = 0;
	int i;

	for (i = 0; i <= priority; i++)
		n += admission->n_queued[i];
	return n;
}

static int64_t expected_wait(const struct admission *admission,
			     const struct admission_service *service)
{
	int64_t wait = queueing_time(&service->limit, service->n_waiting,
				     service->mean_latency);
	int n = count_queued_up_to(admission, service->priority);
	int64_t instance_wait = queueing_time(&admission->instance_limit, n,
					      service->mean_latency);

	return wait > instance_wait ? wait : instance_wait;
}

static void update_refusal_rate(struct admission *admission, int64_t now)
{
	if (now - admission->rate_window_start < REFUSAL_RATE_WINDOW)
		return;
	admission->refusals_per_start =
		(double)admission->refusals /
		(admission->starts > 0 ? admission->starts : 1);
	admission->rate_window_start = now;
	admission->refusals = 0;
	admission->starts = 0;
}

/*
 * The delay covers the expected queueing time and grows with the number of
 * refusals per start. It is randomised between half and one and a half times
 * that value, so that callers refused together do not retry together.
 */
static uint32_t retry_after(struct admission *admission, int64_t wait)
{
	double ms = RETRY_MIN_MS + (double)wait / USEC_PER_MSEC;

	admission->refusals++;
	update_refusal_rate(admission, clock_now(admission->clock));
	ms += admission->refusals_per_start * USEC_PER_SEC / USEC_PER_MSEC;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms / 2) +
	       (uint32_t)(admission->random() % (uint64_t)ms);
}

static struct admission_workspace *
get_workspace(struct admission_service *service, uint64_t name)
{
	struct admission_workspace *queue;

	DL_FOREACH (service->workspaces, queue) {
		if (queue->name == name)
			return queue;
	}
	queue = mem_zalloc(sizeof(*queue));
	queue->name = name;
	DL_APPEND(service->workspaces, queue);
	return queue;
}

static void enqueue(struct admission *admission,
		    struct admission_request *request)
{
	struct admission_service *service = request->service_state;
	double now = admission->virtual_time[service->priority];

	/* An idle service accumulates no credit. */
	if (!service->n_waiting && service->virtual_finish < now)
		service->virtual_finish = now;
	request->workspace_queue =
		get_workspace(service, str_hash(request->workspace));
	DL_APPEND(request->workspace_queue->requests, request);
	request->workspace_queue->n_waiting++;
	service->n_waiting++;
	admission->n_queued[service->priority]++;
	admission->n_waiting++;
}

static void dequeue(struct admission *admission,
		    struct admission_request *request)
{
	struct admission_service *service = request->service_state;
	struct admission_workspace *queue = request->workspace_queue;

	DL_DELETE(queue->requests, request);
	request->workspace_queue = NULL;
	service->n_waiting--;
	admission->n_queued[service->priority]--;
	admission->n_waiting--;
	if (--queue->n_waiting)
		return;
	DL_DELETE(service->workspaces, queue);
	free(queue);
}

static void refuse(struct admission *admission,
		   struct admission_request *request)
{
	struct admission_service *service = request->service_state;
	uint32_t retry =
		retry_after(admission, expected_wait(admission, service));

	dequeue(admission, request);
	request->service_state = NULL;
	request->refuse(request, ERR_OVERLOAD, retry);
}

static void start_request(struct admission *admission,
			  struct admission_request *request)
{
	request->started_at = clock_now(admission->clock);
	limit_start(&request->service_state->limit);
	limit_start(&admission->instance_limit);
	admission->starts++;
	update_refusal_rate(admission, request->started_at);
}

/* The service of a priority with the smallest virtual finish time. */
static struct admission_service *pick_service(const struct admission *admission,
					      int priority)
{
	struct admission_service *best = NULL;
	struct admission_service *service;
	struct admission_service *tmp;

	if (!admission->n_queued[priority])
		return NULL;
	HASH_ITER (hh, admission->services, service, tmp) {
		if (service->priority != priority || !service->n_waiting ||
		    limit_is_full(&service->limit))
			continue;
		if (!best || service->virtual_finish < best->virtual_finish)
			best = service;
	}
	return best;
}

/*
 * The highest priority is served first, except for the fraction of the starts
 * that is reserved for the lowest priority with queued requests.
 */
static struct admission_service *pick_next_service(struct admission *admission)
{
	struct admission_service *service = NULL;
	bool lowest_first = admission->floor_credit >= 1;
	int i;

	for (i = 0; i < ADMISSION_PRIORITIES && !service; i++) {
		int priority = lowest_first ? ADMISSION_PRIORITIES - 1 - i : i;

		service = pick_service(admission, priority);
	}
	if (!service)
		return NULL;
	if (lowest_first)
		admission->floor_credit -= 1;
	admission->floor_credit += admission->tunables.floor;
	return service;
}

static bool can_finish(const struct admission_request *request, int64_t now)
{
	return now + expected_duration(request->service_state, request) <
	       request->deadline;
}

/* Advance the service's virtual finish time and rotate its workspaces. */
static void charge(struct admission *admission,
		   struct admission_service *service)
{
	struct admission_workspace *queue = service->workspaces;

	admission->virtual_time[service->priority] = service->virtual_finish;
	service->virtual_finish += 1.0 / (double)service->weight;
	DL_DELETE(service->workspaces, queue);
	DL_APPEND(service->workspaces, queue);
}

static void start_next(struct admission *admission,
		       struct admission_service *service)
{
	struct admission_request *request = service->workspaces->requests;

	if (!can_finish(request, clock_now(admission->clock))) {
		refuse(admission, request);
		return;
	}
	charge(admission, service);
	dequeue(admission, request);
	start_request(admission, request);
	request->start(request);
}

/*
 * The callbacks may call admission_enter() and admission_leave(): a nested call
 * does nothing.
 */
static void start_waiting(struct admission *admission)
{
	struct admission_service *service;

	if (admission->starting_requests)
		return;
	admission->starting_requests = true;
	while (!limit_is_full(&admission->instance_limit) &&
	       (service = pick_next_service(admission)))
		start_next(admission, service);
	admission->starting_requests = false;
}

/* Queued requests of a service in proportion to its weight. */
static double backlog(const struct admission_service *service)
{
	return (double)service->n_waiting / (double)service->weight;
}

/* The service with the largest backlog at the lowest queued priority. */
static struct admission_service *
find_largest_backlog(const struct admission *admission)
{
	struct admission_service *largest = NULL;
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		if (!service->n_waiting)
			continue;
		if (!largest || service->priority > largest->priority ||
		    (service->priority == largest->priority &&
		     backlog(service) > backlog(largest)))
			largest = service;
	}
	return largest;
}

static struct admission_workspace *
find_longest_queue(const struct admission_service *service)
{
	struct admission_workspace *longest = service->workspaces;
	struct admission_workspace *queue;

	DL_FOREACH (service->workspaces, queue) {
		if (queue->n_waiting > longest->n_waiting)
			longest = queue;
	}
	return longest;
}

/*
 * The instance is full: refuse the newest queued request of the service and
 * workspace with the largest backlog at the lowest priority.
 *
 * Return: whether there is room for a request of @service now.
 */
static bool evict_request(struct admission *admission,
			  const struct admission_service *service)
{
	struct admission_service *largest = find_largest_backlog(admission);
	struct admission_request *newest;

	if (!largest || largest->priority < service->priority)
		return false;
	if (largest->priority == service->priority &&
	    backlog(largest) <= backlog(service))
		return false;
	newest = find_longest_queue(largest)->requests->prev;
	refuse(admission, newest);
	return true;
}

static bool is_full(const struct admission *admission)
{
	return admission->n_waiting + admission->instance_limit.in_flight >=
	       admission->tunables.queue_max;
}

void admission_init(struct admission *admission, const struct clock *clock,
		    uint64_t (*random)(void))
{
	memset(admission, 0, sizeof(*admission));
	admission->clock = clock;
	admission->random = random;
	limit_init(&admission->instance_limit);
}

static struct admission_request *find_queued(const struct admission *admission)
{
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		if (service->n_waiting)
			return service->workspaces->requests;
	}
	return NULL;
}

void admission_limit_deadlines(struct admission *admission, int64_t deadline)
{
	struct admission_service *service;
	struct admission_service *tmp;
	struct admission_workspace *queue;
	struct admission_request *request;

	HASH_ITER (hh, admission->services, service, tmp) {
		DL_FOREACH (service->workspaces, queue) {
			DL_FOREACH (queue->requests, request) {
				if (request->deadline > deadline)
					request->deadline = deadline;
			}
		}
	}
}

void admission_refuse_all(struct admission *admission)
{
	struct admission_request *request;

	while ((request = find_queued(admission)))
		refuse(admission, request);
}

void admission_finish(struct admission *admission)
{
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		HASH_DEL(admission->services, service);
		free(service);
	}
}

void admission_set_tunables(struct admission *admission,
			    const struct admission_tunables *tunables)
{
	/* The limit starts at the maximum until the event loop is late. */
	if (!admission->tunables.queue_max)
		admission->instance_limit.limit = (double)tunables->queue_max;
	admission->tunables = *tunables;
}

/*
 * A request that would be queued beyond the service's latency target is refused
 * at once: a longer queue does not increase throughput, only latency.
 */
static bool is_too_late(const struct admission_service *service,
			const struct admission_request *request, int64_t wait)
{
	int64_t need = expected_duration(service, request);

	if (request->entered_at + wait + need >= request->deadline)
		return true;
	return wait && wait + need >= service->slo_latency;
}

int admission_enter(struct admission *admission,
		    struct admission_request *request, uint32_t *retry_after_ms)
{
	int64_t now = clock_now(admission->clock);
	struct admission_service *service = get_service(admission, request);
	int64_t wait = expected_wait(admission, service);

	request->service_state = service;
	request->workspace_queue = NULL;
	request->entered_at = now;
	request->started_at = 0;
	if (is_too_late(service, request, wait) ||
	    (is_full(admission) && !evict_request(admission, service))) {
		request->service_state = NULL;
		*retry_after_ms = retry_after(admission, wait);
		return ERR_OVERLOAD;
	}
	if (!service->n_waiting && !limit_is_full(&service->limit) &&
	    !limit_is_full(&admission->instance_limit)) {
		start_request(admission, request);
		return ADMISSION_STARTED;
	}
	enqueue(admission, request);
	return ADMISSION_QUEUED;
}

/* Stochastic estimate of a quantile: large steps up, small steps down. */
static void follow_quantile(double *quantile, double value)
{
	double step = *quantile * LATENCY_QUANTILE_STEP + 1;

	if (*quantile <= 0)
		*quantile = value;
	else if (value > *quantile)
		*quantile += step * LATENCY_QUANTILE;
	else
		*quantile -= step * (1 - LATENCY_QUANTILE);
}

static void update_estimates(struct admission *admission,
			     struct admission_service *service, int64_t latency,
			     const struct admission_sample *sample, int64_t now)
{
	int64_t target = wait_target(admission, service);
	int64_t wait = sample->wait;

	if (service->mean_latency <= 0)
		service->mean_latency = (double)latency;
	service->mean_latency +=
		((double)latency - service->mean_latency) * MEAN_LATENCY_WEIGHT;
	if (!sample->failed && !sample->shed)
		follow_quantile(&service->latency_quantile, (double)latency);
	if ((sample->shed || sample->failed) && wait < 2 * target)
		wait = 2 * target;
	limit_sample(&service->limit, now, wait, target,
		     admission->tunables.queue_max);
}

void admission_leave(struct admission *admission,
		     struct admission_request *request,
		     const struct admission_sample *sample)
{
	struct admission_service *service = request->service_state;
	int64_t now = clock_now(admission->clock);

	if (!service)
		return;
	if (request->workspace_queue) {
		dequeue(admission, request);
	} else {
		service->limit.in_flight--;
		admission->instance_limit.in_flight--;
		if (sample)
			update_estimates(admission, service,
					 now - request->started_at, sample,
					 now);
	}
	request->service_state = NULL;
	start_waiting(admission);
}

bool admission_overloaded(struct admission *admission, struct str service_name,
			  uint32_t *retry_after_ms)
{
	struct admission_service *service =
		find_service(admission, str_hash(service_name));

	if (!is_full(admission) && (!service || !service->n_waiting ||
				    !limit_is_full(&service->limit)))
		return false;
	*retry_after_ms =
		retry_after(admission,
			    service ? expected_wait(admission, service) : 0);
	return true;
}

void admission_add_lag(struct admission *admission, int64_t lag)
{
	limit_sample(&admission->instance_limit, clock_now(admission->clock),
		     lag, admission->tunables.lag_target,
		     admission->tunables.queue_max);
}

static struct admission_request *find_late(const struct admission *admission,
					   int64_t now)
{
	struct admission_service *service;
	struct admission_service *tmp;
	struct admission_workspace *queue;

	HASH_ITER (hh, admission->services, service, tmp) {
		DL_FOREACH (service->workspaces, queue) {
			if (!can_finish(queue->requests, now))
				return queue->requests;
		}
	}
	return NULL;
}

static void free_idle_services(struct admission *admission, int64_t now)
{
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		if (service->n_waiting || service->limit.in_flight ||
		    now - service->last_used < SERVICE_IDLE_TIMEOUT)
			continue;
		HASH_DEL(admission->services, service);
		free(service);
	}
}

void admission_tick(struct admission *admission)
{
	int64_t now = clock_now(admission->clock);
	struct admission_request *late;

	while (admission->n_waiting && (late = find_late(admission, now)))
		refuse(admission, late);
	free_idle_services(admission, now);
	start_waiting(admission);
}

int admission_service_limit(const struct admission *admission,
			    struct str service_name)
{
	const struct admission_service *service =
		find_service(admission, str_hash(service_name));

	return service ? (int)service->limit.limit : 0;
}
