/*
 * State machine of one request to backend servers: chooses a server of each
 * service, hedges and retries, and decides when the answer is complete. A
 * request to a single service has one part; a sharded request has one part for
 * each shard.
 *
 * Does no I/O: actions go through struct dispatch_ops, results are passed to
 * dispatch_result(), and time passes with dispatch_tick().
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "budget.h"
#include "clock.h"
#include "delivery.h"
#include "latency.h"
#include "outage.h"
#include "records.h"
#include "registry.h"
#include "routes.h"
#include "str.h"

struct dispatch;
struct dispatch_part;
struct dispatch_send;
struct forecast;
struct forecast_part;
struct load_control;
struct load_share;

/* Maximum number of sends of one part, including refused ones. */
#define DISPATCH_SENDS_MAX 6

enum dispatch_send_state {
	SEND_IN_FLIGHT,
	SEND_ENDED,
};

/**
 * struct dispatch_send - one send of a part to a server
 * @server: holds a reference
 * @sent_at: microseconds
 * @handle: private to the owner
 * @relayed: private to the owner
 * @busy_until: if not 0, the server had no free connection or slot; from then
 *	on, microseconds, it may be tried again and this entry be reused
 * @why: for logs: "first", "hedge", "retry" or "moved"
 * @charged: it took a token from the service's budget
 * @unknown: it ended without a sign that the server received it
 * @broke: the connection to the server broke under it
 * @delivery: while it is abandoned: what the owner tells how the send ends, see
 *	delivery_add(); NULL if that does not matter
 */
struct dispatch_send {
	struct dispatch_part *part;
	struct registry_server *server;
	enum dispatch_send_state state;
	int64_t sent_at;
	void *handle;
	bool relayed;
	int64_t busy_until;
	const char *why;
	bool charged;
	bool unknown;
	bool broke;
	struct delivery *delivery;
};

enum part_state {
	PART_PENDING,
	PART_ANSWERED,
	PART_FAILED,
};

/**
 * struct dispatch_part - the part of a request for one service
 * @n_maybe_run: servers on which it may have run
 * @n_delivered: sends that reached a server, including refused ones
 * @n_settled: those of them that no server will receive any more
 * @received: a server has received it
 * @n_unread: second sends that servers may still receive, counted in the
 *	service's budget
 * @hedge_at: when to hedge, microseconds; INT64_MAX: not
 * @retry_at: when to retry after a failure, microseconds; INT64_MAX: not
 * @suppressed: another send was not made as its answer would be too late
 * @broke: the connection to a server broke under one of its sends
 * @held_since: when its retry was held back, microseconds; 0: it is not, see
 *	dispatch_hold.h
 * @code: last error
 * @stamp: server's signature of the accepted answer, owned
 */
struct dispatch_part {
	struct dispatch *dispatch;
	const struct route_service *target;
	struct registry_service *service;
	enum part_state state;
	struct dispatch_send sends[DISPATCH_SENDS_MAX];
	int n_sends;
	int n_maybe_run;
	int n_delivered;
	int n_settled;
	bool received;
	int n_unread;
	int64_t hedge_at;
	int64_t retry_at;
	bool suppressed;
	bool broke;
	int64_t held_since;
	int code;
	char *stamp;
};

/**
 * struct dispatch_answer - result of a send
 * @code: as in struct exchange_result
 * @success: the status is 2xx
 * @not_run: the server certainly did not run the request
 * @stamp: server's signature of the answer
 * @body: complete body
 * @broke: the connection to the server broke
 * @took: time from the send to the answer, microseconds
 * @delivery: whether the server received it
 */
struct dispatch_answer {
	int code;
	bool success;
	bool not_run;
	bool broke;
	struct str stamp;
	struct str body;
	int64_t took;
	enum delivery_outcome delivery;
};

enum dispatch_outcome {
	DISPATCH_PENDING,
	DISPATCH_COMPLETE,  /* all parts were answered */
	DISPATCH_PARTIAL,   /* the route's coverage_min was reached */
	DISPATCH_FAILED,    /* see @code; some server may have run it */
	DISPATCH_REFUSED,   /* see @code; certainly not run anywhere */
	DISPATCH_CANCELLED, /* the caller disconnected */
};

/**
 * struct dispatch_evidence - what the owner knows of servers that run a request
 * @is_safe: the request is known to run well
 * @lives: the server of a send whose connection broke has answered since
 * @n_crashed: number of servers that are held for crashed by the request
 * @trial_wait: how long until the request may run on one more server, as a
 *	trial; sets the hash of the name of that server's service. Return:
 *	microseconds, 0 if it may now, below 0 if it may not. NULL: it never may
 * @held: a part's retry is held back, for the log
 * @let_go: it no longer is, after @held_for microseconds, for the log
 */
struct dispatch_evidence {
	bool (*is_safe)(void *arg);
	bool (*lives)(void *arg, const struct dispatch_send *send);
	int (*n_crashed)(void *arg);
	int64_t (*trial_wait)(void *arg, uint64_t *service);
	void (*held)(const struct dispatch_part *part);
	void (*let_go)(const struct dispatch_part *part, const char *why,
		       int64_t held_for);
};

