#include "admission.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

#define LIMIT_START 16
#define LIMIT_MIN 1
#define WINDOW MSEC(100)
#define WINDOW_SAMPLES 8
#define GROWTH 0.1
#define SHRINK_MOST 0.7
#define SHRINK_LEAST 0.95
#define TARGET_MIN MSEC(2)
#define SERVICE_IDLE MSEC(600000)
#define RATE_WINDOW MSEC(1000)
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 10000
#define QUANTILE 0.95
#define QUANTILE_STEP 0.1
/* The mean latency follows the last tens of requests. */
#define SMOOTHING 0.05

/* Requests of one workspace of one service that wait, oldest first. */
struct admission_workspace {
	uint64_t name;
	struct admission_request *requests;
	int n;
	struct admission_workspace *prev;
	struct admission_workspace *next;
};

/*
 * The workspaces that wait take turns; one that was served goes to the end.
 * finish is the virtual time by which the service had its share.
 */
struct admission_service {
	uint64_t name;
	int priority;
	int64_t weight;
	int64_t slo_latency;
	struct admission_limit limit;
	struct admission_workspace *workspaces;
	int n;
	double finish;
	double usual; /* nearly all take less from start to answer, us */
	double mean;  /* from start to answer, microseconds */
	int64_t last_used;
	UT_hash_handle hh;
};

static void limit_init(struct admission_limit *limit)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = LIMIT_START;
	limit->least_wait = INT64_MAX;
}

static bool limit_is_full(const struct admission_limit *limit)
{
	return limit->in_flight >= (int)limit->limit;
}

static void limit_start(struct admission_limit *limit)
{
	limit->in_flight++;
	limit->full = limit->full || limit_is_full(limit);
}

/*
 * The least wait within a window is the queue that never drained. While there
 * is one above the target, the limit shrinks in proportion; while there is
 * none and the limit was reached, it grows. The least, not the mean, so that a
 * burst or one slow server is not taken for overload.
 */
static void limit_judge(struct admission_limit *limit, int64_t target,
			int64_t max)
{
	if (limit->least_wait > target) {
		double part = (double)target / (double)limit->least_wait;

		part = part < SHRINK_MOST ? SHRINK_MOST : part;
		part = part > SHRINK_LEAST ? SHRINK_LEAST : part;
		limit->limit *= part;
	} else if (limit->full) {
		limit->limit += 1 + limit->limit * GROWTH;
	}
	if (limit->limit < LIMIT_MIN)
		limit->limit = LIMIT_MIN;
	if (limit->limit > (double)max)
		limit->limit = (double)max;
}

static void limit_sample(struct admission_limit *limit, int64_t now,
			 int64_t wait, int64_t target, int64_t max)
{
	if (wait < limit->least_wait)
		limit->least_wait = wait;
	limit->n++;
	if (now < limit->window_end || limit->n < WINDOW_SAMPLES)
		return;
	limit_judge(limit, target, max);
	limit->window_end = now + WINDOW;
	limit->least_wait = INT64_MAX;
	limit->n = 0;
	limit->full = limit_is_full(limit);
}

static int64_t target_of(const struct admission *admission,
			 const struct admission_service *service)
{
	int64_t target = (int64_t)((double)service->slo_latency *
				   admission->tunables.target);

	return target < TARGET_MIN ? TARGET_MIN : target;
}

static struct admission_service *find_service(const struct admission *admission,
					      uint64_t name)
{
	struct admission_service *service;

	HASH_FIND(hh, admission->services, &name, sizeof(name), service);
	return service;
}

/* The table may have changed since; waiting requests keep their place. */
static void update_service(struct admission *admission,
			   struct admission_service *service,
			   const struct admission_request *request)
{
	int priority = request->priority;

	if (priority < 0)
		priority = 0;
	if (priority >= ADMISSION_PRIORITIES)
		priority = ADMISSION_PRIORITIES - 1;
	admission->n_queued[service->priority] -= service->n;
	admission->n_queued[priority] += service->n;
	service->priority = priority;
	service->weight = request->weight > 0 ? request->weight : 1;
	service->slo_latency = request->slo_latency;
	service->last_used = clock_now(admission->clock);
}

