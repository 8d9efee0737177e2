/*
 * HTTP towards callers: connections, one request at a time on each, what a
 * caller may send and how slowly, and whole answers.
 */
#ifndef INBOUND_H
#define INBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include "accept_backoff.h"
#include "address.h"
#include "clock.h"
#include "http_message.h"
#include "routes.h"

struct evbuffer;
struct event_base;
struct evconnlistener;
struct inbound;
struct inbound_conn;

/**
 * struct inbound_ops - who takes the requests
 * @request: a whole request; it stays valid until it is answered
 * @left: the caller closed its connection; @request must not be answered
 * @refused: a message was refused with that status before it was a request
 */
struct inbound_ops {
	void (*request)(void *arg, struct inbound_conn *conn,
			const struct http_message *message);
	void (*left)(void *arg, struct inbound_conn *conn, void *request);
	void (*refused)(void *arg, int status, const char *why);
};

/**
 * struct inbound - all connections of callers
 * @n: open now
 * @max: more are not accepted until some are closed
 * @leaving: answers close their connections
 */
struct inbound {
	struct event_base *base;
	const struct clock *clock;
	const struct inbound_ops *ops;
	void *arg;
	struct evconnlistener *listener;
	struct accept_backoff guard;
	struct http_limits limits;
	int64_t header_timeout;
	int64_t idle_timeout;
	struct inbound_conn *conns;
	int n;
	int max;
	bool leaving;
};

/**
 * inbound_init() - listen
 *
 * Return: 0, or ERR_ADDRESS.
 */
int inbound_init(struct inbound *inbound, struct event_base *base,
		 const struct clock *clock, const struct address *address,
		 const struct inbound_ops *ops, void *arg);
void inbound_finish(struct inbound *inbound);
void inbound_set_limits(struct inbound *inbound,
			const struct caller_limits *limits);

/**
 * inbound_disable_keep_alive() - from now on each answer closes its connection
 */
void inbound_disable_keep_alive(struct inbound *inbound);

/**
 * inbound_close_idle() - stop listening, close connections without a request
 *
 * Return: connections that still have one.
 */
int inbound_close_idle(struct inbound *inbound);

/**
 * inbound_conn_set_request() - what is handed to ops->left
 */
void inbound_conn_set_request(struct inbound_conn *conn, void *request);

/**
 * inbound_conn_rtt() - to the caller and back, by its connection
 *
 * Return: microseconds; 0 if it is not known.
 */
int64_t inbound_conn_rtt(const struct inbound_conn *conn);

/**
 * inbound_conn_ip() - the caller's IP address
 */
const char *inbound_conn_ip(const struct inbound_conn *conn);

/**
 * inbound_respond() - answer the request of a connection
 * @fields: header lines, each with its CRLF; drained. May be NULL
 * @body: whole
 */
void inbound_respond(struct inbound_conn *conn, int status,
		     struct evbuffer *fields, struct str body);

#endif
