/*
 * Registry of backend servers, by id and by service. A server is reference
 * counted and stays allocated while requests use it; a server that was removed
 * or is draining receives no new requests.
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "address.h"
#include "budget.h"
#include "clock.h"
#include "cordon.h"
#include "delivery.h"
#include "load_limit.h"
#include "regions.h"
#include "server_load.h"
#include "server_estimate.h"
#include "server_score.h"
#include "str.h"
#include "warmup.h"

struct server_queue;
struct upstream_conn;
struct registry_service;
struct watched_server;

#define REGISTRY_NAME_SIZE 128

/**
 * struct server_entry - what a backend server publishes about itself
 * @id: server id; the server may restart under the same one
 * @service: name of the service that it belongs to
 * @data_centre: where it runs
 * @address: where it accepts connections
 * @slots: number of requests that it runs concurrently
 * @started_at_ms: process start time, Unix time in milliseconds; 0: not
 *	published
 * @created_at: store revision at which the entry was created, 0: unknown; an
 *	entry that expires and returns gets a new one
 * @sequence: number of this write, which the server counts since its start;
 *	0: not published
 * @recounted_at: store revision at which a lower @sequence than the known one
 *	was last accepted, so that the count runs from there; 0: never
 * @cold_for: how much longer the server is cold and accepts few requests,
 *	microseconds from publication
 * @draining: it takes no new requests and will stop soon
 */
struct server_entry {
	char id[REGISTRY_NAME_SIZE];
	char service[REGISTRY_NAME_SIZE];
	char data_centre[REGISTRY_NAME_SIZE];
	struct address address;
	int64_t slots;
	int64_t started_at_ms;
	uint64_t created_at;
	uint64_t sequence;
	uint64_t recounted_at;
	int64_t cold_for;
	bool draining;
};

/**
 * struct registry_server - one run of a server process
 * @entry: as last published
 * @changed_at: store revision of @entry
 * @list_seq: number of the last full list that contained it, see server_view.h
 * @gone: its entry was removed, or another server answers at its address
 * @cordoned: its data centre receives no new requests
 * @remote: in another data centre than this instance
 * @region: region of its data centre, borrowed; empty if unknown
 * @load: last load that it reported
 * @estimate: expected wait and processing time of one more request
 * @is_slow: its processing time is well above the baseline, see server_timing.c
 * @slow_changed_at: when @is_slow last changed, microseconds
 * @queue: requests of this instance that are queued for the server, or NULL;
 *	owned by server_queue
 * @watched: the runs there that may crash it, or NULL; owned by crash_watch
 * @answered_at: when it last answered, microseconds; 0: never; owned by
 *	crash_watch
 * @broke_at: when the first connection broke after its last answer,
 *	microseconds; 0: none has; owned by crash_watch
 * @down: its address accepts connections, but it was held for crashed and has
 *	answered nothing since; owned by crash_watch
 * @cold_until: end of the cold period, microseconds
 * @cold_sends: requests that this instance sent during the cold period, or NULL
 * @score: results of this instance's own requests
 * @unread_ask: owned by delivery
 * @conns: open connections, owned by upstream
 * @n_conns: number of @conns
 * @earlier: an earlier run under the same id that still has open connections,
 *	or NULL; holds a reference
 * @refs: reference count; held by the registry, by requests and by a later run
 * @service: the service that it belongs to
 * @hh: entry in registry.servers
 */
struct registry_server {
	struct server_entry entry;
	uint64_t changed_at;
	uint64_t list_seq;
	bool gone;
	bool cordoned;
	bool remote;
	const char *region;
	struct server_load load;
	struct server_estimate estimate;
	bool is_slow;
	int64_t slow_changed_at;
	struct server_queue *queue;
	struct watched_server *watched;
	int64_t answered_at;
	int64_t broke_at;
	bool down;
	int64_t cold_until;
	struct warmup_sends *cold_sends;
	struct server_score score;
	struct unread_ask unread_ask;
	struct upstream_conn *conns;
	int n_conns;
	struct registry_server *earlier;
	int refs;
	struct registry_service *service;
	UT_hash_handle hh;
};

/**
 * struct registry_service - all servers of a service
 * @registry: the registry that contains it
 * @name: its name, the key in the registry
 * @servers: array of its servers, owned
 * @n: number of servers
 * @cap: allocated size of @servers
 * @budget: remaining budget for second sends to this service
 * @logged_budget: copy of @budget at the end of the last logging window
 * @budget_set: @budget was initialized
 * @unread_sends: list of ended second sends that servers may still receive
 * @latency: moving average of answer latency, microseconds
 * @baseline_latency: the same over some minutes, so that a few slow seconds
 *	hardly change it
 * @n_answers: number of answers received
 * @load: limit of concurrent requests, both to this service and to shards that
 *	list it first
 * @warmup: limits that apply while its servers are cold
 * @health_path: where its servers tell of their health; NULL: nowhere; owned
 * @hh: entry in registry.services
 */
