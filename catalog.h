/*
 * The entry's catalog of snapshot versions: which shards each backend server
 * holds, and which instances may send requests to that server (its homes). It
 * is updated by the states that homes push.
 *
 * A version has one partition map. A placement joins a version's map with the
 * servers that hold its shards and are usable now.
 */
#ifndef CATALOG_H
#define CATALOG_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "backend.pb-c.h"
#include "clock.h"
#include "peer.pb-c.h"
#include "str.h"
#include "table.h"

/* Size of a name buffer: 64 bytes and the terminating NUL. */
#define CATALOG_NAME_SIZE 65
/* Points of the key space. A map assigns each point to exactly one shard. */
#define CATALOG_POINTS 65536
#define CATALOG_HOMES_MAX 8
#define CATALOG_VERSIONS_MAX 8

/**
 * struct catalog_shard - a range of the key space
 * @lo: first point
 * @hi: last point, inclusive
 * @n_records: records of the snapshot in this range
 */
struct catalog_shard {
	uint16_t lo;
	uint16_t hi;
	uint64_t n_records;
};

/**
 * struct catalog_map - the partition map of a snapshot version
 * @digest: over service, version and shards; the hash key
 * @service: whose snapshot it is
 * @version: of the snapshot
 * @shards: in ascending order, covering every point exactly once; owned
 * @n_shards: length of @shards
 * @total: records in the snapshot
 * @refs: references; freed with the last one
 * @hh: in catalog.maps
 */
struct catalog_map {
	uint64_t digest;
	char service[CATALOG_NAME_SIZE];
	uint64_t version;
	struct catalog_shard *shards;
	int n_shards;
	uint64_t total;
	int refs;
	UT_hash_handle hh;
};

/**
 * struct catalog_instance - an instance that is, or was, a home
 * @name: of the instance
 * @hash: of @name
 * @refs: references; freed with the last one
 * @plan_round: set by the planner: the last round that used this instance
 * @plan_slot: set by the planner: index of this instance in that round
 * @hh: in catalog.instances
 */
struct catalog_instance {
	char name[CATALOG_NAME_SIZE];
	uint64_t hash;
	int refs;
	uint64_t plan_round;
	int plan_slot;
	UT_hash_handle hh;
};

/**
 * struct catalog_home - an instance that may send requests to a server
 * @instance: a reference
 * @slots: its share of the server's slots
 * @in_flight: requests in flight, as last reported
 * @latency_us: latency of the server, as last reported, microseconds
 * @reachable: the instance can reach the server
 * @draining: the server asked for no new work
 * @cold: the server has just started and is slow
 */
struct catalog_home {
	struct catalog_instance *instance;
	uint32_t slots;
	uint32_t in_flight;
	uint32_t latency_us;
	bool reachable;
	bool draining;
	bool cold;
};

/**
 * struct catalog_server_version - a snapshot version that a server holds
 * @version: of the snapshot
 * @digest: of its partition map
 * @map: a reference; NULL until the map was fetched
 * @shards: indexes of the shards that the server holds; owned
 * @n_shards: length of @shards
 */
struct catalog_server_version {
	uint64_t version;
	uint64_t digest;
	struct catalog_map *map;
	uint32_t *shards;
	int n_shards;
};

/**
 * struct catalog_server - a backend server
 * @name: of the server
 * @service: that it belongs to
 * @homes: instances that may send requests to it, in no order
 * @n_homes: length of @homes
 * @versions: snapshot versions that it holds
 * @n_versions: length of @versions
 * @weight: as in the table, -1 while it takes no new work
 * @in_table: the table has a row for it, which counts as a reference
 * @refs: references, one for each home too; freed with the last one
 * @plan_round: as in struct catalog_instance
 * @plan_slot: as in struct catalog_instance
 * @hh: in catalog.servers
 */
struct catalog_server {
	char name[CATALOG_NAME_SIZE];
	char service[CATALOG_NAME_SIZE];
	struct catalog_home homes[CATALOG_HOMES_MAX];
	int n_homes;
	struct catalog_server_version versions[CATALOG_VERSIONS_MAX];
	int n_versions;
	int64_t weight;
	bool in_table;
	int refs;
	uint64_t plan_round;
	int plan_slot;
	UT_hash_handle hh;
};

/**
 * struct catalog_placement - usable servers for each shard of a version
 * @map: the version's partition map; a reference
 * @first: offsets into @servers: those for shard i are @servers[@first[i]] to
 *	   @servers[@first[i + 1] - 1]; owned
 * @servers: usable servers, grouped by shard; the array is owned
 * @covered: records in shards that have a usable server
 */
