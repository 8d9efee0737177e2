#define LOG_MODULE "pages"
#include "gateway_pages.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "error.h"
#include "gateway_second_sends.h"
#include "log.h"
#include "mem.h"

/*
 * Cache lifetime of directory answers; some callers keep them three times as
 * long. Short, so that callers soon leave an instance that fails or stops.
 */
#define DIRECTORY_LIFETIME_S 2.0
/* Requests, answers and what is sent ahead have equal shares. */
#define SUMS 3

static void respond_status(struct inbound_conn *conn, int status)
{
	inbound_respond(conn, status, NULL, STR(""));
}

static void respond(struct inbound_conn *conn, const char *type,
		    struct evbuffer *body)
{
	struct evbuffer *fields = evbuffer_new();
	size_t len = evbuffer_get_length(body);

	evbuffer_add_printf(fields, "Content-Type: %s\r\n", type);
	inbound_respond(conn, HTTP_STATUS_OK, fields,
			(struct str){(char *)evbuffer_pullup(body, -1), len});
	evbuffer_free(fields);
}

static void send_ready(struct gateway *gateway, struct inbound_conn *conn,
		       const struct evhttp_uri *uri)
{
	(void)uri;
	respond_status(conn, gateway_ready(gateway)
				     ? HTTP_STATUS_OK
				     : HTTP_STATUS_SERVICE_UNAVAILABLE);
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

static void send_directory(struct gateway *gateway, struct inbound_conn *conn,
			   const struct evhttp_uri *uri)
{
	struct evkeyvalq query = {NULL};
	const char *text = evhttp_uri_get_query(uri);
	struct evbuffer *body;

	/* The caller asks another instance next, which may be ready. */
	if (!store_sync_ready(&gateway->sync)) {
		respond_status(conn, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return;
	}
	body = evbuffer_new();
	evbuffer_add_printf(body, "{\"addrs\":[");
	evhttp_parse_query_str(text ? text : "", &query);
	add_addresses(gateway, &query, body);
	evhttp_clear_headers(&query);
	evbuffer_add_printf(body, "],\"ttl_s\":%.3g}", lifetime_s(gateway));
	respond(conn, "application/json", body);
	evbuffer_free(body);
}

static uint64_t n_given_up(const struct gateway_pages *pages)
{
	uint64_t n = 0;
	int cause;
	int i;

	for (i = 0; i < pages->n; i++) {
		for (cause = 0; cause < INBOUND_CAUSES; cause++)
			n += pages->servers[i].n_given_up[cause];
	}
	return n;
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
	metric_set(&counters->strangers_closed,
		   gateway->fleet.board.counters.peer_strangers_closed.value);
	metric_set(&counters->gateway_frames_refused,
		   gateway->fleet.board.counters.peer_frames_refused.value);
	metric_set(&counters->relay_refused,
		   gateway->fleet.board.counters.relay_sends_refused.value);
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
	metric_set(&counters->unsent_size,
		   (int64_t)gateway->inbound.answers.used);
	metric_set(&counters->callers_stalled,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_STALLED]);
	metric_set(&counters->callers_memory,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_MEMORY]);
	metric_set(&counters->callers_ahead,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_AHEAD]);
	metric_set(&counters->callers_replaced,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_REPLACED]);
	metric_set(&counters->callers_no_place,
		   (int64_t)gateway->inbound.n_given_up[INBOUND_NO_PLACE]);
	metric_set(&counters->pages_given_up,
		   (int64_t)n_given_up(gateway->pages));
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

static void send_metrics(struct gateway *gateway, struct inbound_conn *conn,
			 const struct evhttp_uri *uri)
{
	struct evbuffer *body = evbuffer_new();

	(void)uri;
	set_gauges(gateway);
	metric_expose(&gateway->counters.registry, body);
	peer_traffic_expose(&gateway->fleet.peers.traffic, body);
	respond(conn, "text/plain; version=0.0.4", body);
	evbuffer_free(body);
}

static const struct {
	const char *path;
	void (*send)(struct gateway *gateway, struct inbound_conn *conn,
		     const struct evhttp_uri *uri);
} pages_by_path[] = {
	{"/v1/ready", send_ready},
	{"/v1/directory", send_directory},
	{"/metrics", send_metrics},
};

