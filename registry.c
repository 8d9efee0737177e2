#include "registry.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "rng.h"

/* Latency of a service before the first answer, microseconds. */
#define INITIAL_LATENCY 10000.0
/* Weight of the latest answer in the latency of a service. */
#define LATENCY_WEIGHT 0.02
/*
 * Weight of the latest answer in the baseline latency. While a shard is eleven
 * times slower for 8 s, an instance gets some hundred answers from it.
 */
#define BASELINE_WEIGHT 0.001
/*
 * Servers publish the remaining cold time, and each update takes a different
 * path: an end that is later by less than this is taken for the same.
 */
#define COLD_TOLERANCE MSEC(500)

void registry_init(struct registry *registry, struct str data_centre,
		   void (*closing)(void *arg, struct registry_server *server),
		   void *arg)
{
	memset(registry, 0, sizeof(*registry));
	str_copy(registry->data_centre, sizeof(registry->data_centre),
		 data_centre);
	registry->closing = closing;
	registry->arg = arg;
}

struct registry_server *registry_server_ref(struct registry_server *server)
{
	server->refs++;
	return server;
}

void registry_server_unref(struct registry_server *server)
{
	while (server && !--server->refs) {
		struct registry_server *earlier = server->earlier;

		free(server->cold_sends);
		free(server);
		server = earlier;
	}
}

struct registry_server *registry_find(const struct registry *registry,
				      struct str id)
{
	struct registry_server *server;

	HASH_FIND(hh, registry->servers, id.data, id.len, server);
	return server;
}

struct registry_service *registry_service(struct registry *registry,
					  struct str name)
{
	struct registry_service *service;

	HASH_FIND(hh, registry->services, name.data, name.len, service);
	if (service)
		return service;
	service = mem_zalloc(sizeof(*service));
	service->registry = registry;
	str_copy(service->name, sizeof(service->name), name);
	service->latency = INITIAL_LATENCY;
	HASH_ADD_KEYPTR(hh, registry->services, service->name,
			strlen(service->name), service);
	return service;
}

static void remove_from_service(struct registry_server *server)
{
	struct registry_service *service = server->service;
	int i;

	for (i = 0; i < service->n; i++) {
		if (service->servers[i] != server)
			continue;
		service->servers[i] = service->servers[--service->n];
		return;
	}
}

static void add_to_service(struct registry *registry,
			   struct registry_server *server)
{
	struct registry_service *service =
		registry_service(registry, str_from(server->entry.service));

	MEM_GROW(service->servers, service->n, service->cap);
	service->servers[service->n++] = server;
	server->service = service;
}

static struct registry_server *add(struct registry *registry,
				   const struct server_entry *entry)
{
	struct registry_server *server = mem_zalloc(sizeof(*server));

	server->refs = 1;
	server->entry = *entry;
	server->remote = strcmp(entry->data_centre, registry->data_centre);
	server->region = regions_find(registry->regions, entry->data_centre);
	server->cordoned = cordon_set_contains(&registry->cordons,
					       str_from(entry->data_centre));
	HASH_ADD_KEYPTR(hh, registry->servers, server->entry.id,
			strlen(server->entry.id), server);
	add_to_service(registry, server);
	return server;
}

static void remove_server(struct registry *registry,
			  struct registry_server *server)
{
	HASH_DEL(registry->servers, server);
	remove_from_service(server);
	server->gone = true;
	registry->closing(registry->arg, server);
	registry_server_unref(server);
}

/*
 * Only the id stays the same: the new process holds no requests, and
 * measurements of the previous one don't apply to it. Otherwise a server that
 * hung and was restarted would go unused for as long as it was avoided.
 */
static struct registry_server *
replace_restarted(struct registry *registry, struct registry_server *server,
		  const struct server_entry *entry)
{
	struct registry_server *successor;

	registry_server_ref(server);
	unread_sends_drop(&server->service->unread_sends, server);
	remove_server(registry, server);
	successor = add(registry, entry);
	successor->earlier = server;
	successor->list_seq = server->list_seq;
	return successor;
}

