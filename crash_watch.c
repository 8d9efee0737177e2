#define LOG_MODULE "crash_watch"
#include "crash_watch_private.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "upstream.h"

/* Delay of the first probe: the other connections break meanwhile. */
#define PROBE_DELAY_MIN MSEC(3)
/* Each probe of a server that stays in doubt waits twice as long as before. */
#define PROBE_DELAY_MAX MSEC(200)
/* When it is known at the latest what a trial did to its server. */
#define HELD_LOST (CRASH_UNANSWERED_TIME_ON_TRIAL + MSEC(500))
#define HELD_SILENT MSEC(4000)
/* A server that answers nothing for so long is asked for its health. */
#define ASK_AFTER_SILENCE MSEC(250)
/* Runs that were given up and are watched at one server, the newest ones. */
#define GIVEN_UP_RUNS_MAX 64

void crash_watch_init(struct crash_watch *watch, const struct clock *clock,
		      struct poison *poison, const struct crash_watch_ops *ops,
		      void *arg)
{
	memset(watch, 0, sizeof(*watch));
	watch->clock = clock;
	watch->poison = poison;
	watch->ops = ops;
	watch->arg = arg;
}

static struct watched_server *get_server(struct crash_watch *watch,
					 struct registry_server *server)
{
	struct watched_server *watched = server->watched;

	if (watched)
		return watched;
	watched = mem_zalloc(sizeof(*watched));
	watched->server = registry_server_ref(server);
	watched->probe_at = INT64_MAX;
	watched->probe_delay = PROBE_DELAY_MIN;
	crash_doubt_end(watched);
	server->watched = watched;
	DL_APPEND(watch->servers, watched);
	return watched;
}

static void free_server_if_unused(struct crash_watch *watch,
				  struct watched_server *watched)
{
	if (watched->runs)
		return;
	DL_DELETE(watch->servers, watched);
	watched->server->watched = NULL;
	registry_server_unref(watched->server);
	free(watched);
}

static void free_run(struct crash_watch *watch, struct watched_run *run,
		     bool answered)
{
	poison_end(watch->poison, &run->run, answered);
	if (run->ended_at && run->end == RUN_GIVEN_UP)
		run->server->n_given_up--;
	DL_DELETE(run->server->runs, run);
	free(run);
}

void crash_watch_finish(struct crash_watch *watch)
{
	while (watch->servers) {
		struct watched_server *watched = watch->servers;

		while (watched->runs)
			free_run(watch, watched->runs, false);
		free_server_if_unused(watch, watched);
	}
}

static bool may_be_down(const struct crash_watch *watch,
			const struct registry_server *server)
{
	return server->broke_at &&
	       clock_now(watch->clock) - server->broke_at < CRASH_DOUBT_MAX;
}

/* A crash there would count for nothing, see crash_is_witness(). */
static bool was_never_seen_alive(const struct registry_server *server)
{
	return !server->answered_at && registry_can_be_asked(server);
}

/* Its answer ends the doubt, also where nothing else is sent. */
static void ask_for_health(const struct crash_watch *watch,
			   struct registry_server *server)
{
	if (!server->watched && registry_can_be_asked(server))
		watch->ops->probe(watch->arg, server);
}

int crash_watch_begin(struct crash_watch *watch, struct registry_server *server,
		      const struct upstream_request *request, int64_t deadline,
		      struct watched_run **out)
{
	char life[REGISTRY_INCARNATION_SIZE];
	struct str name = registry_incarnation(server, life);
	struct watched_run *run;

	if (request->trial == POISON_ON_TRIAL &&
	    (may_be_down(watch, server) || was_never_seen_alive(server))) {
		ask_for_health(watch, server);
		return ERR_CONNECT;
	}
	run = mem_zalloc(sizeof(*run));
	if (poison_begin(watch->poison, &run->run, request->fingerprint, name,
			 str_from(server->entry.service), request->trial,
			 INT64_MAX)) {
		free(run);
		return ERR_BANNED;
	}
	run->watch = watch;
	run->deadline = deadline;
	run->server = get_server(watch, server);
	DL_APPEND(run->server->runs, run);
	*out = run;
	return 0;
}

