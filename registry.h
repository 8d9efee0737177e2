/*
 * The backend servers that are known, by id and by service. A server lives as
 * long as a request uses it; one that left or drains gets no new request.
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
#include "load_limit.h"
#include "regions.h"
#include "server_load.h"
#include "server_outlook.h"
#include "server_score.h"
#include "str.h"
#include "warmup.h"

struct server_queue;
struct upstream_conn;
struct registry_service;

#define REGISTRY_NAME_SIZE 128

/**
 * struct server_entry - what a backend server publishes about itself
 * @id: of the server; it may start again under the same one
 * @born: when it started, Unix time in milliseconds; 0: it did not say
 * @created_at: the store's revision at which its entry was made, 0: not known;
 *	one that lapsed and came back is made anew
 * @cold_for: that it takes few requests yet, microseconds from when it said so
 * @draining: it takes no new requests and ends soon
 */
struct server_entry {
	char id[REGISTRY_NAME_SIZE];
	char service[REGISTRY_NAME_SIZE];
	char data_centre[REGISTRY_NAME_SIZE];
	struct address address;
	int64_t slots;
	int64_t born;
	uint64_t created_at;
	int64_t cold_for;
	bool draining;
};

/**
 * struct registry_server - one start of a server
 * @entry: as published last
 * @changed_at: the store's revision of it
 * @list: the last one that named it, see server_view.h
 * @gone: its entry was removed, or another server answers at its address
 * @cordoned: its data centre gets no new requests
 * @remote: in another data centre than this instance
 * @region: of its data centre, borrowed; empty if it is not known
 * @load: that it told last
 * @outlook: what one more request would meet there
 * @is_slow: it is believed to be, see server_pace
 * @slow_at: when that changed, microseconds
 * @queue: requests of this instance that wait for their turn, or NULL; owned by
 *	server_queue
 * @cold_until: it takes few requests until then, microseconds
 * @cold_sends: those that it was sent from here, or NULL
 * @conns: open connections, owned by upstream
 * @earlier: an earlier start under the same id with open connections, or NULL
 * @refs: registry, requests and a later start
 */
struct registry_server {
	struct server_entry entry;
	uint64_t changed_at;
	uint64_t list;
	bool gone;
	bool cordoned;
	bool remote;
	const char *region;
	struct server_load load;
	struct server_estimate outlook;
	bool is_slow;
	int64_t slow_at;
	struct server_queue *queue;
	int64_t cold_until;
	struct warmup_sends *cold_sends;
	struct server_score score;
	struct upstream_conn *conns;
	int n_conns;
	struct registry_server *earlier;
	int refs;
	struct registry_service *service;
	UT_hash_handle hh;
};

/**
 * struct registry_service - all servers of a service
 * @registry: that it belongs to
 * @budget: second sends to it that are left
 * @logged_budget: copy of @budget at the end of the last logging window
 * @latency: of its answers, a moving average, microseconds
 * @usual: the same over some minutes, so that slow seconds hardly move it
 * @n_answers: that came
 * @load: requests under way there, and to shards that it is the first of
 * @warmup: what its servers bear while they are cold
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
	double latency;
	double usual;
	uint64_t n_answers;
	struct load_limit load;
	struct warmup_limit warmup;
	UT_hash_handle hh;
};

/*
 * Servers that were removed, so that an older word does not bring them back.
 * More than a deployment replaces at once.
 */
#define REGISTRY_REMOVED_MAX 4096

/**
 * struct registry_removed - the end of a server's entry
 * @id: hash of the server's
 * @changed_at: the store's revision; 0: in an earlier era
 */
struct registry_removed {
	uint64_t id;
	uint64_t changed_at;
};

/**
 * struct registry - all backend servers
 * @regions: of data centres; may be NULL, set by the owner
 * @use_shared_estimates: servers are chosen by what all that send to them see;
 *else by what this instance sees alone; set by the owner
 * @cordons: data centres that get no new requests; who changes them calls
 *	registry_apply_cordons()
 */
struct registry {
	struct registry_removed removed[REGISTRY_REMOVED_MAX];
	uint64_t n_removed;
	const struct regions *regions;
	bool use_shared_estimates;
	struct cordons cordons;
	char data_centre[REGISTRY_NAME_SIZE];
	struct registry_server *servers;
	struct registry_service *services;
	void (*closing)(void *arg, struct registry_server *server);
	void *arg;
};

/**
 * registry_init() - no servers
 * @data_centre: of this instance
 * @closing: a server is gone, its idle connections can be closed
 */
void registry_init(struct registry *registry, struct str data_centre,
		   void (*closing)(void *arg, struct registry_server *server),
		   void *arg);
void registry_finish(struct registry *registry);

/* What an entry that came is, beside what is known. */
enum registry_order {
	REGISTRY_NEWER,
	REGISTRY_REPEATED,	/* older, and says the same */
	REGISTRY_OLDER,		/* and says something else */
	REGISTRY_EARLIER_START, /* of the process that had the id before */
	REGISTRY_REMOVED,	/* older than the end of its entry */
};

