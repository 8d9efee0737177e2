/*
 * One request on its way to backend servers: which server of each service is
 * asked, when another one is, and when the answer is ready. A request to one
 * service is a request of one part; a sharded one has a part for each shard.
 *
 * Decides without sockets: actions go out through struct dispatch_ops, results
 * come in by dispatch_result() and time by dispatch_tick().
 */
#ifndef DISPATCH_H
#define DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "budget.h"
#include "clock.h"
#include "latency.h"
#include "outage.h"
#include "records.h"
#include "registry.h"
#include "routes.h"
#include "str.h"

struct dispatch;
struct dispatch_part;
struct forecast;
struct forecast_part;
struct load_control;
struct load_share;

/* Sends of one part, refused ones included. */
#define DISPATCH_SENDS_MAX 6

enum dispatch_send_state {
	SEND_IN_FLIGHT,
	SEND_ENDED,
};

/**
 * struct dispatch_send - one send of a part to a server
 * @handle: of the owner
 * @relayed: of the owner
 * @busy_until: it did not run, for want of a connection or a slot; the server
 *	may be asked again from then on, and this be used anew
 * @why: for logs: "first", "hedge", "retry", "moved"
 * @charged: whether it took a token from the service's budget
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
};

enum part_state {
	PART_PENDING,
	PART_ANSWERED,
	PART_FAILED,
};

/**
 * struct dispatch_part - one service that is asked
 * @n_maybe_run: servers on which it may have run
 * @n_delivered: sends that reached a server, refused ones included
 * @hedge_at: when to ask another server besides, microseconds
 * @retry_at: when to try again what failed without leave for another send
 * @kept_back: it was not sent again, because its answer would be too late
 * @code: why it failed last
 * @stamp: of the answer that is in, owned
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
	int64_t hedge_at;
	int64_t retry_at;
	bool kept_back;
	int code;
	char *stamp;
};

/**
 * struct dispatch_answer - what came from a server
 * @code: as in struct exchange_result
 * @success: a 2xx
 * @final: passed on as it is if nothing better comes
 * @not_run: surely
 * @stamp: of the server
 * @body: whole
 * @took: from the send to the server's answer, microseconds
 */
struct dispatch_answer {
	int code;
	bool success;
	bool not_run;
	struct str stamp;
	struct str body;
	int64_t took;
};

enum dispatch_outcome {
	DISPATCH_PENDING,
	DISPATCH_COMPLETE,  /* the server's answer, or all parts */
	DISPATCH_PARTIAL,   /* enough parts */
	DISPATCH_FAILED,    /* see code; some server may have run it */
	DISPATCH_REFUSED,   /* surely not run anywhere */
	DISPATCH_CANCELLED, /* the caller left */
};

/**
 * struct dispatch_ops - what the module wants done
 * @send: send a part to a server. Return: 0 with @send->handle set; or why
 *	nothing was sent
 * @abandon: the answer of a send is not needed any more
 * @waits: a send has not left this instance, and surely has not run; may be
 *	NULL: none waits
 * @decided: a send was decided, for the log; may be NULL
 * @limited: the limit of requests under way fell, for the log; may be NULL
 * @foreseen: a request was refused or parts were left out, for the log; may be
 *	NULL
 * @kept_back: one more send of a part was not made, because its answer would be
 *	too late to count, for the log; may be NULL
 */
struct dispatch_ops {
	int (*send)(void *arg, struct dispatch_send *send, int64_t deadline);
	void (*abandon)(void *arg, struct dispatch_send *send);
	bool (*waits)(void *arg, const struct dispatch_send *send);
	void (*decided)(void *arg, const struct dispatch_send *send);
	void (*limited)(void *arg, const struct load_limit *load);
	void (*foreseen)(void *arg, const struct forecast *forecast);
	void (*kept_back)(void *arg, const struct dispatch_part *part,
			  const struct forecast_part *expected);
};

/**
 * struct dispatch_limits - shared by all requests of an instance
 * @budget: second sends to a service
 * @outage: services without a live server
 * @control: what is done where servers are short; NULL: nothing
 * @share: what other instances tell of servers that are short, or NULL
 */
struct dispatch_limits {
	struct budget_limit budget;
	struct outage *outage;
	const struct load_control *control;
	struct load_share *share;
};