struct registry_service {
	const struct registry *registry;
	char name[REGISTRY_NAME_SIZE];
	struct registry_server **servers;
	int n;
	int cap;
	struct budget budget;
	struct budget logged_budget;
	bool budget_set;
	struct unread_send *unread_sends;
	double latency;
	double baseline_latency;
	uint64_t n_answers;
	struct load_limit load;
	struct warmup_limit warmup;
	char *health_path;
	UT_hash_handle hh;
};

/*
 * Number of removals that are remembered, so that an outdated entry does not
 * bring a removed server back. More than a deployment replaces at once.
 */
#define REGISTRY_REMOVED_MAX 4096

/**
 * struct registry_write - which of its writes a server's entry is
 * @started_at_ms: see struct server_entry, as for the other members
 * @sequence: of the write
 * @recounted_at: of the write
 */
struct registry_write {
	int64_t started_at_ms;
	uint64_t sequence;
	uint64_t recounted_at;
};

/**
 * struct registry_removed - a removed server
 * @id: hash of the server id
 * @changed_at: store revision of the removal; 0: in an earlier era of the store
 * @last: the last write before it; without a start and a count if not known
 */
struct registry_removed {
	uint64_t id;
	uint64_t changed_at;
	struct registry_write last;
};

/**
 * struct registry - all backend servers
 * @removed: ring buffer of the last removals
 * @n_removed: number of removals ever recorded
 * @regions: regions of data centres; may be NULL, set by the owner
 * @use_shared_estimates: choose servers by the estimates shared by all
 *	instances that send to them, instead of by this instance's results only;
 *	set by the owner
 * @cordons: data centres that receive no new requests; call
 *	registry_apply_cordons() after changing them
 * @data_centre: of this instance
 * @servers: hash table by server id
 * @services: hash table by service name
 * @closing: see registry_init()
 * @arg: passed to @closing
 */
struct registry {
	struct registry_removed removed[REGISTRY_REMOVED_MAX];
	uint64_t n_removed;
	const struct regions *regions;
	bool use_shared_estimates;
	struct cordon_set cordons;
	char data_centre[REGISTRY_NAME_SIZE];
	struct registry_server *servers;
	struct registry_service *services;
	void (*closing)(void *arg, struct registry_server *server);
	void *arg;
};

/**
 * registry_init() - initialize an empty registry
 * @registry: to initialize
 * @data_centre: of this instance
 * @closing: called when a server gets no new requests, so that its idle
 *	connections can be closed
 * @arg: passed to @closing
 */
void registry_init(struct registry *registry, struct str data_centre,
		   void (*closing)(void *arg, struct registry_server *server),
		   void *arg);
void registry_finish(struct registry *registry);

/*
 * How a received entry compares to the known state of its server. A server's
 * writes are ordered by its start, then by the sequence that it counts since:
 * the store may do an earlier write later. The store's revision orders what
 * the store knows: removals, and answers with the same write.
 */
enum registry_order {
	REGISTRY_NEWER,
	REGISTRY_REPEATED,	/* older, with the same content */
	REGISTRY_OLDER,		/* older, with different content */
	REGISTRY_EARLIER_WRITE, /* newer in the store, earlier of the server */
	REGISTRY_EARLIER_START, /* of a previous process with this id */
	REGISTRY_REMOVED,	/* older than the removal of its entry */
};

/**
 * registry_order_name() - name of a comparison result, for log lines
 * @order: result of registry_compare()
 */
const char *registry_order_name(enum registry_order order);

/**
 * registry_compare() - compare a received entry with the known state
 * @registry: the registry
 * @entry: the received entry
 * @changed_at: store revision of @entry
 */
enum registry_order registry_compare(const struct registry *registry,
				     const struct server_entry *entry,
				     uint64_t changed_at);

/**
 * registry_known_revision() - store revision of a server's entry or removal
 * @registry: the registry
 * @id: server id
 *
 * Return: 0 if neither is known, or if it is from an earlier era.
 */
uint64_t registry_known_revision(const struct registry *registry,
				 struct str id);

/**
 * registry_known_write() - the last accepted write of a server
 * @registry: the registry
 * @id: server id, which may have been removed
 *
 * Return: all zero if it is not known.
 */
struct registry_write registry_known_write(const struct registry *registry,
					   struct str id);

/**
 * registry_continue_count() - set an entry's @recounted_at to the known one, as
 * the store does not tell it
 * @registry: the registry
 * @entry: read from the store
 */
void registry_continue_count(const struct registry *registry,
			     struct server_entry *entry);

/**
 * registry_put() - add or update a server
 * @registry: the registry
 * @entry: copied
 * @changed_at: store revision of @entry; an older one than the known is ignored
 *
 * Of an earlier write only @changed_at is kept, so that it is not taken for
 * news again.
 *
 * Return: whether anything but the revision changed.
 */
bool registry_put(struct registry *registry, const struct server_entry *entry,
		  uint64_t changed_at);

/**
 * registry_apply_cordons() - update all servers after a change of @cordons
 * @registry: the registry
 * @now: current time, microseconds
 *
 * Servers that receive requests again may have been stopped in the meantime, so
 * they are treated as cold.
 */
void registry_apply_cordons(struct registry *registry, int64_t now);

/**
 * registry_can_be_asked() - whether a server's service says where its servers
 * tell of their health
 */
