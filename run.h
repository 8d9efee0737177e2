/*
 * Requests that must not run twice, on the way from the caller to one backend
 * server. The entry instance forwards the request to the issuer of its ticket.
 * The issuer sends it to one home of one server that holds the shard of the
 * key, and to another server only while it provably has not run. This module
 * uses no sockets: frames are sent through a table of functions and received as
 * calls.
 */
#ifndef RUN_H
#define RUN_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"
#include "ticket.h"

struct clock;
struct run_call;

/*
 * Maximum number of servers tried for one request. It provably has not run on
 * any but the last.
 */
#define RUN_ATTEMPTS_MAX 4
/* Default maximum number of requests in progress on one instance. */
#define RUN_CALLS_MAX 4096

/**
 * enum run_outcome - outcome of a request as reported to its caller
 * @RUN_DONE: it ran once and was answered
 * @RUN_NOT_RUN: it provably has not run and never will under its ticket
 * @RUN_REFUSED: it is invalid and will never run unchanged
 * @RUN_UNKNOWN: it may or may not have run
 */
enum run_outcome {
	RUN_DONE,
	RUN_NOT_RUN,
	RUN_REFUSED,
	RUN_UNKNOWN,
};

/**
 * struct run_message - a request with its ticket; all strings are borrowed
 * @ticket: text of the ticket
 * @request_id: id for logs and traces
 * @service: name of the service
 * @key: record key that determines the shard
 * @payload: body for the backend server
 * @deadline_ms: remaining time, milliseconds
 */
struct run_message {
	struct str ticket;
	struct str request_id;
	struct str service;
	struct str key;
	struct str payload;
	uint32_t deadline_ms;
};

/**
 * struct run_target - destination of one attempt
 * @server: name of the backend server
 * @home: name of the instance that holds a share of the server, possibly this
 *	one
 */
struct run_target {
	struct str server;
	struct str home;
};

/**
 * struct run_ops - functions that the owner of a tracker provides
 * @pick: choose a server that holds @point and isn't in @tried, and one of its
 *	homes; return 0 and borrowed names, or an error code
 * @forward: send the request to the issuer of its ticket under the id @id
 * @send: send the request to a home under the id @id, which sends it to the
 *	server once
 *
 * @forward and @send return an error code only if no byte of the frame can have
 * been sent, else 0. Neither may call functions of the tracker.
 */
struct run_ops {
	int (*pick)(void *ctx, struct str service, uint16_t point,
		    const struct str *tried, int n_tried,
		    struct run_target *target);
	int (*forward)(void *ctx, uint64_t id, struct str issuer,
		       const struct run_message *request);
	int (*send)(void *ctx, uint64_t id, const struct run_target *target,
		    const struct run_message *request);
};

/**
 * struct run_waiter - a caller or a forwarding instance that waits for an
 *answer
 * @ticket_waiter: waits for the answer to a ticket of this incarnation
 * @answered: called once, possibly from within run_accept(); the answer is
 *	borrowed
 * @tracker: NULL if not waiting
 * @call: the forwarded request; NULL if it wasn't forwarded
 * @sequence: of its ticket, if that was issued here; else 0
 * @started_at: when it began to wait, microseconds
 * @deadline: time at which ERR_UNKNOWN is answered, microseconds
 * @full_deadline: same, if the process does not stop
 * @asked: for @answered during a stop, see run_asked()
 * @prev: previous waiter of @tracker
 * @next: next waiter of @tracker
 */
struct run_waiter {
	struct ticket_waiter ticket_waiter;
	void (*answered)(struct run_waiter *waiter,
			 const struct ticket_answer *answer);
	struct run_tracker *tracker;
	struct run_call *call;
	uint64_t sequence;
	int64_t started_at;
	int64_t deadline;
	int64_t full_deadline;
	struct run_target asked;
	struct run_waiter *prev;
	struct run_waiter *next;
};

/**
 * struct run_tracker - requests in progress on one instance
 * @clock: borrowed
 * @tickets: tickets of this incarnation; borrowed
 * @ops: borrowed
 * @ctx: first argument of @ops
 * @calls: requests sent to an issuer or a home, by id
 * @waiters: waiters of all requests
 * @n_calls: number of @calls
 * @calls_max: maximum of @n_calls; requests above it are refused
 * @last_id: last id given to a frame
 * @start_by: requests executed here have this deadline at the latest,
 *	microseconds; INT64_MAX while not stopping
 * @answer_by: as @start_by, of all waiters
 */
struct run_tracker {
	const struct clock *clock;
	struct ticket_store *tickets;
	const struct run_ops *ops;
	void *ctx;
	struct run_call *calls;
	struct run_waiter *waiters;
	int n_calls;
	int calls_max;
	uint64_t last_id;
	int64_t start_by;
	int64_t answer_by;
};

