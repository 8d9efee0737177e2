#include "board_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define TABLE_TEXT_SIZE 4096
#define SHARDS_HELD_MAX 16

static struct table *make_table(int first, int n)
{
	struct table *table = mem_zalloc(sizeof(*table));
	char text[TABLE_TEXT_SIZE];
	struct error err;
	size_t len;
	int i;

	len = (size_t)snprintf(
		text, sizeof(text),
		"{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"be\"]]},"
		"\"services\":{\"columns\":[\"name\",\"market\",\"mode\","
		"\"deadline_ms\"],\"rows\":[[\"" FIXTURE_SERVICE
		"\",\"be\",\"latency\",%d]]},"
		"\"servers\":{\"columns\":[\"name\",\"service\","
		"\"data_centre\",\"address\",\"slots\"],\"rows\":[",
		FIXTURE_DEADLINE_MS);
	for (i = 0; i < n; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
					"%s[\"b%d\",\"" FIXTURE_SERVICE
					"\",\"dc1\",\"127.0.0.1:%d\",2]",
					i ? "," : "", first + i,
					9000 + first + i);
	len += (size_t)snprintf(text + len, sizeof(text) - len, "]}}");
	if (table_init(table, text, len, (uint64_t)first, &err))
		abort();
	return table;
}

void board_fixture_set_servers(struct board_fixture *fixture, int first, int n)
{
	blackboard_set_table(&fixture->board, make_table(first, n));
	catalog_set_table(&fixture->board.catalog, fixture->board.table);
}

void board_fixture_init(struct board_fixture *fixture, int n_servers)
{
	static char instance[] = "e1";
	static char data_centre[] = "dc1";

	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, USEC_PER_SEC);
	fixture->settings.instance = instance;
	fixture->settings.data_centre = data_centre;
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			NULL, 7);
	board_fixture_set_servers(fixture, 1, n_servers);
}

void board_fixture_finish(struct board_fixture *fixture)
{
	blackboard_finish(&fixture->board);
}

void fixture_map_init(Peer__Map *map, uint64_t version, int n_shards)
{
	int i;

	peer__map__init(map);
	map->service = mem_dup(FIXTURE_SERVICE);
	map->version = version;
	map->n_shards = (size_t)n_shards;
	map->shards = mem_zalloc((size_t)n_shards * sizeof(*map->shards));
	for (i = 0; i < n_shards; i++) {
		Backend__ShardInfo *info = mem_zalloc(sizeof(*info));
		Backend__KeyRange *range = mem_zalloc(sizeof(*range));

		backend__shard_info__init(info);
		backend__key_range__init(range);
		range->lo = (uint32_t)(i * CATALOG_POINTS / n_shards);
		range->hi = (uint32_t)((i + 1) * CATALOG_POINTS / n_shards - 1);
		info->shard = range;
		info->held = FIXTURE_SHARD_RECORDS;
		map->shards[i] = info;
	}
	map->digest = catalog_map_digest(str_from(map->service), version,
					 map->shards, map->n_shards);
}

void fixture_map_finish(Peer__Map *map)
{
	size_t i;

	for (i = 0; i < map->n_shards; i++) {
		free(map->shards[i]->shard);
		free(map->shards[i]);
	}
	free(map->shards);
	free(map->service);
}

int board_fixture_put_map(struct board_fixture *fixture, uint64_t version,
			  int n_shards)
{
	Peer__Map map;
	int ret;

	fixture_map_init(&map, version, n_shards);
	ret = catalog_put_map(&fixture->board.catalog, &map);
	fixture_map_finish(&map);
	return ret;
}

static uint64_t map_digest(uint64_t version, int n_shards)
{
	Peer__Map map;

	fixture_map_init(&map, version, n_shards);
	fixture_map_finish(&map);
	return map.digest;
}

int board_fixture_put_state(struct board_fixture *fixture, const char *home,
			    const char *server, uint32_t slots,
			    const struct held_version *held, int n_held)
{
	Peer__ServerState state = PEER__SERVER_STATE__INIT;
	Peer__Held *items = mem_zalloc((size_t)(n_held + 1) * sizeof(*items));
	Peer__Held **pointers =
		mem_zalloc((size_t)(n_held + 1) * sizeof(*pointers));
	uint32_t *here = mem_zalloc((size_t)(n_held + 1) * SHARDS_HELD_MAX *
				    sizeof(*here));
	int ret;
	int i;

	for (i = 0; i < n_held; i++) {
		const char *digit;

		peer__held__init(&items[i]);
		pointers[i] = &items[i];
		items[i].version = held[i].version;
		items[i].map_digest =
			map_digest(held[i].version, held[i].n_shards);
		items[i].here = here + i * SHARDS_HELD_MAX;
		for (digit = held[i].here; *digit; digit++)
			items[i].here[items[i].n_here++] =
				(uint32_t)(*digit - '0');
	}
	state.server = (char *)server;
	state.service = (char *)FIXTURE_SERVICE;
	state.slots = slots;
	state.reachable = true;
	state.n_held = (size_t)n_held;
	state.held = pointers;
	ret = catalog_put_state(&fixture->board.catalog, str_from(home),
				&state);
	free(here);
	free(pointers);
	free(items);
	return ret;
}

void board_fixture_put_server(struct board_fixture *fixture, const char *home,
			      const char *server, uint64_t version,
			      int n_shards, const char *here)
{
	struct held_version held = {version, n_shards, here};

	/* The state goes first: the catalog drops a map that no server holds.
	 */
	if (board_fixture_put_state(fixture, home, server, 1, &held, 1) ||
	    board_fixture_put_map(fixture, version, n_shards))
		abort();
}