bool registry_can_be_asked(const struct registry_server *server);

/**
 * registry_is_open() - whether a server may receive new requests
 * @server: the server
 */
bool registry_is_open(const struct registry_server *server);

/*
 * Upper bound of the cold period, microseconds. Servers, peers and writers of
 * entries may announce any value; no server is cold for so long.
 */
#define REGISTRY_COLD_MAX MSEC(60000)

/**
 * registry_set_cold() - mark a server as cold
 * @server: the server
 * @cold_for: microseconds, capped at REGISTRY_COLD_MAX; a period that ends
 *	before the known one changes nothing
 * @now: current time, microseconds
 *
 * Return: whether this extends the known cold period noticeably.
 */
bool registry_set_cold(struct registry_server *server, int64_t cold_for,
		       int64_t now);

/**
 * registry_is_cold() - whether a server is cold and its load is limited for it
 * @server: the server
 * @now: current time, microseconds
 */
bool registry_is_cold(const struct registry_server *server, int64_t now);

/**
 * registry_note_start() - handle the start time that a peer reports for a
 * server
 * @registry: the registry
 * @server: as known here
 * @started_at_ms: as known to the peer, Unix time in milliseconds; 0: unknown
 *
 * A later start than the known one replaces the server by a new one, without
 * what was measured of the previous process. An earlier one is outdated and is
 * ignored.
 *
 * Return: the current server.
 */
struct registry_server *registry_note_start(struct registry *registry,
					    struct registry_server *server,
					    int64_t started_at_ms);

/**
 * registry_count_conns() - number of open connections to a server
 * @server: the server
 *
 * Includes those to its earlier runs: it is not known here whether the server
 * has noticed that they were closed, and it limits their total.
 */
int registry_count_conns(struct registry_server *server);

/* Buffer size for registry_incarnation(). */
#define REGISTRY_INCARNATION_SIZE (REGISTRY_NAME_SIZE + 24)

/**
 * registry_incarnation() - identifier of one run of a server, the same on all
 * instances
 * @server: the server
 * @out: buffer for the text
 *
 * Return: the text in @out.
 */
struct str registry_incarnation(const struct registry_server *server,
				char out[REGISTRY_INCARNATION_SIZE]);

/**
 * registry_remove() - remove a server
 * @registry: the registry
 * @id: server id
 * @changed_at: store revision of the removal; ignored if older than that of the
 *	entry. Remembered even if the server is not known.
 *
 * Return: whether the server was removed.
 */
bool registry_remove(struct registry *registry, struct str id,
		     uint64_t changed_at);

/**
 * registry_was_removed() - whether a removal is remembered
 * @registry: the registry
 * @id: server id
 * @changed_at: store revision of the removal, or of an earlier entry
 */
bool registry_was_removed(const struct registry *registry, struct str id,
			  uint64_t changed_at);

/**
 * registry_enter_era() - start a new era, in which store revisions restart
 * @registry: the registry
 *
 * All known entries and removals are kept, as older than any received later.
 */
void registry_enter_era(struct registry *registry);

/**
 * registry_removed_in_earlier_era() - whether a server was removed in an
 * earlier era and not seen in the current one
 * @registry: the registry
 * @id: server id
 */
bool registry_removed_in_earlier_era(const struct registry *registry,
				     struct str id);

struct registry_server *registry_find(const struct registry *registry,
				      struct str id);
struct registry_service *registry_service(struct registry *registry,
					  struct str name);

/**
 * registry_record_latency() - record the latency of an answer of a service
 * @service: the service
 * @took: microseconds
 */
void registry_record_latency(struct registry_service *service, int64_t took);

/**
 * registry_linger() - how long to wait for an answer that is no longer needed
 * before closing the connection
 * @server: the server
 * @now: current time, microseconds
 *
 * Return: microseconds.
 */
int64_t registry_linger(const struct registry_server *server, int64_t now);

/**
 * struct registry_criteria - requirements of a request for its server
 * @tried: servers to exclude
 * @n_tried: number of @tried
 * @exclude_avoided: exclude servers with a cost of SERVER_COST_AVOID or more
 * @regions: regions that the server must be in; NULL: anywhere
 * @relayed: requests to other data centres go through relays
 * @level: urgency level of the request, see server_estimate.h
 * @salt: different for each request, to spread requests over servers of similar
 *	cost
 */
struct registry_criteria {
	struct registry_server *const *tried;
	int n_tried;
	bool exclude_avoided;
	const struct region_set *regions;
	bool relayed;
	int level;
	uint64_t salt;
};

/**
 * registry_pick() - choose the server with the lowest expected cost
 * @service: the service
 * @criteria: requirements of the request
 * @now: microseconds
 *
 * Unreachable servers are not chosen: health checks detect their return (see
 * outage.h) instead of callers' requests.
 *
 * Return: NULL if no server qualifies.
 */
struct registry_server *registry_pick(const struct registry_service *service,
				      const struct registry_criteria *criteria,
				      int64_t now);

struct registry_server *registry_server_ref(struct registry_server *server);
void registry_server_unref(struct registry_server *server);

#endif
