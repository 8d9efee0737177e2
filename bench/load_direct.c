#include "load_direct.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <uthash.h>

#include "backend.pb-c.h"
#include "error.h"
#include "mem.h"

#define PROTOBUF_TYPE "application/x-protobuf"
#define DEFAULT_LIMIT 20

struct load_server {
	struct load_direct *direct;
	struct load_target *target;
	Backend__Holdings *holdings;
};

/* One shard and the servers that hold it. */
struct shard {
	Backend__KeyRange range;
	struct load_server **servers;
	int n;
	int cap;
};

/**
 * struct load_shard_map - the shards of a service's newest version
 * @service: name, borrowed from the body of its first search
 * @version: of the snapshot
 * @total: number of records in this version
 * @shards: in the order of the map
 * @n: number of @shards
 * @hh: in @shard_maps of struct load_direct
 */
struct load_shard_map {
	const char *service;
	uint64_t version;
	uint64_t total;
	struct shard *shards;
	int n;
	UT_hash_handle hh;
};

/**
 * struct search - a search with requests in flight
 * @answer: sum of the replies so far
 * @version: that is searched
 * @limit: maximum number of records
 * @pending: requests in flight, plus one while they are being sent
 * @has_result: at least one shard was searched
 * @done: called at the end
 * @arg: passed to @done
 */
struct search {
	struct load_answer answer;
	uint64_t version;
	int64_t limit;
	int pending;
	bool has_result;
	load_direct_done_fn done;
	void *arg;
};

static void holdings_received(void *arg, const struct load_reply *reply)
{
	struct load_server *server = arg;
	struct load_direct *direct = server->direct;

	direct->n_answered++;
	if (reply->status == 200)
		server->holdings = backend__holdings__unpack(
			NULL, reply->body.len,
			(const uint8_t *)reply->body.data);
	if (!server->holdings)
		direct->n_failed++;
}

static void request_holdings(struct load_server *server)
{
	struct load_message message = {
		.method = EVHTTP_REQ_GET,
		.path = "/v1/holdings",
		.body = STR(""),
	};

	load_pool_send(server->target, &message, holdings_received, server);
}

static int count_addresses(const char *addresses)
{
	int n = 1;

	for (; *addresses; addresses++)
		n += *addresses == ',';
	return n;
}

static int add_servers(struct load_direct *direct, char *addresses)
{
	char *name;

	while ((name = strsep(&addresses, ","))) {
		struct load_server *server = &direct->servers[direct->n];

		server->direct = direct;
		server->target = load_pool_target(direct->pool, name);
		if (!server->target)
			return ERR_ADDRESS;
		direct->n++;
	}
	return 0;
}

int load_direct_init(struct load_direct *direct, struct load_pool *pool,
		     const char *addresses)
{
	char *copy = mem_dup(addresses);
	int ret;
	int i;

	memset(direct, 0, sizeof(*direct));
	direct->pool = pool;
	direct->servers = mem_zalloc((size_t)count_addresses(addresses) *
				     sizeof(*direct->servers));
	ret = add_servers(direct, copy);
	free(copy);
	if (ret)
		return ret;
	for (i = 0; i < direct->n; i++)
		request_holdings(&direct->servers[i]);
	return 0;
}

static void free_shard_map(struct load_shard_map *map)
{
	int i;

	for (i = 0; i < map->n; i++)
		free(map->shards[i].servers);
	free(map->shards);
	free(map);
}

void load_direct_finish(struct load_direct *direct)
{
	struct load_shard_map *map;
	struct load_shard_map *next;
	int i;

	HASH_ITER (hh, direct->shard_maps, map, next) {
		HASH_DEL(direct->shard_maps, map);
		free_shard_map(map);
	}
	for (i = 0; i < direct->n; i++) {
		if (direct->servers[i].holdings)
			backend__holdings__free_unpacked(
				direct->servers[i].holdings, NULL);
	}
	free(direct->servers);
}

bool load_direct_ready(const struct load_direct *direct)
{
	return direct->n_answered == direct->n && !direct->n_failed;
}

