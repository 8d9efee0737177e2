#include "backend_holdings.h"

#include <stdio.h>
#include <stdlib.h>

#include "mem.h"

const struct snapshot *holdings_snapshot(const struct server *server,
					 uint64_t version)
{
	int i;

	for (i = 0; i < server->n_versions; i++) {
		if (server->versions[i].snapshot->version == version)
			return server->versions[i].snapshot;
	}
	return NULL;
}

/*
 * Placement: replica r of shard s, with r < replicas, is on the server with
 * index (s * replicas + r) % servers.
 */
bool holdings_has_shard(const struct server *server, int shard)
{
	const struct server_config *config = &server->config;
	int64_t first = (int64_t)shard * config->replicas % config->servers;
	int64_t distance = config->index - first;

	if (distance < 0)
		distance += config->servers;
	return distance < config->replicas;
}

void holdings_invalidate(struct server *server)
{
	free(server->packed_holdings);
	server->packed_holdings = NULL;
}

static void fill_snapshot(const struct server *server,
			  const struct snapshot *from, Backend__Snapshot *out)
{
	int n = from->n_shards;
	Backend__ShardInfo *infos = mem_zalloc(n * sizeof(*infos));
	int i;

	backend__snapshot__init(out);
	out->version = from->version;
	out->map = mem_zalloc(n * sizeof(*out->map));
	out->here = mem_zalloc(n * sizeof(*out->here));
	out->n_map = n;
	for (i = 0; i < n; i++) {
		backend__shard_info__init(&infos[i]);
		infos[i].shard = &from->ranges[i];
		infos[i].held = snapshot_shard_size(from, i);
		out->map[i] = &infos[i];
		if (holdings_has_shard(server, i))
			out->here[out->n_here++] = i;
	}
}

static void free_snapshot(Backend__Snapshot *snapshot)
{
	free(snapshot->map[0]);
	free(snapshot->map);
	free(snapshot->here);
}

void holdings_pack(struct server *server)
{
	Backend__Holdings holdings = BACKEND__HOLDINGS__INIT;
	Backend__Snapshot snapshots[SERVER_VERSIONS_MAX];
	Backend__Snapshot *list[SERVER_VERSIONS_MAX];
	bool cold = server_is_cold(server);
	struct str packed;
	int i;

	if (server->packed_holdings && server->packed_holdings_cold == cold)
		return;
	holdings_invalidate(server);
	server->packed_holdings_cold = cold;
	holdings.server = server->config.server;
	holdings.service = server->config.service;
	holdings.draining = server->draining;
	holdings.cold = cold;
	holdings.snapshots = list;
	holdings.n_snapshots = server->n_versions;
	for (i = 0; i < server->n_versions; i++) {
		fill_snapshot(server, server->versions[i].snapshot,
			      &snapshots[i]);
		list[i] = &snapshots[i];
	}
	server->packed_holdings_len =
		backend__holdings__get_packed_size(&holdings);
	server->packed_holdings = mem_zalloc(server->packed_holdings_len);
	backend__holdings__pack(&holdings, server->packed_holdings);
	for (i = 0; i < server->n_versions; i++)
		free_snapshot(&snapshots[i]);
	packed = (struct str){(char *)server->packed_holdings,
			      server->packed_holdings_len};
	snprintf(server->holdings_etag, sizeof(server->holdings_etag),
		 "\"%016llx\"", (unsigned long long)str_hash(packed));
}

/* Drops expired versions and sets the timer for the next to expire. */
static void on_versions_expired(evutil_socket_t fd, short what, void *arg)
{
	struct server *server = arg;
	int64_t now = clock_now(&server->clock);
	int64_t next = INT64_MAX;
	int n = 0;
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < server->n_versions; i++) {
		struct held_version *held = &server->versions[i];

		if (held->expires_at && held->expires_at <= now)
			continue;
		if (held->expires_at && held->expires_at < next)
			next = held->expires_at;
		server->versions[n++] = *held;
	}
	if (n != server->n_versions)
		holdings_invalidate(server);
	server->n_versions = n;
	if (next != INT64_MAX)
		server_set_timer(&server->expiry_event, next - now);
}

int holdings_switch_version(struct server *server, uint64_t version, int shards,
			    int64_t keep_ms)
{
	int64_t now = clock_now(&server->clock);
	struct held_version held = {0};
	int i;

	if (shards < 1 || shards > RECORDS_POINTS)
		return ERR_RANGE;
	for (i = 0; i < server->n_versions; i++) {
		if (keep_ms >= 0 && !server->versions[i].expires_at)
			server->versions[i].expires_at = now + MSEC(keep_ms);
		/* A version has a single partition map, so replace it. */
		if (server->versions[i].snapshot->version == version)
			server->versions[i].expires_at = now;
	}
	on_versions_expired(-1, 0, server);
	if (server->n_versions == SERVER_VERSIONS_MAX)
		return ERR_RANGE;
	held.snapshot = records_snapshot(server->records, version, shards);
	server->versions[server->n_versions++] = held;
	holdings_invalidate(server);
	return 0;
}

void holdings_init(struct server *server)
{
	evtimer_assign(&server->expiry_event, server->base, on_versions_expired,
		       server);
}

void holdings_finish(struct server *server)
{
	event_del(&server->expiry_event);
	free(server->packed_holdings);
}
