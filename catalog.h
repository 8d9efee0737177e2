/*
 * What backend servers hold, by snapshot version, and which instances are
 * their homes: the entry's view, fed by what homes push.
 *
 * A version has one partition map. A placement joins a version's map with the
 * servers that hold its shards and can be asked now.
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

#define CATALOG_NAME_SIZE 65
#define CATALOG_POINTS 65536
#define CATALOG_HOMES_MAX 8
#define CATALOG_VERSIONS_MAX 8

struct catalog_shard {
	uint16_t lo;
	uint16_t hi;
	uint64_t held;
};

/**
 * struct catalog_map - the partition map of a snapshot version
 * @digest: over service, version and shards; the key
 * @shards: ordered, covering all points once
 * @total: records in the snapshot
 * @refs: users; freed with the last
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
 * @hash: of @name
 * @refs: users; freed with the last
 * @plan_round: scratch of the planner: the round that last used it
 * @plan_slot: scratch: its place in that round
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
 * struct catalog_home - an instance with a share of a server
 * @slots: its share
 * @in_flight: as it last said
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

/* One version a server holds; map is NULL until it was fetched. */
struct catalog_server_version {
	uint64_t version;
	uint64_t digest;
	struct catalog_map *map;
	uint32_t *here;
	int n_here;
};

struct catalog_server {
	char name[CATALOG_NAME_SIZE];
	char service[CATALOG_NAME_SIZE];
	struct catalog_home homes[CATALOG_HOMES_MAX];
	int n_homes;
	struct catalog_server_version held[CATALOG_VERSIONS_MAX];
	int n_held;
	int64_t weight; /* of the table; -1: leaving */
	bool in_table;	/* a reference, as each home is one */
	int refs;
	uint64_t plan_round; /* as in struct catalog_instance */
	int plan_slot;
	UT_hash_handle hh;
};

/**
 * struct catalog_placement - who can answer for the shards of a version
 * @map: the version's partition map
 * @first: candidates of shard i are @servers[@first[i]] to
 *	   @servers[@first[i + 1] - 1]
 * @covered: records in shards with a candidate
 */
struct catalog_placement {
	struct catalog_map *map;
	int *first;
	struct catalog_server **servers;
	uint64_t covered;
};

/**
 * struct catalog_service - what the servers of a service hold together
 * @arrived: digest of the map that a server took up last, 0 if none did
 * @arrived_at: when that was; others will follow, or have and not said so yet
 */
struct catalog_service {
	char name[CATALOG_NAME_SIZE];
	uint64_t arrived;
	int64_t arrived_at;
	struct catalog_placement *placements;
	int n_placements;
	bool dirty;
	UT_hash_handle hh;
};

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
 * catalog_set_table() - take weights and states of servers from a table
 */
void catalog_set_table(struct catalog *catalog, const struct table *table);

/**
 * catalog_put_state() - take what a home says of a server
 * @instance: the home
 *
 * Return: 0, or ERR_PROTOCOL if the message is out of bounds.
 */
int catalog_put_state(struct catalog *catalog, struct str instance,
		      const Peer__ServerState *state);

/**
 * catalog_remove_instance() - forget all shares of an instance
 */
void catalog_remove_instance(struct catalog *catalog, struct str instance);

/**
 * catalog_map_digest() - the digest of a map, the same on every instance
 */
uint64_t catalog_map_digest(struct str service, uint64_t version,
			    Backend__ShardInfo **shards, size_t n);

/**
 * catalog_put_map() - take a version's partition map
 *
 * Return: 0; ERR_PROTOCOL if the digest is not that of the content, or the
 * shards do not cover every point once.
 */
int catalog_put_map(struct catalog *catalog, const Peer__Map *message);

/**
 * catalog_has_map() - whether a map is known
 */
bool catalog_has_map(const struct catalog *catalog, uint64_t digest);

/**
 * catalog_find_service() - what is known of a service, or NULL
 */
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, struct str name);

/**
 * catalog_best_placement() - the placement to answer from
 *
 * The newest version among those of which most records can be reached: a
 * newer version that is still being rolled out does not lower coverage.
 *
 * Return: valid until the next change of the catalog; NULL if no version of
 * the service is known.
 */
const struct catalog_placement *catalog_best_placement(struct catalog *catalog,
						       struct str service);

/**
 * catalog_find_placement() - the placement of one partition map
 *
 * Return: as catalog_best_placement(), NULL if no server holds it any more.
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
 * catalog_home_usable() - whether new work may go to a home
 */
bool catalog_home_usable(const struct catalog_home *home);

#endif