static struct admission_service *
service_of(struct admission *admission, const struct admission_request *request)
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
 * The time a request needs once started, as far as known. A service whose
 * servers are all slow answers at the deadline with what it has. Its requests
 * must still get in, or nothing would ever show that the servers are quick
 * again: at most half of what a request came with is asked of it.
 */
static int64_t need_of(const struct admission_service *service,
		       const struct admission_request *request)
{
	int64_t half = (request->deadline - request->entered) / 2;
	int64_t usual = (int64_t)service->usual;

	return usual < half ? usual : half;
}

static int64_t wait_behind(const struct admission_limit *limit, int n,
			   double mean)
{
	if (!limit_is_full(limit) && !n)
		return 0;
	return (int64_t)((n + 1) * mean / limit->limit);
}

static int queued_before(const struct admission *admission, int priority)
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
	int64_t wait = wait_behind(&service->limit, service->n, service->mean);
	int n = queued_before(admission, service->priority);
	int64_t whole = wait_behind(&admission->whole, n, service->mean);

	return wait > whole ? wait : whole;
}

static void roll_rates(struct admission *admission, int64_t now)
{
	if (now - admission->rate_since < RATE_WINDOW)
		return;
	admission->excess = (double)admission->refusals /
			    (admission->starts > 0 ? admission->starts : 1);
	admission->rate_since = now;
	admission->refusals = 0;
	admission->starts = 0;
}

/*
 * Until the queue is worked off, longer the more were refused for each one
 * started, and at random over that time again, so that those refused together
 * don't come back together.
 */
static uint32_t retry_after(struct admission *admission, int64_t wait)
{
	double ms = RETRY_MIN_MS + (double)wait / USEC_PER_MSEC;

	admission->refusals++;
	roll_rates(admission, clock_now(admission->clock));
	ms += admission->excess * USEC_PER_SEC / USEC_PER_MSEC;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms / 2) +
	       (uint32_t)(admission->random() % (uint64_t)ms);
}

static struct admission_workspace *
workspace_of(struct admission_service *service, uint64_t name)
{
	struct admission_workspace *flow;

	DL_FOREACH (service->workspaces, flow) {
		if (flow->name == name)
			return flow;
	}
	flow = mem_zalloc(sizeof(*flow));
	flow->name = name;
	DL_APPEND(service->workspaces, flow);
	return flow;
}

static void enqueue(struct admission *admission,
		    struct admission_request *request)
{
	struct admission_service *service = request->at;
	double now = admission->virtual_time[service->priority];

	/* An idle service saves up nothing. */
	if (!service->n && service->finish < now)
		service->finish = now;
	request->flow = workspace_of(service, str_hash(request->workspace));
	DL_APPEND(request->flow->requests, request);
	request->flow->n++;
	service->n++;
	admission->n_queued[service->priority]++;
	admission->n_waiting++;
}

static void dequeue(struct admission *admission,
		    struct admission_request *request)
{
	struct admission_service *service = request->at;
	struct admission_workspace *flow = request->flow;

	DL_DELETE(flow->requests, request);
	request->flow = NULL;
	service->n--;
	admission->n_queued[service->priority]--;
	admission->n_waiting--;
	if (--flow->n)
		return;
	DL_DELETE(service->workspaces, flow);
	free(flow);
}

static void refuse(struct admission *admission,
		   struct admission_request *request)
{
	struct admission_service *service = request->at;
	uint32_t retry =
		retry_after(admission, expected_wait(admission, service));

	dequeue(admission, request);
	request->at = NULL;
	request->refuse(request, ERR_OVERLOAD, retry);
}

static void begin(struct admission *admission,
		  struct admission_request *request)
{
	request->started = clock_now(admission->clock);
	limit_start(&request->at->limit);
	limit_start(&admission->whole);
	admission->starts++;
	roll_rates(admission, request->started);
}

