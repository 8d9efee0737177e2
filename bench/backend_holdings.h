/* Versions and shards that a stand-in holds. */
#ifndef BACKEND_HOLDINGS_H
#define BACKEND_HOLDINGS_H

#include "backend_server.h"

/**
 * holdings_init() - prepare the timer that drops expired versions
 * @server: the stand-in
 */
void holdings_init(struct server *server);

/**
 * holdings_finish() - stop the timer and free the packed holdings
 * @server: the stand-in
 */
void holdings_finish(struct server *server);

/**
 * holdings_snapshot() - find the snapshot of a held version
 * @server: the stand-in
 * @version: version number
 *
 * Return: the snapshot, owned by the server's records; NULL if the version is
 * not held.
 */
const struct snapshot *holdings_snapshot(const struct server *server,
					 uint64_t version);

/**
 * holdings_has_shard() - whether the server holds this shard of its versions
 * @server: the stand-in
 * @shard: index of the shard
 */
bool holdings_has_shard(const struct server *server, int shard);

/**
 * holdings_pack() - pack the answer to /v1/holdings, unless it is up to date
 * @server: the stand-in
 */
void holdings_pack(struct server *server);

/**
 * holdings_invalidate() - discard the packed answer
 * @server: the stand-in
 */
void holdings_invalidate(struct server *server);

/**
 * holdings_switch_version() - start to hold another version
 * @server: the stand-in
 * @version: replaced at once if it is held already
 * @shards: number of shards in its partition map
 * @keep_ms: milliseconds until the older versions are dropped; below 0: never
 *
 * Return: 0; ERR_RANGE if @shards is out of range or too many versions are
 * held.
 */
int holdings_switch_version(struct server *server, uint64_t version, int shards,
			    int64_t keep_ms);

#endif
