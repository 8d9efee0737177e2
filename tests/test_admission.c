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

/* Single decisions, with requests that only note what happened to them. */
struct note {
	struct admission_request base;
	int started;
	int refused;
	uint32_t retry_after_ms;
	int order;
};

static int note_order;

static void note_start(struct admission_request *request)
{
	struct note *note = (struct note *)request;

	note->started++;
	note->order = ++note_order;
}

static void note_refuse(struct admission_request *request, int code,
			uint32_t retry_after_ms)
{
	struct note *note = (struct note *)request;

	CU_ASSERT_EQUAL(code, ERR_OVERLOAD);
	note->refused++;
	note->retry_after_ms = retry_after_ms;
}

struct fixture {
	struct clock clock;
	struct admission admission;
};

static void setup(struct fixture *f, int64_t queue_max)
{
	struct admission_tunables tunables = {
		.queue_max = queue_max,
		.target = 0.1,
		.floor = 0.02,
		.lag_target = MSEC(20),
	};

	random_state = 7;
	note_order = 0;
	clock_init_paused(&f->clock, MSEC(1000));
	admission_init(&f->admission, &f->clock, next_random);
	admission_set_tunables(&f->admission, &tunables);
}

static int enter(struct fixture *f, struct note *note, const char *service,
		 const char *workspace, int priority, int64_t weight)
{
	memset(note, 0, sizeof(*note));
	note->base.service = str_from(service);
	note->base.workspace = str_from(workspace);
	note->base.priority = priority;
	note->base.weight = weight;
	note->base.slo_latency = MSEC(500);
	note->base.deadline = clock_now(&f->clock) + MSEC(1000);
	note->base.start = note_start;
	note->base.refuse = note_refuse;
	return admission_enter(&f->admission, &note->base,
			       &note->retry_after_ms);
}

static void leave(struct fixture *f, struct note *note, int64_t wait)
{
	struct admission_sample sample = {.wait = wait};

	admission_leave(&f->admission, &note->base, &sample);
}

#define MANY 40

/* One request runs and holds all the room there is; others wait behind it. */
static void fill(struct fixture *f, struct note *blocker)
{
	setup(f, 1000);
	f->admission.whole.limit = 1;
	CU_ASSERT_EQUAL(enter(f, blocker, "blocker", "", 0, 1),
			ADMISSION_STARTED);
}

static void empty(struct fixture *f, struct note *notes, int n)
{
	int i;

	for (i = 0; i < n; i++)
		admission_leave(&f->admission, &notes[i].base, NULL);
	admission_finish(&f->admission);
}

/* Start all that wait, one after the other. */
static void serve_all(struct fixture *f, struct note *blocker,
		      struct note *notes, int n)
{
	struct note *running = blocker;
	int i;

	while (running) {
		leave(f, running, 0);
		running = NULL;
		for (i = 0; i < n; i++) {
			if (notes[i].started && notes[i].base.at)
				running = &notes[i];
		}
	}
}

/*
 * Reporting floods an instance while a call-centre agent looks up a burst
 * pipe. What is urgent starts first, whenever it came.
 */
static void test_priority(void)
{
	struct note notes[3];
	struct note blocker;
	struct fixture f;

	fill(&f, &blocker);
	CU_ASSERT_EQUAL(enter(&f, &notes[0], "reporting", "", 9, 10),
			ADMISSION_QUEUED);
	enter(&f, &notes[1], "portal", "", 5, 10);
	enter(&f, &notes[2], "desk", "", 0, 10);
	serve_all(&f, &blocker, notes, 3);
	CU_ASSERT_EQUAL(notes[2].order, 1);
	CU_ASSERT_EQUAL(notes[1].order, 2);
	CU_ASSERT_EQUAL(notes[0].order, 3);
	empty(&f, notes, 3);
}

/* Of two services of one priority the one of weight 3 gets 3 of 4 starts. */
static void test_weights(void)
{
	struct note notes[MANY];
	struct note blocker;
	struct fixture f;
	int heavy = 0;
	int i;

	fill(&f, &blocker);
	for (i = 0; i < MANY; i++)
		enter(&f, &notes[i], i % 2 ? "heavy" : "light", "", 5,
		      i % 2 ? 30 : 10);
	serve_all(&f, &blocker, notes, MANY);
	for (i = 0; i < MANY; i++)
		heavy += i % 2 && notes[i].order <= MANY / 2;
	CU_ASSERT(heavy >= 14 && heavy <= 16);
	empty(&f, notes, MANY);
}

