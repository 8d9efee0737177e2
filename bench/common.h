/* Helpers shared by stand-ins and tools: HTTP server, bodies, CPU time. */
#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include <stdint.h>
#include <sys/time.h>

#include "str.h"

struct event;
struct event_base;
struct evhttp;
struct evhttp_request;
struct evkeyvalq;
struct json_object;

#define COMMON_HOST "127.0.0.1"

/**
 * struct common_server - an HTTP server on loopback
 * @base: its event loop
 * @http: HTTP server; the caller sets the routes
 * @port: bound port
 * @sigterm_event: ends the loop on SIGTERM
 * @sigint_event: ends the loop on SIGINT
 */
struct common_server {
	struct event_base *base;
	struct evhttp *http;
	int port;
	struct event *sigterm_event;
	struct event *sigint_event;
};

/**
 * common_server_init() - bind, and end the loop on SIGTERM and SIGINT
 * @server: initialised here; free with common_server_finish()
 * @port: 0 for an ephemeral port
 *
 * Return: 0, or ERR_SYSTEM or ERR_ADDRESS.
 */
int common_server_init(struct common_server *server, int port);

/**
 * common_server_run() - print {"port":N} and serve until a signal
 * @server: the server
 *
 * Scripts wait for this line: the server accepts connections from then on.
 */
void common_server_run(struct common_server *server);

/**
 * common_server_finish() - close the server and free its event loop
 * @server: the server
 */
void common_server_finish(struct common_server *server);

/**
 * common_request_body() - get the body of a request
 * @req: the request
 *
 * Return: the body, valid until the request is answered.
 */
struct str common_request_body(struct evhttp_request *req);

/**
 * common_request_json() - parse the body as a JSON object
 * @req: the request
 *
 * Return: the object, owned by the caller; NULL if the body is none.
 */
struct json_object *common_request_json(struct evhttp_request *req);

/**
 * common_reply() - send a reply
 * @req: freed by the library once sent
 * @status: HTTP status
 * @type: content type, or NULL for none
 * @body: copied
 */
void common_reply(struct evhttp_request *req, int status, const char *type,
		  struct str body);

/**
 * common_reply_json() - send a JSON object
 * @req: freed by the library once sent
 * @status: HTTP status
 * @body: released here
 */
void common_reply_json(struct evhttp_request *req, int status,
		       struct json_object *body);

/**
 * common_reply_empty() - send a reply without a body
 * @req: the request
 * @status: HTTP status
 */
void common_reply_empty(struct evhttp_request *req, int status);

/**
 * common_query_u64() - get a number from the query part of a URL
 * @query: parsed query
 * @name: name of the parameter
 * @default_value: default value
 *
 * Return: the number; @default_value if the parameter is absent or not a
 * number.
 */
uint64_t common_query_u64(const struct evkeyvalq *query, const char *name,
			  uint64_t default_value);

/**
 * common_timeval() - convert microseconds for libevent; negative to 0
 * @usec: microseconds
 */
struct timeval common_timeval(int64_t usec);

/**
 * common_cpu_usec() - user and system CPU time of the process, microseconds
 */
int64_t common_cpu_usec(void);

#endif