/**
 * struct dispatch - one request
 * @start: when it was taken, microseconds
 * @deadline: of the caller and the route
 * @answer_at: sharded: from then on enough parts make the answer
 * @held: see dispatch_begin_batch()
 * @level: of urgency
 * @cost: work that it is for its servers
 * @admitted: it counts in the load of its services
 * @judged: it was told to the load limit whether it is served in time
 * @promised: it was refused before and told to come now; set by the owner
 *	between dispatch_init() and dispatch_start()
 * @room_in: with ERR_OVERLOAD: there is room after so long, microseconds; 0:
 *	not known
 * @expected_answer_at: when enough parts were expected to be in, 0: not known
 * @foreseen: refused, since too few parts are expected in time
 * @n_in: parts that are in
 * @n_lost: parts that no server could be sent when it came
 * @n_left_out: parts that were not worth sending
 * @lost_since: when the last of these was lost
 * @code: why it failed
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
	int64_t answer_at;
	struct dispatch_part *parts;
	int n_parts;
	int n_in;
	int n_failed;
	int n_lost;
	int n_left_out;
	int64_t lost_since;
	int n_sends;
	int n_extra;
	bool ran;
	bool held;
	int level;
	int64_t cost;
	bool admitted;
	bool judged;
	bool promised;
	int64_t room_in;
	int64_t expected_answer_at;
	bool foreseen;
	struct records records;
	enum dispatch_outcome outcome;
	int code;
};

/**
 * dispatch_init() - a request of a route
 * @target: where it goes, for a route that is not sharded
 * @latency: of answers to this route's requests
 * @deadline: microseconds
 * @answer_after: sharded: enough parts make the answer so long after now,
 *	microseconds
 */
void dispatch_init(struct dispatch *dispatch, const struct clock *clock,
		   const struct dispatch_ops *ops,
		   const struct dispatch_limits *limits, void *arg,
		   struct registry *registry, const struct route *route,
		   const struct route_service *target, struct latency *latency,
		   int64_t deadline, int64_t answer_after);
void dispatch_finish(struct dispatch *dispatch);

/**
 * dispatch_start() - send the first requests
 *
 * Parts of which no server can be reached are left out at once. If the others
 * are not enough, or more requests are under way than can be served, nothing is
 * sent and the outcome is DISPATCH_REFUSED. So it is if load control says that
 * parts are left out whose answers would be late, and too few others remain.
 *
 * Return: the outcome, DISPATCH_PENDING while it waits.
 */
enum dispatch_outcome dispatch_start(struct dispatch *dispatch);

/**
 * dispatch_result() - a send ended
 */
enum dispatch_outcome dispatch_result(struct dispatch *dispatch,
				      struct dispatch_send *send,
				      const struct dispatch_answer *answer);

/**
 * dispatch_begin_batch() - results that belong together follow
 *
 * Merged records are whole only with all of them, so that the request must not
 * end between them. dispatch_end_batch() is called after the last.
 */
void dispatch_begin_batch(struct dispatch *dispatch);
enum dispatch_outcome dispatch_end_batch(struct dispatch *dispatch);

/**
 * dispatch_tick() - time passed
 */
enum dispatch_outcome dispatch_tick(struct dispatch *dispatch);

/**
 * dispatch_due() - when to call dispatch_tick() at the latest, microseconds
 */
int64_t dispatch_due(const struct dispatch *dispatch);

/**
 * dispatch_hedge_delay() - how late an answer is when another server is asked
 *
 * Return: microseconds.
 */
int64_t dispatch_hedge_delay(const struct dispatch *dispatch);

/**
 * dispatch_cancel() - the caller left
 */
void dispatch_cancel(struct dispatch *dispatch);

/**
 * dispatch_is_unsent() - whether a result means that no server was reached
 * @code: error code of the send's result
 */
bool dispatch_is_unsent(int code);

/**
 * dispatch_load_limit() - the requests under way that this one counts among
 */
const struct load_limit *dispatch_load_limit(const struct dispatch *dispatch);

/**
 * dispatch_refused_for_load() - it was refused because servers are short
 */
bool dispatch_refused_for_load(const struct dispatch *dispatch);

/**
 * dispatch_capacity() - work that all instances serve where it goes
 *
 * Return: a second; 0 if it is not known.
 */
double dispatch_capacity(const struct dispatch *dispatch);

/**
 * dispatch_capacity_delay() - there is none before
 *
 * Return: microseconds from now; 0 if nothing is known.
 */
int64_t dispatch_capacity_delay(const struct dispatch *dispatch);

/**
 * dispatch_retry_after() - when a caller that was refused may come back, ms
 */
int64_t dispatch_retry_after(const struct dispatch *dispatch);

#endif
