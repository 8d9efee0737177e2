/*
 * Statistics about backend servers from this instance's own requests: latency,
 * requests in flight, refusals and failures. Makes no decisions itself.
 *
 * All statistics decay over time. A server needs the memory of a struct
 * observe_server, at most OBSERVE_SERVER_BYTES, independently of the traffic.
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
/* More than the connections a server usually accepts from all instances. */
#define OBSERVE_SILENCES_MAX 100

struct observe;
struct observe_server;

/**
 * struct observe_home - requests sent through one home of a server
 * @hash: hash of the home's name; 0: slot not in use
 * @in_flight: own requests in flight through it
 * @load: requests of all instances there, as it last reported
 * @load_at: time of that report, microseconds
 */
struct observe_home {
	uint64_t hash;
	uint32_t in_flight;
	uint32_t load;
	int64_t load_at;
};

/**
 * struct observe_group - servers that should hold the same shards
 * @servers: owned array of @n servers that the group doesn't own
 * @n: number of @servers
 * @cap: allocated size of @servers
 * @outliers_checked_at: time of the last search for outliers, microseconds
 * @hash: hash of the names of service and replica set
 * @hh: in observe.groups
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
 * struct observe_service - statistics of a service as a whole
 * @hash: hash of its name
 * @sketch: times until an answer, over all its servers
 * @searches: times until full coverage, per search
 * @hedges: budget of hedges
 * @retries: budget of retries
 * @accepts: decaying number of requests answered
 * @rejects: decaying number of requests refused or failed
 * @decayed_at: time of the last decay of @accepts and @rejects, microseconds
 * @n_servers: number of its servers
 * @n_ejected: number of its servers that are ejected
 * @hh: in observe.services
 */
struct observe_service {
	uint64_t hash;
	struct sketch sketch;
	struct sketch searches;
	struct budget hedges;
	struct budget retries;
	float accepts;
	float rejects;
	int64_t decayed_at;
	int n_servers;
	int n_ejected;
	UT_hash_handle hh;
};

/**
 * struct observe_server - statistics of a backend server
 * @hash: hash of its name
 * @name: its name in the table
 * @probing: being tried again after an ejection, one request at a time
 * @in_table: still in the table
 * @service: the service that it belongs to
 * @group: servers with the same shards, including this one
 * @homes: requests by home
 * @in_flight: own requests not yet answered
 * @late: of these, requests past their hedge delay
 * @mean_us: smoothed time from the home's sending to the answer, microseconds
 * @deviation_us: smoothed absolute difference from the mean, microseconds
 * @sampled_at: time of the last latency sample, microseconds; 0: none yet
 * @requests: decaying number of requests
 * @accepts: decaying number of requests answered
 * @refusals: decaying number of requests shed, or for data it doesn't hold
 * @failures: decaying number of requests failed
 * @decayed_at: time of the last decay of these four, microseconds
 * @failures_in_row: failures since the last answer
 * @refusals_in_row: refusals since the last answer that lengthened its back-off
 * @silences_in_row: silent connections since the last answer
 * @ejections: number of recent ejections; sets the length of the next
 * @answered_at: time of the last answer, microseconds; 0: none
 * @back_off_until: time before which it asked not to be called, microseconds
 * @slow_start_at: start of its slow start, microseconds
 * @ejected_until: when an ejected server is tried again, microseconds; 0: not
 *		   ejected
 * @ejected_at: time of the last ejection, microseconds
 * @health: 0 to 1 as reported by its health endpoint; a hint only
 * @table_weight: its share of the group's work, from the table
 * @table_slots: number of slots, from the table
 * @sketch: times until an answer, measured at the entry instance
 * @hh: in observe.servers
 */