/* Of one priority: the service furthest behind its share that may start. */
static struct admission_service *pick_service(const struct admission *admission,
					      int priority)
{
	struct admission_service *best = NULL;
	struct admission_service *service;
	struct admission_service *tmp;

	if (!admission->n_queued[priority])
		return NULL;
	HASH_ITER (hh, admission->services, service, tmp) {
		if (service->priority != priority || !service->n ||
		    limit_is_full(&service->limit))
			continue;
		if (!best || service->finish < best->finish)
			best = service;
	}
	return best;
}

/*
 * The highest priority goes first, but for a small part of the starts, which
 * goes to the lowest that waits.
 */
static struct admission_service *pick(struct admission *admission)
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
	return now + need_of(request->at, request) < request->deadline;
}

/* The workspace served goes to the end of the line, and the service pays. */
static void charge(struct admission *admission,
		   struct admission_service *service)
{
	struct admission_workspace *flow = service->workspaces;

	admission->virtual_time[service->priority] = service->finish;
	service->finish += 1.0 / (double)service->weight;
	DL_DELETE(service->workspaces, flow);
	DL_APPEND(service->workspaces, flow);
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
	begin(admission, request);
	request->start(request);
}

/* Whoever is started or refused may enter or leave: no deeper call pumps. */
static void pump(struct admission *admission)
{
	struct admission_service *service;

	if (admission->pumping)
		return;
	admission->pumping = true;
	while (!limit_is_full(&admission->whole) && (service = pick(admission)))
		start_next(admission, service);
	admission->pumping = false;
}

/* How much more than its share a service has waiting. */
static double backlog(const struct admission_service *service)
{
	return (double)service->n / (double)service->weight;
}

/* Of the lowest priority that waits, the service with most waiting. */
static struct admission_service *
find_heaviest(const struct admission *admission)
{
	struct admission_service *worst = NULL;
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		if (!service->n)
			continue;
		if (!worst || service->priority > worst->priority ||
		    (service->priority == worst->priority &&
		     backlog(service) > backlog(worst)))
			worst = service;
	}
	return worst;
}

static struct admission_workspace *
find_longest(const struct admission_service *service)
{
	struct admission_workspace *longest = service->workspaces;
	struct admission_workspace *flow;

	DL_FOREACH (service->workspaces, flow) {
		if (flow->n > longest->n)
			longest = flow;
	}
	return longest;
}

/*
 * The instance is full: the newest request of who has most waiting at the
 * lowest priority makes room.
 *
 * Return: whether room was made for a request of @service.
 */
static bool make_room(struct admission *admission,
		      const struct admission_service *service)
{
	struct admission_service *worst = find_heaviest(admission);
	struct admission_request *newest;

	if (!worst || worst->priority < service->priority)
		return false;
	if (worst->priority == service->priority &&
	    backlog(worst) <= backlog(service))
		return false;
	newest = find_longest(worst)->requests->prev;
	refuse(admission, newest);
	return true;
}

static bool is_full(const struct admission *admission)
{
	return admission->n_waiting + admission->whole.in_flight >=
	       admission->tunables.queue_max;
}

void admission_init(struct admission *admission, const struct clock *clock,
		    uint64_t (*random)(void))
{
	memset(admission, 0, sizeof(*admission));
	admission->clock = clock;
	admission->random = random;
	limit_init(&admission->whole);
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
	/* Without word of lag the instance may start all. */
	if (!admission->tunables.queue_max)
		admission->whole.limit = (double)tunables->queue_max;
	admission->tunables = *tunables;
}

/*
 * Whoever would have to wait beyond the service's latency target is refused
 * at once: a longer queue answers no more requests, it only answers them later.
 */
static bool is_hopeless(const struct admission_service *service,
			const struct admission_request *request, int64_t wait)
{
	int64_t need = need_of(service, request);

	if (request->entered + wait + need >= request->deadline)
		return true;
	return wait && wait + need >= service->slo_latency;
}

