#include "catalog.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

#define LAST_POINT (CATALOG_POINTS - 1)

void catalog_init(struct catalog *catalog, const struct clock *clock)
{
	memset(catalog, 0, sizeof(*catalog));
	catalog->clock = clock;
}

struct catalog_map *catalog_map_ref(struct catalog_map *map)
{
	map->refs++;
	return map;
}

void catalog_map_unref(struct catalog *catalog, struct catalog_map *map)
{
	if (--map->refs)
		return;
	HASH_DEL(catalog->maps, map);
	free(map->shards);
	free(map);
}

struct catalog_instance *catalog_instance_ref(struct catalog_instance *inst)
{
	inst->refs++;
	return inst;
}

void catalog_instance_unref(struct catalog *catalog,
			    struct catalog_instance *inst)
{
	if (--inst->refs)
		return;
	HASH_DEL(catalog->instances, inst);
	free(inst);
}

static struct catalog_instance *put_instance(struct catalog *catalog,
					     struct str name)
{
	struct catalog_instance *inst;

	HASH_FIND(hh, catalog->instances, name.data, name.len, inst);
	if (inst)
		return catalog_instance_ref(inst);
	inst = mem_zalloc(sizeof(*inst));
	inst->refs = 1;
	inst->hash = str_hash(name);
	str_copy(inst->name, sizeof(inst->name), name);
	HASH_ADD_STR(catalog->instances, name, inst);
	return inst;
}

struct catalog_server *catalog_server_ref(struct catalog_server *server)
{
	server->refs++;
	return server;
}

static void release_held(struct catalog *catalog,
			 struct catalog_server_version *held, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		if (held[i].map)
			catalog_map_unref(catalog, held[i].map);
		free(held[i].here);
	}
}

static void clear_held(struct catalog *catalog, struct catalog_server *server)
{
	release_held(catalog, server->held, server->n_held);
	server->n_held = 0;
}

void catalog_server_unref(struct catalog *catalog,
			  struct catalog_server *server)
{
	if (--server->refs)
		return;
	clear_held(catalog, server);
	HASH_DEL(catalog->servers, server);
	free(server);
}

/* A home's reference to the server goes with it: @server may be freed. */
static void remove_home(struct catalog *catalog, struct catalog_server *server,
			struct catalog_home *home)
{
	catalog_instance_unref(catalog, home->instance);
	*home = server->homes[--server->n_homes];
	catalog_server_unref(catalog, server);
}

static void clear_placements(struct catalog *catalog,
			     struct catalog_service *service)
{
	int i;

	for (i = 0; i < service->n_placements; i++) {
		catalog_map_unref(catalog, service->placements[i].map);
		free(service->placements[i].first);
		free(service->placements[i].servers);
	}
	free(service->placements);
	service->placements = NULL;
	service->n_placements = 0;
	service->dirty = true;
}

void catalog_finish(struct catalog *catalog)
{
	struct catalog_service *service;
	struct catalog_service *next_service;
	struct catalog_server *server;
	struct catalog_server *next_server;

	HASH_ITER (hh, catalog->services, service, next_service) {
		clear_placements(catalog, service);
		HASH_DEL(catalog->services, service);
		free(service);
	}
	HASH_ITER (hh, catalog->servers, server, next_server) {
		while (server->n_homes)
			catalog_instance_unref(
				catalog,
				server->homes[--server->n_homes].instance);
		server->refs = 1;
		catalog_server_unref(catalog, server);
	}
}

static struct catalog_service *put_service(struct catalog *catalog,
					   struct str name)
{
	struct catalog_service *service;

	HASH_FIND(hh, catalog->services, name.data, name.len, service);
	if (service)
		return service;
	service = mem_zalloc(sizeof(*service));
	str_copy(service->name, sizeof(service->name), name);
	service->dirty = true;
	HASH_ADD_STR(catalog->services, name, service);
	return service;
}

