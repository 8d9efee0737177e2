/*
 * What this instance has seen of backend servers with its own requests:
 * latency, requests in flight, refusals and failures. It decides nothing.
 *
 * Everything fades with time. A server costs sizeof(struct observe_server),
 * below OBSERVE_SERVER_BYTES; nothing grows with the traffic.
 */
#ifndef OBSERVE_H
#define OBSERVE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "budget.h"
#include "clock.h"
#include "sketch.h"
#include "str.h"
#include "table.h"

#define OBSERVE_NAME_SIZE 65
#define OBSERVE_HOMES_MAX 4
#define OBSERVE_SERVER_BYTES 1024
/* Above the connections a server usually accepts from all instances. */
#define OBSERVE_SILENCES_MAX 100

struct observe;
struct observe_server;

/**
 * struct observe_home - requests by way of one home of a server
 * @hash: of the home's name; 0: not in use
 * @in_flight: own requests there
 * @load: requests of all instances there, as it last said
 * @load_at: when it said so, microseconds
 */
struct observe_home {
	uint64_t hash;
	uint32_t in_flight;
	uint32_t load;
	int64_t load_at;
};

/**
 * struct observe_group - servers that should hold the same shards
 * @servers: of @n
 * @outliers_checked_at: time of the last search for outliers, microseconds
 */
struct observe_group {
	struct observe_server **servers;
	int n;
	int cap;
	int64_t outliers_checked_at;
	uint64_t hash;
	UT_hash_handle hh;
};

/**
 * struct observe_service - what is known of a service as a whole
 * @sketch: time until an answer, over all its servers
 * @searches: time until full coverage, by whole search
 * @hedges: budget of hedges
 * @retries: budget of retries
 * @accepts: requests answered lately, fading
 * @rejects: requests refused or failed lately, fading
 * @n_servers: how many it has
 * @n_ejected: how many of them are ejected
 */
struct observe_service {
	uint64_t hash;
	struct sketch sketch;
	struct sketch searches;
	struct budget hedges;
	struct budget retries;
	float accepts;
	float rejects;
	int64_t counted_at;
	int n_servers;
	int n_ejected;
	UT_hash_handle hh;
};

/**
 * struct observe_server - what is known of a backend server
 * @in_flight: own requests not yet answered
 * @late: those of them past the delay after which they are hedged
 * @mean_us: smoothed time from the home's sending to the answer
 * @deviation_us: smoothed distance from it
 * @sampled_at: time of the last sample
 * @requests: asked lately, fading; likewise the next three
 * @accepts: of them answered
 * @refusals: of them shed
 * @failures: of them failed
 * @failures_in_row: failures since the last answer
 * @refusals_in_row: sheds since the last answer
 * @silences_in_row: silent connections since the last answer
 * @answered_at: time of the last answer, 0 if none
 * @back_off_until: asked not to be called before
 * @slow_start_at: start of its slow start
 * @health: 0 to 1 as its health endpoint tells; only ever a hint
 * @ejected_until: when an ejected server is tried again; 0: not ejected
 * @ejections: ejections lately, for the length of the next
 * @probing: tried again, one request at a time
 * @sketch: time until an answer as the entry sees it
 * @table_weight: share of work among its group
 * @listed: still in the table
 */
struct observe_server {
	uint64_t hash;
	char name[OBSERVE_NAME_SIZE];
	bool probing;
	bool listed;
	struct observe_service *service;
	struct observe_group *group;
	struct observe_home homes[OBSERVE_HOMES_MAX];
	uint32_t in_flight;
	uint32_t late;
	float mean_us;
	float deviation_us;
	int64_t sampled_at;
	float requests;
	float accepts;
	float refusals;
	float failures;
	int64_t counted_at;
	uint32_t failures_in_row;
	uint32_t refusals_in_row;
	uint32_t silences_in_row;
	uint32_t ejections;
	int64_t answered_at;
	int64_t back_off_until;
	int64_t slow_start_at;
	int64_t ejected_until;
	int64_t ejected_at;
	float health;
	int64_t table_weight;
	int64_t table_slots;
	struct sketch sketch;
	UT_hash_handle hh;
};

/**
 * struct observe - all observations of one instance
 * @tunables: a copy of those in force
 */