/**
 * struct dispatch_ops - callbacks of the owner
 * @send: send a part to a server. Return: 0 with @send->handle set; or an
 *	error, nothing was sent. Must not call dispatch_result() before it
 *	returns, which may free the request
 * @abandon: the answer of a send is no longer needed
 * @is_queued: whether a send is still queued in this instance, so that it
 *	certainly has not run; NULL: sends are never queued
 * @sent: a send was made, for the log; may be NULL
 * @limit_lowered: the load limit was lowered, for the log; may be NULL
 * @forecast_decided: the forecast refused a request or left out parts, for the
 *	log; may be NULL
 * @send_suppressed: another send of a part was not made as its answer would be
 *	too late, for the log; may be NULL
 * @unread: another send was refused while servers may still receive earlier
 *	ones of the service; may be NULL
 * @evidence: NULL: no retry is held back
 */
struct dispatch_ops {
	int (*send)(void *arg, struct dispatch_send *send, int64_t deadline);
	void (*abandon)(void *arg, struct dispatch_send *send);
	bool (*is_queued)(void *arg, const struct dispatch_send *send);
	void (*sent)(void *arg, const struct dispatch_send *send);
	void (*limit_lowered)(void *arg, const struct load_limit *load);
	void (*forecast_decided)(void *arg, const struct forecast *forecast);
	void (*send_suppressed)(void *arg, const struct dispatch_part *part,
				const struct forecast_part *expected);
	void (*unread)(void *arg, struct registry_service *service);
	const struct dispatch_evidence *evidence;
};

/**
 * struct dispatch_limits - limits shared by all requests of an instance
 * @budget: of hedges and retries to a service
 * @outage: services without a reachable server
 * @control: enabled overload control mechanisms; NULL: none
 * @share: load limits exchanged with other instances, or NULL
 */
struct dispatch_limits {
	struct budget_limit budget;
	struct outage *outage;
	const struct load_control *control;
	struct load_share *share;
};

/**
 * struct dispatch - one request
 * @latency: of the route's answers, borrowed
 * @start: arrival, microseconds
 * @deadline: of the caller and the route, or of dispatch_limit_time(),
 *	microseconds
 * @time_limited: dispatch_limit_time() has moved @deadline
 * @send_by: nothing is sent later, microseconds; INT64_MAX: @deadline counts
 * @soft_deadline: from then on a partial answer is sent once it has the route's
 *	coverage_min, failed parts are not retried later, and an answer counts
 *	as late for the load limit; microseconds
 * @n_answered: parts with an accepted answer
 * @n_failed: parts that are not sent any more, including the next two
 * @n_unreachable: parts without a reachable server on arrival
 * @n_left_out: parts not sent as their answers would be too late
 * @trial_service: hash of the name of the service whose part is sent first, see
 *	dispatch_begin_trial()
 * @trial_part: the only part that is sent, until it is answered; NULL: all are
 * @trial_asked_at: when it was first asked for a trial after crashes,
 *	microseconds; 0: it was not
 * @trial_due: when to ask again, microseconds; INT64_MAX: not
 * @tried_after_crashes: that trial was begun
 * @n_broke: parts with @broke
 * @server_lives: a server whose connection broke under it has answered since
 * @release_at: when a retry that is held back goes on without evidence,
 *	microseconds; 0: none was held back
 * @outage_since: start of the most recent outage among the unreachable parts,
 *	microseconds
 * @n_sends: all sends
 * @n_extra: hedges and retries among them
 * @maybe_ran: some server may have run it
 * @batching: between dispatch_begin_batch() and dispatch_end_batch()
 * @level: priority level, 0 is the highest
 * @cost: estimated work for its servers
 * @admitted: it counts towards its service's load limit
 * @load_reported: its outcome was reported to the load limit
 * @promised: it was refused before and told to come now; set by the owner
 *	between dispatch_init() and dispatch_start()
 * @capacity_delay: with ERR_OVERLOAD: time until there is capacity,
 *	microseconds; 0: not known
 * @expected_answer_at: when coverage_min was expected to be reached,
 *	microseconds; 0: not known
 * @refused_by_forecast: too few parts were expected in time
 * @records: merged records of a sharded request
 * @code: error of the outcome, or 0
 */
struct dispatch {
	const struct clock *clock;
	const struct dispatch_ops *ops;
	const struct dispatch_limits *limits;
	void *arg;
	const struct route *route;
	struct latency *latency;
	int64_t start;
	int64_t deadline;
	bool time_limited;
	int64_t send_by;
	int64_t soft_deadline;
	struct dispatch_part *parts;
	int n_parts;
	int n_answered;
	int n_failed;
	int n_unreachable;
	int n_left_out;
	uint64_t trial_service;
	struct dispatch_part *trial_part;
	int64_t trial_asked_at;
	int64_t trial_due;
	bool tried_after_crashes;
	int n_broke;
	bool server_lives;
	int64_t release_at;
	int64_t outage_since;
	int n_sends;
	int n_extra;
	bool maybe_ran;
	bool batching;
	int level;
	int64_t cost;
	bool admitted;
	bool load_reported;
	bool promised;
	int64_t capacity_delay;
	int64_t expected_answer_at;
	bool refused_by_forecast;
	struct records records;
	enum dispatch_outcome outcome;
	int code;
};