const struct catalog_service *
catalog_find_service(const struct catalog *catalog, struct str name)
{
	struct catalog_service *service;

	HASH_FIND(hh, catalog->services, name.data, name.len, service);
	return service;
}

static void mark_dirty(struct catalog *catalog, const char *service)
{
	clear_placements(catalog, put_service(catalog, str_from(service)));
}

static struct catalog_server *find_server(const struct catalog *catalog,
					  struct str name)
{
	struct catalog_server *server;

	HASH_FIND(hh, catalog->servers, name.data, name.len, server);
	return server;
}

static void set_row(struct catalog *catalog, struct catalog_server *server,
		    const struct backend_server *row)
{
	int64_t weight = row->state == SERVER_ON ? row->weight : -1;

	if (strcmp(server->service, row->service)) {
		mark_dirty(catalog, server->service);
		clear_held(catalog, server);
		str_copy(server->service, sizeof(server->service),
			 str_from(row->service));
	}
	if (server->weight == weight)
		return;
	server->weight = weight;
	mark_dirty(catalog, server->service);
}

static struct catalog_server *add_server(struct catalog *catalog,
					 struct str name, struct str service)
{
	struct catalog_server *server = mem_zalloc(sizeof(*server));

	str_copy(server->name, sizeof(server->name), name);
	str_copy(server->service, sizeof(server->service), service);
	server->weight = -1;
	HASH_ADD_STR(catalog->servers, name, server);
	return server;
}

/* The catalog's own reference goes with the row of the table. */
static void drop_missing(struct catalog *catalog, const struct table *table)
{
	struct catalog_server *server;
	struct catalog_server *next;

	HASH_ITER (hh, catalog->servers, server, next) {
		if (!server->in_table ||
		    table_find_server(table, str_from(server->name)) >= 0)
			continue;
		mark_dirty(catalog, server->service);
		server->in_table = false;
		server->weight = -1;
		catalog_server_unref(catalog, server);
	}
}

void catalog_set_table(struct catalog *catalog, const struct table *table)
{
	int i;

	drop_missing(catalog, table);
	for (i = 0; i < table->n_servers; i++) {
		const struct backend_server *row = &table->servers[i];
		struct catalog_server *server =
			find_server(catalog, str_from(row->name));

		if (!server)
			server = add_server(catalog, str_from(row->name),
					    str_from(row->service));
		if (!server->in_table)
			catalog_server_ref(server)->in_table = true;
		set_row(catalog, server, row);
	}
}

static struct catalog_home *find_home(struct catalog_server *server,
				      struct str instance)
{
	int i;

	for (i = 0; i < server->n_homes; i++) {
		if (str_eq_text(instance, server->homes[i].instance->name))
			return &server->homes[i];
	}
	return NULL;
}

void catalog_remove_instance(struct catalog *catalog, struct str instance)
{
	struct catalog_server *server;
	struct catalog_server *next;

	HASH_ITER (hh, catalog->servers, server, next) {
		struct catalog_home *home = find_home(server, instance);

		if (!home)
			continue;
		mark_dirty(catalog, server->service);
		remove_home(catalog, server, home);
	}
}

static struct catalog_map *find_map(const struct catalog *catalog,
				    uint64_t digest)
{
	struct catalog_map *map;

	HASH_FIND(hh, catalog->maps, &digest, sizeof(digest), map);
	return map;
}

bool catalog_has_map(const struct catalog *catalog, uint64_t digest)
{
	return find_map(catalog, digest);
}

/*
 * The old list is let go last: it may have the only reference to a map that is
 * in the new one too. Without the map the service would have no snapshot until
 * the home sent it again.
 */
static bool has_digest(const struct catalog_server_version *held, int n,
		       uint64_t digest)
{
	int i;

	for (i = 0; i < n; i++) {
		if (held[i].digest == digest)
			return true;
	}
	return false;
}

