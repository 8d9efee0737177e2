#define LOG_MODULE "entry_net"
#include "entry_net.h"

#include <stdlib.h>
#include <string.h>

#include <event2/util.h>

#include "log.h"
#include "mem.h"

static int send_query(void *arg, struct str home, const Peer__Query *query)
{
	struct entry_net *net = arg;
	struct peer_link *link = peers_find(net->peers, home);

	if (!link)
		return ERR_UNAVAILABLE;
	return peer_send(link, FRAME_QUERY, &query->base);
}

static void send_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	struct entry_net *net = arg;
	struct peer_link *link = peers_find(net->peers, home);

	if (link)
		peer_send(link, FRAME_CANCEL, &cancel->base);
}

/**
 * struct entry_search - a search from its submission to its outcome
 * @admission: must be first, see on_start()
 * @net: owner
 * @request: used until the search starts or is refused
 * @owner: of entry_net_search()
 */
struct entry_search {
	struct admission_request admission;
	struct entry_net *net;
	struct search_request request;
	void *owner;
};

/*
 * The service counts as overloaded if more than half of the results were shed:
 * a single server that sheds load is no sign of it.
 */
static struct admission_sample make_sample(const struct search *search)
{
	return (struct admission_sample){
		.wait = search->n_results ? search->wait_us / search->n_results
					  : 0,
		.shed = search->n_shed * 2 > search->n_results,
		.failed = search->code,
	};
}

static void on_done(void *arg, struct search *search)
{
	struct entry_net *net = arg;
	struct entry_search *entry = search->owner;
	struct admission_sample sample = make_sample(search);
	/* Without a server that could be asked it tells nothing about load. */
	bool tells_load = search->n_requests;

	search->owner = entry->owner;
	net->done(search);
	admission_leave(&net->admission, &entry->admission,
			tells_load ? &sample : NULL);
	free(entry);
}

static const struct search_ops ops = {
	.send_query = send_query,
	.cancel = send_cancel,
	.done = on_done,
};

static void arm_timer(struct entry_net *net)
{
	wake_timer_arm(&net->timer, net->searches.wake_at);
}

static void on_timer(void *arg)
{
	struct entry_net *net = arg;

	searches_tick(&net->searches);
	arm_timer(net);
}

static void request_missing_maps(struct entry_net *net, struct peer_link *link,
				 const Peer__ServerState *state)
{
	size_t i;

	for (i = 0; i < state->n_held; i++) {
		const Peer__Held *held = state->held[i];
		Peer__MapRequest request = PEER__MAP_REQUEST__INIT;

		if (catalog_has_map(&net->board->catalog, held->map_digest))
			continue;
		request.service = state->service;
		request.version = held->version;
		request.digest = held->map_digest;
		peer_send(link, FRAME_MAP_REQUEST, &request.base);
	}
}

static void notify_catalog_changed(struct entry_net *net)
{
	blackboard_notify(net->board, BLACKBOARD_CATALOG);
	searches_catalog_changed(&net->searches);
	arm_timer(net);
}

static void apply_states(struct entry_net *net, struct peer_link *link,
			 const Peer__ServerStates *states)
{
	size_t i;

	for (i = 0; i < states->n_states; i++) {
		if (catalog_put_state(&net->board->catalog,
				      str_from(link->instance),
				      states->states[i]))
			LOG_WARN("state_refused",
				 LOG_TEXT("peer", link->instance));
		request_missing_maps(net, link, states->states[i]);
	}
	notify_catalog_changed(net);
}

static void apply_map(struct entry_net *net, struct peer_link *link,
		      const Peer__Map *map)
{
	if (catalog_put_map(&net->board->catalog, map))
		LOG_WARN("map_refused", LOG_TEXT("peer", link->instance),
			 LOG_TEXT("service", map->service));
	notify_catalog_changed(net);
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct entry_net *net = arg;

	/* Homes send results and states on links that this instance opened. */
	if (!link->outgoing)
		return;
	switch (frame->type) {
	case FRAME_QUERY_RESULT:
		searches_result(&net->searches, str_from(link->instance),
				(Peer__QueryResult *)frame->message);
		arm_timer(net);
		break;
	case FRAME_SERVER_STATES:
		apply_states(net, link, (Peer__ServerStates *)frame->message);
		break;
	case FRAME_MAP:
		apply_map(net, link, (Peer__Map *)frame->message);
		break;
	default:
		break;
	}
}

static void on_link_down(void *arg, struct peer_link *link)
{
	struct entry_net *net = arg;

	if (!link->outgoing)
		return;
	catalog_remove_instance(&net->board->catalog, str_from(link->instance));
	blackboard_notify(net->board, BLACKBOARD_CATALOG);
	searches_home_lost(&net->searches, str_from(link->instance));
	arm_timer(net);
}

static uint64_t random_u64(void)
{
	uint64_t n;

	evutil_secure_rng_get_bytes(&n, sizeof(n));
	return n;
}

static void apply_admission_tunables(struct entry_net *net)
{
	const struct tunables *tunables = blackboard_tunables(net->board);
	struct admission_tunables values = {
		.queue_max = tunables->queue_max,
		.wait_target_ratio = tunables->queue_target,
		.floor = tunables->priority_floor,
		.lag_target = MSEC(tunables->loop_lag_ms),
	};

	admission_set_tunables(&net->admission, &values);
}

