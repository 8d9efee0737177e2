#define LOG_MODULE "load"
#include "gateway_load.h"

#include "gateway_request_private.h"
#include "log.h"

/* Callers follow a Retry-After of up to 1/3 of their remaining time. */
#define WAIT_DEADLINE_DIVISOR 3
/* Behind a larger backlog, the limits would be outdated on arrival. */
#define LOAD_SHARE_BACKLOG_MAX (64 * 1024)

static bool is_enabled(const struct gateway *gateway)
{
	const struct load_control *control = &gateway->settings->load_control;

	return control->priorities || control->returns;
}

static void send_share(void *arg, const Peer__LoadShare *message)
{
	struct gateway *gateway = arg;
	const struct view_share *views = &gateway->fleet.views;
	int n = gateway_fleet_count_entries(&gateway->fleet);
	int i;

	for (i = 0; i < n && i < views->n_members; i++) {
		struct peer_link *link;

		if (i == views->rank)
			continue;
		link = peers_find_any(&gateway->fleet.peers,
				      str_from(views->members[i].instance));
		if (link && peer_backlog(link) < LOAD_SHARE_BACKLOG_MAX)
			peer_send(link, FRAME_LOAD_SHARE, &message->base);
	}
}

static void on_limit_adopted(void *arg, const char *service,
			     const struct load_limit *load,
			     const struct peer_load *view)
{
	(void)arg;
	LOG_INFO("load_limit_adopted", LOG_TEXT("service", service),
		 LOG_F64("limit", load->limit),
		 LOG_I64("open", load->in_progress),
		 LOG_I64("others", view->n_instances),
		 LOG_I64("others_limited", view->n_limited),
		 LOG_F64("ratio", view->limit_per_demand));
}

static const struct load_share_ops share_ops = {
	.send = send_share,
	.adopted = on_limit_adopted,
};

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct gateway *gateway = arg;

	if (!is_enabled(gateway))
		return;
	gateway->load.load_share.n_others =
		gateway_fleet_count_entries(&gateway->fleet) - 1;
	load_share_receive(&gateway->load.load_share, link->instance,
			   (const Peer__LoadShare *)frame->message);
}

static void on_timer(void *arg)
{
	struct gateway *gateway = arg;

	load_share_tick(&gateway->load.load_share);
	gateway_load_arm_timer(gateway);
}

void gateway_load_init(struct gateway *gateway)
{
	struct gateway_load *load = &gateway->load;

	return_schedule_init(&load->return_schedule, &gateway->clock);
	load_share_init(&load->load_share, &gateway->clock, &share_ops, gateway,
			&load->return_schedule);
	wake_timer_init(&load->timer, gateway->base, &gateway->clock, on_timer,
			gateway);
	load->handler.frame = on_frame;
	load->handler.types = 1u << FRAME_LOAD_SHARE;
	load->handler.arg = gateway;
	peers_add_handler(&gateway->fleet.peers, &load->handler);
	if (is_enabled(gateway))
		gateway->limits.share = &load->load_share;
}

void gateway_load_finish(struct gateway *gateway)
{
	wake_timer_finish(&gateway->load.timer);
	return_schedule_finish(&gateway->load.return_schedule);
}

void gateway_load_arm_timer(struct gateway *gateway)
{
	if (is_enabled(gateway))
		wake_timer_move(&gateway->load.timer,
				load_share_due(&gateway->load.load_share));
}

const struct route_service *
gateway_load_return_target(const struct route *route,
			   const struct scheduled_return *entry)
{
	int i;

	for (i = 0; i < route->n_targets; i++) {
		const struct route_service *service = route->targets[i].service;

		if (str_hash(str_from(service->name)) == entry->service)
			return service;
	}
	return NULL;
}

static bool is_limited(struct gateway *gateway, const struct route *route,
		       const struct scheduled_return *entry)
{
	const struct route_service *target =
		gateway_load_return_target(route, entry);

	return target &&
	       registry_service(&gateway->registry, str_from(target->name))
		       ->load.limit;
}