/**
 * run_tracker_init() - initialise a tracker without requests
 * @tracker: owned by the caller
 * @clock: borrowed
 * @tickets: initialised; borrowed
 * @ops: borrowed
 * @ctx: first argument of @ops
 */
void run_tracker_init(struct run_tracker *tracker, const struct clock *clock,
		      struct ticket_store *tickets, const struct run_ops *ops,
		      void *ctx);

/**
 * run_tracker_finish() - answer all waiters with ERR_UNKNOWN and free the calls
 * @tracker: the tracker
 */
void run_tracker_finish(struct run_tracker *tracker);

/**
 * run_outcome() - outcome that an error code implies
 * @code: any number, including unknown ones received from a peer
 *
 * Return: the outcome; RUN_UNKNOWN for an unknown code.
 */
enum run_outcome run_outcome(int code);

/**
 * run_reply_error() - evaluate a backend server's reply to POST /v1/run
 * @status: HTTP status of the reply, 0 if none arrived
 * @code: why none arrived
 * @sent: bytes of the request may have reached the server
 *
 * Only the statuses listed in docs/PROTOCOL.md prove that the request has not
 * run. @code is ignored if there is a status, since a server that is leaving
 * may say so along with a 200.
 *
 * Return: 0, or an error code for run_outcome().
 */
int run_reply_error(int status, int code, bool sent);

/**
 * run_key_point() - hash a record key to a point of the shard map
 * @key: the record key
 *
 * Return: the point, see docs/PROTOCOL.md.
 */
uint16_t run_key_point(struct str key);

/**
 * run_accept() - accept a request from a caller
 * @tracker: the tracker
 * @request: copied as far as needed
 * @waiter: owned by the caller, with @answered set and all other fields zero
 *
 * Forwards the request if its ticket was issued by another instance.
 */
void run_accept(struct run_tracker *tracker, const struct run_message *request,
		struct run_waiter *waiter);

/**
 * run_accept_forwarded() - accept a request that another instance forwarded
 * @tracker: the tracker
 * @request: copied as far as needed
 * @waiter: as for run_accept()
 *
 * Never forwards it again. A ticket of an earlier incarnation of this instance
 * is answered with ERR_TICKET_LOST.
 */
void run_accept_forwarded(struct run_tracker *tracker,
			  const struct run_message *request,
			  struct run_waiter *waiter);

/**
 * run_abandon() - remove a waiter that is gone; its request continues
 * @waiter: the waiter; @answered isn't called
 */
void run_abandon(struct run_waiter *waiter);

/**
 * run_handle_result() - process the answer of an issuer or a home
 * @tracker: the tracker
 * @id: id of the frame that it answers; an unknown one is ignored
 * @from: name of the instance that sent it; ignored if the frame was sent to
 *	another instance
 * @answer: copied
 */
void run_handle_result(struct run_tracker *tracker, uint64_t id,
		       struct str from, const struct ticket_answer *answer);

/**
 * run_peer_lost() - the connection to an instance broke
 * @tracker: the tracker
 * @instance: name of the instance
 *
 * The outcome of each request sent to that instance becomes unknown.
 */
void run_peer_lost(struct run_tracker *tracker, struct str instance);

/**
 * run_stop() - answer all waiters before the process ends
 * @tracker: the tracker
 * @start_by: end of the attempts to execute requests, microseconds
 * @answer_by: waiters get ERR_UNKNOWN then, later than @start_by
 *
 * A request that no home has by @start_by is answered with a code that says so,
 * and so is one that waits at this instance as a home. Homes of others that had
 * it before keep the time that they were told.
 */
void run_stop(struct run_tracker *tracker, int64_t start_by, int64_t answer_by);

/**
 * run_asked() - where the request of a waiter was sent last
 * @waiter: is waiting
 *
 * Return: names, empty if not known; the server is also empty if the issuer of
 * the ticket has the request. They are borrowed, and valid until the tracker is
 * called.
 */
struct run_target run_asked(const struct run_waiter *waiter);

/**
 * run_ended_by_stop() - whether the stop of this process is why a request was
 * not answered as done
 * @tracker: the tracker
 * @waiter: was just answered
 * @code: of the answer
 */
bool run_ended_by_stop(const struct run_tracker *tracker,
		       const struct run_waiter *waiter, int code);

/**
 * run_tick() - answer all waiters whose deadline has passed
 * @tracker: the tracker
 *
 * Return: time of the next call, microseconds; INT64_MAX if nothing is pending.
 */
int64_t run_tick(struct run_tracker *tracker);

#endif