/* A request that is known to be safe needs no connection to watch its end. */
static bool needs_connection(const struct watched_server *watched)
{
	const struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (run->ended_at && (run->end == RUN_LOST || !run->run.safe))
			return true;
	}
	return false;
}

/*
 * While a connection is open, its end or an answer will tell. A server that is
 * silent for long or has lost a run is asked for its health all the same, if
 * its service tells where.
 */
static bool may_wait(const struct crash_watch *watch,
		     const struct watched_server *watched)
{
	const struct registry_server *server = watched->server;

	if (!server->n_conns)
		return false;
	return !registry_can_be_asked(server) ||
	       (!crash_has_lost_run(watched) &&
		clock_now(watch->clock) - server->answered_at <
			ASK_AFTER_SILENCE);
}

static void schedule_probe(struct crash_watch *watch,
			   struct watched_server *watched)
{
	if (watched->probing || watched->probe_at != INT64_MAX ||
	    !needs_connection(watched))
		return;
	watched->probe_at = clock_now(watch->clock) + watched->probe_delay;
	watch->ops->wake(watch->arg, watched->probe_at);
}

/* When a run can no longer crash its server. */
static int64_t latest_end(const struct watched_run *run)
{
	if (run->end == RUN_GIVEN_UP && run->deadline > run->ended_at)
		return run->deadline;
	return run->ended_at;
}

static void log_in_doubt(const struct watched_run *run)
{
	const struct watched_server *watched = run->server;

	LOG_INFO("server_in_doubt",
		 LOG_TEXT("server", watched->server->entry.id),
		 LOG_TEXT("service", watched->server->entry.service),
		 LOG_U64("fingerprint", run->run.hash),
		 LOG_I64("given_up", run->end == RUN_GIVEN_UP));
}

static void log_judged(const struct crash_watch *watch,
		       const struct watched_run *run,
		       enum crash_evidence evidence)
{
	const struct watched_server *watched = run->server;
	int64_t broke_at = watched->server->broke_at;
	bool crashed = crash_evidence_is_crash(evidence);

	if (run->end == RUN_GIVEN_UP && !crashed)
		return;
	LOG_INFO("lost_run_judged",
		 LOG_TEXT("server", run->server->server->entry.id),
		 LOG_U64("fingerprint", run->run.hash),
		 LOG_I64("given_up", run->end == RUN_GIVEN_UP),
		 LOG_I64("crashed", crashed),
		 LOG_TEXT("evidence", crash_evidence_name(evidence)),
		 LOG_I64("safe", run->run.safe),
		 LOG_I64("on_trial", run->run.watched),
		 LOG_I64("began_after_break_ms",
			 broke_at
				 ? (run->run.started - broke_at) / USEC_PER_MSEC
				 : 0),
		 LOG_I64("probes", watched->n_probes),
		 LOG_I64("accepted", watched->n_accepted),
		 LOG_I64("after_ms", (clock_now(watch->clock) - run->ended_at) /
					     USEC_PER_MSEC));
}

/* Ends the runs that could not crash their server after @before. */
static void judge(struct crash_watch *watch, struct watched_server *watched,
		  enum crash_evidence evidence, int64_t before)
{
	struct watched_run *run;
	struct watched_run *next;

	DL_FOREACH_SAFE (watched->runs, run, next) {
		if (!run->ended_at || latest_end(run) >= before)
			continue;
		log_judged(watch, run, evidence);
		free_run(watch, run, false);
	}
	free_server_if_unused(watch, watched);
}

static void drop_other_runs(struct crash_watch *watch,
			    struct watched_server *watched,
			    enum crash_evidence evidence)
{
	struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (!crash_is_witness(run, evidence))
			poison_end(watch->poison, &run->run, false);
	}
}

