#include "backend_route.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "backend_history.h"
#include "backend_holdings.h"
#include "backend_work.h"
#include "mem.h"

static void free_partials(Backend__SearchAnswer *answer)
{
	size_t i;

	for (i = 0; i < answer->n_shards; i++)
		free(answer->shards[i]->records);
	if (answer->n_shards)
		free(answer->shards[0]);
	free(answer->shards);
}

static void fill_partials(struct work *work, Backend__SearchAnswer *answer)
{
	const Backend__SearchRequest *search = work->search;
	size_t n = search->n_shards;
	Backend__ShardPartial *partials = mem_zalloc(n * sizeof(*partials));
	size_t i;

	answer->shards = mem_zalloc(n * sizeof(*answer->shards));
	answer->n_shards = n;
	for (i = 0; i < n; i++) {
		Backend__KeyRange *range = search->shards[i];
		int shard;

		backend__shard_partial__init(&partials[i]);
		answer->shards[i] = &partials[i];
		partials[i].shard = range;
		shard = snapshot_find_shard(work->snapshot, range->lo,
					    range->hi);
		if (shard < 0 || !holdings_has_shard(work->server, shard)) {
			partials[i].status =
				BACKEND__SHARD_STATUS__SHARD_NOT_HELD;
			continue;
		}
		snapshot_search(work->snapshot, shard, &work->filter, search,
				&partials[i]);
	}
	if (!n)
		free(partials);
}

static void append_packed(struct work *work, size_t len,
			  size_t (*pack)(const void *message, uint8_t *out),
			  const void *message)
{
	struct evbuffer *out = work->request->buffer_out;
	struct evbuffer_iovec space;

	evbuffer_reserve_space(out, (ev_ssize_t)len, &space, 1);
	pack(message, space.iov_base);
	space.iov_len = len;
	evbuffer_commit_space(out, &space, 1);
	work_add_header(work, "Content-Type", "application/x-protobuf");
}

static size_t pack_search(const void *message, uint8_t *out)
{
	return backend__search_answer__pack(message, out);
}

static size_t pack_run(const void *message, uint8_t *out)
{
	return backend__run_answer__pack(message, out);
}

void route_answer_search(struct work *work)
{
	Backend__SearchAnswer answer = BACKEND__SEARCH_ANSWER__INIT;
	struct server *server = work->server;
	char wrong_id[] = "another-request";

	answer.request_id = work->search->request_id;
	answer.server = server->config.server;
	answer.version = work->search->version;
	if (server_random(server) < server->faults.wrong_version_probability)
		answer.version++;
	if (server_random(server) < server->faults.wrong_id_probability)
		answer.request_id = wrong_id;
	work->unusable = answer.version != work->search->version ||
			 answer.request_id == wrong_id;
	fill_partials(work, &answer);
	append_packed(work, backend__search_answer__get_packed_size(&answer),
		      pack_search, &answer);
	free_partials(&answer);
	work_answer(work, ANSWER_DONE);
}

void route_answer_run(struct work *work)
{
	Backend__RunAnswer answer = BACKEND__RUN_ANSWER__INIT;
	char body[] = "{\"ran\":true}";

	answer.request_id = work->run->request_id;
	answer.server = work->server->config.server;
	answer.body.data = (uint8_t *)body;
	answer.body.len = sizeof(body) - 1;
	append_packed(work, backend__run_answer__get_packed_size(&answer),
		      pack_run, &answer);
	work_answer(work, ANSWER_DONE);
}

static void set_deadline(struct work *work, uint32_t deadline_ms)
{
	if (deadline_ms)
		work->deadline_at = work->arrived_at + MSEC(deadline_ms);
}

static bool is_for_service(const struct work *work, const char *service)
{
	return !strcmp(service, work->server->config.service);
}

static void handle_search(struct work *work, const uint8_t *body, size_t len)
{
	struct server *server = work->server;

	work->search = backend__search_request__unpack(NULL, len, body);
	if (!work->search || !is_for_service(work, work->search->service) ||
	    records_compile_filter(server->records, work->search->where,
				   &work->filter)) {
		work_answer(work, ANSWER_BAD_REQUEST);
		return;
	}
	work->request_id = work->search->request_id;
	work->snapshot = holdings_snapshot(server, work->search->version);
	server->counters.shards_asked += (int64_t)work->search->n_shards;
	set_deadline(work, work->search->deadline_ms);
	history_record_start(work);
	work_admit(work);
}

/* A run is accepted only if the newest version's shard of its key is held. */
static bool holds_shard_of_key(const struct server *server, const char *key)
{
	uint32_t point = str_hash(str_from(key)) % RECORDS_POINTS;
	const struct snapshot *snapshot;
	int shard;

	if (!server->n_versions)
		return false;
	snapshot = server->versions[server->n_versions - 1].snapshot;
	for (shard = 0; shard < snapshot->n_shards; shard++) {
		if (point <= snapshot->ranges[shard].hi)
			return holdings_has_shard(server, shard);
	}
	return false;
}

