/* Fuzzes the frame reader, and the catalog with the messages of a peer. */
#include "fuzz.h"

#include <string.h>

#include <event2/buffer.h>

#include "catalog.h"
#include "clock.h"
#include "frame.h"
#include "table.h"

#define PEER_VERSIONS 4

static const char table_text[] =
	"{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"be\"]]},"
	"\"services\":{\"columns\":[\"name\",\"market\"],"
	"\"rows\":[[\"desk\",\"be\"]]},"
	"\"servers\":{\"columns\":[\"name\",\"service\",\"data_centre\","
	"\"address\"],\"rows\":[[\"b1\",\"desk\",\"dc1\",\"127.0.0.1:1\"],"
	"[\"b2\",\"desk\",\"dc1\",\"127.0.0.1:2\"]]}}";

/**
 * struct peer - catalog, and the valid digests of a peer's maps
 * @catalog: processes the messages of the peer
 * @digests: latest map digest, by version modulo PEER_VERSIONS
 */
struct peer {
	struct catalog catalog;
	uint64_t digests[PEER_VERSIONS];
};

static bool has_ranges(const Peer__Map *map)
{
	size_t i;

	for (i = 0; i < map->n_shards; i++) {
		if (!map->shards[i]->shard)
			return false;
	}
	return true;
}

/* Without a valid digest, the catalog would reject almost every input. */
static void set_map_digest(struct peer *peer, Peer__Map *map)
{
	if (!has_ranges(map))
		return;
	map->digest = catalog_map_digest(str_from(map->service), map->version,
					 map->shards, map->n_shards);
	peer->digests[map->version % PEER_VERSIONS] = map->digest;
}

static void process_state(struct peer *peer, Peer__ServerState *state)
{
	size_t i;

	for (i = 0; i < state->n_held; i++)
		state->held[i]->map_digest =
			peer->digests[state->held[i]->version % PEER_VERSIONS];
	catalog_put_state(&peer->catalog, STR("peer"), state);
}

static void process_states(struct peer *peer, const Peer__ServerStates *states)
{
	size_t i;

	for (i = 0; i < states->n_states; i++)
		process_state(peer, states->states[i]);
}

static void check_best_placement(struct catalog *catalog)
{
	const struct catalog_placement *best =
		catalog_best_placement(catalog, STR("desk"));

	if (best && best->covered > best->map->total)
		__builtin_trap();
}

static void process_frame(struct peer *peer, const struct frame *frame)
{
	if (frame->type == FRAME_SERVER_STATES)
		process_states(peer, (Peer__ServerStates *)frame->message);
	if (frame->type == FRAME_MAP) {
		set_map_digest(peer, (Peer__Map *)frame->message);
		catalog_put_map(&peer->catalog, (Peer__Map *)frame->message);
	}
	check_best_placement(&peer->catalog);
}

static void process_input(struct peer *peer, const uint8_t *data, size_t size)
{
	struct evbuffer *in = evbuffer_new();
	struct frame frame;

	evbuffer_add(in, data, size);
	while (frame_read(in, &frame) > 0) {
		process_frame(peer, &frame);
		frame_finish(&frame);
	}
	evbuffer_free(in);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct peer peer = {0};
	struct clock clock;
	struct table table;

	clock_init_paused(&clock, USEC_PER_SEC);
	if (table_init(&table, table_text, strlen(table_text), 1, NULL))
		__builtin_trap();
	catalog_init(&peer.catalog, &clock);
	catalog_set_table(&peer.catalog, &table);
	/* Twice, as the catalog only keeps maps that some server holds. */
	process_input(&peer, data, size);
	process_input(&peer, data, size);
	catalog_remove_instance(&peer.catalog, STR("peer"));
	check_best_placement(&peer.catalog);
	catalog_finish(&peer.catalog);
	table_finish(&table);
	return 0;
}
