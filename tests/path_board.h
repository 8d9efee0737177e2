/* A blackboard with a paused clock, one service and what its servers hold. */
#ifndef PATH_BOARD_H
#define PATH_BOARD_H

#include "blackboard.h"

#define FIXTURE_SERVICE "desk"
#define FIXTURE_DEADLINE_MS 500
#define FIXTURE_SHARD_RECORDS 10 /* records in each shard */

/**
 * struct board_fixture - the world of an entry
 * @settings: instance "e1" in data centre "dc1"
 */
struct board_fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
};

/**
 * struct path_held - a version that a server holds
 * @n_shards: of the version's map: equal ranges of FIXTURE_SHARD_RECORDS
 * records
 * @here: the shards held, as digits
 */
struct path_held {
	uint64_t version;
	int n_shards;
	const char *here;
};

/**
 * board_fixture_init() - a table with servers b1 to bN of FIXTURE_SERVICE
 */
void board_fixture_init(struct board_fixture *path, int n_servers);
void board_fixture_finish(struct board_fixture *path);

/**
 * board_fixture_set_servers() - put another table in force
 * @first: number of the first server
 */
void board_fixture_set_servers(struct board_fixture *path, int first, int n);

/**
 * fixture_map_init() - the message of a version's map; release with
 * fixture_map_finish()
 */
void fixture_map_init(Peer__Map *map, uint64_t version, int n_shards);
void fixture_map_finish(Peer__Map *map);
int board_fixture_put_map(struct board_fixture *path, uint64_t version,
			  int n_shards);

/**
 * board_fixture_put_state() - a home says what a server holds
 * @slots: share of the home
 */
int board_fixture_put_state(struct board_fixture *path, const char *home,
			    const char *server, uint32_t slots,
			    const struct path_held *held, int n_held);

/**
 * board_fixture_put_server() - a reachable server with one slot that holds one
 * version, its map included
 */
void board_fixture_put_server(struct board_fixture *path, const char *home,
			      const char *server, uint64_t version,
			      int n_shards, const char *here);

#endif