static bool serves(const struct load_server *server, const char *service)
{
	return server->holdings && !strcmp(server->holdings->service, service);
}

static const Backend__Snapshot *
newest_snapshot(const struct load_direct *direct, const char *service)
{
	const Backend__Snapshot *found = NULL;
	int i;

	for (i = 0; i < direct->n; i++) {
		const struct load_server *server = &direct->servers[i];
		size_t k;

		if (!serves(server, service))
			continue;
		for (k = 0; k < server->holdings->n_snapshots; k++) {
			const Backend__Snapshot *snapshot =
				server->holdings->snapshots[k];

			if (!found || snapshot->version > found->version)
				found = snapshot;
		}
	}
	return found;
}

static void add_server_shards(struct load_shard_map *map,
			      struct load_server *server)
{
	size_t i;
	size_t k;

	for (i = 0; i < server->holdings->n_snapshots; i++) {
		Backend__Snapshot *snapshot = server->holdings->snapshots[i];

		if (snapshot->version != map->version)
			continue;
		for (k = 0; k < snapshot->n_here; k++) {
			struct shard *shard = &map->shards[snapshot->here[k]];

			MEM_GROW(shard->servers, shard->n, shard->cap);
			shard->servers[shard->n++] = server;
		}
	}
}

static struct load_shard_map *build_shard_map(struct load_direct *direct,
					      const char *service)
{
	const Backend__Snapshot *snapshot = newest_snapshot(direct, service);
	struct load_shard_map *map;
	int i;

	if (!snapshot)
		return NULL;
	map = mem_zalloc(sizeof(*map));
	map->service = service;
	map->version = snapshot->version;
	map->n = (int)snapshot->n_map;
	map->shards = mem_zalloc(snapshot->n_map * sizeof(*map->shards));
	for (i = 0; i < map->n; i++) {
		backend__key_range__init(&map->shards[i].range);
		map->shards[i].range.lo = snapshot->map[i]->shard->lo;
		map->shards[i].range.hi = snapshot->map[i]->shard->hi;
		map->total += snapshot->map[i]->held;
	}
	for (i = 0; i < direct->n; i++) {
		if (serves(&direct->servers[i], service))
			add_server_shards(map, &direct->servers[i]);
	}
	HASH_ADD_KEYPTR(hh, direct->shard_maps, service, strlen(service), map);
	return map;
}

static void finish_search(struct search *search)
{
	struct load_answer *answer = &search->answer;

	answer->outcome = search->has_result ? LOAD_DONE : LOAD_TOO_LATE;
	answer->sufficient = answer->covered == answer->total;
	if (answer->n_records > search->limit)
		answer->n_records = search->limit;
	search->done(search->arg, answer);
	free(search);
}

static void add_partial(struct search *search,
			const Backend__ShardPartial *partial)
{
	if (partial->status != BACKEND__SHARD_STATUS__SHARD_OK)
		return;
	search->has_result = true;
	search->answer.covered += partial->held;
	search->answer.count += partial->count;
	search->answer.n_records += (int64_t)partial->n_records;
}

static void server_replied(void *arg, const struct load_reply *reply)
{
	struct search *search = arg;
	Backend__SearchAnswer *answer = NULL;
	size_t i;

	if (reply->status == 200)
		answer = backend__search_answer__unpack(
			NULL, reply->body.len,
			(const uint8_t *)reply->body.data);
	if (answer && answer->version == search->version &&
	    !strcmp(answer->request_id, search->answer.request_id)) {
		for (i = 0; i < answer->n_shards; i++)
			add_partial(search, answer->shards[i]);
	}
	if (answer)
		backend__search_answer__free_unpacked(answer, NULL);
	if (!--search->pending)
		finish_search(search);
}

static void send_request(struct load_server *server,
			 const Backend__SearchRequest *request,
			 struct search *search)
{
	size_t len = backend__search_request__get_packed_size(request);
	uint8_t *data = mem_zalloc(len);
	struct load_message message = {
		.method = EVHTTP_REQ_POST,
		.path = "/v1/search",
		.type = PROTOBUF_TYPE,
		.body = {(const char *)data, len},
	};