/*
 * Includes @created_at: an entry that expired and returned has the same
 * content, but other instances may have removed the server meanwhile. They only
 * receive changes and would never use it again.
 */
static bool entry_eq(const struct server_entry *a, const struct server_entry *b)
{
	return !strcmp(a->service, b->service) &&
	       !strcmp(a->data_centre, b->data_centre) &&
	       address_eq(&a->address, &b->address) && a->slots == b->slots &&
	       a->draining == b->draining && a->created_at == b->created_at;
}

static struct registry_removed *find_removed(const struct registry *registry,
					     struct str id)
{
	uint64_t n = registry->n_removed < REGISTRY_REMOVED_MAX
			     ? registry->n_removed
			     : REGISTRY_REMOVED_MAX;
	uint64_t hash = str_hash(id);
	uint64_t i;

	for (i = 0; i < n; i++) {
		if (registry->removed[i].id == hash)
			return (struct registry_removed *)&registry->removed[i];
	}
	return NULL;
}

bool registry_was_removed(const struct registry *registry, struct str id,
			  uint64_t changed_at)
{
	const struct registry_removed *removed = find_removed(registry, id);

	return removed && removed->changed_at >= changed_at;
}

static struct registry_write write_of(const struct server_entry *entry)
{
	return (struct registry_write){
		.started_at_ms = entry->started_at_ms,
		.sequence = entry->sequence,
		.recounted_at = entry->recounted_at,
	};
}

static void remember_removal(struct registry *registry, struct str id,
			     uint64_t changed_at)
{
	const struct registry_server *server = registry_find(registry, id);
	struct registry_removed *removed = find_removed(registry, id);

	if (!removed) {
		removed = &registry->removed[registry->n_removed++ %
					     REGISTRY_REMOVED_MAX];
		memset(removed, 0, sizeof(*removed));
		removed->id = str_hash(id);
	}
	if (changed_at > removed->changed_at)
		removed->changed_at = changed_at;
	if (server)
		removed->last = write_of(&server->entry);
}

const char *registry_order_name(enum registry_order order)
{
	static const char *const names[] = {
		[REGISTRY_NEWER] = "newer",
		[REGISTRY_REPEATED] = "repeated",
		[REGISTRY_OLDER] = "older",
		[REGISTRY_EARLIER_WRITE] = "earlier_write",
		[REGISTRY_EARLIER_START] = "earlier_start",
		[REGISTRY_REMOVED] = "removed",
	};

	return names[order];
}

uint64_t registry_known_revision(const struct registry *registry, struct str id)
{
	const struct registry_server *server = registry_find(registry, id);
	const struct registry_removed *removed;

	if (server)
		return server->changed_at;
	removed = find_removed(registry, id);
	return removed ? removed->changed_at : 0;
}

struct registry_write registry_known_write(const struct registry *registry,
					   struct str id)
{
	const struct registry_server *server = registry_find(registry, id);
	const struct registry_removed *removed;

	if (server)
		return write_of(&server->entry);
	removed = find_removed(registry, id);
	return removed ? removed->last : (struct registry_write){0};
}

static bool is_same_start(int64_t started_at_ms, int64_t other_ms)
{
	return started_at_ms == other_ms || !started_at_ms || !other_ms;
}

void registry_continue_count(const struct registry *registry,
			     struct server_entry *entry)
{
	const struct registry_write known =
		registry_known_write(registry, str_from(entry->id));

	if (is_same_start(entry->started_at_ms, known.started_at_ms))
		entry->recounted_at = known.recounted_at;
}

/*
 * Return: below 0 if the entry is an earlier write than @known, above 0 if it
 * is a later one, 0 if that can't be told or it is the same.
 */