/**
 * dispatch_init() - set up a request of a route
 * @arg: passed to @ops
 * @target: service, for a route that is not sharded
 * @latency: of the route's answers; updated, and must outlive @dispatch
 * @deadline: microseconds
 * @soft_timeout: time until the soft deadline, microseconds
 *
 * All pointers are borrowed until dispatch_finish().
 */
void dispatch_init(struct dispatch *dispatch, const struct clock *clock,
		   const struct dispatch_ops *ops,
		   const struct dispatch_limits *limits, void *arg,
		   struct registry *registry, const struct route *route,
		   const struct route_service *target, struct latency *latency,
		   int64_t deadline, int64_t soft_timeout);
void dispatch_finish(struct dispatch *dispatch);

/**
 * dispatch_begin_trial() - run the request on one server before any other
 * @service: hash of the name of the service to try first; another one is tried
 *	if it has no server
 *
 * To be called before dispatch_start(). The other parts are sent once the first
 * is answered. If it runs and brings no answer, the request fails.
 */
void dispatch_begin_trial(struct dispatch *dispatch, uint64_t service);

/**
 * dispatch_start() - send all parts for the first time
 *
 * Parts without a reachable server fail at once. Nothing is sent and the
 * outcome is DISPATCH_REFUSED if the others cannot reach coverage_min, or if
 * the load limit does not admit the request. With load control, the same
 * applies if too few parts remain after those are left out whose answers would
 * be late.
 *
 * Return: the outcome, DISPATCH_PENDING while answers are awaited.
 */
enum dispatch_outcome dispatch_start(struct dispatch *dispatch);

/**
 * dispatch_result() - handle the result of a send
 *
 * Return: the outcome.
 */
enum dispatch_outcome dispatch_result(struct dispatch *dispatch,
				      struct dispatch_send *send,
				      const struct dispatch_answer *answer);

/**
 * dispatch_begin_batch() - begin a group of results
 *
 * Records merged by a relay are complete only with the results of all its
 * parts, so the request must not end before dispatch_end_batch().
 */
void dispatch_begin_batch(struct dispatch *dispatch);
enum dispatch_outcome dispatch_end_batch(struct dispatch *dispatch);

/**
 * dispatch_limit_time() - end a request sooner than its deadline, as this
 * instance stops
 * @until: microseconds
 *
 * Without an answer by then the code of the outcome is ERR_LEAVING.
 */
void dispatch_limit_time(struct dispatch *dispatch, int64_t until);

/**
 * dispatch_tick() - retry, hedge and time out what is due
 *
 * Return: the outcome.
 */
enum dispatch_outcome dispatch_tick(struct dispatch *dispatch);

/**
 * dispatch_due() - latest time of the next dispatch_tick(), microseconds
 */
int64_t dispatch_due(const struct dispatch *dispatch);

/**
 * dispatch_hedge_delay() - time to wait for an answer before hedging
 *
 * Return: microseconds.
 */
int64_t dispatch_hedge_delay(const struct dispatch *dispatch);

/**
 * dispatch_may_have_run() - whether some server may have run the request
 */
bool dispatch_may_have_run(const struct dispatch *dispatch);

/**
 * dispatch_cancel() - end a request whose caller disconnected
 */
void dispatch_cancel(struct dispatch *dispatch);

/**
 * dispatch_is_unsent() - whether a result means that no server was reached
 * @code: error code of the send's result
 *
 * Another send to the same service then takes no token from its budget.
 */
bool dispatch_is_unsent(int code);

/**
 * dispatch_load_limit() - the load limit that applies to a request
 *
 * Return: borrowed from the registry.
 */
const struct load_limit *dispatch_load_limit(const struct dispatch *dispatch);

/**
 * dispatch_refused_for_load() - whether a request was refused for overload
 */
bool dispatch_refused_for_load(const struct dispatch *dispatch);

/**
 * dispatch_capacity() - throughput of the request's service at its priority,
 * over all instances
 *
 * Return: work per second; 0 if it is not known.
 */
double dispatch_capacity(const struct dispatch *dispatch);

/**
 * dispatch_capacity_delay() - time until the service has spare capacity
 *
 * Return: microseconds from now; 0 if it is not known.
 */
int64_t dispatch_capacity_delay(const struct dispatch *dispatch);

/**
 * dispatch_retry_after() - when the caller of a refused request may retry
 *
 * Return: milliseconds from now.
 */
int64_t dispatch_retry_after(const struct dispatch *dispatch);

#endif
