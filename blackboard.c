#include "blackboard.h"

#include <stdlib.h>
#include <string.h>

#include "loop_lag.h"

/* From the last start of work to the last answer, of a graceful stop. */
#define START_LEAD_MAX MSEC(100)
#define START_LEAD_DIVISOR 8

static struct tunables default_tunables;

static void apply_limits(struct blackboard *board)
{
	const struct tunables *tunables = blackboard_tunables(board);
	struct trace_limits limits = {
		.max = tunables->trace_max,
		.bytes_max = tunables->trace_bytes_max,
		.parts_max = tunables->trace_parts_max,
	};

	trace_store_set_limits(&board->traces, &limits);
	burn_set_services_max(&board->burn, tunables->burn_services_max);
}

void blackboard_init(struct blackboard *board, const struct clock *clock,
		     const struct settings *settings, struct event_base *base,
		     uint64_t incarnation)
{
	memset(board, 0, sizeof(*board));
	option_set_defaults(tunable_rows, n_tunable_rows, &default_tunables);
	board->clock = clock;
	poison_init(&board->poison, clock, NULL, NULL);
	board->settings = settings;
	board->base = base;
	board->incarnation = incarnation;
	fleet_init(&board->platform_list);
	fleet_init(&board->fleet);
	catalog_init(&board->catalog, clock);
	counters_init(&board->counters);
	trace_store_init(&board->traces, clock);
	burn_init(&board->burn, clock);
	apply_limits(board);
}

void blackboard_finish(struct blackboard *board)
{
	poison_finish(&board->poison);
	if (board->table) {
		table_finish(board->table);
		free(board->table);
	}
	burn_finish(&board->burn);
	trace_store_finish(&board->traces);
	catalog_finish(&board->catalog);
	fleet_finish(&board->fleet);
	fleet_finish(&board->platform_list);
}

void blackboard_watch(struct blackboard *board, enum blackboard_topic topic,
		      struct blackboard_watch *watch,
		      void (*changed)(void *arg), void *arg)
{
	watch->changed = changed;
	watch->arg = arg;
	watch->next = board->watches[topic];
	board->watches[topic] = watch;
}

void blackboard_notify(struct blackboard *board, enum blackboard_topic topic)
{
	struct blackboard_watch *watch;

	for (watch = board->watches[topic]; watch; watch = watch->next)
		watch->changed(watch->arg);
}

void blackboard_set_table(struct blackboard *board, struct table *table)
{
	struct table *old = board->table;

	board->table = table;
	apply_limits(board);
	blackboard_notify(board, BLACKBOARD_TABLE);
	if (!old)
		return;
	table_finish(old);
	free(old);
}

const struct tunables *blackboard_tunables(const struct blackboard *board)
{
	return board->table ? &board->table->tunables : &default_tunables;
}

int64_t blackboard_stall(const struct blackboard *board)
{
	int64_t since = clock_now(board->clock) - board->last_tick_at;

	if (!board->last_tick_at ||
	    since < LOOP_LAG_STALL_PERIODS * LOOP_LAG_PERIOD)
		return 0;
	return since;
}

int64_t blackboard_start_by(const struct blackboard *board)
{
	const struct stop_plan *stop = &board->stop;
	int64_t lead = (stop->answer_by - stop->since) / START_LEAD_DIVISOR;

	if (!stop_plan_is_stopping(stop))
		return INT64_MAX;
	return stop->answer_by -
	       (lead < START_LEAD_MAX ? lead : START_LEAD_MAX);
}