static int compare_writes(const struct server_entry *entry,
			  const struct registry_write *known)
{
	if (!entry->sequence || !known->sequence ||
	    !is_same_start(entry->started_at_ms, known->started_at_ms))
		return 0;
	if (entry->recounted_at != known->recounted_at)
		return entry->recounted_at < known->recounted_at ? -1 : 1;
	if (entry->sequence == known->sequence)
		return 0;
	return entry->sequence < known->sequence ? -1 : 1;
}

/* Of a peer that still takes a count for the server's that has ended. */
static bool is_of_ended_count(const struct server_entry *entry,
			      const struct registry_write *known)
{
	return entry->sequence && entry->recounted_at < known->recounted_at &&
	       is_same_start(entry->started_at_ms, known->started_at_ms);
}

static enum registry_order
compare_with_removed(const struct registry *registry,
		     const struct server_entry *entry, uint64_t changed_at)
{
	const struct registry_removed *removed =
		find_removed(registry, str_from(entry->id));

	/* Revisions of an earlier era can't be compared. */
	if (!removed || (!removed->changed_at && changed_at))
		return REGISTRY_NEWER;
	/* Confirmed later than instances were told that it is not there. */
	if (entry->recounted_at > removed->last.recounted_at &&
	    entry->recounted_at >= removed->changed_at)
		return REGISTRY_NEWER;
	if (removed->changed_at >= changed_at ||
	    is_of_ended_count(entry, &removed->last))
		return REGISTRY_REMOVED;
	return compare_writes(entry, &removed->last) < 0
		       ? REGISTRY_EARLIER_WRITE
		       : REGISTRY_NEWER;
}

static bool begins_to_drain(const struct registry_server *server,
			    const struct server_entry *entry,
			    uint64_t changed_at)
{
	return entry->draining && !server->entry.draining &&
	       changed_at > server->changed_at;
}

static enum registry_order
compare_with_server(const struct registry_server *server,
		    const struct server_entry *entry, uint64_t changed_at)
{
	const struct registry_write known = write_of(&server->entry);
	bool equal = entry_eq(&server->entry, entry);
	int order = compare_writes(entry, &known);

	if (changed_at < server->changed_at)
		return equal ? REGISTRY_REPEATED : REGISTRY_OLDER;
	/* Late update of a previous process. */
	if (entry->started_at_ms &&
	    entry->started_at_ms < server->entry.started_at_ms)
		return REGISTRY_EARLIER_START;
	/* Known from an earlier era: the store may have lost the later ones. */
	if (!server->changed_at)
		return REGISTRY_NEWER;
	if (is_of_ended_count(entry, &known))
		return equal ? REGISTRY_REPEATED : REGISTRY_OLDER;
	/* A peer that does not read sequences has accepted any write. */
	if (changed_at == server->changed_at && known.sequence &&
	    !entry->sequence)
		return equal ? REGISTRY_REPEATED : REGISTRY_OLDER;
	/* A needless drain costs a server's room for a short time only. */
	if (order >= 0 || begins_to_drain(server, entry, changed_at))
		return REGISTRY_NEWER;
	return equal ? REGISTRY_REPEATED : REGISTRY_EARLIER_WRITE;
}

enum registry_order registry_compare(const struct registry *registry,
				     const struct server_entry *entry,
				     uint64_t changed_at)
{
	const struct registry_server *server =
		registry_find(registry, str_from(entry->id));

	return server ? compare_with_server(server, entry, changed_at)
		      : compare_with_removed(registry, entry, changed_at);
}

/* Only the revision, of a write that is earlier or already known. */
static void keep_revision(struct registry_server *server,
			  enum registry_order order, uint64_t changed_at)
{
	if (server &&
	    (order == REGISTRY_REPEATED || order == REGISTRY_EARLIER_WRITE) &&
	    changed_at > server->changed_at)
		server->changed_at = changed_at;
}