	backend__search_request__pack(request, data);
	search->pending++;
	search->answer.work.requests++;
	load_pool_send(server->target, &message, server_replied, search);
	free(data);
}

static bool shard_has_server(const struct shard *shard,
			     const struct load_server *server)
{
	int i;

	for (i = 0; i < shard->n; i++) {
		if (shard->servers[i] == server)
			return true;
	}
	return false;
}

/* Requests the shards from @from on that @server has, each only once. */
static void send_to_server(struct load_shard_map *map, int from,
			   bool *requested, struct load_server *server,
			   Backend__SearchRequest *request,
			   struct search *search)
{
	int i;

	request->n_shards = 0;
	for (i = from; i < map->n; i++) {
		if (requested[i] || !shard_has_server(&map->shards[i], server))
			continue;
		requested[i] = true;
		request->shards[request->n_shards++] = &map->shards[i].range;
	}
	send_request(server, request, search);
}

static void send_to_all(struct load_direct *direct, struct load_shard_map *map,
			Backend__SearchRequest *request, struct search *search)
{
	bool *requested = mem_zalloc((size_t)map->n * sizeof(*requested));
	int i;

	request->shards = mem_zalloc((size_t)map->n * sizeof(*request->shards));
	for (i = 0; i < map->n; i++) {
		struct shard *shard = &map->shards[i];
		int k = (int)(erand48(direct->seed) * shard->n);

		if (!requested[i] && shard->n)
			send_to_server(map, i, requested, shard->servers[k],
				       request, search);
	}
	free(request->shards);
	free(requested);
}

static const char *member_text(struct json_object *body, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(body, key, &value))
		return "";
	if (json_object_is_type(value, json_type_string))
		return json_object_get_string(value);
	return json_object_to_json_string(value);
}

static int64_t member_int(struct json_object *body, const char *key,
			  int64_t fallback)
{
	struct json_object *value;

	if (!json_object_object_get_ex(body, key, &value))
		return fallback;
	return json_object_get_int64(value);
}

static void fill_request(Backend__SearchRequest *request,
			 struct json_object *body, struct search *search)
{
	backend__search_request__init(request);
	request->request_id = search->answer.request_id;
	request->service = (char *)member_text(body, "service");
	request->version = search->version;
	request->mode = BACKEND__MODE__RECORDS;
	if (!strcmp(member_text(body, "mode"), "count"))
		request->mode = BACKEND__MODE__COUNT;
	request->where = (char *)member_text(body, "where");
	request->limit = (uint32_t)search->limit;
	request->deadline_ms = (uint32_t)member_int(body, "deadline_ms", 0);
}

static struct load_shard_map *get_shard_map(struct load_direct *direct,
					    struct json_object *body)
{
	const char *service = member_text(body, "service");
	struct load_shard_map *map;

	HASH_FIND_STR(direct->shard_maps, service, map);
	return map ? map : build_shard_map(direct, service);
}

void load_direct_search(struct load_direct *direct, struct json_object *body,
			const char *request_id, load_direct_done_fn done,
			void *arg)
{
	struct load_shard_map *map = get_shard_map(direct, body);
	struct search *search = mem_zalloc(sizeof(*search));
	Backend__SearchRequest request;

	search->done = done;
	search->arg = arg;
	search->limit = member_int(body, "limit", DEFAULT_LIMIT);
	search->answer.has_coverage = true;
	snprintf(search->answer.request_id, sizeof(search->answer.request_id),
		 "%s", request_id);
	/* Held while sending, as replies may arrive before all are sent. */
	search->pending = 1;
	if (map) {
		search->version = map->version;
		search->answer.snapshot = map->version;
		search->answer.total = map->total;
		fill_request(&request, body, search);
		send_to_all(direct, map, &request, search);
	}
	if (!--search->pending)
		finish_search(search);
}