struct observe {
	const struct clock *clock;
	struct tunables tunables;
	struct observe_server *servers;
	struct observe_service *services;
	struct observe_group *groups;
};

/* What one answer, or the lack of one, says of a server. */
enum observe_outcome {
	OBSERVE_ANSWERED,
	OBSERVE_REFUSED,   /* the server shed it */
	OBSERVE_NOT_HELD,  /* the server has not that data */
	OBSERVE_FAILED,	   /* no connection, or it broke */
	OBSERVE_SILENT,	   /* the connection made no progress */
	OBSERVE_NOT_ASKED, /* the home did not get to ask it */
	OBSERVE_NO_WORD,   /* cancelled, or too late: slower than so far */
};

/**
 * struct observe_result - how a request to a server ended
 * @code: 0 or an error code, as in Peer__ServerResult
 * @sent: the server may have got it
 * @elapsed_us: from the entry's sending
 * @latency_us: from the home's sending; 0 if it was not sent
 * @home_load: requests in flight and queued at the home
 * @retry_after_us: the server asked not to be called before; 0: none
 */
struct observe_result {
	int code;
	bool sent;
	int64_t elapsed_us;
	int64_t latency_us;
	uint32_t home_load;
	int64_t retry_after_us;
};

void observe_init(struct observe *observe, const struct clock *clock);
void observe_finish(struct observe *observe);

/**
 * observe_set_table() - take services, servers and tunables from a table
 *
 * Observations of servers that stay are kept. A server that left the table
 * is forgotten with the first table after its last request is over.
 */
void observe_set_table(struct observe *observe, const struct table *table);

/**
 * observe_server() - observations of a server by name
 *
 * Return: NULL if it was never in a table.
 */
struct observe_server *observe_server(const struct observe *observe,
				      struct str name);

/**
 * observe_service() - observations of a service by name, or NULL
 */
struct observe_service *observe_service(const struct observe *observe,
					struct str name);

/**
 * observe_home() - the slot of a home, taken if it is new
 * @instance: hash of the home's name, not 0
 */
struct observe_home *observe_home(struct observe_server *server,
				  uint64_t instance);

/**
 * observe_sent() - a request goes out
 * @instance: hash of the home's name
 */
void observe_sent(struct observe *observe, struct observe_server *server,
		  uint64_t instance);

/**
 * observe_mark_late() - a request in flight passed its hedge delay
 *
 * To be called once a request; observe_done() is then told of it.
 */
void observe_mark_late(struct observe_server *server);

/**
 * observe_done() - a request is over
 * @was_late: whether observe_mark_late() was called for it
 */
void observe_done(struct observe *observe, struct observe_server *server,
		  uint64_t instance, bool was_late,
		  const struct observe_result *result);

/**
 * observe_search_done() - a whole search is over
 * @elapsed_us: until full coverage, or until it was given up
 */
void observe_search_done(struct observe *observe,
			 struct observe_service *service, int64_t elapsed_us);

/**
 * observe_set_health() - what the health endpoint of a server says
 * @health: 0 to 1
 */
void observe_set_health(struct observe_server *server, double health);

enum observe_outcome observe_outcome_of(int code, bool sent);

/**
 * observe_mean() - expected time of one request alone
 *
 * Falls back to that of the quickest of the group as the last sample ages, so
 * that a server that was slow once is tried again.
 *
 * Return: microseconds; 0 if nothing is known.
 */
int64_t observe_mean(const struct observe *observe,
		     const struct observe_server *server);

/**
 * observe_load() - requests at a server, of all instances as far as known
 */
uint32_t observe_load(const struct observe *observe,
		      const struct observe_server *server);

/**
 * observe_quantile() - of the time until an answer of a server
 *
 * With few samples it leans on those of the service.
 *
 * Return: microseconds; 0 if nothing is known.
 */
int64_t observe_quantile(const struct observe *observe,
			 const struct observe_server *server, double q);

/**
 * observe_accept_ratio() - part of requests that were answered lately
 */
double observe_accept_ratio(const struct observe *observe,
			    const struct observe_server *server);

/**
 * observe_service_accept_ratio() - part of requests that a service answered
 *
 * Return: above 0 to 1; 1 if nothing is known.
 */
double observe_service_accept_ratio(const struct observe_service *service);

#endif
