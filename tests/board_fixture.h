/* Test fixture: an entry's blackboard with one service and its servers. */
#ifndef BOARD_FIXTURE_H
#define BOARD_FIXTURE_H

#include "blackboard.h"

#define FIXTURE_SERVICE "desk"
#define FIXTURE_DEADLINE_MS 500
#define FIXTURE_SHARD_RECORDS 10

/**
 * struct board_fixture - blackboard on a paused clock
 * @settings: instance "e1" in data centre "dc1"
 */
struct board_fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
};

/**
 * struct held_version - snapshot version that a server holds
 * @n_shards: shards in the map of the version; they are key ranges of equal
 *	size with FIXTURE_SHARD_RECORDS records each
 * @here: shards that the server holds, one decimal digit each
 */
struct held_version {
	uint64_t version;
	int n_shards;
	const char *here;
};

/**
 * board_fixture_init() - start with a table of the servers b1 to bN of
 * FIXTURE_SERVICE
 */
void board_fixture_init(struct board_fixture *fixture, int n_servers);
void board_fixture_finish(struct board_fixture *fixture);

/**
 * board_fixture_set_servers() - replace the table
 * @first: number of the first server
 * @n: number of servers
 */
void board_fixture_set_servers(struct board_fixture *fixture, int first, int n);

/**
 * fixture_map_init() - create the map of a version; release with
 * fixture_map_finish()
 */
void fixture_map_init(Peer__Map *map, uint64_t version, int n_shards);
void fixture_map_finish(Peer__Map *map);

/**
 * board_fixture_put_map() - add the map of a version to the catalog
 *
 * Return: 0, or an error of catalog_put_map().
 */
int board_fixture_put_map(struct board_fixture *fixture, uint64_t version,
			  int n_shards);

/**
 * board_fixture_put_state() - add the state of a server, as sent by a home
 * @slots: slots of the server that the home may use
 *
 * Return: 0, or an error of catalog_put_state().
 */
int board_fixture_put_state(struct board_fixture *fixture, const char *home,
			    const char *server, uint32_t slots,
			    const struct held_version *held, int n_held);

/**
 * board_fixture_put_server() - add a reachable server that has one slot and
 * holds one version, and the map of that version
 */
void board_fixture_put_server(struct board_fixture *fixture, const char *home,
			      const char *server, uint64_t version,
			      int n_shards, const char *here);

#endif