/* Its address accepts connections, so that only an answer brings it back. */
static void set_down(const struct crash_watch *watch,
		     struct registry_server *server)
{
	server->down = true;
	if (registry_can_be_asked(server))
		server_score_set_lost(&server->score, clock_now(watch->clock));
}

static void judge_crashed(struct crash_watch *watch,
			  struct watched_server *watched,
			  enum crash_evidence evidence)
{
	char life[REGISTRY_INCARNATION_SIZE];
	struct str name = registry_incarnation(watched->server, life);

	if (!watched->server->down)
		LOG_WARN("server_crashed", LOG_STR("server", name),
			 LOG_TEXT("evidence", crash_evidence_name(evidence)));
	if (evidence == CRASH_EVIDENCE_UNANSWERED)
		set_down(watch, watched->server);
	drop_other_runs(watch, watched, evidence);
	poison_server_lost(watch->poison, name);
	crash_doubt_end(watched);
	watched->probe_at = INT64_MAX;
	watched->probe_delay = PROBE_DELAY_MIN;
	judge(watch, watched, evidence, INT64_MAX);
}

/* The oldest that is known to be safe, or the oldest. */
static void drop_a_given_up_run(struct crash_watch *watch,
				struct watched_server *watched)
{
	struct watched_run *dropped = NULL;
	struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (!run->ended_at || run->end != RUN_GIVEN_UP)
			continue;
		if (!dropped || (run->run.safe && !dropped->run.safe))
			dropped = run;
	}
	free_run(watch, dropped, false);
}

static void note_break(const struct crash_watch *watch,
		       struct registry_server *server)
{
	struct watched_server *watched = server->watched;

	if (server->broke_at)
		return;
	server->broke_at = clock_now(watch->clock);
	if (!watched)
		return;
	crash_doubt_start(watched);
	watch->ops->wake(watch->arg, watched->doubt_at);
}

static void keep_in_doubt(struct watched_run *run, enum run_end end)
{
	struct watched_server *watched = run->server;
	struct crash_watch *watch = run->watch;
	bool was_in_doubt = crash_is_in_doubt(watched);

	if (end == RUN_GIVEN_UP && watched->n_given_up == GIVEN_UP_RUNS_MAX)
		drop_a_given_up_run(watch, watched);
	run->end = end;
	run->ended_at = clock_now(watch->clock);
	watched->n_given_up += end == RUN_GIVEN_UP;
	if (end == RUN_LOST)
		note_break(watch, watched->server);
	if (!was_in_doubt && !run->run.safe)
		log_in_doubt(run);
	if (run->run.watched)
		poison_hold(watch->poison, run->run.hash,
			    run->ended_at + (end == RUN_LOST ? HELD_LOST
							     : HELD_SILENT));
	watch->ops->wake(watch->arg, latest_end(run) + CRASH_DOUBT_MAX);
	schedule_probe(watch, watched);
}

/* It ran on a server that is held for crashed: it could not crash it. */
static bool is_too_late(const struct watched_run *run)
{
	const struct registry_server *server = run->server->server;

	return server->down && run->run.started > server->broke_at;
}

void watched_run_end(struct watched_run *run, enum run_end end)
{
	struct watched_server *watched = run->server;
	struct crash_watch *watch = run->watch;
	bool open = end == RUN_LOST || end == RUN_GIVEN_UP;

	/* A server that leaves may close connections. */
	if (open && run->run.server && !watched->server->entry.draining &&
	    !is_too_late(run)) {
		keep_in_doubt(run, end);
		return;
	}
	free_run(watch, run, end == RUN_ANSWERED);
	free_server_if_unused(watch, watched);
}

void crash_watch_answered(struct crash_watch *watch,
			  struct registry_server *server, int64_t sent_at)
{
	struct watched_server *watched = server->watched;

	server->answered_at = clock_now(watch->clock);
	if (watched)
		judge(watch, watched, CRASH_EVIDENCE_ANSWERED, sent_at);
	if (sent_at < server->broke_at)
		return;
	server->broke_at = 0;
	server->down = false;
	if (!server->watched)
		return;
	crash_doubt_end(watched);
	watched->n_probes = 0;
	watched->n_accepted = 0;
	watched->n_unanswered = 0;
	watched->awaiting = false;
}

