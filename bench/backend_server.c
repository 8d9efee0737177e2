#define LOG_MODULE "backend"
#include "backend_server.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <utlist.h>

#include "backend_config.h"
#include "backend_holdings.h"
#include "backend_work.h"
#include "log.h"
#include "mem.h"

#define LISTEN_BACKLOG 512
#define LOOPBACK "127.0.0.1"
#define REBIND_RETRY_MS 20

const char *const request_kind_names[KIND_COUNT] = {
	"holdings", "search", "run", "cancel", "health", "other",
};

const char *const answer_kind_names[ANSWER_COUNT] = {
	"done",	    "no_content",    "not_modified", "bad_request",
	"not_held", "wrong_version", "no_slot",	     "shed",
	"draining", "too_late",	     "cancelled",    "none",
};

void server_set_timer(struct event *event, int64_t usec)
{
	struct timeval tv;

	if (usec < 0)
		usec = 0;
	tv.tv_sec = usec / USEC_PER_SEC;
	tv.tv_usec = usec % USEC_PER_SEC;
	evtimer_add(event, &tv);
}

double server_random(struct server *server)
{
	uint64_t z;

	/* splitmix64 */
	server->random_state += 0x9e3779b97f4a7c15;
	z = server->random_state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	z ^= z >> 31;
	return (double)(z >> 11) / (double)(1ULL << 53);
}

bool server_is_cold(const struct server *server)
{
	return server->cold_requests_left > 0 ||
	       clock_now(&server->clock) < server->cold_until;
}

void server_make_cold(struct server *server, int64_t ms, int64_t requests)
{
	server->cold_until = clock_now(&server->clock) + MSEC(ms);
	server->cold_requests_left = requests;
	holdings_invalidate(server);
}

static void stop_close_event(struct conn *conn)
{
	if (event_initialized(&conn->close_event))
		event_del(&conn->close_event);
}

static evhtp_res on_conn_fini(evhtp_connection_t *evhtp, void *arg)
{
	struct conn *conn = arg;
	struct server *server = conn->server;

	(void)evhtp;
	stop_close_event(conn);
	if (conn->work)
		work_detach(conn->work);
	HASH_DEL(server->conns_by_evhtp, conn);
	DL_DELETE(server->conns, conn);
	server->n_conns--;
	free(conn);
	return EVHTP_RES_OK;
}

void server_close_conn(struct conn *conn, bool reset)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	if (reset)
		setsockopt(conn->evhtp->sock, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	evhtp_connection_free(conn->evhtp);
}

/*
 * The library does not read a connection while its request is processed and
 * would miss that the client closes it. This event detects it by peeking. On a
 * silent connection it discards all input. After the answer the library reads
 * again, and the event removes itself at the next input.
 */
static void on_peer_readable(evutil_socket_t fd, short what, void *arg)
{
	struct conn *conn = arg;
	char bytes[4096];
	ssize_t n;

	(void)what;
	if (!conn->silent && !conn->work) {
		event_del(&conn->close_event);
		return;
	}
	n = recv(fd, bytes, sizeof(bytes),
		 MSG_DONTWAIT | (conn->silent ? 0 : MSG_PEEK));
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		server_close_conn(conn, false);
		return;
	}
	if (!conn->silent)
		event_del(&conn->close_event);
}

static evhtp_res on_pre_accept(evhtp_connection_t *evhtp, void *arg)
{
	struct server *server = arg;

	(void)evhtp;
	if (server->n_conns < server->config.connections)
		return EVHTP_RES_OK;
	server->counters.refused_connections++;
	return EVHTP_RES_ERROR;
}

static evhtp_res on_post_accept(evhtp_connection_t *evhtp, void *arg)
{
	struct server *server = arg;
	struct conn *conn = mem_zalloc(sizeof(*conn));
	int64_t now = clock_now(&server->clock);
	int one = 1;

	setsockopt(evhtp->sock, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (server->setup_done_at < now)
		server->setup_done_at = now;
	server->setup_done_at += server->config.connect_cost_us;
	conn->evhtp = evhtp;
	conn->server = server;
	conn->number = ++server->last_conn_number;
	conn->ready_at = server->setup_done_at;
	event_assign(&conn->close_event, server->base, evhtp->sock,
		     EV_READ | EV_PERSIST, on_peer_readable, conn);
	DL_APPEND(server->conns, conn);
	HASH_ADD_PTR(server->conns_by_evhtp, evhtp, conn);
	server->counters.opened++;
	if (++server->n_conns > server->counters.peak_open)
		server->counters.peak_open = server->n_conns;
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_conn_fini, conn);
	return EVHTP_RES_OK;
}

static void on_request(evhtp_request_t *request, void *arg)
{
	struct server *server = arg;
	struct conn *conn;

	HASH_FIND_PTR(server->conns_by_evhtp, &request->conn, conn);
	if (conn)
		work_begin(server, conn, request);
}

static int bind_port(struct server *server)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	if (evhtp_bind_socket(server->htp, LOOPBACK, server->port,
			      LISTEN_BACKLOG))
		return ERR_ADDRESS;
	if (getsockname(evconnlistener_get_fd(server->htp->server),
			(struct sockaddr *)&sin, &len))
		return ERR_ADDRESS;
	server->port = ntohs(sin.sin_port);
	return 0;
}

void server_reset_all(struct server *server)
{
	struct conn *conn;
	struct conn *tmp;

	DL_FOREACH_SAFE (server->conns, conn, tmp)
		server_close_conn(conn, true);
}