/*
 * One workspace sends forty searches at once, another one. The one does not
 * wait behind the forty.
 */
static void test_workspaces(void)
{
	struct note notes[MANY];
	struct note blocker;
	struct fixture f;
	int i;

	fill(&f, &blocker);
	for (i = 0; i < MANY; i++)
		enter(&f, &notes[i], "desk", i == MANY - 1 ? "small" : "large",
		      5, 10);
	serve_all(&f, &blocker, notes, MANY);
	CU_ASSERT(notes[MANY - 1].order <= 2);
	empty(&f, notes, MANY);
}

/*
 * Urgent work alone fills the instance for minutes. The rest still gets its
 * small part of the starts.
 */
static void test_floor(void)
{
	struct note urgent[2];
	struct note low;
	struct fixture f;
	int i;

	fill(&f, &urgent[0]);
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
	empty(&f, urgent, 2);
}

/*
 * The instance is full of searches of one workspace. An urgent search makes
 * room for itself, one of a small service does, one more of the large does not.
 */
static void test_make_room(void)
{
	struct note notes[4];
	struct note blocker;
	struct note urgent;
	struct note small;
	struct note more;
	struct fixture f;
	int i;

	fill(&f, &blocker);
	f.admission.tunables.queue_max = 5;
	for (i = 0; i < 4; i++)
		CU_ASSERT_EQUAL(enter(&f, &notes[i], "large", "", 5, 10),
				ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(enter(&f, &more, "large", "", 5, 10), ERR_OVERLOAD);
	CU_ASSERT(more.retry_after_ms > 0);
	CU_ASSERT_EQUAL(enter(&f, &small, "small", "", 5, 10),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(notes[3].refused, 1);
	CU_ASSERT_EQUAL(enter(&f, &urgent, "desk", "", 0, 10),
			ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(notes[2].refused, 1);
	CU_ASSERT_EQUAL(enter(&f, &more, "reporting", "", 9, 10), ERR_OVERLOAD);
	CU_ASSERT_EQUAL(notes[1].refused + notes[0].refused, 0);
	admission_leave(&f.admission, &blocker.base, NULL);
	admission_leave(&f.admission, &small.base, NULL);
	admission_leave(&f.admission, &urgent.base, NULL);
	empty(&f, notes, 4);
}

/*
 * A search waits until it can't be answered in time any more. It is refused
 * then, as not run, not at its deadline.
 */
static void test_late(void)
{
	struct note blocker;
	struct note waiting;
	struct fixture f;

	setup(&f, 1000);
	f.admission.whole.limit = 1;
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
	empty(&f, &blocker, 1);
}

/* Those refused together must not come back together. */
static void test_spread(void)
{
	struct note blocker;
	struct note note;
	uint32_t least = UINT32_MAX;
	uint32_t most = 0;
	struct fixture f;
	int i;

	fill(&f, &blocker);
	f.admission.tunables.queue_max = 1;
	for (i = 0; i < 3000; i++) {
		clock_advance(&f.clock, MSEC(1));
		CU_ASSERT_EQUAL(enter(&f, &note, "desk", "", 5, 10),
				ERR_OVERLOAD);
		if (i < 2000)
			continue;
		least = note.retry_after_ms < least ? note.retry_after_ms
						    : least;
		most = note.retry_after_ms > most ? note.retry_after_ms : most;
	}
	CU_ASSERT(most > 2 * least);
	CU_ASSERT(most <= 15000);
	empty(&f, &blocker, 1);
}

/* The event loop is late all the time: the instance starts less. */
static void test_lag(void)
{
	struct fixture f;
	int i;

	setup(&f, 1000);
	for (i = 0; i < 400; i++) {
		clock_advance(&f.clock, MSEC(10));
		admission_add_lag(&f.admission, MSEC(100));
	}
	CU_ASSERT(f.admission.whole.limit < 10);
	f.admission.whole.full = true;
	for (i = 0; i < 4000; i++) {
		clock_advance(&f.clock, MSEC(10));
		f.admission.whole.full = true;
		admission_add_lag(&f.admission, 0);
	}
	CU_ASSERT_EQUAL(f.admission.whole.limit, 1000);
	admission_finish(&f.admission);
}

/*
 * A model of the fleet: entries with admission, before pools of slots with a
 * queue each, one for each service; searches come at random and take a random
 * time. The plain way has neither admission nor deadlines in its queue.
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
	int64_t arrived;
	int64_t served;
	int64_t ends;
	bool waits; /* in admission */
	struct job *prev;
	struct job *next;
};

struct pool {
	struct slot_queue queue;
	struct job *running;
	struct job *plain; /* first come, first served */
	int busy;
};

struct count {
	int offered;
	int good;
	int late;
	int refused;
	int n_latencies;
	int64_t *latencies;
	size_t cap;
};

struct model {
	struct clock clock;
	struct admission entries[ENTRIES];
	struct pool pools[POOLS];
	struct count counts[POOLS];
	double rate[POOLS]; /* a second */
	int64_t next_arrival[POOLS];
	bool plain;
	bool shared; /* all services on the first pool */
};

static struct pool *pool_of(struct model *model, const struct job *job)
{
	return &model->pools[model->shared ? 0 : job->service];
}

static bool counts(const struct model *model, const struct job *job)
{
	(void)model;
	return job->arrived >= WARM_UP;
}

static void end_job(struct model *model, struct job *job, bool answered)
{
	struct count *count = &model->counts[job->service];
	int64_t latency = clock_now(&model->clock) - job->arrived;

	if (!counts(model, job)) {
		free(job);
		return;
	}
	if (!answered) {
		count->refused++;
	} else {
		count->good += latency <= MODEL_DEADLINE;
		count->late += latency > MODEL_DEADLINE;
		MEM_GROW(count->latencies, count->n_latencies, count->cap);
		count->latencies[count->n_latencies++] = latency;
	}
	free(job);
}

static void leave_entry(struct model *model, struct job *job,
			struct admission_sample sample)
{
	if (!model->plain)
		admission_leave(&model->entries[job->entry], &job->base,
				&sample);
}

static void on_drop(void *ctx, struct slot_item *item, int code)
{
	struct model *model = ctx;
	struct job *job =
		(struct job *)((char *)item - offsetof(struct job, item));
	struct admission_sample sample = {
		.wait = clock_now(&model->clock) - item->pushed,
		.shed = true,
	};

	(void)code;
	leave_entry(model, job, sample);
	end_job(model, job, false);
}

static struct job *take_job(struct model *model, struct pool *pool)
{
	struct slot_item *item;
	struct job *job = pool->plain;

	if (model->plain) {
		if (job)
			DL_DELETE(pool->plain, job);
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

	while (pool->busy < SLOTS && (job = take_job(model, pool))) {
		job->item.pushed = now - job->item.pushed; /* now its wait */
		job->served = SERVE_MIN + (int64_t)(unit_random() *
						    (SERVE_MAX - SERVE_MIN));
		job->ends = now + job->served;
		DL_APPEND(pool->running, job);
		pool->busy++;
	}
}

static void to_pool(struct job *job)
{
	struct model *model = job->model;
	struct pool *pool = pool_of(model, job);
	int code;

	job->waits = false;
	job->item.priority = job->base.priority;
	job->item.goal = job->base.deadline;
	job->item.deadline = job->base.deadline;
	job->item.cost = 1;
	if (model->plain) {
		job->item.pushed = clock_now(&model->clock);
		DL_APPEND(pool->plain, job);
		return;
	}
	code = slot_queue_push(&pool->queue, &job->item, on_drop, model);
	if (code)
		on_drop(model, &job->item, code);
}

static void job_start(struct admission_request *base)
{
	to_pool((struct job *)base);
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
	job->arrived = clock_now(&model->clock);
	job->base = (struct admission_request){
		.service = str_from(names[service]),
		.priority = service ? 9 : 0,
		.weight = 10,
		.slo_latency = MODEL_TARGET,
		.deadline = job->arrived + MODEL_DEADLINE,
		.start = job_start,
		.refuse = job_refuse,
	};
	model->counts[service].offered += counts(model, job);
	if (model->plain) {
		to_pool(job);
		return;
	}
	state = admission_enter(&model->entries[job->entry], &job->base,
				&retry);
	if (state == ADMISSION_STARTED)
		to_pool(job);
	else if (state < 0)
		end_job(model, job, false);
}

static void finish_jobs(struct model *model, struct pool *pool)
{
	int64_t now = clock_now(&model->clock);
	struct job *job;
	struct job *next;

	for (job = pool->running; job; job = next) {
		struct admission_sample sample = {.wait = job->item.pushed};

		next = job->next;
		if (job->ends > now)
			continue;
		DL_DELETE(pool->running, job);
		pool->busy--;
		slot_queue_record_time(&pool->queue, job->served);
		leave_entry(model, job, sample);
		end_job(model, job, true);
	}
}

static void arrivals(struct model *model)
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
	arrivals(model);
	for (i = 0; i < POOLS; i++) {
		finish_jobs(model, &model->pools[i]);
		fill_slots(model, &model->pools[i]);
	}
	if (clock_now(&model->clock) % TICK)
		return;
	for (i = 0; i < ENTRIES && !model->plain; i++)
		admission_tick(&model->entries[i]);
	for (i = 0; i < POOLS && !model->plain; i++)
		slot_queue_expire(&model->pools[i].queue, on_drop, model);
}

static uint64_t seed = 1;

static void model_init(struct model *model, double desk, double reporting,
		       bool plain, bool shared)
{
	struct admission_tunables tunables = {
		.queue_max = 1000,
		.target = 0.1,
		.floor = 0.02,
		.lag_target = MSEC(20),
	};
	int i;

	memset(model, 0, sizeof(*model));
	random_state = seed;
	clock_init_paused(&model->clock, 0);
	model->plain = plain;
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

/* No more come; those in progress end. */
static void model_finish(struct model *model)
{
	int i;

	memset(model->rate, 0, sizeof(model->rate));
	for (i = 0; i < 4000 && !model->plain; i++)
		model_step(model, MSEC(1));
	for (i = 0; i < POOLS; i++) {
		free_jobs(model->pools[i].running);
		free_jobs(model->pools[i].plain);
		slot_queue_finish(&model->pools[i].queue);
		free(model->counts[i].latencies);
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
	double goodput;	 /* part of the capacity of a pool */
	double answered; /* in time, of those that ended */
	int64_t p99;
};

static struct result result_of(struct model *model, int service)
{
	struct count *count = &model->counts[service];
	double seconds = (double)(MODEL_TIME - WARM_UP) / USEC_PER_SEC;

	return (struct result){
		.goodput = count->good / seconds / CAPACITY,
		.answered = 1 - (double)(count->refused + count->late) /
					count->offered,
		.p99 = quantile(count, 0.99),
	};
}

static void run_model(double desk, double reporting, bool plain, bool shared,
		      struct result results[POOLS])
{
	struct model model;
	int i;

	model_init(&model, desk, reporting, plain, shared);
	while (clock_now(&model.clock) < MODEL_TIME)
		model_step(&model, MSEC(1));
	for (i = 0; i < POOLS; i++)
		results[i] = result_of(&model, i);
	printf("\n%s%s: offered %4.1f + %4.1f: goodput %.2f + %.2f, "
	       "p99 %.0f ms, %.0f ms",
	       plain ? "plain" : "admission", shared ? ", shared" : "", desk,
	       reporting, results[0].goodput, results[1].goodput,
	       results[0].p99 / 1000.0, results[1].p99 / 1000.0);
	model_finish(&model);
}

/*
 * On a cold morning the desks ask for ten times what the servers can answer.
 * Queues grow until every answer is late, so that nobody gets one. With
 * admission, as many as ever are answered, in time, and the others are told at
 * once when to come back.
 */
static void overload(void)
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
		overload();
	seed = 1;
}

/* The plain way does collapse in this model, or the above would show little. */
static void test_overload_plain(void)
{
	struct result results[POOLS];

	run_model(2, 0, true, false, results);
	CU_ASSERT(results[0].goodput < 0.5);
}

/* Below capacity admission is not noticed. */
static void test_half_load(void)
{
	struct result results[POOLS];

	run_model(0.5, 0, false, false, results);
	CU_ASSERT(results[0].answered > 0.999);
}

/* One service floods its servers; the other, on its own, sees nothing. */
static void test_other_service(void)
{
	struct result results[POOLS];

	run_model(0.5, 10, false, false, results);
	CU_ASSERT(results[0].answered > 0.999);
	CU_ASSERT(results[1].goodput > 0.85);
}

/*
 * Reporting floods what it shares with the urgent desks. The desks get all
 * they ask for as long as they alone fit.
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

static const struct unit_test tests[] = {
	{"priority", test_priority},
	{"weights", test_weights},
	{"workspaces", test_workspaces},
	{"floor", test_floor},
	{"make room", test_make_room},
	{"late", test_late},
	{"spread", test_spread},
	{"lag", test_lag},
	{"half load", test_half_load},
	{"overload, plain", test_overload_plain},
	{"overload", test_overload},
	{"other service", test_other_service},
	{"shared", test_shared},
};

UNIT_MAIN("admission", tests)