/**
 * registry_order_name() - for the log
 */
const char *registry_order_name(enum registry_order word);

/**
 * registry_compare() - a server's entry came
 * @changed_at: the store's revision
 */
enum registry_order registry_compare(const struct registry *registry,
				     const struct server_entry *entry,
				     uint64_t changed_at);

/**
 * registry_known_revision() - the store's revision of a server's entry, or of
 * its end
 *
 * Return: 0 if neither is known, or they are of an earlier era.
 */
uint64_t registry_known_revision(const struct registry *registry,
				 struct str id);

/**
 * registry_put() - a server's entry came
 * @changed_at: the store's revision; an older one changes nothing
 *
 * Return: whether anything but the revision changed.
 */
bool registry_put(struct registry *registry, const struct server_entry *entry,
		  uint64_t changed_at);

/**
 * registry_apply_cordons() - @registry->cordons changed
 *
 * Servers that get requests again may have been stopped meanwhile: they are
 * taken for cold.
 */
void registry_apply_cordons(struct registry *registry, int64_t now);

/**
 * registry_is_open() - a server may get new requests
 */
bool registry_is_open(const struct registry_server *server);

/*
 * Servers, peers and writers of entries may say any time; none is cold for so
 * long. Microseconds.
 */
#define REGISTRY_COLD_MAX MSEC(60000)

/**
 * registry_set_cold() - a server takes few requests for a while
 * @cold_for: microseconds, REGISTRY_COLD_MAX at most; a time that ends sooner
 *	than what is known changes nothing
 *
 * Return: whether that is news.
 */
bool registry_set_cold(struct registry_server *server, int64_t cold_for,
		       int64_t now);

/**
 * registry_is_cold() - a server is cold, and what it bears then is bounded
 */
bool registry_is_cold(const struct registry_server *server, int64_t now);

/**
 * registry_note_start() - a peer names a start of a server
 * @server: as it is known here
 * @born: as the peer knows it; 0: it does not
 *
 * A later start than the one known here ends what is believed of that one. An
 * earlier one is late news and changes nothing.
 *
 * Return: the server as it is known now.
 */
struct registry_server *registry_note_start(struct registry *registry,
					    struct registry_server *server,
					    int64_t born);

/**
 * registry_count_conns() - connections to a server that are open
 *
 * Those of its earlier starts count: whether the server has noticed their end
 * is not known here, and it accepts so many in all.
 */
int registry_count_conns(struct registry_server *server);

/* Room for the text of registry_incarnation(). */
#define REGISTRY_INCARNATION_SIZE (REGISTRY_NAME_SIZE + 24)

/**
 * registry_incarnation() - a name for this start of a server, the same
 * everywhere
 */
struct str registry_incarnation(const struct registry_server *server,
				char out[REGISTRY_INCARNATION_SIZE]);

/**
 * registry_remove() - a server's entry is gone
 * @changed_at: the store's revision of that; an older one than the entry's
 *	changes nothing. Remembered also if the server is not known.
 *
 * Return: whether it was there.
 */
bool registry_remove(struct registry *registry, struct str id,
		     uint64_t changed_at);

/**
 * registry_enter_era() - revisions are given out again
 *
 * What is known stays, older than any word that comes.
 */
void registry_enter_era(struct registry *registry);

/**
 * registry_removed_in_earlier_era() - a server's entry ended in an earlier era,
 * and it was not heard of in this one
 */
bool registry_removed_in_earlier_era(const struct registry *registry,
				     struct str id);

struct registry_server *registry_find(const struct registry *registry,
				      struct str id);
struct registry_service *registry_service(struct registry *registry,
					  struct str name);

/**
 * registry_record_latency() - an answer of the service took so long,
 * microseconds
 */
void registry_record_latency(struct registry_service *service, int64_t took);

/**
 * registry_linger() - how long a server's answer that nobody needs may still
 * come, microseconds
 */
int64_t registry_linger(const struct registry_server *server, int64_t now);

/**
 * struct registry_criteria - what server is looked for
 * @tried: servers not to be taken
 * @fresh_only: pass over those that are better avoided
 * @regions: it must be in one of them; NULL: anywhere
 * @relayed: requests to other data centres go by relays
 * @level: of the request's urgency, see server_estimate.h
 * @salt: another one for each request, so that not all choose the same one of
 *	servers that look alike
 */
struct registry_criteria {
	struct registry_server *const *tried;
	int n_tried;
	bool fresh_only;
	const struct region_set *regions;
	bool relayed;
	int level;
	uint64_t salt;
};

/**
 * registry_pick() - the best server for a request
 *
 * One that is lost is not picked: it is found again by checks (see outage.h),
 * and not at the cost of callers' requests.
 *
 * Return: NULL if there is none.
 */
struct registry_server *registry_pick(const struct registry_service *service,
				      const struct registry_criteria *choice,
				      int64_t now);

struct registry_server *registry_server_ref(struct registry_server *server);
void registry_server_unref(struct registry_server *server);

#endif