bool registry_put(struct registry *registry, const struct server_entry *entry,
		  uint64_t changed_at)
{
	struct registry_server *server =
		registry_find(registry, str_from(entry->id));
	enum registry_order order =
		registry_compare(registry, entry, changed_at);
	struct registry_write known =
		registry_known_write(registry, str_from(entry->id));
	bool is_recount = compare_writes(entry, &known) < 0;
	int64_t started_at_ms;
	bool changed;

	if (order != REGISTRY_NEWER) {
		keep_revision(server, order, changed_at);
		return false;
	}
	if (server && strcmp(server->entry.service, entry->service)) {
		remove_server(registry, server);
		server = NULL;
	}
	changed = !server || server->gone || !entry_eq(&server->entry, entry) ||
		  entry->started_at_ms > server->entry.started_at_ms;
	if (!server)
		server = add(registry, entry);
	else if (entry->started_at_ms > server->entry.started_at_ms)
		server = replace_restarted(registry, server, entry);
	started_at_ms = server->entry.started_at_ms;
	server->entry = *entry;
	server->entry.started_at_ms = started_at_ms;
	if (is_recount)
		server->entry.recounted_at = changed_at;
	server->gone = false;
	server->changed_at = changed_at;
	if (entry->draining && changed)
		registry->closing(registry->arg, server);
	return changed;
}

void registry_apply_cordons(struct registry *registry, int64_t now)
{
	struct registry_server *server;

	for (server = registry->servers; server; server = server->hh.next) {
		bool before = server->cordoned;

		server->cordoned =
			cordon_set_contains(&registry->cordons,
					    str_from(
						    server->entry.data_centre));
		if (server->cordoned && !before)
			registry->closing(registry->arg, server);
		else if (!server->cordoned && before)
			registry_set_cold(server,
					  server->service->warmup.cold_for,
					  now);
	}
}

bool registry_can_be_asked(const struct registry_server *server)
{
	return server->service && server->service->health_path;
}

bool registry_is_open(const struct registry_server *server)
{
	return !server->entry.draining && !server->gone && !server->cordoned;
}

bool registry_set_cold(struct registry_server *server, int64_t cold_for,
		       int64_t now)
{
	bool is_extended;

	if (cold_for > REGISTRY_COLD_MAX)
		cold_for = REGISTRY_COLD_MAX;
	is_extended = server->cold_until + COLD_TOLERANCE < now + cold_for;

	if (now + cold_for > server->cold_until)
		server->cold_until = now + cold_for;
	return is_extended;
}

bool registry_is_cold(const struct registry_server *server, int64_t now)
{
	return server->service->warmup.bound && now < server->cold_until;
}

bool registry_remove(struct registry *registry, struct str id,
		     uint64_t changed_at)
{
	struct registry_server *server = registry_find(registry, id);

	remember_removal(registry, id, changed_at);
	if (!server || changed_at < server->changed_at)
		return false;
	remove_server(registry, server);
	return true;
}

void registry_enter_era(struct registry *registry)
{
	struct registry_server *server;
	int i;

	for (i = 0; i < REGISTRY_REMOVED_MAX; i++)
		registry->removed[i].changed_at = 0;
	for (server = registry->servers; server; server = server->hh.next)
		server->changed_at = 0;
}

bool registry_removed_in_earlier_era(const struct registry *registry,
				     struct str id)
{
	const struct registry_removed *removed = find_removed(registry, id);

	return removed && !removed->changed_at && !registry_find(registry, id);
}

struct registry_server *registry_note_start(struct registry *registry,
					    struct registry_server *server,
					    int64_t started_at_ms)
{
	struct server_entry entry = server->entry;
	uint64_t changed_at = server->changed_at;

	if (started_at_ms <= entry.started_at_ms)
		return server;
	entry.started_at_ms = started_at_ms;
	/* The new process counts anew. */
	entry.sequence = 0;
	entry.recounted_at = 0;
	server = replace_restarted(registry, server, &entry);
	/* The full entry with a newer revision is still to arrive. */
	server->changed_at = changed_at;
	return server;
}