/* A server that held something took up another map: a move has begun. */
static void note_arrivals(struct catalog *catalog,
			  const struct catalog_server *server,
			  const struct catalog_server_version *old, int n_old)
{
	struct catalog_service *service =
		put_service(catalog, str_from(server->service));
	int i;

	for (i = 0; i < server->n_held && n_old; i++) {
		if (has_digest(old, n_old, server->held[i].digest))
			continue;
		service->arrived = server->held[i].digest;
		service->arrived_at = clock_now(catalog->clock);
	}
}

static void take_held(struct catalog *catalog, struct catalog_server *server,
		      const Peer__ServerState *state)
{
	struct catalog_server_version old[CATALOG_VERSIONS_MAX];
	int n_old = server->n_held;
	size_t i;

	memcpy(old, server->held, sizeof(old));
	server->n_held = 0;
	for (i = 0; i < state->n_held; i++) {
		const Peer__Held *in = state->held[i];
		struct catalog_server_version *held =
			&server->held[server->n_held++];

		held->version = in->version;
		held->digest = in->map_digest;
		held->map = find_map(catalog, in->map_digest);
		if (held->map)
			catalog_map_ref(held->map);
		held->n_here = (int)in->n_here;
		held->here = mem_zalloc(in->n_here * sizeof(*held->here));
		if (in->n_here)
			memcpy(held->here, in->here,
			       in->n_here * sizeof(*held->here));
	}
	note_arrivals(catalog, server, old, n_old);
	release_held(catalog, old, n_old);
}

static void take_home(struct catalog *catalog, struct catalog_server *server,
		      struct str instance, const Peer__ServerState *state)
{
	struct catalog_home *home = find_home(server, instance);

	if (!home && server->n_homes == CATALOG_HOMES_MAX)
		return;
	if (!home) {
		home = &server->homes[server->n_homes++];
		home->instance = put_instance(catalog, instance);
		catalog_server_ref(server);
	}
	home->slots = state->slots;
	home->in_flight = state->in_flight;
	home->latency_us = state->latency_us;
	home->reachable = state->reachable;
	home->draining = state->draining;
	home->cold = state->cold;
}

static void drop_share(struct catalog *catalog, struct catalog_server *server,
		       struct str instance)
{
	struct catalog_home *home;

	if (!server)
		return;
	home = find_home(server, instance);
	if (!home)
		return;
	mark_dirty(catalog, server->service);
	remove_home(catalog, server, home);
}

int catalog_put_state(struct catalog *catalog, struct str instance,
		      const Peer__ServerState *state)
{
	struct catalog_server *server;

	if (state->n_held > CATALOG_VERSIONS_MAX)
		return ERR_PROTOCOL;
	if (strlen(state->server) >= CATALOG_NAME_SIZE ||
	    strlen(state->service) >= CATALOG_NAME_SIZE)
		return ERR_PROTOCOL;
	server = find_server(catalog, str_from(state->server));
	if (!state->slots) {
		drop_share(catalog, server, instance);
		return 0;
	}
	/*
	 * The home may work from a newer table, and speaks only on a change:
	 * what it says is kept for the row that will come, without any weight
	 * until then. Else the server had no home here for good.
	 */
	if (!server)
		server = add_server(catalog, str_from(state->server),
				    str_from(state->service));
	if (strcmp(server->service, state->service))
		return 0;
	take_home(catalog, server, instance, state);
	/* A home that cannot reach the server has nothing to say of it. */
	if (state->reachable)
		take_held(catalog, server, state);
	mark_dirty(catalog, server->service);
	return 0;
}

uint64_t catalog_map_digest(struct str service, uint64_t version,
			    Backend__ShardInfo **shards, size_t n)
{
	uint64_t hash = str_hash_mix(str_hash(service), version);
	size_t i;

	for (i = 0; i < n; i++) {
		hash = str_hash_mix(hash, shards[i]->shard->lo);
		hash = str_hash_mix(hash, shards[i]->shard->hi);
		hash = str_hash_mix(hash, shards[i]->held);
	}
	return hash;
}

