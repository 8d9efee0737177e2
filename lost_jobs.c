#define LOG_MODULE "lost_jobs"
#include "lost_jobs.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"

/* A server that stays in doubt is checked again, ever more rarely. */
#define RECHECK_DELAY_MIN MSEC(10)
#define RECHECK_DELAY_MAX MSEC(200)
/* Without evidence for so long nobody is blamed. */
#define DOUBT_MAX MSEC(10000)

/**
 * struct doubtful_run - a run whose job was reported without a proof that its
 * server lives
 * @run: as poison knows it
 * @lost_at: when its job was reported, microseconds
 */
struct doubtful_run {
	struct poison_run run;
	int64_t lost_at;
	struct doubtful_run *prev;
	struct doubtful_run *next;
};

static void arm_timer(struct lost_jobs *lost)
{
	int64_t at = lost->check.wake_at;

	wake_timer_move(&lost->timer,
			lost->recheck_at < at ? lost->recheck_at : at);
}

static bool is_connected(void *arg)
{
	const struct lost_jobs *lost = arg;

	return server_pool_is_connected(lost->pool);
}

static void on_probed(void *arg, enum crash_evidence evidence)
{
	struct lost_jobs *lost = arg;

	crash_check_probed(&lost->check, evidence);
	arm_timer(lost);
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

static int confirm(void *arg)
{
	const struct lost_jobs *lost = arg;

	return lost->confirm(lost->confirm_arg);
}

static void keep_doubts(struct lost_jobs *lost)
{
	int64_t now = clock_now(lost->home->board->clock);
	int i;

	for (i = 0; i < lost->n; i++) {
		struct doubtful_run *doubt = mem_zalloc(sizeof(*doubt));

		poison_move_in_doubt(&lost->jobs[i]->poison, &doubt->run);
		doubt->lost_at = now;
		DL_APPEND(lost->doubts, doubt);
	}
	if (!lost->doubts)
		return;
	lost->recheck_at = now + lost->recheck_delay;
	lost->recheck_delay *= 2;
	if (lost->recheck_delay > RECHECK_DELAY_MAX)
		lost->recheck_delay = RECHECK_DELAY_MAX;
	wake_timer_arm(&lost->timer, lost->recheck_at);
}

/* Ends the doubts about runs that were lost before @before. */
static void end_doubts(struct lost_jobs *lost, int64_t before)
{
	struct doubtful_run *doubt;
	struct doubtful_run *next;

	DL_FOREACH_SAFE (lost->doubts, doubt, next) {
		if (doubt->lost_at >= before)
			continue;
		poison_end(&lost->home->board->poison, &doubt->run, false);
		DL_DELETE(lost->doubts, doubt);
		free(doubt);
	}
	if (lost->doubts)
		return;
	lost->recheck_at = INT64_MAX;
	lost->recheck_delay = RECHECK_DELAY_MIN;
}

/* Suspects are marked before any entry learns of the loss. */
static void report(void *arg, enum crash_evidence evidence)
{
	struct lost_jobs *lost = arg;
	struct str none = {NULL, 0};
	int n = lost->n;
	int i;

	if (lost->n || crash_evidence_is_crash(evidence))
		log_verdict(lost, evidence);
	server_pool_end_probe(lost->pool);
	if (crash_evidence_is_crash(evidence))
		poison_server_lost(&lost->home->board->poison,
				   str_from(lost->server->name));
	if (crash_evidence_is_crash(evidence) ||
	    evidence == CRASH_EVIDENCE_ANSWERED)
		end_doubts(lost, INT64_MAX);
	else
		keep_doubts(lost);
	lost->n = 0;
	for (i = 0; i < n; i++)
		home_job_done(lost->home, lost->jobs[i], ERR_LOST, true, 0,
			      none);
}

static const struct crash_check_ops ops = {
	.is_connected = is_connected,
	.probe = probe,
	.confirm = confirm,
	.judged = report,
};

static void on_timer(void *arg)
{
	struct lost_jobs *lost = arg;
	int64_t now = clock_now(lost->home->board->clock);

	end_doubts(lost, now - DOUBT_MAX);
	if (now >= lost->recheck_at) {
		lost->recheck_at = INT64_MAX;
		crash_check_start(&lost->check);
	}
	crash_check_tick(&lost->check);
	arm_timer(lost);
}

void lost_jobs_confirmed(struct lost_jobs *lost, int64_t sent_at, bool answered)
{
	if (answered)
		end_doubts(lost, sent_at);
	if (!answered || sent_at >= lost->check.started_at)
		crash_check_confirmed(&lost->check, answered);
	else if (lost->check.state == CRASH_CHECK_CONFIRMING)
		lost->confirm(lost->confirm_arg);
	arm_timer(lost);
}

void lost_jobs_init(struct lost_jobs *lost, struct home *home,
		    struct home_server *server, struct server_pool *pool,
		    int (*confirm_life)(void *arg), void *confirm_arg)
{
	const struct blackboard *board = home->board;

	memset(lost, 0, sizeof(*lost));
	lost->home = home;
	lost->server = server;
	lost->pool = pool;
	lost->confirm = confirm_life;
	lost->confirm_arg = confirm_arg;
	lost->recheck_at = INT64_MAX;
	lost->recheck_delay = RECHECK_DELAY_MIN;
	crash_check_init(&lost->check, board->clock, &ops, lost);
	wake_timer_init(&lost->timer, board->base, board->clock, on_timer,
			lost);
}

void lost_jobs_finish(struct lost_jobs *lost)
{
	end_doubts(lost, INT64_MAX);
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