struct catalog_placement {
	struct catalog_map *map;
	int *first;
	struct catalog_server **servers;
	uint64_t covered;
};

/**
 * struct catalog_service - the placements of a service
 * @name: of the service
 * @new_map_digest: digest of the map that a server switched to last, 0 if none
 *		    did
 * @new_map_at: when that was, microseconds; other servers will follow, or did
 *		and have not reported it yet
 * @placements: one for each version that a usable server holds; owned
 * @n_placements: length of @placements
 * @dirty: @placements must be rebuilt before use
 * @hh: in catalog.services
 */
struct catalog_service {
	char name[CATALOG_NAME_SIZE];
	uint64_t new_map_digest;
	int64_t new_map_at;
	struct catalog_placement *placements;
	int n_placements;
	bool dirty;
	UT_hash_handle hh;
};

/**
 * struct catalog - all that an entry knows of servers and their snapshots
 * @clock: borrowed
 * @maps: by digest
 * @instances: by name
 * @servers: by name
 * @services: by name
 */
struct catalog {
	const struct clock *clock;
	struct catalog_map *maps;
	struct catalog_instance *instances;
	struct catalog_server *servers;
	struct catalog_service *services;
};

void catalog_init(struct catalog *catalog, const struct clock *clock);
void catalog_finish(struct catalog *catalog);

/**
 * catalog_set_table() - update the servers' weights and services from a table
 * @catalog: updated
 * @table: the table in force; borrowed
 *
 * Servers without a row take no new work, and are freed once no home and no
 * user refers to them.
 */
void catalog_set_table(struct catalog *catalog, const struct table *table);

/**
 * catalog_put_state() - apply the state of a server, as reported by a home
 * @catalog: updated
 * @instance: the home
 * @state: borrowed; no slots: the instance is no home of the server any more
 *
 * Return: 0, or ERR_PROTOCOL if a name or the list of versions is too long.
 */
int catalog_put_state(struct catalog *catalog, struct str instance,
		      const Peer__ServerState *state);

/**
 * catalog_remove_instance() - remove an instance from the homes of all servers
 * @catalog: updated
 * @instance: its name
 */
void catalog_remove_instance(struct catalog *catalog, struct str instance);

/**
 * catalog_map_digest() - compute a map's digest, the same on every instance
 * @service: name of the service
 * @version: of the snapshot
 * @shards: in ascending order; borrowed
 * @n: length of @shards
 */
uint64_t catalog_map_digest(struct str service, uint64_t version,
			    Backend__ShardInfo **shards, size_t n);

/**
 * catalog_put_map() - add a version's partition map
 * @catalog: updated
 * @message: borrowed
 *
 * Return: 0, also if the map is known already; ERR_PROTOCOL if the service's
 * name is too long, the digest does not match the content, the shards do not
 * cover every point exactly once, or the total number of records overflows.
 */
int catalog_put_map(struct catalog *catalog, const Peer__Map *message);

/**
 * catalog_has_map() - whether the map with this digest is known
 * @catalog: searched
 * @digest: of the map
 */
bool catalog_has_map(const struct catalog *catalog, uint64_t digest);

/**
 * catalog_find_service() - look up a service, NULL if it is not known
 * @catalog: searched
 * @name: of the service
 */
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, struct str name);

/**
 * catalog_best_placement() - choose the placement that new requests use
 * @catalog: placements are rebuilt if necessary
 * @service: its name
 *
 * The one with the highest share of reachable records, and of equal ones the
 * newest version: a version that is still being rolled out does not lower
 * coverage.
 *
 * Return: borrowed, valid until the next change of the catalog; NULL if no
 * version of the service is known.
 */
const struct catalog_placement *catalog_best_placement(struct catalog *catalog,
						       struct str service);

/**
 * catalog_find_placement() - look up the placement of a partition map
 * @catalog: placements are rebuilt if necessary
 * @map: a map with a reference
 *
 * Return: as catalog_best_placement(); NULL if no usable server holds that
 * version any more.
 */
const struct catalog_placement *
catalog_find_placement(struct catalog *catalog, const struct catalog_map *map);

struct catalog_map *catalog_map_ref(struct catalog_map *map);
void catalog_map_unref(struct catalog *catalog, struct catalog_map *map);
struct catalog_server *catalog_server_ref(struct catalog_server *server);
void catalog_server_unref(struct catalog *catalog,
			  struct catalog_server *server);

struct catalog_instance *catalog_instance_ref(struct catalog_instance *inst);
void catalog_instance_unref(struct catalog *catalog,
			    struct catalog_instance *inst);

/**
 * catalog_home_usable() - whether new work may be sent through a home
 * @home: of a server
 */
bool catalog_home_usable(const struct catalog_home *home);

#endif
