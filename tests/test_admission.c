#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "admission.h"
#include "clock.h"
#include "error.h"
#include "mem.h"
#include "slot_queue.h"
#include "unit.h"

static uint64_t random_state;

static uint64_t next_random(void)
{
	uint64_t z = random_state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static double unit_random(void)
{
	return ((double)(next_random() >> 11) + 0.5) / 9007199254740992.0;
}

/* Requests that record what happens to them, to test single decisions. */
struct test_request {
	struct admission_request base;
	int started;
	int refused;
	uint32_t retry_after_ms;
	int order;
};

static int last_start_order;

static void record_start(struct admission_request *request)
{
	struct test_request *test_request = (struct test_request *)request;

	test_request->started++;
	test_request->order = ++last_start_order;
}

static void record_refusal(struct admission_request *request, int code,
			   uint32_t retry_after_ms)
{
	struct test_request *test_request = (struct test_request *)request;

	CU_ASSERT_EQUAL(code, ERR_OVERLOAD);
	test_request->refused++;
	test_request->retry_after_ms = retry_after_ms;
}

struct fixture {
	struct clock clock;
	struct admission admission;
};

static void setup(struct fixture *f, int64_t queue_max)
{
	struct admission_tunables tunables = {
		.queue_max = queue_max,
		.wait_target_ratio = 0.1,
		.floor = 0.02,
		.lag_target = MSEC(20),
	};

	random_state = 7;
	last_start_order = 0;
	clock_init_paused(&f->clock, MSEC(1000));
	admission_init(&f->admission, &f->clock, next_random);
	admission_set_tunables(&f->admission, &tunables);
}

static int enter(struct fixture *f, struct test_request *test_request,
		 const char *service, const char *workspace, int priority,
		 int64_t weight)
{
	memset(test_request, 0, sizeof(*test_request));
	test_request->base.service = str_from(service);
	test_request->base.workspace = str_from(workspace);
	test_request->base.priority = priority;
	test_request->base.weight = weight;
	test_request->base.slo_latency = MSEC(500);
	test_request->base.deadline = clock_now(&f->clock) + MSEC(1000);
	test_request->base.start = record_start;
	test_request->base.refuse = record_refusal;
	return admission_enter(&f->admission, &test_request->base,
			       &test_request->retry_after_ms);
}

static void leave(struct fixture *f, struct test_request *test_request,
		  int64_t wait)
{
	struct admission_sample sample = {.wait = wait};

	admission_leave(&f->admission, &test_request->base, &sample);
}

#define N_REQUESTS 40

/* Start one request that uses the whole instance limit; others are queued. */
static void block_instance(struct fixture *f, struct test_request *blocker)
{
	setup(f, 1000);
	f->admission.instance_limit.limit = 1;
	CU_ASSERT_EQUAL(enter(f, blocker, "blocker", "", 0, 1),
			ADMISSION_STARTED);
}

static void leave_all(struct fixture *f, struct test_request *requests, int n)
{
	int i;

	for (i = 0; i < n; i++)
		admission_leave(&f->admission, &requests[i].base, NULL);
	admission_finish(&f->admission);
}

/* Run all queued requests one after the other. */
static void serve_all(struct fixture *f, struct test_request *blocker,
		      struct test_request *requests, int n)
{
	struct test_request *running = blocker;
	int i;

	while (running) {
		leave(f, running, 0);
		running = NULL;
		for (i = 0; i < n; i++) {
			if (requests[i].started &&
			    requests[i].base.service_state)
				running = &requests[i];
		}
	}
}

/*
 * Guards against urgent requests that are queued behind a flood of less urgent
 * ones, such as reporting. Starts must follow priority, not order of arrival.
 */
static void test_priority(void)
{
	struct test_request requests[3];
	struct test_request blocker;
	struct fixture f;

	block_instance(&f, &blocker);
	CU_ASSERT_EQUAL(enter(&f, &requests[0], "reporting", "", 9, 10),
			ADMISSION_QUEUED);
	enter(&f, &requests[1], "portal", "", 5, 10);
	enter(&f, &requests[2], "desk", "", 0, 10);
	serve_all(&f, &blocker, requests, 3);
	CU_ASSERT_EQUAL(requests[2].order, 1);
	CU_ASSERT_EQUAL(requests[1].order, 2);
	CU_ASSERT_EQUAL(requests[0].order, 3);
	leave_all(&f, requests, 3);
}

/*
 * Two services of the same priority, one with three times the weight of the
 * other: it gets 3 of 4 starts.
 */
static void test_weights(void)
{
	struct test_request requests[N_REQUESTS];
	struct test_request blocker;
	struct fixture f;
	int heavy = 0;
	int i;

	block_instance(&f, &blocker);
	for (i = 0; i < N_REQUESTS; i++)
		enter(&f, &requests[i], i % 2 ? "heavy" : "light", "", 5,
		      i % 2 ? 30 : 10);
	serve_all(&f, &blocker, requests, N_REQUESTS);
	for (i = 0; i < N_REQUESTS; i++)
		heavy += i % 2 && requests[i].order <= N_REQUESTS / 2;
	CU_ASSERT(heavy >= 14 && heavy <= 16);
	leave_all(&f, requests, N_REQUESTS);
}

/*
 * Guards against one workspace delaying another: a single search of one must
 * not be queued behind 39 of the other.
 */
static void test_workspaces(void)
{
	struct test_request requests[N_REQUESTS];
	struct test_request blocker;
	struct fixture f;
	int i;

	block_instance(&f, &blocker);
	for (i = 0; i < N_REQUESTS; i++)
		enter(&f, &requests[i], "desk",
		      i == N_REQUESTS - 1 ? "small" : "large", 5, 10);
	serve_all(&f, &blocker, requests, N_REQUESTS);
	CU_ASSERT(requests[N_REQUESTS - 1].order <= 2);
	leave_all(&f, requests, N_REQUESTS);
}

/*
 * Guards against starvation: urgent requests alone use the whole instance, and
 * the lowest priority still gets its reserved fraction of the starts.
 */
static void test_floor(void)
{
	struct test_request urgent[2];
	struct test_request low;
	struct fixture f;
	int i;

	block_instance(&f, &urgent[0]);
	enter(&f, &low, "reporting", "", 9, 10);
	for (i = 1; i < 200 && !low.started; i++) {
		enter(&f, &urgent[i % 2], "desk", "", 0, 10);
		leave(&f, &urgent[(i + 1) % 2], 0);
		if (low.started)
			break;
	}
	CU_ASSERT(low.started);
	CU_ASSERT(i >= 40 && i <= 60);
	admission_leave(&f.admission, &low.base, NULL);
	leave_all(&f, urgent, 2);
}

/*
 * The queue is full with searches of one service. An urgent search and one of a
 * service with a smaller backlog evict a queued one; another search of the same
 * service is refused.
 */
static void test_full_instance(void)
{
	struct test_request requests[4];
	struct test_request blocker;
	struct test_request urgent;
	struct test_request small;
	struct test_request another;
	struct fixture f;
	int i;

	block_instance(&f, &blocker);
	f.admission.tunables.queue_max = 5;
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(enter(&f, &requests[i], "large", "", 5, 10),
				ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(enter(&f, &another, "large", "", 5, 10), ERR_OVERLOAD);
	CU_ASSERT(another.retry_after_ms > 0);
	CU_ASSERT_EQUAL(enter(&f, &small, "small", "", 5, 10),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(requests[3].refused, 1);
	CU_ASSERT_EQUAL(enter(&f, &urgent, "desk", "", 0, 10),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(requests[2].refused, 1);
	CU_ASSERT_EQUAL(enter(&f, &another, "reporting", "", 9, 10),
			ERR_OVERLOAD);
	CU_ASSERT_EQUAL(requests[1].refused + requests[0].refused, 0);
	admission_leave(&f.admission, &blocker.base, NULL);
	admission_leave(&f.admission, &small.base, NULL);
	admission_leave(&f.admission, &urgent.base, NULL);
	leave_all(&f, requests, 4);
}

/*
 * A queued search is refused as soon as it can no longer be answered in time,
 * not only at its deadline.
 */
static void test_refused_before_deadline(void)
{
	struct test_request blocker;
	struct test_request waiting;
	struct fixture f;

	setup(&f, 1000);
	f.admission.instance_limit.limit = 1;
	enter(&f, &blocker, "desk", "", 5, 10);
	clock_advance(&f.clock, MSEC(100));
	leave(&f, &blocker, 0);
	enter(&f, &blocker, "desk", "", 5, 10);
	CU_ASSERT_EQUAL(enter(&f, &waiting, "desk", "", 5, 10),
			ADMISSION_QUEUED);
	clock_advance(&f.clock, MSEC(890));
	admission_tick(&f.admission);
	CU_ASSERT_EQUAL(waiting.refused, 0);
	clock_advance(&f.clock, MSEC(20));
	admission_tick(&f.admission);
	CU_ASSERT_EQUAL(waiting.refused, 1);
	leave_all(&f, &blocker, 1);
}

/* Guards against callers refused together that retry together. */
static void test_retry_after_is_random(void)
{
	struct test_request blocker;
	struct test_request test_request;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	struct fixture f;
	int i;

	block_instance(&f, &blocker);
	f.admission.tunables.queue_max = 1;
	for (i = 0; i < 3000; i++) {
		clock_advance(&f.clock, MSEC(1));
		CU_ASSERT_EQUAL(enter(&f, &test_request, "desk", "", 5, 10),
				ERR_OVERLOAD);
		if (i < 2000)
			continue;
		least = test_request.retry_after_ms < least
				? test_request.retry_after_ms
				: least;
		most = test_request.retry_after_ms > most
			       ? test_request.retry_after_ms
			       : most;
	}
	CU_ASSERT(most > 2 * least);
	CU_ASSERT(most <= 15000);
	leave_all(&f, &blocker, 1);
}

/* The instance limit falls while the event loop is late, and recovers. */
static void test_lag(void)
{
	struct fixture f;
	int i;

	setup(&f, 1000);
	for (i = 0; i < 400; i++) {
		clock_advance(&f.clock, MSEC(10));
		admission_add_lag(&f.admission, MSEC(100));
	}
	CU_ASSERT(f.admission.instance_limit.limit < 10);
	f.admission.instance_limit.was_full = true;
	for (i = 0; i < 4000; i++) {
		clock_advance(&f.clock, MSEC(10));
		f.admission.instance_limit.was_full = true;
		admission_add_lag(&f.admission, 0);
	}
	CU_ASSERT_EQUAL(f.admission.instance_limit.limit, 1000);
	admission_finish(&f.admission);
}

/*
 * A model of the fleet: entries with admission control, and one pool of slots
 * with a queue per service. Searches arrive at random and take a random time.
 * The baseline has neither admission control nor deadlines in its queues.
 */
#define ENTRIES 4
#define POOLS 2
#define SLOTS 4
#define SERVE_MIN MSEC(10)
#define SERVE_MAX MSEC(30)
#define CAPACITY (SLOTS * 1000.0 / 20)
#define MODEL_DEADLINE MSEC(500)
#define MODEL_TARGET MSEC(250)
#define MODEL_TIME MSEC(20000)
#define WARM_UP MSEC(4000)
#define TICK MSEC(10)
#define SEEDS 5

struct model;

struct job {
	struct admission_request base;
	struct slot_item item;
	struct model *model;
	int service;
	int entry;
	int64_t arrived_at;
	int64_t service_time;
	int64_t ends_at;
	bool waits; /* queued by admission control */
	struct job *prev;
	struct job *next;
};

struct pool {
	struct slot_queue queue;
	struct job *running;
	struct job *fifo; /* first come, first served */
	int n_busy;
};

struct count {
	int offered;
	int n_in_time;
	int n_late;
	int refused;
	int n_latencies;
	int64_t *latencies;
	size_t cap;
};

struct model {
	struct clock clock;
	struct admission entries[ENTRIES];
	struct pool pools[POOLS];
	struct count is_measured[POOLS];
	double rate[POOLS]; /* arrivals per second */
	int64_t next_arrival[POOLS];
	bool baseline;
	bool shared; /* all services use the first pool */
};

static struct pool *pool_of(struct model *model, const struct job *job)
{
	return &model->pools[model->shared ? 0 : job->service];
}

static bool is_measured(const struct model *model, const struct job *job)
{
	(void)model;
	return job->arrived_at >= WARM_UP;
}

static void end_job(struct model *model, struct job *job, bool answered)
{
	struct count *count = &model->is_measured[job->service];
	int64_t latency = clock_now(&model->clock) - job->arrived_at;

	if (!is_measured(model, job)) {
		free(job);
		return;
	}
	if (!answered) {
		count->refused++;
	} else {
		count->n_in_time += latency <= MODEL_DEADLINE;
		count->n_late += latency > MODEL_DEADLINE;
		MEM_GROW(count->latencies, count->n_latencies, count->cap);
		count->latencies[count->n_latencies++] = latency;
	}
	free(job);
}

static void leave_entry(struct model *model, struct job *job,
			struct admission_sample sample)
{
	if (!model->baseline)
		admission_leave(&model->entries[job->entry], &job->base,
				&sample);
}

static void on_drop(void *ctx, struct slot_item *item, int code)
{
	struct model *model = ctx;
	struct job *job =
		(struct job *)((char *)item - offsetof(struct job, item));
	struct admission_sample sample = {
		.wait = clock_now(&model->clock) - item->pushed_at,
		.shed = true,
	};

	(void)code;
	leave_entry(model, job, sample);
	end_job(model, job, false);
}

static struct job *take_job(struct model *model, struct pool *pool)
{
	struct slot_item *item;
	struct job *job = pool->fifo;

	if (model->baseline) {
		if (job)
			DL_DELETE(pool->fifo, job);
		return job;
	}
	item = slot_queue_pop(&pool->queue, on_drop, model);
	return item ? (struct job *)((char *)item - offsetof(struct job, item))
		    : NULL;
}

static void fill_slots(struct model *model, struct pool *pool)
{
	int64_t now = clock_now(&model->clock);
	struct job *job;

	while (pool->n_busy < SLOTS && (job = take_job(model, pool))) {
		job->item.pushed_at =
			now - job->item.pushed_at; /* queueing time */
		job->service_time =
			SERVE_MIN +
			(int64_t)(unit_random() * (SERVE_MAX - SERVE_MIN));
		job->ends_at = now + job->service_time;
		DL_APPEND(pool->running, job);
		pool->n_busy++;
	}
}

static void send_to_pool(struct job *job)
{
	struct model *model = job->model;
	struct pool *pool = pool_of(model, job);
	int code;

	job->waits = false;
	job->item.priority = job->base.priority;
	job->item.goal = job->base.deadline;
	job->item.deadline = job->base.deadline;
	job->item.cost = 1;
	if (model->baseline) {
		job->item.pushed_at = clock_now(&model->clock);
		DL_APPEND(pool->fifo, job);
		return;
	}
	code = slot_queue_push(&pool->queue, &job->item, on_drop, model);
	if (code)
		on_drop(model, &job->item, code);
}

static void job_start(struct admission_request *base)
{
	send_to_pool((struct job *)base);
}

static void job_refuse(struct admission_request *base, int code,
		       uint32_t retry_after_ms)
{
	struct job *job = (struct job *)base;

	(void)code;
	(void)retry_after_ms;
	end_job(job->model, job, false);
}

static void arrive(struct model *model, int service)
{
	static const char *const names[POOLS] = {"desk", "reporting"};
	struct job *job = mem_zalloc(sizeof(*job));
	uint32_t retry;
	int state;

	job->model = model;
	job->service = service;
	job->entry = (int)(next_random() % ENTRIES);
	job->arrived_at = clock_now(&model->clock);
	job->base = (struct admission_request){
		.service = str_from(names[service]),
		.priority = service ? 9 : 0,
		.weight = 10,
		.slo_latency = MODEL_TARGET,
		.deadline = job->arrived_at + MODEL_DEADLINE,
		.start = job_start,
		.refuse = job_refuse,
	};
	model->is_measured[service].offered += is_measured(model, job);
	if (model->baseline) {
		send_to_pool(job);
		return;
	}
	state = admission_enter(&model->entries[job->entry], &job->base,
				&retry);
	if (state == ADMISSION_STARTED)
		send_to_pool(job);
	else if (state < 0)
		end_job(model, job, false);
}

static void finish_jobs(struct model *model, struct pool *pool)
{
	int64_t now = clock_now(&model->clock);
	struct job *job;
	struct job *next;

	for (job = pool->running; job; job = next) {
		struct admission_sample sample = {.wait = job->item.pushed_at};

		next = job->next;
		if (job->ends_at > now)
			continue;
		DL_DELETE(pool->running, job);
		pool->n_busy--;
		slot_queue_record_time(&pool->queue, job->service_time);
		leave_entry(model, job, sample);
		end_job(model, job, true);
	}
}

static void start_arrivals(struct model *model)
{
	int64_t now = clock_now(&model->clock);
	int i;

	for (i = 0; i < POOLS; i++) {
		while (model->rate[i] > 0 && model->next_arrival[i] <= now) {
			arrive(model, i);
			model->next_arrival[i] +=
				(int64_t)(-log(unit_random()) * USEC_PER_SEC /
					  model->rate[i]) +
				1;
		}
	}
}

static void model_step(struct model *model, int64_t step)
{
	int i;

	clock_advance(&model->clock, step);
	start_arrivals(model);
	for (i = 0; i < POOLS; i++) {
		finish_jobs(model, &model->pools[i]);
		fill_slots(model, &model->pools[i]);
	}
	if (clock_now(&model->clock) % TICK)
		return;
	for (i = 0; i < ENTRIES && !model->baseline; i++)
		admission_tick(&model->entries[i]);
	for (i = 0; i < POOLS && !model->baseline; i++)
		slot_queue_expire(&model->pools[i].queue, on_drop, model);
}

static uint64_t seed = 1;

static void model_init(struct model *model, double desk, double reporting,
		       bool baseline, bool shared)
{
	struct admission_tunables tunables = {
		.queue_max = 1000,
		.wait_target_ratio = 0.1,
		.floor = 0.02,
		.lag_target = MSEC(20),
	};
	int i;

	memset(model, 0, sizeof(*model));
	random_state = seed;
	clock_init_paused(&model->clock, 0);
	model->baseline = baseline;
	model->shared = shared;
	model->rate[0] = desk * CAPACITY;
	model->rate[1] = reporting * CAPACITY;
	for (i = 0; i < ENTRIES; i++) {
		admission_init(&model->entries[i], &model->clock, next_random);
		admission_set_tunables(&model->entries[i], &tunables);
	}
	for (i = 0; i < POOLS; i++) {
		slot_queue_init(&model->pools[i].queue, &model->clock, 1000);
		model->pools[i].queue.slots = SLOTS;
	}
}

static void free_jobs(struct job *jobs)
{
	struct job *job;

	while ((job = jobs)) {
		DL_DELETE(jobs, job);
		free(job);
	}
}

/* Stop arrivals and run all jobs to their end. */
static void model_finish(struct model *model)
{
	int i;

	memset(model->rate, 0, sizeof(model->rate));
	for (i = 0; i < 4000 && !model->baseline; i++)
		model_step(model, MSEC(1));
	for (i = 0; i < POOLS; i++) {
		free_jobs(model->pools[i].running);
		free_jobs(model->pools[i].fifo);
		slot_queue_finish(&model->pools[i].queue);
		free(model->is_measured[i].latencies);
	}
	for (i = 0; i < ENTRIES; i++)
		admission_finish(&model->entries[i]);
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t quantile(struct count *count, double q)
{
	if (!count->n_latencies)
		return 0;
	qsort(count->latencies, (size_t)count->n_latencies, sizeof(int64_t),
	      compare);
	return count->latencies[(int)((count->n_latencies - 1) * q)];
}

struct result {
	double goodput;	 /* as a fraction of the capacity of a pool */
	double answered; /* fraction of offered jobs answered in time */
	int64_t p99;
};

static struct result result_of(struct model *model, int service)
{
	struct count *count = &model->is_measured[service];
	double seconds = (double)(MODEL_TIME - WARM_UP) / USEC_PER_SEC;

	return (struct result){
		.goodput = count->n_in_time / seconds / CAPACITY,
		.answered = 1 - (double)(count->refused + count->n_late) /
					count->offered,
		.p99 = quantile(count, 0.99),
	};
}

static void run_model(double desk, double reporting, bool baseline, bool shared,
		      struct result results[POOLS])
{
	struct model model;
	int i;

	model_init(&model, desk, reporting, baseline, shared);
	while (clock_now(&model.clock) < MODEL_TIME)
		model_step(&model, MSEC(1));
	for (i = 0; i < POOLS; i++)
		results[i] = result_of(&model, i);
	printf("\n%s%s: offered %4.1f + %4.1f: goodput %.2f + %.2f, "
	       "p99 %.0f ms, %.0f ms",
	       baseline ? "plain" : "admission", shared ? ", shared" : "", desk,
	       reporting, results[0].goodput, results[1].goodput,
	       results[0].p99 / 1000.0, results[1].p99 / 1000.0);
	model_finish(&model);
}

/*
 * Guards against congestion collapse: at ten times the capacity, queues would
 * grow until every answer is late. With admission control the goodput stays
 * near capacity and answers are in time; other requests are refused at once.
 */
static void check_overload(void)
{
	static const double loads[] = {1, 2, 5, 10};
	struct result results[POOLS];
	double peak = 0;
	double least = INFINITY;
	size_t i;

	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		run_model(loads[i], 0, false, false, results);
		peak = fmax(peak, results[0].goodput);
		least = fmin(least, results[0].goodput);
		CU_ASSERT(results[0].p99 <= MODEL_DEADLINE);
	}
	CU_ASSERT(peak > 0.9);
	CU_ASSERT(least >= 0.9 * peak);
}

static void test_overload(void)
{
	for (seed = 1; seed <= SEEDS; seed++)
		check_overload();
	seed = 1;
}

/* Checks that the model collapses without admission control. */
static void test_overload_baseline(void)
{
	struct result results[POOLS];

	run_model(2, 0, true, false, results);
	CU_ASSERT(results[0].goodput < 0.5);
}

/* Below capacity, admission control refuses next to nothing. */
static void test_half_load(void)
{
	struct result results[POOLS];

	run_model(0.5, 0, false, false, results);
	CU_ASSERT(results[0].answered > 0.999);
}

/* An overloaded service does not affect another one with its own servers. */
static void test_other_service(void)
{
	struct result results[POOLS];

	run_model(0.5, 10, false, false, results);
	CU_ASSERT(results[0].answered > 0.999);
	CU_ASSERT(results[1].goodput > 0.85);
}

/*
 * Guards against a less urgent service that takes capacity from an urgent one
 * on the same servers: the urgent one is served as long as it fits by itself.
 */
static void test_shared(void)
{
	static const double loads[] = {1, 2, 5, 10};
	struct result results[POOLS];
	size_t i;

	for (i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		run_model(0.5, loads[i], false, true, results);
		CU_ASSERT(results[0].answered > 0.999);
		CU_ASSERT(results[0].goodput + results[1].goodput > 0.85);
		CU_ASSERT(results[0].p99 < MSEC(80));
	}
}

/* Guards against queued searches that are leaked at the end of a process. */
static void test_refuse_all(void)
{
	struct test_request requests[4];
	struct test_request blocker;
	struct fixture f;
	int i;

	block_instance(&f, &blocker);
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(enter(&f, &requests[i], i % 2 ? "s" : "t", "w",
				      i % 2, 1),
				ADMISSION_QUEUED);
	admission_refuse_all(&f.admission);
	CU_ASSERT_EQUAL(f.admission.n_waiting, 0);
	for (i = 0; i < 4; i++)
		CU_ASSERT(requests[i].refused && !requests[i].started);
	leave_all(&f, &blocker, 1);
}

/* Guards against searches that wait for longer than their process lives. */
static void test_limited_deadlines(void)
{
	struct test_request blocker;
	struct test_request waiting;
	struct fixture f;

	setup(&f, 1000);
	f.admission.instance_limit.limit = 1;
	enter(&f, &blocker, "desk", "", 5, 10);
	CU_ASSERT_EQUAL(enter(&f, &waiting, "desk", "", 5, 10),
			ADMISSION_QUEUED);
	admission_limit_deadlines(&f.admission,
				  clock_now(&f.clock) + MSEC(300));
	clock_advance(&f.clock, MSEC(290));
	admission_tick(&f.admission);
	CU_ASSERT_EQUAL(waiting.refused, 0);
	clock_advance(&f.clock, MSEC(10));
	admission_tick(&f.admission);
	CU_ASSERT_EQUAL(waiting.refused, 1);
	leave_all(&f, &blocker, 1);
}

static const struct unit_test tests[] = {
	{"priority", test_priority},
	{"weights", test_weights},
	{"workspaces", test_workspaces},
	{"floor", test_floor},
	{"full instance", test_full_instance},
	{"refused before deadline", test_refused_before_deadline},
	{"random retry delay", test_retry_after_is_random},
	{"event loop lag", test_lag},
	{"half load", test_half_load},
	{"overload, baseline", test_overload_baseline},
	{"overload", test_overload},
	{"other service", test_other_service},
	{"shared", test_shared},
	{"refuse all", test_refuse_all},
	{"limited deadlines", test_limited_deadlines},
};

UNIT_MAIN("admission", tests)