/* Every point once, and a total that does not wrap: answers state it. */
static int check_cover(const Peer__Map *message)
{
	uint32_t next = 0;
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < message->n_shards; i++) {
		const Backend__KeyRange *range = message->shards[i]->shard;

		if (!range || range->lo != next || range->hi < range->lo ||
		    range->hi > LAST_POINT)
			return ERR_PROTOCOL;
		next = range->hi + 1;
		if (total + message->shards[i]->held < total)
			return ERR_PROTOCOL;
		total += message->shards[i]->held;
	}
	return next == CATALOG_POINTS ? 0 : ERR_PROTOCOL;
}

static struct catalog_map *add_map(struct catalog *catalog,
				   const Peer__Map *message)
{
	struct catalog_map *map = mem_zalloc(sizeof(*map));
	size_t i;

	map->digest = message->digest;
	map->version = message->version;
	str_copy(map->service, sizeof(map->service),
		 str_from(message->service));
	map->n_shards = (int)message->n_shards;
	map->shards = mem_zalloc(message->n_shards * sizeof(*map->shards));
	for (i = 0; i < message->n_shards; i++) {
		struct catalog_shard *shard = &map->shards[i];

		shard->lo = (uint16_t)message->shards[i]->shard->lo;
		shard->hi = (uint16_t)message->shards[i]->shard->hi;
		shard->held = message->shards[i]->held;
		map->total += shard->held;
	}
	HASH_ADD(hh, catalog->maps, digest, sizeof(map->digest), map);
	return map;
}

/* Join a new map to the servers that say they hold it. */
static void link_map(struct catalog *catalog, struct catalog_map *map)
{
	struct catalog_server *server;
	struct catalog_server *next;
	int i;

	HASH_ITER (hh, catalog->servers, server, next) {
		for (i = 0; i < server->n_held; i++) {
			struct catalog_server_version *held = &server->held[i];

			if (held->digest == map->digest && !held->map)
				held->map = catalog_map_ref(map);
		}
	}
}

int catalog_put_map(struct catalog *catalog, const Peer__Map *message)
{
	struct catalog_map *map;

	if (strlen(message->service) >= CATALOG_NAME_SIZE ||
	    check_cover(message))
		return ERR_PROTOCOL;
	if (catalog_map_digest(str_from(message->service), message->version,
			       message->shards,
			       message->n_shards) != message->digest)
		return ERR_PROTOCOL;
	if (find_map(catalog, message->digest))
		return 0;
	map = catalog_map_ref(add_map(catalog, message));
	link_map(catalog, map);
	mark_dirty(catalog, map->service);
	catalog_map_unref(catalog, map);
	return 0;
}

bool catalog_home_usable(const struct catalog_home *home)
{
	return home->slots && home->reachable && !home->draining;
}

static bool usable(const struct catalog_server *server)
{
	int i;

	if (server->weight < 0)
		return false;
	for (i = 0; i < server->n_homes; i++) {
		if (catalog_home_usable(&server->homes[i]))
			return true;
	}
	return false;
}

static struct catalog_placement *
placement_of(const struct catalog_service *service,
	     const struct catalog_map *map)
{
	int i;

	for (i = 0; i < service->n_placements; i++) {
		if (service->placements[i].map == map)
			return &service->placements[i];
	}
	return NULL;
}

/* Two passes over the servers: count the candidates of each shard, fill in. */
struct builder {
	struct catalog *catalog;
	struct catalog_service *service;
	bool filling;
};

