#define LOG_MODULE "pages"
#include "gateway_pages.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <utlist.h>

#include "conn_end.h"
#include "error.h"
#include "gateway_second_sends.h"
#include "log.h"
#include "mem.h"

/*
 * Cache lifetime of directory answers; some callers keep them three times as
 * long. Short, so that callers soon leave an instance that fails or stops.
 */
#define DIRECTORY_LIFETIME_S 2.0

/**
 * struct page_answer - an answer until the kernel has accepted it
 * @body: owned
 * @bev: of its connection
 */
struct page_answer {
	struct gateway_pages *pages;
	char *body;
	struct bufferevent *bev;
	struct page_answer *prev;
	struct page_answer *next;
};

static void free_answer(const void *data, size_t len, void *arg)
{
	struct page_answer *answer = arg;

	(void)data;
	(void)len;
	DL_DELETE(answer->pages->answers, answer);
	answer->pages->gateway->pages_open--;
	free(answer->body);
	free(answer);
}

/* Returns a body that tells when it was written, or its connection freed. */
static struct evbuffer *track_body(struct gateway_pages *pages,
				   struct evhttp_request *http,
				   struct evbuffer *body)
{
	struct page_answer *answer = mem_zalloc(sizeof(*answer));
	struct evbuffer *tracked = evbuffer_new();
	size_t len = evbuffer_get_length(body);

	answer->pages = pages;
	answer->body = mem_dup_len((char *)evbuffer_pullup(body, -1), len);
	answer->bev = evhttp_connection_get_bufferevent(
		evhttp_request_get_connection(http));
	DL_APPEND(pages->answers, answer);
	pages->gateway->pages_open++;
	evbuffer_add_reference(tracked, answer->body, len, free_answer, answer);
	return tracked;
}

static void reply_status(struct evhttp_request *http, int status)
{
	evhttp_send_reply(http, status, NULL, NULL);
}

static void reply(struct gateway_pages *pages, struct evhttp_request *http,
		  const char *type, struct evbuffer *body)
{
	struct evbuffer *tracked = track_body(pages, http, body);

	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", type);
	evhttp_send_reply(http, 200, NULL, tracked);
	evbuffer_free(tracked);
}

static void on_ready(struct evhttp_request *http, void *arg)
{
	struct gateway_pages *pages = arg;

	reply_status(http, gateway_ready(pages->gateway) ? 200 : 503);
}

/* Returns the value of a query parameter, empty if it is missing. */
static struct str query_text(const struct evkeyvalq *query, const char *key)
{
	const char *text = evhttp_find_header(query, key);

	return str_from(text ? text : "");
}

static void add_addresses(const struct gateway *gateway,
			  const struct evkeyvalq *query, struct evbuffer *body)
{
	struct directory_candidate *candidates;
	char address[ADDRESS_TEXT_SIZE];
	int chosen[DIRECTORY_ADDRESSES_MAX];
	int n = gateway_fleet_list_candidates(&gateway->fleet,
					      query_text(query, "name"),
					      &candidates);
	int i;

	n = directory_choose(candidates, n, query_text(query, "data_centre"),
			     query_text(query, "region"), chosen);
	for (i = 0; i < n; i++) {
		address_format(&candidates[chosen[i]].address, address,
			       sizeof(address));
		evbuffer_add_printf(body, "%s\"%s\"", i ? "," : "", address);
	}
	free(candidates);
}

static double lifetime_s(const struct gateway *gateway)
{
	double lifetime_max = gateway->settings->address_lifetime_max_s;

	return lifetime_max < DIRECTORY_LIFETIME_S ? lifetime_max
						   : DIRECTORY_LIFETIME_S;
}

static void on_directory(struct evhttp_request *http, void *arg)
{
	struct gateway_pages *pages = arg;
	const struct gateway *gateway = pages->gateway;
	struct evkeyvalq query = {NULL};
	struct evbuffer *body;

	/* The caller asks another instance next, which may be ready. */
	if (!store_sync_ready(&gateway->sync)) {
		reply_status(http, 503);
		return;
	}
	body = evbuffer_new();
	evbuffer_add_printf(body, "{\"addrs\":[");
	evhttp_parse_query_str(evhttp_uri_get_query(
				       evhttp_request_get_evhttp_uri(http)),
			       &query);
	add_addresses(gateway, &query, body);
	evhttp_clear_headers(&query);
	evbuffer_add_printf(body, "],\"ttl_s\":%.3g}", lifetime_s(gateway));
	reply(pages, http, "application/json", body);
	evbuffer_free(body);
}

