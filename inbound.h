/*
 * HTTP server for callers: connections with one request at a time each, limits
 * on the size and duration of requests, and responses with a complete body.
 */
#ifndef INBOUND_H
#define INBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include "accept_backoff.h"
#include "address.h"
#include "clock.h"
#include "http_message.h"
#include "log_quota.h"
#include "routes.h"

struct evbuffer;
struct event;
struct event_base;
struct evconnlistener;
struct inbound;
struct inbound_conn;

/* Why a connection is closed to keep within the limits. */
enum inbound_cause {
	INBOUND_STALLED,  /* the caller took nothing of its response */
	INBOUND_MEMORY,	  /* all responses together take too much memory */
	INBOUND_AHEAD,	  /* the caller sent too much ahead */
	INBOUND_REPLACED, /* a new connection took its place */
	INBOUND_NO_PLACE, /* a new connection, and all others do work */
	INBOUND_CAUSES,
};

/**
 * struct inbound_ops - callbacks
 * @request: a complete request was received; @message, whose body may be taken,
 *	stays valid until inbound_respond()
 * @closed: the caller closed the connection during the request, which must not
 *	be answered; @request is from inbound_conn_set_request()
 * @refused: a malformed, oversized or slow message was answered with @status
 * @answer_cut: inbound_finish() closes the connection with @unsent bytes of the
 *	response to @message not passed to the kernel
 */
struct inbound_ops {
	void (*request)(void *arg, struct inbound_conn *conn,
			struct http_message *message);
	void (*closed)(void *arg, struct inbound_conn *conn, void *request);
	void (*refused)(void *arg, int status, const char *why);
	void (*answer_cut)(void *arg, const struct inbound_conn *conn,
			   const struct http_message *message, size_t unsent);
};

/**
 * struct inbound - all connections of callers
 * @base: borrowed
 * @clock: borrowed
 * @ops: callbacks, called with @arg
 * @listener: NULL after inbound_close_idle()
 * @guard: pauses @listener when accept() fails
 * @limits: on the size of requests
 * @memory: of all requests that are read or processed, with what their owner
 *	adds for them. Near its limit, the longest that are read are refused,
 *and beyond it, all others, too
 * @answers: memory of responses that were not taken yet; the slowest are given
 *	up if they exceed its limit
 * @limiter: gives them up
 * @unread_max: limit on the bytes that all callers together send ahead, while
 *	an earlier request is processed or its response not taken; beyond it,
 *	those that sent most are given up
 * @unread_timer: checks it, while there are such callers
 * @header_timeout: from the first byte of a request to its end, microseconds
 * @idle_timeout: of a connection without a request, or whose caller takes
 *	nothing of its response, microseconds
 * @conns: open connections
 * @n: length of @conns
 * @max: of @n; beyond it, a new connection takes the place of the one that has
 *	waited longest for its caller, or is closed at once
 * @n_given_up: connections closed to keep within the limits, by cause
 * @given_up_log: limits the lines about them
 * @keep_alive_disabled: each response closes its connection
 */
struct inbound {
	struct event_base *base;
	const struct clock *clock;
	const struct inbound_ops *ops;
	void *arg;
	struct evconnlistener *listener;
	struct accept_backoff guard;
	struct http_limits limits;
	struct http_memory memory;
	struct http_memory answers;
	struct event *limiter;
	size_t unread_max;
	struct event *unread_timer;
	int64_t header_timeout;
	int64_t idle_timeout;
	struct inbound_conn *conns;
	int n;
	int max;
	uint64_t n_given_up[INBOUND_CAUSES];
	struct log_quota given_up_log;
	bool keep_alive_disabled;
};

/**
 * inbound_init() - listen with default limits
 * @ops: borrowed
 * @arg: passed to @ops
 *
 * Return: 0, or ERR_ADDRESS if @address cannot be bound.
 */
int inbound_init(struct inbound *inbound, struct event_base *base,
		 const struct clock *clock, const struct address *address,
		 const struct inbound_ops *ops, void *arg);

/**
 * inbound_finish() - close all connections
 *
 * Passes what is unsent to the kernel, as far as it has room, without waiting.
 */
void inbound_finish(struct inbound *inbound);

/**
 * inbound_set_limits() - replace the limits, also of open connections
 */
void inbound_set_limits(struct inbound *inbound,
			const struct caller_limits *limits);

/**
 * inbound_disable_keep_alive() - close connections after their next response
 */
void inbound_disable_keep_alive(struct inbound *inbound);

/**
 * inbound_close_idle() - stop listening, close connections without a request
 *
 * Return: the number of connections with a request or an unsent response.
 */
int inbound_close_idle(struct inbound *inbound);

/**
 * inbound_has_unsent() - whether a response was not passed to the kernel as a
 * whole
 */
bool inbound_has_unsent(const struct inbound *inbound);

/**
 * inbound_refuse_partial() - answer requests that are still being read with 503
 *
 * They have not run, and their callers can send them elsewhere.
 */
void inbound_refuse_partial(struct inbound *inbound);

/**
 * inbound_conn_set_request() - set the value that ops->closed gets
 */
void inbound_conn_set_request(struct inbound_conn *conn, void *request);

/**
 * inbound_conn_rtt() - the kernel's round-trip time of the connection
 *
 * Return: microseconds; 0 if unknown.
 */
int64_t inbound_conn_rtt(const struct inbound_conn *conn);

/**
 * inbound_conn_ip() - the caller's IP address, owned by @conn
 */
const char *inbound_conn_ip(const struct inbound_conn *conn);

/**
 * inbound_respond() - send the response to the current request
 * @fields: header lines, each with its CRLF; drained. May be NULL
 * @body: complete, copied
 */
void inbound_respond(struct inbound_conn *conn, int status,
		     struct evbuffer *fields, struct str body);

/**
 * inbound_respond_owned() - as inbound_respond(), without a copy of the body
 * @body: @len bytes, owned from now on; may be NULL
 */
void inbound_respond_owned(struct inbound_conn *conn, int status,
			   struct evbuffer *fields, char *body, size_t len);

/**
 * inbound_make_room() - make room for a further response
 * @size: of it, bytes
 * @expected: of those that are to come before it, bytes
 *
 * Gives up responses whose callers take little, slowest first. Short ones have
 * a share to themselves.
 *
 * Return: whether there is room.
 */
bool inbound_make_room(struct inbound *inbound, size_t size, size_t expected);

#endif
