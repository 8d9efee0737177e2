/*
 * Requests that must not be repeated, from the caller to one backend server.
 * The instance that a caller asks hands the request to the issuer of its
 * ticket; the issuer sends it to one home of one server that holds the key's
 * shard, and to another only while it provably did not run. No sockets here:
 * frames go out through a table of functions and come in as calls.
 */
#ifndef RUN_H
#define RUN_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"
#include "ticket.h"

struct clock;
struct run_call;

/* Backend servers tried for one request, all provably without a run but one. */
#define RUN_ATTEMPTS_MAX 4
/* Default for struct run_tracker: requests in progress at one instance. */
#define RUN_CALLS_MAX 4096

/**
 * enum run_outcome - what a caller is told of its request
 * @RUN_DONE: it ran once; the answer is there
 * @RUN_NOT_RUN: it provably did not run and never will under its ticket
 * @RUN_REFUSED: it will never run as it stands
 * @RUN_UNKNOWN: it may or may not have run
 */
enum run_outcome {
	RUN_DONE,
	RUN_NOT_RUN,
	RUN_REFUSED,
	RUN_UNKNOWN,
};

/**
 * struct run_message - a request with its ticket; all parts borrowed
 * @deadline_ms: time left
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
 * struct run_target - where one attempt goes
 * @server: name of the backend server
 * @home: the instance that holds a share of it, maybe this one
 */
struct run_target {
	struct str server;
	struct str home;
};

/**
 * struct run_ops - what the lifecycle needs of its surroundings
 * @pick: choose a server that holds @point and one of its homes, none of
 * @tried; returns 0 with borrowed names, or an error code
 * @forward: hand the request to the issuer of its ticket under the id @id
 * @send: hand it to a home, to be sent to the server once, under the id @id
 *
 * @forward and @send return 0 when the frame may have left, or an error code
 * only when no byte of it did. Neither may call back into the book.
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
 * struct run_waiter - who waits for the answer, a caller or a forwarding
 * instance
 * @answered: called once, maybe within run_accept(); @answer is borrowed
 */
struct run_waiter {
	struct ticket_waiter waiter;
	void (*answered)(struct run_waiter *wait,
			 const struct ticket_answer *answer);
	struct run_tracker *book;
	struct run_call *call;
	int64_t deadline;
	struct run_waiter *prev;
	struct run_waiter *next;
};

/**
 * struct run_tracker - requests in progress at one instance
 * @tickets: of this incarnation
 * @calls: waiting for a frame from an issuer or a home, by id
 * @waits: who waits, of all requests
 * @calls_max: bound of @calls; more are refused
 * @last_id: of a frame
 */
struct run_tracker {
	const struct clock *clock;
	struct ticket_store *tickets;
	const struct run_ops *ops;
	void *ctx;
	struct run_call *calls;
	struct run_waiter *waits;
	int n_calls;
	int calls_max;
	uint64_t last_id;
};

void run_tracker_init(struct run_tracker *book, const struct clock *clock,
		      struct ticket_store *tickets, const struct run_ops *ops,
		      void *ctx);

/**
 * run_tracker_finish() - answer everyone ERR_UNKNOWN and free the calls
 */
void run_tracker_finish(struct run_tracker *book);

/**
 * run_outcome() - what a code says about the run
 * @code: any number, also one from the wire; one not listed is unknown
 */
enum run_outcome run_outcome(int code);

/**
 * run_reply_error() - what a backend server's reply to POST /v1/run says
 * @status: of the reply, 0 if none came
 * @code: why none came
 * @sent: bytes of the request may have reached the server
 *
 * Only what docs/PROTOCOL.md lists proves that it did not run. By the status
 * alone: a server that is leaving may say so beside a 200 as well.
 *
 * Return: 0, or an error for run_outcome().
 */
int run_reply_error(int status, int code, bool sent);

/**
 * run_key_point() - the point a record key hashes to, see docs/PROTOCOL.md
 */
uint16_t run_key_point(struct str key);

/**
 * run_accept() - take a request from a caller
 * @request: copied as far as needed
 * @wait: owned by the caller, with @answered set, zeroed otherwise
 *
 * A ticket of another instance is forwarded.
 */
void run_accept(struct run_tracker *book, const struct run_message *request,
		struct run_waiter *wait);

/**
 * run_accept_forwarded() - take a request that another instance forwarded
 *
 * Never forwarded again: a ticket of an earlier incarnation is answered
 * ERR_TICKET_LOST.
 */
void run_accept_forwarded(struct run_tracker *book,
			  const struct run_message *request,
			  struct run_waiter *wait);

/**
 * run_abandon() - the one who waits is gone; the request goes on
 */
void run_abandon(struct run_waiter *wait);

/**
 * run_handle_result() - an issuer or a home answered
 * @id: of the frame it answers; one not known is ignored
 * @from: the instance that sent it; an answer of another is ignored
 */
void run_handle_result(struct run_tracker *book, uint64_t id, struct str from,
		       const struct ticket_answer *answer);

/**
 * run_peer_lost() - the connection to an instance broke
 *
 * Whatever was handed to it may have run.
 */
void run_peer_lost(struct run_tracker *book, struct str instance);

/**
 * run_tick() - answer those whose deadline passed
 *
 * Return: time of the next call, microseconds; INT64_MAX if nothing waits.
 */
int64_t run_tick(struct run_tracker *book);

#endif