int registry_count_conns(struct registry_server *server)
{
	struct registry_server **at = &server->earlier;
	int n = server->n_conns;

	while (*at) {
		struct registry_server *earlier = *at;

		n += earlier->n_conns;
		if (earlier->n_conns) {
			at = &earlier->earlier;
			continue;
		}
		*at = earlier->earlier;
		earlier->earlier = NULL;
		registry_server_unref(earlier);
	}
	return n;
}

struct str registry_incarnation(const struct registry_server *server,
				char out[REGISTRY_INCARNATION_SIZE])
{
	const struct server_entry *entry = &server->entry;

	str_copy(out, REGISTRY_INCARNATION_SIZE, str_from(entry->id));
	if (entry->started_at_ms)
		snprintf(out, REGISTRY_INCARNATION_SIZE, "%s@%" PRId64,
			 entry->id, entry->started_at_ms);
	return str_from(out);
}

void registry_finish(struct registry *registry)
{
	struct registry_service *service;
	struct registry_service *successor;

	while (registry->servers)
		remove_server(registry, registry->servers);
	HASH_ITER (hh, registry->services, service, successor) {
		HASH_DEL(registry->services, service);
		unread_sends_drop(&service->unread_sends, NULL);
		free(service->servers);
		free(service->health_path);
		free(service);
	}
}

void registry_record_latency(struct registry_service *service, int64_t took)
{
	double weight = 1.0 / (double)++service->n_answers;

	if (weight < BASELINE_WEIGHT)
		weight = BASELINE_WEIGHT;
	service->latency += ((double)took - service->latency) * LATENCY_WEIGHT;
	service->baseline_latency +=
		((double)took - service->baseline_latency) * weight;
}

int64_t registry_linger(const struct registry_server *server, int64_t now)
{
	return server_score_linger(&server->score,
				   server->service->baseline_latency, now);
}

static bool is_tried(const struct registry_criteria *criteria,
		     const struct registry_server *server)
{
	int i;

	for (i = 0; i < criteria->n_tried; i++) {
		if (criteria->tried[i] == server)
			return true;
	}
	return false;
}

static bool is_eligible(const struct registry_criteria *criteria,
			const struct registry_server *server)
{
	return registry_is_open(server) &&
	       !server_score_is_lost(&server->score) &&
	       region_set_allows(criteria->regions, server->region) &&
	       !is_tried(criteria, server);
}

static double cost_of(const struct registry_criteria *criteria,
		      const struct registry_server *server, double jitter,
		      int64_t now)
{
	const struct server_traits traits = {
		.slots = server->entry.slots,
		.service_latency = server->service->latency,
		.remote = server->remote,
		.estimate = server->service->registry->use_shared_estimates
				    ? &server->estimate
				    : NULL,
		.relayed = criteria->relayed,
		.level = criteria->level,
		.jitter = jitter,
	};
	double cost = server_score_cost(&server->score, &traits, now);

	/*
	 * A cold server bears few requests: use it only if there is no other.
	 */
	if (registry_is_cold(server, now))
		cost += SERVER_COST_AVOID;
	return cost;
}

struct registry_server *registry_pick(const struct registry_service *service,
				      const struct registry_criteria *criteria,
				      int64_t now)
{
	struct registry_server *best = NULL;
	double lowest = criteria->exclude_avoided ? SERVER_COST_AVOID : 1e300;
	struct rng rng;
	int i;

	rng_init(&rng, criteria->salt);
	for (i = 0; i < service->n; i++) {
		struct registry_server *server = service->servers[i];
		double cost;

		if (!is_eligible(criteria, server))
			continue;
		cost = cost_of(criteria, server, rng_uniform(&rng), now);
		if (cost >= lowest)
			continue;
		lowest = cost;
		best = server;
	}
	return best;
}