static void stop_listening(struct server *server)
{
	if (server->htp->server)
		evhtp_unbind_socket(server->htp);
}

static void on_crash(evutil_socket_t fd, short what, void *arg)
{
	struct server *server = arg;

	(void)fd;
	(void)what;
	stop_listening(server);
	server_reset_all(server);
	work_drop_all(server);
	event_del(&server->resume_event);
	server->paused_until = 0;
	if (server->faults.restart_ms >= 0)
		server_set_timer(&server->restart_event,
				 MSEC(server->faults.restart_ms));
}

static void on_restart(evutil_socket_t fd, short what, void *arg)
{
	struct server *server = arg;

	(void)fd;
	(void)what;
	if (bind_port(server)) {
		/* The port may still be in use for a moment: retry. */
		stop_listening(server);
		server_set_timer(&server->restart_event, MSEC(REBIND_RETRY_MS));
		return;
	}
	server->down = false;
	server->setup_done_at = 0;
	server_make_cold(server, server->config.cold_ms,
			 server->config.cold_requests);
}

/* Deferred: a connection must not be freed in one of its own callbacks. */
void server_crash_soon(struct server *server)
{
	if (server->down)
		return;
	server->down = true;
	server->counters.crashes++;
	LOG_INFO("server_crashed", LOG_TEXT("server", server->config.server));
	server_set_timer(&server->crash_event, 0);
}

static void set_reading(struct server *server, bool on)
{
	struct conn *conn;

	DL_FOREACH (server->conns, conn) {
		if (conn->work || conn->silent)
			continue;
		if (on)
			bufferevent_enable(conn->evhtp->bev, EV_READ);
		else
			bufferevent_disable(conn->evhtp->bev, EV_READ);
	}
}

static void on_resume(evutil_socket_t fd, short what, void *arg)
{
	struct server *server = arg;

	(void)fd;
	(void)what;
	server->paused_until = 0;
	evconnlistener_enable(server->htp->server);
	set_reading(server, true);
}

void server_pause(struct server *server, int64_t ms)
{
	if (server->down)
		return;
	server->paused_until = clock_now(&server->clock) + MSEC(ms);
	evconnlistener_disable(server->htp->server);
	set_reading(server, false);
	server_set_timer(&server->resume_event, MSEC(ms));
}

void server_drain(struct server *server, bool on)
{
	server->draining = on;
	server->counters.drain_at = on ? clock_now(&server->clock) : 0;
	server->counters.received_after_drain = 0;
	server->counters.last_after_drain_us = 0;
	holdings_invalidate(server);
}

static void on_silent_end(evutil_socket_t fd, short what, void *arg)
{
	struct server *server = arg;
	struct conn *conn;
	struct conn *tmp;

	(void)fd;
	(void)what;
	DL_FOREACH_SAFE (server->conns, conn, tmp) {
		if (conn->silent)
			server_close_conn(conn, false);
	}
}

void server_silence_conns(struct server *server, int64_t close_after_ms)
{
	struct conn *conn;

	DL_FOREACH (server->conns, conn) {
		conn->silent = true;
		bufferevent_disable(conn->evhtp->bev, EV_READ | EV_WRITE);
		if (close_after_ms < 0)
			event_add(&conn->close_event, NULL);
		else
			event_del(&conn->close_event);
	}
	if (close_after_ms >= 0)
		server_set_timer(&server->silent_end_event,
				 MSEC(close_after_ms));
}

static void init_timers(struct server *server)
{
	struct event_base *base = server->base;

	evtimer_assign(&server->crash_event, base, on_crash, server);
	evtimer_assign(&server->restart_event, base, on_restart, server);
	evtimer_assign(&server->resume_event, base, on_resume, server);
	evtimer_assign(&server->silent_end_event, base, on_silent_end, server);
}

int server_init(struct server *server, const struct server_config *config,
		struct event_base *base, struct records *records,
		uint64_t version, uint64_t seed, FILE *history)
{
	struct str name = str_from(config->server);

	memset(server, 0, sizeof(*server));
	server->config = *config;
	server->base = base;
	server->records = records;
	server->history = history;
	server->port = (uint16_t)config->port;
	server->random_state = str_hash_mix(str_hash(name), seed);
	server->faults.restart_ms = -1;
	clock_init(&server->clock);
	init_timers(server);
	server->htp = evhtp_new(base, NULL);
	evhtp_set_pre_accept_cb(server->htp, on_pre_accept, server);
	evhtp_set_post_accept_cb(server->htp, on_post_accept, server);
	evhtp_set_gencb(server->htp, on_request, server);
	holdings_init(server);
	holdings_switch_version(server, version, (int)config->shards, -1);
	server_make_cold(server, config->cold_ms, config->cold_requests);
	if (bind_port(server)) {
		server_finish(server);
		return ERR_ADDRESS;
	}
	return 0;
}

static void free_ticket_counts(struct server *server)
{
	struct ticket_count *entry;
	struct ticket_count *tmp;

	HASH_ITER (hh, server->tickets, entry, tmp) {
		HASH_DEL(server->tickets, entry);
		free(entry->ticket);
		free(entry);
	}
}

void server_finish(struct server *server)
{
	stop_listening(server);
	server_reset_all(server);
	work_drop_all(server);
	evhtp_free(server->htp);
	event_del(&server->crash_event);
	event_del(&server->restart_event);
	event_del(&server->resume_event);
	event_del(&server->silent_end_event);
	free_ticket_counts(server);
	holdings_finish(server);
	free(server->faults.crash_marker);
	server_config_finish(&server->config);
}