void crash_watch_broke(struct crash_watch *watch,
		       struct registry_server *server)
{
	struct watched_server *watched = server->watched;

	if (!server->n_conns)
		note_break(watch, server);
	if (!watched)
		return;
	watched->n_unanswered += watched->awaiting;
	watched->awaiting = false;
	if (crash_is_unanswering(watched) &&
	    crash_is_proved(watched, CRASH_EVIDENCE_UNANSWERED))
		judge_crashed(watch, watched, CRASH_EVIDENCE_UNANSWERED);
	else
		schedule_probe(watch, watched);
}

void crash_watch_connected(struct crash_watch *watch,
			   struct registry_server *server,
			   enum crash_evidence evidence)
{
	struct watched_server *watched = server->watched;

	if (!watched)
		return;
	watched->probing = false;
	watched->awaiting = evidence == CRASH_EVIDENCE_LISTENS;
	watched->n_accepted += watched->awaiting;
	if (crash_is_proved(watched, evidence))
		judge_crashed(watch, watched, evidence);
	else
		schedule_probe(watch, watched);
}

void crash_watch_gone(struct crash_watch *watch, struct registry_server *server)
{
	if (server->watched &&
	    crash_is_proved(server->watched, CRASH_EVIDENCE_GONE))
		judge_crashed(watch, server->watched, CRASH_EVIDENCE_GONE);
}

static void expire_runs(struct crash_watch *watch,
			struct watched_server *watched)
{
	int64_t now = clock_now(watch->clock);
	struct watched_run *run;
	struct watched_run *next;

	DL_FOREACH_SAFE (watched->runs, run, next) {
		if (!run->ended_at || latest_end(run) + CRASH_DOUBT_MAX > now)
			continue;
		watch->n_unjudged += run->end == RUN_LOST;
		log_judged(watch, run, CRASH_EVIDENCE_UNKNOWN);
		free_run(watch, run, false);
	}
}

static void probe(struct crash_watch *watch, struct watched_server *watched)
{
	watched->n_probes++;
	watched->probing = !watch->ops->probe(watch->arg, watched->server);
}

static void probe_if_due(struct crash_watch *watch,
			 struct watched_server *watched)
{
	bool wait = may_wait(watch, watched);

	if (clock_now(watch->clock) < watched->probe_at)
		return;
	watched->probe_at = INT64_MAX;
	if (watched->awaiting || !needs_connection(watched) ||
	    (wait && !registry_can_be_asked(watched->server)))
		return;
	watched->probe_delay *= 2;
	if (watched->probe_delay > PROBE_DELAY_MAX)
		watched->probe_delay = PROBE_DELAY_MAX;
	if (!wait)
		probe(watch, watched);
	schedule_probe(watch, watched);
}

static int64_t next_due(const struct watched_server *watched)
{
	int64_t due = watched->probe_at;
	const struct watched_run *run;

	if (watched->doubt_at < due)
		due = watched->doubt_at;

	DL_FOREACH (watched->runs, run) {
		if (run->ended_at && latest_end(run) + CRASH_DOUBT_MAX < due)
			due = latest_end(run) + CRASH_DOUBT_MAX;
	}
	return due;
}

void crash_watch_tick(struct crash_watch *watch)
{
	struct watched_server *watched;
	struct watched_server *next;
	int64_t due = INT64_MAX;

	DL_FOREACH_SAFE (watch->servers, watched, next) {
		expire_runs(watch, watched);
		if (!watched->runs) {
			free_server_if_unused(watch, watched);
			continue;
		}
		crash_doubt_report_if_due(watch, watched);
		probe_if_due(watch, watched);
		if (next_due(watched) < due)
			due = next_due(watched);
	}
	if (due != INT64_MAX)
		watch->ops->wake(watch->arg, due);
}