static void handle_run(struct work *work, const uint8_t *body, size_t len)
{
	struct server *server = work->server;

	work->run = backend__run_request__unpack(NULL, len, body);
	if (!work->run || !is_for_service(work, work->run->service) ||
	    !*work->run->ticket) {
		work_answer(work, ANSWER_BAD_REQUEST);
		return;
	}
	work->request_id = work->run->request_id;
	set_deadline(work, work->run->deadline_ms);
	history_record_start(work);
	if (!holds_shard_of_key(server, work->run->key)) {
		work_answer(work, ANSWER_NOT_HELD);
		return;
	}
	work->snapshot = server->versions[server->n_versions - 1].snapshot;
	work_admit(work);
}

static void cancel_matching(struct server *server, const char *request_id)
{
	struct work *work;

	DL_FOREACH (server->works, work) {
		if ((work->search || work->run) &&
		    !strcmp(work->request_id, request_id))
			break;
	}
	if (!work)
		return;
	work_answer(work, ANSWER_CANCELLED);
	cancel_matching(server, request_id);
}

static void handle_cancel(struct work *work, const uint8_t *body, size_t len)
{
	Backend__CancelRequest *cancel;

	cancel = backend__cancel_request__unpack(NULL, len, body);
	if (!cancel) {
		work_answer(work, ANSWER_BAD_REQUEST);
		return;
	}
	cancel_matching(work->server, cancel->request_id);
	backend__cancel_request__free_unpacked(cancel, NULL);
	work_answer(work, ANSWER_NO_CONTENT);
}

static void handle_holdings(struct work *work, const uint8_t *body, size_t len)
{
	struct server *server = work->server;
	const char *known;

	(void)body;
	(void)len;
	holdings_pack(server);
	work_add_header(work, "ETag", server->holdings_etag);
	known = evhtp_header_find(work->request->headers_in, "If-None-Match");
	if (known && !strcmp(known, server->holdings_etag)) {
		work_answer(work, ANSWER_NOT_MODIFIED);
		return;
	}
	work_add_header(work, "Content-Type", "application/x-protobuf");
	evbuffer_add(work->request->buffer_out, server->packed_holdings,
		     server->packed_holdings_len);
	work_answer(work, ANSWER_DONE);
}

static void handle_health(struct work *work, const uint8_t *body, size_t len)
{
	struct server *server = work->server;
	const struct faults *faults = &server->faults;
	int64_t now = clock_now(&server->clock);
	bool healthy = !server->draining;
	double load;

	(void)body;
	(void)len;
	if (now - server->health_at >= MSEC(server->config.health_lag_ms)) {
		server->health_at = now;
		server->health_load =
			(double)server->running / (double)server->config.slots;
	}
	load = server->health_load;
	if (faults->fake_health) {
		healthy = faults->fake_healthy;
		load = faults->fake_load;
	}
	work_add_header(work, "Content-Type", "application/json");
	evbuffer_add_printf(work->request->buffer_out,
			    "{\"healthy\":%s,\"load\":%.3f}",
			    healthy ? "true" : "false", load);
	work_answer(work, ANSWER_DONE);
}

static void handle_other(struct work *work, const uint8_t *body, size_t len)
{
	(void)body;
	(void)len;
	work_answer(work, ANSWER_NOT_HELD);
}

struct route {
	const char *path;
	htp_method method;
	void (*handle)(struct work *work, const uint8_t *body, size_t len);
};

static const struct route routes[KIND_COUNT] = {
	[KIND_HOLDINGS] = {"/v1/holdings", htp_method_GET, handle_holdings},
	[KIND_SEARCH] = {"/v1/search", htp_method_POST, handle_search},
	[KIND_RUN] = {"/v1/run", htp_method_POST, handle_run},
	[KIND_CANCEL] = {"/v1/cancel", htp_method_POST, handle_cancel},
	[KIND_HEALTH] = {"/v1/health", htp_method_GET, handle_health},
	[KIND_OTHER] = {"", htp_method_UNKNOWN, handle_other},
};

enum request_kind route_kind(const evhtp_request_t *request)
{
	const char *path = request->uri->path->full;
	int kind;

	for (kind = 0; kind < KIND_OTHER; kind++) {
		if (request->method == routes[kind].method &&
		    !strcmp(path, routes[kind].path))
			break;
	}
	return kind;
}

static void count_received(struct work *work)
{
	struct server_counters *counters = &work->server->counters;

	counters->received[work->kind]++;
	if (!counters->drain_at ||
	    (work->kind != KIND_SEARCH && work->kind != KIND_RUN))
		return;
	counters->received_after_drain++;
	counters->last_after_drain_us =
		clock_now(&work->server->clock) - counters->drain_at;
}

void route_dispatch(struct work *work)
{
	struct evbuffer *in = work->request->buffer_in;
	size_t len = evbuffer_get_length(in);

	count_received(work);
	routes[work->kind].handle(work, evbuffer_pullup(in, -1), len);
}