static void add_placement(struct builder *builder, struct catalog_map *map)
{
	struct catalog_service *service = builder->service;
	struct catalog_placement *placement;
	int n = service->n_placements + 1;

	service->placements = mem_realloc(service->placements,
					  (size_t)n * sizeof(*placement));
	placement = &service->placements[service->n_placements++];
	memset(placement, 0, sizeof(*placement));
	placement->map = catalog_map_ref(map);
	placement->first = mem_zalloc((size_t)(map->n_shards + 2) *
				      sizeof(*placement->first));
}

static void visit_held(struct builder *builder, struct catalog_server *server,
		       const struct catalog_server_version *held)
{
	struct catalog_placement *placement;
	int i;

	if (!placement_of(builder->service, held->map))
		add_placement(builder, held->map);
	placement = placement_of(builder->service, held->map);
	for (i = 0; i < held->n_here; i++) {
		uint32_t shard = held->here[i];

		if (shard >= (uint32_t)held->map->n_shards)
			continue;
		/* first[i + 1] is the fill mark of shard i, see build(). */
		if (builder->filling)
			placement->servers[placement->first[shard + 1]++] =
				server;
		else
			placement->first[shard + 2]++;
	}
}

static void visit_servers(struct builder *builder)
{
	struct catalog_server *server;
	struct catalog_server *next;
	int i;

	HASH_ITER (hh, builder->catalog->servers, server, next) {
		if (strcmp(server->service, builder->service->name) ||
		    !usable(server))
			continue;
		for (i = 0; i < server->n_held; i++) {
			if (server->held[i].map)
				visit_held(builder, server, &server->held[i]);
		}
	}
}

static void sum_counts(struct catalog_placement *placement)
{
	int n = placement->map->n_shards;
	int i;

	for (i = 2; i <= n + 1; i++)
		placement->first[i] += placement->first[i - 1];
	placement->servers = mem_zalloc((size_t)placement->first[n + 1] *
					sizeof(*placement->servers));
}

static void sum_covered(struct catalog_placement *placement)
{
	int i;

	for (i = 0; i < placement->map->n_shards; i++) {
		if (placement->first[i + 1] > placement->first[i])
			placement->covered += placement->map->shards[i].held;
	}
}

/*
 * After counting, first[i + 2] is the number of candidates of shard i; summed
 * up, first[i + 1] is where they start; filling moves it to where they end.
 */
static void build(struct catalog *catalog, struct catalog_service *service)
{
	struct builder builder = {catalog, service, false};
	int i;

	clear_placements(catalog, service);
	service->dirty = false;
	visit_servers(&builder);
	for (i = 0; i < service->n_placements; i++)
		sum_counts(&service->placements[i]);
	builder.filling = true;
	visit_servers(&builder);
	for (i = 0; i < service->n_placements; i++)
		sum_covered(&service->placements[i]);
}

static struct catalog_service *built_service(struct catalog *catalog,
					     struct str name)
{
	struct catalog_service *service;

	HASH_FIND(hh, catalog->services, name.data, name.len, service);
	if (service && service->dirty)
		build(catalog, service);
	return service;
}

const struct catalog_placement *catalog_best_placement(struct catalog *catalog,
						       struct str service_name)
{
	struct catalog_service *service = built_service(catalog, service_name);
	const struct catalog_placement *best = NULL;
	double best_ratio = -1;
	int i;

	if (!service)
		return NULL;
	for (i = 0; i < service->n_placements; i++) {
		const struct catalog_placement *p = &service->placements[i];
		double ratio = p->map->total ? (double)p->covered /
						       (double)p->map->total
					     : 1;

		if (best && (ratio < best_ratio ||
			     (ratio == best_ratio &&
			      p->map->version < best->map->version)))
			continue;
		best = p;
		best_ratio = ratio;
	}
	return best;
}

const struct catalog_placement *
catalog_find_placement(struct catalog *catalog, const struct catalog_map *map)
{
	struct catalog_service *service =
		built_service(catalog, str_from(map->service));

	return service ? placement_of(service, map) : NULL;
}