static void log_return(const struct gateway *gateway, struct str id,
		       const struct scheduled_return *entry,
		       enum return_state state)
{
	int64_t early = entry->due - clock_now(&gateway->clock);

	if (state == RETURN_EARLY)
		LOG_INFO("return_early", LOG_STR("request", id),
			 LOG_I64("level", entry->level),
			 LOG_I64("promised", entry->promised),
			 LOG_I64("early_ms", early / USEC_PER_MSEC));
	else
		LOG_INFO("return_taken", LOG_STR("request", id),
			 LOG_I64("level", entry->level),
			 LOG_I64("early_ms", early / USEC_PER_MSEC));
}

static void consume_return(struct gateway *gateway,
			   struct scheduled_return *entry)
{
	return_schedule_remove(&gateway->load.return_schedule,
			       entry->fingerprint);
	entry->taken = true;
	load_share_add_return(&gateway->load.load_share, entry);
}

enum return_state gateway_load_check_return(struct gateway *gateway,
					    const struct route *route,
					    uint64_t return_key, struct str id,
					    struct scheduled_return *out)
{
	const struct scheduled_return *entry;
	enum return_state state;

	if (!gateway->settings->load_control.returns)
		return RETURN_NONE;
	entry = return_schedule_find(&gateway->load.return_schedule,
				     return_key);
	state = return_schedule_check(&gateway->load.return_schedule, entry);
	if (state == RETURN_NONE)
		return RETURN_NONE;
	*out = *entry;
	if (state == RETURN_EARLY && is_limited(gateway, route, entry)) {
		metric_inc(&gateway->counters.return_early);
		log_return(gateway, id, out, state);
		return RETURN_EARLY;
	}
	consume_return(gateway, out);
	if (state == RETURN_EARLY || !gateway_load_return_target(route, out))
		return RETURN_NONE;
	metric_inc(&gateway->counters.return_taken);
	log_return(gateway, id, out, state);
	return RETURN_DUE;
}

static void log_promise(const struct gateway_request *request,
			const struct return_request *ask,
			const struct scheduled_return *entry, int64_t wait)
{
	LOG_INFO("return_promised", LOG_STR("request", request->request.id),
		 LOG_TEXT("service", request->dispatch.parts[0].service->name),
		 LOG_I64("level", ask->level), LOG_I64("cost_us", ask->cost),
		 LOG_F64("room_us", ask->capacity),
		 LOG_I64("room_in_us", ask->capacity_in),
		 LOG_I64("patience_us", ask->patience),
		 LOG_I64("wait_us", wait),
		 LOG_I64("promised", entry->promised));
}

int64_t gateway_load_offer_return(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	const struct dispatch *dispatch = &request->dispatch;
	int64_t now = clock_now(&gateway->clock);
	const struct return_request ask = {
		.fingerprint = request->return_key,
		.service = str_hash(str_from(dispatch->parts[0].service->name)),
		.level = dispatch->level,
		.cost = dispatch->cost,
		.capacity = dispatch_capacity(dispatch),
		.capacity_in = dispatch_capacity_delay(dispatch),
		.patience = (dispatch->deadline - now) / WAIT_DEADLINE_DIVISOR,
	};
	struct scheduled_return entry;
	int64_t wait;

	if (!gateway->settings->load_control.returns ||
	    !dispatch_refused_for_load(dispatch) || ask.patience <= 0)
		return dispatch_retry_after(dispatch);
	wait = return_schedule_offer(&gateway->load.return_schedule, &ask,
				     &entry);
	metric_inc(entry.promised ? &gateway->counters.return_promised
				  : &gateway->counters.return_unpromised);
	log_promise(request, &ask, &entry, wait);
	load_share_add_return(&gateway->load.load_share, &entry);
	gateway_load_arm_timer(gateway);
	return msec_round_up(wait);
}
