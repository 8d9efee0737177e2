#define LOG_MODULE "serve"
#include "serve.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <event2/event.h>
#include <event2/util.h>

#include "blackboard.h"
#include "caller.h"
#include "entry_net.h"
#include "home_net.h"
#include "lifecycle.h"
#include "log.h"
#include "member_net.h"
#include "peer.h"
#include "loop_lag.h"
#include "poison_net.h"
#include "run_net.h"
#include "signals.h"
#include "table_control.h"

struct instance {
	struct clock clock;
	struct blackboard board;
	struct peers peers;
	struct home_net home;
	struct entry_net entry;
	struct run_net runs;
	struct poison_net poison;
	struct loop_lag loop;
	struct caller caller;
	struct table_control table;
	struct member_net members;
	struct lifecycle_control lifecycle;
};

/* Random and non-zero. */
static uint64_t random_incarnation(void)
{
	uint64_t n = 0;

	while (!n)
		evutil_secure_rng_get_bytes(&n, sizeof(n));
	return n;
}

static void on_loop_tick(void *arg, int64_t lag)
{
	struct instance *instance = arg;

	poison_net_tick(&instance->poison);
	entry_net_tick(&instance->entry, lag);
}

static void on_beacon(void *arg, const char *peer,
		      const struct member_beacon *beacon)
{
	struct instance *instance = arg;

	table_control_receive_heartbeat(&instance->table, peer,
					beacon->table_revision,
					beacon->table_digest,
					beacon->table_age_ms);
}

static int start(struct instance *instance)
{
	struct blackboard *board = &instance->board;
	int ret;

	ret = peers_init(&instance->peers, board);
	if (ret)
		return ret;
	home_net_init(&instance->home, board, &instance->peers);
	entry_net_init(&instance->entry, board, &instance->peers,
		       caller_search_done);
	poison_net_init(&instance->poison, board, &instance->peers);
	run_net_init(&instance->runs, board, &instance->peers);
	loop_lag_init(&instance->loop, board, on_loop_tick, instance);
	lifecycle_init(&instance->lifecycle, board, &instance->home.home,
		       &instance->caller.conns);
	ret = caller_init(&instance->caller, board, &instance->entry,
			  &instance->runs);
	if (ret)
		return ret;
	table_control_init(&instance->table, board, &instance->peers);
	return member_net_init(&instance->members, board, &instance->peers,
			       on_beacon, instance);
}

static void stop(struct instance *instance)
{
	table_control_finish(&instance->table);
	caller_finish(&instance->caller);
	lifecycle_finish(&instance->lifecycle);
	loop_lag_finish(&instance->loop);
	run_net_finish(&instance->runs);
	entry_net_finish(&instance->entry);
	home_net_finish(&instance->home);
	member_net_finish(&instance->members);
	peers_finish(&instance->peers);
	blackboard_finish(&instance->board);
}

int serve(const struct settings *settings)
{
	static struct instance instance;
	struct event_base *base = event_base_new();
	int ret;

	signal(SIGPIPE, SIG_IGN);
	clock_init(&instance.clock);
	blackboard_init(&instance.board, &instance.clock, settings, base,
			random_incarnation());
	ret = start(&instance);
	if (ret) {
		LOG_ERROR("start_failed", LOG_TEXT("error", error_name(ret)));
		return ret;
	}
	LOG_INFO("started", LOG_U64("incarnation", instance.board.incarnation));
	event_base_dispatch(base);
	signals_block();
	LOG_INFO("stopped",
		 LOG_I64("searches", instance.board.counters.searches.value));
	stop(&instance);
	event_base_free(base);
	return 0;
}
