/* Limits of requests and connections to a server, and reuse of connections. */
#include "upstream_private.h"

#include <math.h>

#include <utlist.h>

#include "error.h"
#include "mem.h"

/*
 * Connections that an instance may always open to a server of its data centre,
 * however many instances share the server.
 */
#define LOCAL_CONNS_MIN 2
/* Non-idempotent requests use no connection that was idle for longer. */
#define RECENT_IDLE_MAX MSEC(100)
/* An abandoned exchange is presumed lost after this multiple of the latency. */
#define OVERTAKEN_FACTOR 3

/*
 * Instances agree on who sends to a cold server only within its data centre.
 *
 * Return: whether it may get another request.
 */
static bool take_cold_send(const struct upstream *upstream,
			   struct registry_server *server)
{
	if (server->remote)
		return false;
	if (!server->cold_sends)
		server->cold_sends = mem_zalloc(sizeof(*server->cold_sends));
	return warmup_try_send(upstream->limits.warmup,
			       str_from(server->entry.id),
			       &server->service->warmup, server->cold_sends);
}

int upstream_may_send(const struct upstream *upstream,
		      struct registry_server *server)
{
	if (!registry_is_open(server))
		return ERR_DRAINING;
	if (upstream->limits.warmup &&
	    registry_is_cold(server, clock_now(upstream->clock)) &&
	    !take_cold_send(upstream, server))
		return ERR_COLD;
	return 0;
}

struct upstream_conn *upstream_find_idle(const struct upstream *upstream,
					 const struct registry_server *server,
					 bool recent_only)
{
	int64_t now = clock_now(upstream->clock);
	struct upstream_conn *best = NULL;
	struct upstream_conn *conn;

	DL_FOREACH (server->conns, conn) {
		int64_t idle = now - conn->idle_since;

		if (conn->state != CONN_IDLE || idle >= conn->idle_for)
			continue;
		if (recent_only && idle > RECENT_IDLE_MAX)
			continue;
		if (!best || conn->idle_since > best->idle_since)
			best = conn;
	}
	return best;
}

bool upstream_may_open(const struct upstream *upstream,
		       struct registry_server *server, int64_t connections_max)
{
	const struct upstream_limits *limits = &upstream->limits;
	/* Peers may report any number, which could overflow an integer. */
	double max;

	/* Rounded up: with one connection, a slow answer blocks the server. */
	if (server->remote)
		max = ceil((double)connections_max * limits->share_remote);
	else
		max = floor((double)connections_max * limits->share_local);
	if (!server->remote && max < LOCAL_CONNS_MIN)
		max = LOCAL_CONNS_MIN;
	return registry_count_conns(server) < max;
}

/*
 * Whether the answer of an abandoned exchange is presumed lost, as the server
 * has since answered others for longer than it takes.
 */
static bool is_overtaken(const struct exchange *exchange,
			 const struct server_score *score)
{
	return exchange->abandoned && exchange->written &&
	       (double)(score->waiting_since - exchange->sent_at) >
		       score->latency * OVERTAKEN_FACTOR;
}

int upstream_in_flight(const struct registry_server *server)
{
	const struct upstream_conn *conn;
	int n = 0;

	DL_FOREACH (server->conns, conn)
		n += conn->exchange &&
		     !is_overtaken(conn->exchange, &server->score);
	return n;
}