static void on_table(void *arg)
{
	struct entry_net *net = arg;

	catalog_set_table(&net->board->catalog, net->board->table);
	blackboard_notify(net->board, BLACKBOARD_CATALOG);
	apply_admission_tunables(net);
}

static void on_lifecycle(void *arg)
{
	struct entry_net *net = arg;
	const struct stop_plan *stop = &net->board->stop;

	if (!stop_plan_is_stopping(stop))
		return;
	admission_limit_deadlines(&net->admission, stop->answer_by);
	searches_stop(&net->searches);
	arm_timer(net);
}

void entry_net_init(struct entry_net *net, struct blackboard *board,
		    struct peers *peers, void (*done)(struct search *search))
{
	memset(net, 0, sizeof(*net));
	net->board = board;
	net->peers = peers;
	net->done = done;
	searches_init(&net->searches, board, &ops, net, board->incarnation);
	admission_init(&net->admission, board->clock, random_u64);
	apply_admission_tunables(net);
	wake_timer_init(&net->timer, board->base, board->clock, on_timer, net);
	net->handler.frame = on_frame;
	net->handler.down = on_link_down;
	net->handler.types = 1u << FRAME_QUERY_RESULT |
			     1u << FRAME_SERVER_STATES | 1u << FRAME_MAP;
	net->handler.arg = net;
	peers_add_handler(peers, &net->handler);
	blackboard_watch(board, BLACKBOARD_TABLE, &net->table_watch, on_table,
			 net);
	blackboard_watch(board, BLACKBOARD_LIFECYCLE, &net->lifecycle_watch,
			 on_lifecycle, net);
}

void entry_net_finish(struct entry_net *net)
{
	/* Their owners are told, and free what belongs to them. */
	admission_refuse_all(&net->admission);
	searches_end_all(&net->searches, ERR_CANCELLED);
	searches_finish(&net->searches);
	admission_finish(&net->admission);
	wake_timer_finish(&net->timer);
}

static void start_search(struct entry_search *entry)
{
	struct entry_net *net = entry->net;

	search_start(&net->searches, &entry->request, entry);
	arm_timer(net);
}

static void refuse_search(struct entry_search *entry, int code,
			  uint32_t retry_after_ms)
{
	struct entry_net *net = entry->net;

	metric_inc(&net->board->counters.searches_overload);
	search_refuse(&net->searches, &entry->request, entry, code,
		      retry_after_ms);
}

/* Queued searches count as open, so that a graceful stop waits for them. */
static void on_start(struct admission_request *request)
{
	struct entry_search *entry = (struct entry_search *)request;

	metric_add(&entry->net->board->counters.searches_open, -1);
	start_search(entry);
}

static void on_refuse(struct admission_request *request, int code,
		      uint32_t retry_after_ms)
{
	struct entry_search *entry = (struct entry_search *)request;

	metric_add(&entry->net->board->counters.searches_open, -1);
	refuse_search(entry, code, retry_after_ms);
}

static int64_t deadline_of(const struct entry_search *entry,
			   const struct service *service)
{
	int64_t ms = service->deadline_ms;

	if (entry->request.deadline_ms && entry->request.deadline_ms < ms)
		ms = entry->request.deadline_ms;
	return stop_plan_deadline(&entry->net->board->stop,
				  entry->request.arrived_at + MSEC(ms));
}

static void fill_admission(struct entry_search *entry,
			   const struct service *service)
{
	entry->admission = (struct admission_request){
		.service = str_from(entry->request.service),
		.workspace = str_from(entry->request.workspace),
		.priority = (int)service->priority,
		.weight = service->weight,
		.slo_latency = MSEC(service->slo_latency_ms),
		.deadline = deadline_of(entry, service),
		.start = on_start,
		.refuse = on_refuse,
	};
}

static const struct service *find_service(const struct entry_net *net,
					  const char *name)
{
	const struct table *table = net->board->table;
	int row = table ? table_find_service(table, str_from(name))
			: ERR_NO_SERVICE;

	return row < 0 ? NULL : &table->services[row];
}

static void admit(struct entry_search *entry, const struct service *service)
{
	struct entry_net *net = entry->net;
	uint32_t retry_after_ms = 0;
	int ret;

	fill_admission(entry, service);
	ret = admission_enter(&net->admission, &entry->admission,
			      &retry_after_ms);
	if (ret == ADMISSION_STARTED)
		start_search(entry);
	else if (ret == ADMISSION_QUEUED)
		metric_add(&net->board->counters.searches_open, 1);
	else
		refuse_search(entry, ret, retry_after_ms);
}

void entry_net_search(struct entry_net *net, struct search_request *request,
		      void *owner)
{
	const struct service *service = find_service(net, request->service);
	struct entry_search *entry = mem_zalloc(sizeof(*entry));

	entry->net = net;
	entry->request = *request;
	entry->request.arrived_at = clock_now(net->board->clock);
	entry->owner = owner;
	request->where = NULL;
	/* search_start() refuses a service that is not in the table. */
	if (!service ||
	    blackboard_tunables(net->board)->admission == SWITCH_OFF)
		start_search(entry);
	else
		admit(entry, service);
}

void entry_net_tick(struct entry_net *net, int64_t lag)
{
	admission_add_lag(&net->admission, lag);
	admission_tick(&net->admission);
	arm_timer(net);
}

bool entry_net_overloaded(struct entry_net *net, struct str service,
			  uint32_t *retry_after_ms)
{
	return blackboard_tunables(net->board)->admission == SWITCH_ON &&
	       admission_overloaded(&net->admission, service, retry_after_ms);
}