static void set_gauges(struct gateway *gateway)
{
	struct gateway_stats *counters = &gateway->counters;
	int64_t age = store_sync_routes_age(&gateway->sync);

	metric_set(&counters->server_connections_opened,
		   (int64_t)gateway->upstream.opened);
	metric_set(&counters->relay_jobs,
		   (int64_t)gateway->relay_ask.jobs_sent);
	metric_set(&counters->gateway_links,
		   gateway->fleet.board.counters.peer_links.value);
	metric_set(&counters->heartbeat_bytes,
		   gateway->fleet.board.counters.member_bytes_out.value);
	metric_set(&counters->store_calls, (int64_t)gateway->store.calls);
	metric_set(&counters->routes_version,
		   gateway->sync.routes ? (int64_t)gateway->sync.routes->version
					: 0);
	metric_set(&counters->routes_age, age / USEC_PER_MSEC);
	metric_set(&counters->answers_size,
		   (int64_t)gateway->upstream.memory.used);
	metric_set(&counters->answers_given_up,
		   (int64_t)gateway->upstream.given_up);
	metric_set(&counters->callers_size,
		   (int64_t)gateway->inbound.memory.used);
	metric_set(&counters->callers_stalled,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_STALLED]);
	metric_set(&counters->unsent_size,
		   (int64_t)gateway->inbound.answers.used);
	metric_set(&counters->callers_memory,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_MEMORY]);
	metric_set(&counters->callers_ahead,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_AHEAD]);
	metric_set(&counters->callers_replaced,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_REPLACED]);
	metric_set(&counters->callers_no_place,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_NO_PLACE]);
	metric_set(&counters->servers,
		   (int64_t)HASH_COUNT(gateway->registry.servers));
	metric_set(&counters->server_entries_refused,
		   (int64_t)gateway->sync.servers.n_refused);
	metric_set(&counters->load_reports_refused,
		   (int64_t)gateway->upstream.bad_loads);
	metric_set(&counters->cordons, gateway->registry.cordons.n);
	metric_set(&counters->caller_connections, gateway->inbound.n);
	metric_set(&counters->lost_runs_unjudged,
		   (int64_t)gateway->server_queues.watch.n_unjudged);
	metric_set(&counters->second_sends_refused,
		   gateway_second_sends_refused(gateway));
	metric_set(&counters->second_sends_refused_unread,
		   gateway_second_sends_refused_unread(gateway));
	metric_set(&counters->second_sends_unread,
		   gateway_second_sends_unread(gateway));
	metric_set(&counters->second_sends_entries,
		   gateway->retry_share.divisor);
	metric_set(&counters->log_dropped, (int64_t)log_dropped());
}

static void on_metrics(struct evhttp_request *http, void *arg)
{
	struct gateway_pages *pages = arg;
	struct evbuffer *body = evbuffer_new();

	set_gauges(pages->gateway);
	metric_expose(&pages->gateway->counters.registry, body);
	peer_traffic_expose(&pages->gateway->fleet.peers.traffic, body);
	reply(pages, http, "text/plain; version=0.0.4", body);
	evbuffer_free(body);
}

static int bind_to(struct gateway_pages *pages, const struct address *address)
{
	struct sockaddr_in sin = address_sockaddr(address);
	struct evconnlistener *listener;

	if (!address->port)
		return 0;
	listener = evconnlistener_new_bind(pages->gateway->base, NULL, NULL,
					   LEV_OPT_CLOSE_ON_FREE |
						   LEV_OPT_REUSEABLE,
					   -1, (struct sockaddr *)&sin,
					   sizeof(sin));
	if (!listener || !evhttp_bind_listener(pages->http, listener)) {
		LOG_ERROR("page_address", LOG_TEXT("ip", address->ip),
			  LOG_I64("port", address->port));
		return ERR_ADDRESS;
	}
	return 0;
}

int gateway_pages_init(struct gateway_pages *pages, struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	int ret;

	pages->gateway = gateway;
	pages->answers = NULL;
	pages->http = evhttp_new(gateway->base);
	evhttp_set_allowed_methods(pages->http, EVHTTP_REQ_GET);
	evhttp_set_cb(pages->http, "/v1/ready", on_ready, pages);
	evhttp_set_cb(pages->http, "/v1/directory", on_directory, pages);
	evhttp_set_cb(pages->http, "/metrics", on_metrics, pages);
	ret = bind_to(pages, &settings->ready_address);
	if (!ret)
		ret = bind_to(pages, &settings->directory_address);
	if (!ret)
		ret = bind_to(pages, &settings->control_address);
	/* Serving callers matters more than metrics: only log the failure. */
	if (!ret && bind_to(pages, &settings->metrics_address))
		LOG_WARN("no_metrics_address",
			 LOG_I64("port", settings->metrics_address.port));
	return ret;
}

/* Freed by evhttp, which takes effect in the event loop's next iteration. */
static bool is_closed(struct bufferevent *bev)
{
	bufferevent_event_cb event = NULL;

	bufferevent_getcb(bev, NULL, NULL, &event, NULL);
	return !event;
}

static void write_last(struct gateway *gateway, struct bufferevent *bev)
{
	size_t unsent = conn_write_last(bev);

	conn_discard_input(bev);
	if (!unsent)
		return;
	metric_inc(&gateway->counters.answers_cut);
	LOG_WARN("answer_cut", LOG_U64("unsent_bytes", unsent));
}

void gateway_pages_finish(struct gateway_pages *pages)
{
	struct page_answer *answer;
	struct page_answer *next;

	/* A connection has one answer at a time, which a write may free. */
	DL_FOREACH_SAFE (pages->answers, answer, next) {
		if (!is_closed(answer->bev))
			write_last(pages->gateway, answer->bev);
	}
	evhttp_free(pages->http);
}
