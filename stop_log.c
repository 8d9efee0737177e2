#define LOG_MODULE "stop_log"
#include "stop_log.h"

#include "log.h"

/**
 * struct ended - one line
 * @kind: "search" or "run"
 * @not_run: no server can have run it
 * @parts: shards of a search, 1 for a run
 * @taken_at: microseconds
 * @time: that it had when it was taken, microseconds
 */
struct ended {
	const char *kind;
	int code;
	struct str request_id;
	struct str service;
	struct str peer;
	struct str server;
	struct str home;
	bool not_run;
	int parts;
	int parts_in;
	int64_t taken_at;
	int64_t time;
};

static struct str or_dash(struct str text)
{
	return text.len ? text : STR("-");
}

/* One list of members for both events; their names have to be constants. */
#define ENDED_FIELDS(board, ended)                                             \
	LOG_STR("request", (ended)->request_id),                               \
		LOG_TEXT("kind", (ended)->kind),                               \
		LOG_TEXT("error", error_name((ended)->code)),                  \
		LOG_STR("peer", or_dash((ended)->peer)),                       \
		LOG_STR("service", (ended)->service),                          \
		LOG_STR("server", or_dash((ended)->server)),                   \
		LOG_STR("home", or_dash((ended)->home)),                       \
		LOG_I64("not_run", (ended)->not_run),                          \
		LOG_I64("parts", (ended)->parts),                              \
		LOG_I64("parts_in", (ended)->parts_in),                        \
		LOG_I64("took_us",                                             \
			clock_now((board)->clock) - (ended)->taken_at),        \
		LOG_I64("taken_after_us",                                      \
			(ended)->taken_at - (board)->stop.since),              \
		LOG_I64("time_us", (ended)->time)

static void log_ended(struct blackboard *board, const struct ended *ended)
{
	metric_inc(&board->counters.stop_ended);
	LOG_INFO("request_ended", ENDED_FIELDS(board, ended));
}

static void log_cut(struct blackboard *board, const struct ended *ended)
{
	metric_inc(&board->counters.cut);
	LOG_WARN("request_cut", ENDED_FIELDS(board, ended));
}

/* The last part whose server may be at work, or else the last that failed. */
static const struct search_part *last_part(const struct search *search)
{
	const struct search_part *last = NULL;
	int i;

	for (i = 0; i < search->n_parts; i++) {
		const struct search_part *part = &search->parts[i];

		if (part->is_cancelled)
			last = part;
		else if (part->code && (!last || !last->is_cancelled))
			last = part;
	}
	return last;
}

static void fill_search(const struct search *search, struct ended *out)
{
	const struct search_part *last = last_part(search);

	*out = (struct ended){
		.kind = "search",
		.code = search->code,
		.request_id = str_from(search->request.request_id),
		.service = str_from(search->request.service),
		.not_run = !search->maybe_ran,
		.parts = search->map ? search->map->n_shards : 0,
		.parts_in = search->n_answered,
		.taken_at = search->started_at,
	};
	if (search->full_deadline_at)
		out->time = search->full_deadline_at - search->started_at;
	if (!last)
		return;
	out->server = str_from(last->server->name);
	out->home = str_from(last->home->name);
	/* Its home may have sent it to the server. */
	if (last->is_cancelled)
		out->not_run = false;
}

static void fill_run(const struct stop_log_run *run, int code,
		     struct ended *out)
{
	const struct run_waiter *waiter = run->waiter;

	*out = (struct ended){
		.kind = "run",
		.code = code,
		.request_id = run->request_id,
		.service = run->service,
		.peer = run->peer,
		.server = waiter->asked.server,
		.home = waiter->asked.home,
		.not_run = run_outcome(code) == RUN_NOT_RUN,
		.parts = 1,
		.taken_at = waiter->started_at,
		.time = waiter->full_deadline - waiter->started_at,
	};
}

void stop_log_search_ended(const struct search *search)
{
	struct ended ended;

	fill_search(search, &ended);
	log_ended(search->searches->board, &ended);
}

void stop_log_search_cut(const struct search *search)
{
	struct ended ended;

	fill_search(search, &ended);
	log_cut(search->searches->board, &ended);
}

void stop_log_run_ended(struct blackboard *board,
			const struct stop_log_run *run, int code)
{
	struct ended ended;

	fill_run(run, code, &ended);
	log_ended(board, &ended);
}

void stop_log_run_cut(struct blackboard *board, const struct stop_log_run *run)
{
	struct ended ended;

	fill_run(run, ERR_UNKNOWN, &ended);
	log_cut(board, &ended);
}