static void send_page(struct gateway *gateway, struct inbound_conn *conn,
		      const struct evhttp_uri *uri)
{
	const char *path = evhttp_uri_get_path(uri);
	size_t i;

	for (i = 0; i < sizeof(pages_by_path) / sizeof(*pages_by_path); i++) {
		if (path && !strcmp(path, pages_by_path[i].path)) {
			pages_by_path[i].send(gateway, conn, uri);
			return;
		}
	}
	respond_status(conn, HTTP_STATUS_NOT_FOUND);
}

static void on_request(void *arg, struct inbound_conn *conn,
		       struct http_message *message)
{
	struct gateway_pages *pages = arg;
	struct str target = http_message_target(message);
	struct evhttp_uri *uri;
	char *text;

	if (message->parser.method != HTTP_GET) {
		respond_status(conn, HTTP_STATUS_METHOD_NOT_ALLOWED);
		return;
	}
	text = mem_dup_len(target.data, target.len);
	uri = evhttp_uri_parse(text);
	if (uri) {
		send_page(pages->gateway, conn, uri);
		evhttp_uri_free(uri);
	} else {
		respond_status(conn, HTTP_STATUS_BAD_REQUEST);
	}
	free(text);
}

/* Pages are answered at once. */
static void on_closed(void *arg, struct inbound_conn *conn, void *request)
{
	(void)arg;
	(void)conn;
	(void)request;
}

static void on_refused(void *arg, int status, const char *why)
{
	struct gateway_pages *pages = arg;

	(void)status;
	(void)why;
	metric_inc(&pages->gateway->counters.pages_refused);
}

static void on_answer_cut(void *arg, const struct inbound_conn *conn,
			  const struct http_message *message, size_t unsent)
{
	struct gateway_pages *pages = arg;

	(void)message;
	metric_inc(&pages->gateway->counters.answers_cut);
	LOG_WARN("answer_cut", LOG_TEXT("caller", inbound_conn_ip(conn)),
		 LOG_U64("unsent_bytes", unsent));
}

static const struct inbound_ops ops = {
	.request = on_request,
	.closed = on_closed,
	.refused = on_refused,
	.answer_cut = on_answer_cut,
};

/*
 * Each address has connections and memory of its own, so that a crowd at one
 * does not take the instance's readiness away.
 */
static int listen_at(struct gateway_pages *pages, const struct address *address,
		     int connections_max)
{
	struct gateway *gateway = pages->gateway;
	struct inbound *server = &pages->servers[pages->n];
	size_t memory = gateway->memory.pages / GATEWAY_PAGES_ADDRESSES / SUMS;

	if (!address->port)
		return 0;
	if (inbound_init(server, gateway->base, &gateway->clock, address, &ops,
			 pages)) {
		LOG_ERROR("page_address", LOG_TEXT("ip", address->ip),
			  LOG_I64("port", address->port));
		return ERR_ADDRESS;
	}
	server->max = connections_max;
	server->limits.body = 0;
	server->memory.max = memory;
	server->answers.max = memory;
	server->unread_max = memory;
	pages->n++;
	return 0;
}

int gateway_pages_init(struct gateway_pages *pages, struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	const struct descriptor_plan *plan = &gateway->descriptors;
	int ret;

	memset(pages, 0, sizeof(*pages));
	pages->gateway = gateway;
	ret = listen_at(pages, &settings->ready_address, plan->page);
	if (!ret)
		ret = listen_at(pages, &settings->directory_address,
				plan->directory);
	if (!ret)
		ret = listen_at(pages, &settings->control_address, plan->page);
	/* Serving callers matters more than metrics: only log the failure. */
	if (!ret && listen_at(pages, &settings->metrics_address, plan->page))
		LOG_WARN("no_metrics_address",
			 LOG_I64("port", settings->metrics_address.port));
	gateway->pages = pages;
	return ret;
}

bool gateway_pages_are_sent(const struct gateway_pages *pages)
{
	int i;

	for (i = 0; i < pages->n; i++) {
		if (inbound_has_unsent(&pages->servers[i]))
			return false;
	}
	return true;
}

void gateway_pages_finish(struct gateway_pages *pages)
{
	int i;

	pages->gateway->pages = NULL;
	for (i = 0; i < pages->n; i++)
		inbound_finish(&pages->servers[i]);
}