int admission_enter(struct admission *admission,
		    struct admission_request *request, uint32_t *retry_after_ms)
{
	int64_t now = clock_now(admission->clock);
	struct admission_service *service = service_of(admission, request);
	int64_t wait = expected_wait(admission, service);

	request->at = service;
	request->flow = NULL;
	request->entered = now;
	request->started = 0;
	if (is_hopeless(service, request, wait) ||
	    (is_full(admission) && !make_room(admission, service))) {
		request->at = NULL;
		*retry_after_ms = retry_after(admission, wait);
		return ERR_OVERLOAD;
	}
	if (!service->n && !limit_is_full(&service->limit) &&
	    !limit_is_full(&admission->whole)) {
		begin(admission, request);
		return ADMISSION_STARTED;
	}
	enqueue(admission, request);
	return ADMISSION_QUEUED;
}

/* A quantile, followed by large steps up and small ones down. */
static void follow_quantile(double *quantile, double value)
{
	double step = *quantile * QUANTILE_STEP + 1;

	if (*quantile <= 0)
		*quantile = value;
	else if (value > *quantile)
		*quantile += step * QUANTILE;
	else
		*quantile -= step * (1 - QUANTILE);
}

static void learn(struct admission *admission,
		  struct admission_service *service, int64_t latency,
		  const struct admission_sample *sample, int64_t now)
{
	int64_t target = target_of(admission, service);
	int64_t wait = sample->wait;

	if (service->mean <= 0)
		service->mean = (double)latency;
	service->mean += ((double)latency - service->mean) * SMOOTHING;
	if (!sample->failed && !sample->shed)
		follow_quantile(&service->usual, (double)latency);
	if ((sample->shed || sample->failed) && wait < 2 * target)
		wait = 2 * target;
	limit_sample(&service->limit, now, wait, target,
		     admission->tunables.queue_max);
}

void admission_leave(struct admission *admission,
		     struct admission_request *request,
		     const struct admission_sample *sample)
{
	struct admission_service *service = request->at;
	int64_t now = clock_now(admission->clock);

	if (!service)
		return;
	if (request->flow) {
		dequeue(admission, request);
	} else {
		service->limit.in_flight--;
		admission->whole.in_flight--;
		if (sample)
			learn(admission, service, now - request->started,
			      sample, now);
	}
	request->at = NULL;
	pump(admission);
}

bool admission_overloaded(struct admission *admission, struct str service_name,
			  uint32_t *retry_after_ms)
{
	struct admission_service *service =
		find_service(admission, str_hash(service_name));

	if (!is_full(admission) &&
	    (!service || !service->n || !limit_is_full(&service->limit)))
		return false;
	*retry_after_ms =
		retry_after(admission,
			    service ? expected_wait(admission, service) : 0);
	return true;
}

void admission_add_lag(struct admission *admission, int64_t lag)
{
	limit_sample(&admission->whole, clock_now(admission->clock), lag,
		     admission->tunables.lag_target,
		     admission->tunables.queue_max);
}

static struct admission_request *find_late(const struct admission *admission,
					   int64_t now)
{
	struct admission_service *service;
	struct admission_service *tmp;
	struct admission_workspace *flow;

	HASH_ITER (hh, admission->services, service, tmp) {
		DL_FOREACH (service->workspaces, flow) {
			if (!can_finish(flow->requests, now))
				return flow->requests;
		}
	}
	return NULL;
}

static void drop_idle(struct admission *admission, int64_t now)
{
	struct admission_service *service;
	struct admission_service *tmp;

	HASH_ITER (hh, admission->services, service, tmp) {
		if (service->n || service->limit.in_flight ||
		    now - service->last_used < SERVICE_IDLE)
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
	drop_idle(admission, now);
	pump(admission);
}

int admission_service_limit(const struct admission *admission,
			    struct str service_name)
{
	const struct admission_service *service =
		find_service(admission, str_hash(service_name));

	return service ? (int)service->limit.limit : 0;
}
