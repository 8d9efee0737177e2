/* Whether a server may get one more request, and on which connection. */
#include "upstream_private.h"

#include <math.h>

#include <utlist.h>

#include "error.h"
#include "mem.h"

/* However many instances share what a server accepts, so many are allowed. */
#define CONNS_NEAR_LEAST 2
/* A request that must not be repeated uses none that was idle for longer. */
#define IDLE_FRESH MSEC(100)
/* An answer that later ones overtake by so many times the usual is lost. */
#define OVERTAKEN_TIMES 3

/*
 * Only instances of its own data centre agree on who sends to a cold server.
 *
 * Return: whether one more request may go to it.
 */
static bool count_cold(const struct upstream *upstream,
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
	    !count_cold(upstream, server))
		return ERR_COLD;
	return 0;
}

struct upstream_conn *upstream_find_idle(const struct upstream *upstream,
					 const struct registry_server *server,
					 bool fresh)
{
	int64_t now = clock_now(upstream->clock);
	struct upstream_conn *best = NULL;
	struct upstream_conn *conn;

	DL_FOREACH (server->conns, conn) {
		int64_t idle = now - conn->idle_since;

		if (conn->state != CONN_IDLE || idle >= conn->idle_for)
			continue;
		if (fresh && idle > IDLE_FRESH)
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
	/* A peer may tell any number. */
	double most;

	/* Rounded up: with one connection, one slow answer blocks a server. */
	if (server->remote)
		most = ceil((double)connections_max * limits->share_remote);
	else
		most = floor((double)connections_max * limits->share_local);
	if (!server->remote && most < CONNS_NEAR_LEAST)
		most = CONNS_NEAR_LEAST;
	return registry_count_conns(server) < most;
}

/* Its answer is lost: the server has answered since for longer than it takes.
 */
static bool is_overtaken(const struct exchange *exchange,
			 const struct server_score *score)
{
	return exchange->abandoned && exchange->written &&
	       (double)(score->waiting_since - exchange->sent_at) >
		       score->latency * OVERTAKEN_TIMES;
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
