#define LOG_MODULE "home_net"
#include "server_link.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "log.h"
#include "mem.h"

/* Consecutive failed requests for holdings. */
#define UNREACHABLE_FAILURES 3
#define VERSION_SWITCH_WINDOW_US MSEC(500)
#define HOLDINGS_MIN_INTERVAL_US MSEC(10)

/* The server answers a request for its holdings without a free slot. */
static int confirm_life(void *arg)
{
	struct server_link *link = arg;

	server_link_request_holdings(link);
	return link->request_pending ? 0 : ERR_NO_SLOT;
}

void server_link_init(struct server_link *link, struct home *home,
		      struct home_server *server, struct peers *peers,
		      uint32_t connections)
{
	memset(link, 0, sizeof(*link));
	link->board = home->board;
	link->peers = peers;
	link->server = server;
	server_pool_init(&link->pool, home->board, &server->address,
			 connections);
	lost_jobs_init(&link->lost, home, server, &link->pool, confirm_life,
		       link);
}

void server_link_finish(struct server_link *link)
{
	server_pool_finish(&link->pool);
	if (link->holdings)
		backend__holdings__free_unpacked(link->holdings, NULL);
	lost_jobs_finish(&link->lost);
}

/* Sending the state to entries. */

static uint64_t snapshot_digest(const Backend__Holdings *holdings,
				const Backend__Snapshot *snapshot)
{
	return catalog_map_digest(str_from(holdings->service),
				  snapshot->version, snapshot->map,
				  snapshot->n_map);
}

static void pack_held(const struct server_link *link, Peer__ServerState *state)
{
	const Backend__Holdings *holdings = link->holdings;
	size_t n = holdings->n_snapshots;
	Peer__Held *held = mem_zalloc(n * sizeof(*held));
	size_t i;

	state->held = mem_zalloc((n + 1) * sizeof(*state->held));
	state->n_held = n;
	for (i = 0; i < n; i++) {
		const Backend__Snapshot *snapshot = holdings->snapshots[i];

		peer__held__init(&held[i]);
		held[i].version = snapshot->version;
		held[i].map_digest = link->digests[i];
		held[i].n_here = snapshot->n_here;
		held[i].here = snapshot->here;
		state->held[i] = &held[i];
	}
	/* free_state() frees the array by state->held[0]. */
	if (!n)
		free(held);
}

static void pack_state(const struct server_link *link, Peer__ServerState *state)
{
	struct home_server *server = link->server;

	peer__server_state__init(state);
	state->server = server->name;
	state->service = server->service;
	state->slots = server->slots;
	state->connections = server->connections;
	state->in_flight = server->in_flight;
	state->latency_us = (uint32_t)server->latency_us;
	state->reachable = link->reachable && link->holdings;
	if (!link->holdings)
		return;
	state->draining = link->holdings->draining;
	state->cold = link->holdings->cold;
	pack_held(link, state);
}

static void free_state(Peer__ServerState *state)
{
	if (state->n_held)
		free(state->held[0]);
	free(state->held);
}

void server_link_send_state(struct server_link *link, struct peer_link *to)
{
	Peer__ServerStates states = PEER__SERVER_STATES__INIT;
	Peer__ServerState state;
	Peer__ServerState *pointer = &state;

	pack_state(link, &state);
	states.n_states = 1;
	states.states = &pointer;
	peer_send(to, FRAME_SERVER_STATES, &states.base);
	free_state(&state);
}

void server_link_push_state(struct server_link *link)
{
	struct peer_link *to;

	for (to = link->peers->links; to; to = to->next) {
		if (!to->outgoing && to->up)
			server_link_send_state(link, to);
	}
}

/* Polling the holdings. */

static bool is_valid_holdings(const struct server_link *link,
			      const Backend__Holdings *holdings)
{
	size_t i;
	size_t k;

	if (strcmp(holdings->server, link->server->name) ||
	    strcmp(holdings->service, link->server->service) ||
	    holdings->n_snapshots > CATALOG_VERSIONS_MAX)
		return false;
	for (i = 0; i < holdings->n_snapshots; i++) {
		for (k = 0; k < holdings->snapshots[i]->n_map; k++) {
			if (!holdings->snapshots[i]->map[k]->shard)
				return false;
		}
	}
	return true;
}

static int unpack_holdings(struct server_link *link,
			   const struct server_reply *reply)
{
	size_t len = evbuffer_get_length(reply->body);
	Backend__Holdings *holdings =
		backend__holdings__unpack(NULL, len,
					  evbuffer_pullup(reply->body, -1));
	size_t i;

	if (!holdings)
		return ERR_PROTOCOL;
	if (!is_valid_holdings(link, holdings)) {
		backend__holdings__free_unpacked(holdings, NULL);
		return ERR_FOREIGN;
	}
	if (link->holdings)
		backend__holdings__free_unpacked(link->holdings, NULL);
	link->holdings = holdings;
	for (i = 0; i < holdings->n_snapshots; i++)
		link->digests[i] =
			snapshot_digest(holdings, holdings->snapshots[i]);
	str_copy(link->etag, sizeof(link->etag),
		 str_from(reply->etag ? reply->etag : ""));
	return 0;
}

static void holdings_failed(struct server_link *link, int code)
{
	link->failures++;
	if (!link->reachable || link->failures < UNREACHABLE_FAILURES)
		return;
	link->reachable = false;
	LOG_WARN("server_unreachable", LOG_TEXT("server", link->server->name),
		 LOG_TEXT("error", error_name(code)));
	server_link_push_state(link);
}

static void on_holdings(void *arg, const struct server_reply *reply)
{
	struct server_link *link = arg;
	bool changed = !link->reachable;
	int code = reply->code;

	link->request_pending = false;
	lost_jobs_confirmed(&link->lost, link->requested_at, reply->status);
	if (!code && reply->status == 200) {
		code = unpack_holdings(link, reply);
		changed = true;
	}
	if (code) {
		holdings_failed(link, code);
		return;
	}
	link->failures = 0;
	link->reachable = true;
	if (changed)
		server_link_push_state(link);
}

void server_link_request_holdings(struct server_link *link)
{
	if (link->request_pending || !link->server->slots)
		return;
	link->requested_at = clock_now(link->board->clock);
	link->request_pending = !server_pool_get(&link->pool, "/v1/holdings",
						 link->etag, on_holdings, link);
}

static bool has_snapshot(const struct server_link *link, uint64_t digest)
{
	size_t i;

	for (i = 0; link->holdings && i < link->holdings->n_snapshots; i++) {
		if (link->digests[i] == digest)
			return true;
	}
	return false;
}

/*
 * Servers of a service switch versions at about the same time. When the first
 * one reports the new version, possibly to another home, the others are polled
 * at once: otherwise neither version would be complete for searches until the
 * next regular poll.
 */
void server_link_follow_version_switch(struct server_link *link)
{
	const struct blackboard *board = link->board;
	const struct catalog_service *service =
		catalog_find_service(&board->catalog,
				     str_from(link->server->service));
	int64_t now = clock_now(board->clock);

	if (!service || !service->new_map_digest ||
	    has_snapshot(link, service->new_map_digest) ||
	    now - service->new_map_at > VERSION_SWITCH_WINDOW_US ||
	    now - link->requested_at < HOLDINGS_MIN_INTERVAL_US)
		return;
	server_link_request_holdings(link);
}
