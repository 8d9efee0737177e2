#define LOG_MODULE "gateway"
#include "gateway_stop.h"

#include <event2/event.h>

#include "gateway.h"
#include "gateway_pages.h"
#include "gateway_request.h"
#include "log.h"

#define STOP_CHECK_PERIOD MSEC(20)

static bool is_idle(const struct gateway *gateway)
{
	return !gateway->inbound.n &&
	       (!gateway->pages || gateway_pages_are_sent(gateway->pages)) &&
	       relay_serve_is_idle(&gateway->relay_serve);
}

static void on_stop_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *gateway = arg;
	const struct stop_plan *stop = &gateway->stop;
	const struct gateway_stats *counters = &gateway->counters;
	int64_t now = clock_now(&gateway->clock);
	bool idle;
	int busy;

	(void)fd;
	(void)what;
	if (now < stop->close_at)
		return;
	gateway->state = GATEWAY_CLOSING;
	busy = inbound_close_idle(&gateway->inbound);
	/* What ends now is written before the next check. */
	idle = is_idle(gateway);
	if (now >= stop->answer_by) {
		gateway_request_end_all(gateway);
		inbound_refuse_partial(&gateway->inbound);
		relay_serve_end_jobs(&gateway->relay_serve);
	}
	if (!idle && now < stop->exit_at)
		return;
	LOG_INFO("stopping", LOG_I64("busy", busy),
		 LOG_I64("after_us", now - stop->since),
		 LOG_I64("taken", counters->stop_taken.value),
		 LOG_I64("refused", counters->stop_refused.value),
		 LOG_I64("ended", counters->stop_ended.value));
	event_base_loopexit(gateway->base, NULL);
}

void gateway_stop_init(struct gateway *gateway)
{
	gateway->stop_timer = event_new(gateway->base, -1, EV_PERSIST,
					on_stop_timer, gateway);
}

void gateway_stop_finish(struct gateway *gateway)
{
	event_free(gateway->stop_timer);
}

void gateway_stop(struct gateway *gateway)
{
	static const struct timeval period = {0, STOP_CHECK_PERIOD};
	double grace_s = gateway->settings->stop_max_s;
	int64_t stall = blackboard_stall(&gateway->fleet.board);

	if (stop_plan_is_stopping(&gateway->stop))
		return;
	stop_plan_init(&gateway->stop, clock_now(&gateway->clock) - stall,
		       (int64_t)(grace_s * USEC_PER_SEC));
	gateway->state = GATEWAY_LEAVING;
	LOG_INFO("leaving", LOG_I64("connections", gateway->inbound.n),
		 LOG_I64("stall_us", stall), LOG_F64("grace_s", grace_s));
	inbound_disable_keep_alive(&gateway->inbound);
	gateway_request_limit_all(gateway);
	server_queues_limit_time(&gateway->server_queues.queues,
				 gateway->stop.answer_by);
	relay_serve_limit_time(&gateway->relay_serve, gateway->stop.answer_by);
	gateway_fleet_leave(&gateway->fleet);
	event_add(gateway->stop_timer, &period);
}