struct observe_server {
	uint64_t hash;
	char name[OBSERVE_NAME_SIZE];
	bool probing;
	bool in_table;
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
	int64_t decayed_at;
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
 * struct observe - statistics of one instance
 * @clock: not owned
 * @tunables: copy of the table's tunables
 * @servers: hash map by hash of the name, owned
 * @services: hash map by hash of the name, owned
 * @groups: hash map by hash of service and replica set, owned
 */
struct observe {
	const struct clock *clock;
	struct tunables tunables;
	struct observe_server *servers;
	struct observe_service *services;
	struct observe_group *groups;
};

/* What the result of one request says about its server. */
enum observe_outcome {
	OBSERVE_ANSWERED,
	OBSERVE_REFUSED,   /* the server shed it */
	OBSERVE_NOT_HELD,  /* the server doesn't hold that data */
	OBSERVE_FAILED,	   /* no connection, it broke, or a bad answer */
	OBSERVE_SILENT,	   /* the connection made no progress */
	OBSERVE_NOT_ASKED, /* the home did not send it to the server */
	OBSERVE_ABANDONED, /* cancelled or past its deadline: a lower bound */
};

/**
 * struct observe_result - how a request to a server ended
 * @code: 0 or an error code, as in Peer__ServerResult
 * @sent: the server may have received it
 * @elapsed_us: time since the entry instance sent it, microseconds
 * @latency_us: time since the home sent it, microseconds; 0 if it was not sent
 * @home_load: requests in flight and queued at the home
 * @retry_after_us: time for which the server asked not to be called,
 *		    microseconds; 0: none
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
 * observe_set_table() - update services, servers and tunables from a table
 * @table: read during the call only
 *
 * Statistics of servers that stay in the table are kept. A server that left
 * the table is removed by the first call after its last request ended.
 */
void observe_set_table(struct observe *observe, const struct table *table);

/**
 * observe_server() - statistics of a server by name
 *
 * Return: owned by @observe; NULL if it is unknown.
 */
struct observe_server *observe_server(const struct observe *observe,
				      struct str name);

/**
 * observe_service() - statistics of a service by name, or NULL
 */
struct observe_service *observe_service(const struct observe *observe,
					struct str name);

/**
 * observe_home() - get a home's slot, replacing the least used one if it is new
 * @instance: hash of the home's name, not 0
 */
struct observe_home *observe_home(struct observe_server *server,
				  uint64_t instance);

/**
 * observe_sent() - record that a request is sent
 * @instance: hash of the home's name
 */
void observe_sent(struct observe *observe, struct observe_server *server,
		  uint64_t instance);

/**
 * observe_mark_late() - record that a request in flight passed its hedge delay
 *
 * To be called at most once per request; pass @was_late to observe_done() then.
 */
void observe_mark_late(struct observe_server *server);

/**
 * observe_done() - record the result of a request
 * @instance: hash of the home's name
 * @was_late: whether observe_mark_late() was called for it
 * @result: how it ended
 */
void observe_done(struct observe *observe, struct observe_server *server,
		  uint64_t instance, bool was_late,
		  const struct observe_result *result);

/**
 * observe_search_done() - record the duration of a whole search
 * @elapsed_us: time until full coverage or until it was given up, microseconds
 */
void observe_search_done(struct observe *observe,
			 struct observe_service *service, int64_t elapsed_us);

/**
 * observe_set_health() - record what a server's health endpoint reports
 * @health: 0 to 1
 */
void observe_set_health(struct observe_server *server, double health);

/**
 * observe_outcome_of() - classify the result of a request
 * @code: 0 or an error code, as in struct observe_result
 * @sent: the server may have received it
 */
enum observe_outcome observe_outcome_of(int code, bool sent);

/**
 * observe_mean() - expected time of a single request
 *
 * As the last sample ages, approaches the mean of the group's fastest server,
 * so that a server that was slow once is tried again.
 *
 * Return: microseconds; 0 without any sample.
 */
int64_t observe_mean(const struct observe *observe,
		     const struct observe_server *server);

/**
 * observe_load() - requests at a server from all instances
 *
 * Return: the sum of the recent reports of its homes, or the number of own
 * requests in flight if that is larger.
 */
uint32_t observe_load(const struct observe *observe,
		      const struct observe_server *server);

/**
 * observe_quantile() - quantile of the time until a server's answer
 * @q: 0 to 1
 *
 * With few samples, the quantile of the whole service dominates.
 *
 * Return: microseconds; 0 without any sample.
 */
int64_t observe_quantile(const struct observe *observe,
			 const struct observe_server *server, double q);

/**
 * observe_accept_ratio() - part of recent requests that a server answered
 *
 * Return: above 0 to 1; 1 without any request.
 */
double observe_accept_ratio(const struct observe *observe,
			    const struct observe_server *server);

/**
 * observe_service_accept_ratio() - part of recent requests that a service
 * answered
 *
 * Return: above 0 to 1; 1 without any request.
 */
double observe_service_accept_ratio(const struct observe_service *service);

#endif
