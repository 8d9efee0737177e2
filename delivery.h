/*
 * Sends of a part that a backend server may still receive although the request
 * has ended here. A server that stands still, or a link that holds bytes back,
 * delivers them later, also those on connections that were closed since.
 *
 * Does no I/O.
 */
#ifndef DELIVERY_H
#define DELIVERY_H

#include <stdbool.h>
#include <stdint.h>

struct budget;
struct registry_server;

/* What is known at the end of a send. */
enum delivery_outcome {
	DELIVERY_RECEIVED, /* the server received it, or closed */
	DELIVERY_UNSENT,   /* the server certainly will not receive it */
	DELIVERY_UNKNOWN,  /* the server may still receive it */
};

/**
 * delivery_outcome_of() - what the result of a send shows
 * @code: as in struct exchange_result
 * @not_run: the server certainly did not run the request
 */
enum delivery_outcome delivery_outcome_of(int code, bool not_run);

/**
 * delivery_unread() - number of second sends that servers may still receive
 * @n_pending: sends that servers may still receive
 * @received: another send of the same part was received
 *
 * The first send that arrives is none, whichever it is.
 */
int delivery_unread(int n_pending, bool received);

/**
 * struct delivery - the pending sends of a part that has ended
 * @budget: of the service; includes @n_unread, borrowed
 * @n_pending: sends that servers may still receive; each holds a reference
 * @received: a send of the part was received
 * @n_unread: result of delivery_unread()
 */
struct delivery {
	struct budget *budget;
	int n_pending;
	bool received;
	int n_unread;
};

/**
 * delivery_new() - track the pending sends of a part
 * @received: a send of the part was received
 *
 * Return: counts as one pending send until the owner's delivery_end().
 */
struct delivery *delivery_new(struct budget *budget, bool received);

/**
 * delivery_add() - add a pending send
 *
 * Return: @delivery; NULL if it is NULL.
 */
struct delivery *delivery_add(struct delivery *delivery);

/**
 * delivery_end() - end a pending send; the last one frees @delivery
 * @delivery: may be NULL
 * @received: a server received it
 */
void delivery_end(struct delivery *delivery, bool received);

/**
 * struct unread_send - an ended send that its server may still receive
 * @server: holds a reference
 * @delivery: holds a pending send
 * @sent_at: microseconds
 * @ended_at: microseconds
 */
struct unread_send {
	struct registry_server *server;
	struct delivery *delivery;
	int64_t sent_at;
	int64_t ended_at;
	struct unread_send *prev;
	struct unread_send *next;
};

/**
 * struct unread_ask - how often a server with unread sends was asked
 * @at: the last time, microseconds
 * @n: times since it last answered
 */
struct unread_ask {
	int64_t at;
	int n;
};

/**
 * unread_sends_end() - end a pending send, or keep it among the unread ones of
 * its server's service
 * @delivery: takes over its pending send; may be NULL
 * @end: kept with DELIVERY_UNKNOWN
 * @sent_at: microseconds
 * @now: microseconds
 */
void unread_sends_end(struct registry_server *server, struct delivery *delivery,
		      enum delivery_outcome end, int64_t sent_at, int64_t now);

/**
 * unread_sends_answered() - end sends that a server must have received, as it
 * has answered a request that was sent after their end
 * @sent_at: when the request that the server has answered was sent,
 *	microseconds
 * @now: microseconds
 */
void unread_sends_answered(struct registry_server *server, int64_t sent_at,
			   int64_t now);

/**
 * unread_sends_to_ask() - choose a server to be asked whether it receives
 * @sends: of a service
 * @now: microseconds; counts as the time at which it is asked
 *
 * Servers that do not answer are asked less and less often.
 *
 * Return: NULL if none is to be asked now.
 */
struct registry_server *unread_sends_to_ask(struct unread_send *sends,
					    int64_t now);

/**
 * unread_sends_expire() - end sends that are too old to be received
 * @sends: of a service
 * @now: microseconds
 */
void unread_sends_expire(struct unread_send **sends, int64_t now);

/**
 * unread_sends_drop() - end the sends to a server whose process has ended
 * @sends: of its service
 * @server: NULL: all servers
 */
void unread_sends_drop(struct unread_send **sends,
		       const struct registry_server *server);

#endif
