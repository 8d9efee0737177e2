#define LOG_MODULE "lost_jobs"
#include "lost_jobs.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "mem.h"

static bool is_connected(void *arg)
{
	const struct lost_jobs *lost = arg;

	return server_pool_is_connected(lost->pool);
}

static void on_probed(void *arg, enum crash_evidence evidence)
{
	struct lost_jobs *lost = arg;

	crash_check_probed(&lost->check, evidence);
}

static int probe(void *arg)
{
	struct lost_jobs *lost = arg;

	return server_pool_probe(lost->pool, on_probed, lost);
}

static void log_verdict(const struct lost_jobs *lost,
			enum crash_evidence evidence)
{
	int64_t now = clock_now(lost->home->board->clock);

	LOG_INFO("lost_jobs_judged", LOG_TEXT("server", lost->server->name),
		 LOG_U64("crashed", crash_evidence_is_crash(evidence)),
		 LOG_TEXT("evidence", crash_evidence_name(evidence)),
		 LOG_I64("after_ms",
			 (now - lost->check.started_at) / USEC_PER_MSEC),
		 LOG_I64("jobs", lost->n));
}

/* Suspects are marked before any entry learns of the loss. */
static void report(void *arg, enum crash_evidence evidence)
{
	struct lost_jobs *lost = arg;
	struct str none = {NULL, 0};
	int n = lost->n;
	int i;

	log_verdict(lost, evidence);
	server_pool_end_probe(lost->pool);
	if (crash_evidence_is_crash(evidence))
		poison_server_lost(&lost->home->board->poison,
				   str_from(lost->server->name));
	lost->n = 0;
	for (i = 0; i < n; i++)
		home_job_done(lost->home, lost->jobs[i], ERR_LOST, true, 0,
			      none);
}

static const struct crash_check_ops ops = {
	.is_connected = is_connected,
	.probe = probe,
	.judged = report,
};

static void on_timer(void *arg)
{
	struct lost_jobs *lost = arg;

	crash_check_tick(&lost->check);
	wake_timer_move(&lost->timer, lost->check.wake_at);
}

void lost_jobs_init(struct lost_jobs *lost, struct home *home,
		    struct home_server *server, struct server_pool *pool)
{
	const struct blackboard *board = home->board;

	memset(lost, 0, sizeof(*lost));
	lost->home = home;
	lost->server = server;
	lost->pool = pool;
	crash_check_init(&lost->check, board->clock, &ops, lost);
	wake_timer_init(&lost->timer, board->base, board->clock, on_timer,
			lost);
}

void lost_jobs_finish(struct lost_jobs *lost)
{
	wake_timer_finish(&lost->timer);
	free(lost->jobs);
}

void lost_jobs_add(struct lost_jobs *lost, struct home_job *job)
{
	MEM_GROW(lost->jobs, lost->n, lost->cap);
	lost->jobs[lost->n++] = job;
	crash_check_start(&lost->check);
	wake_timer_arm(&lost->timer, lost->check.wake_at);
}
