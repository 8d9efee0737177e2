/* Shared by the files of the inbound module. */
#ifndef INBOUND_PRIVATE_H
#define INBOUND_PRIVATE_H

#include <arpa/inet.h>

#include "answer_progress.h"
#include "inbound.h"

struct bufferevent;

/* Bytes that are buffered for a caller while its request is processed. */
#define READ_BUFFER_MAX 8192

enum inbound_state {
	INBOUND_READING,
	INBOUND_BUSY,	 /* a request is being processed */
	INBOUND_CLOSING, /* the last response is being sent */
};

/**
 * struct inbound_conn - a caller's connection
 * @inbound: owner
 * @bev: owned
 * @timer: for the timeouts of idle, reading and closing connections
 * @message: the request being read or processed
 * @accepted_at: microseconds
 * @waiting_since: when it began to wait for its caller to send a request, to
 *	complete it or to take the response, microseconds
 * @processing: in process(), which a synchronous response must not re-enter
 * @header_timer_armed: @timer limits the duration of the current request
 * @continue_sent: 100 Continue was sent for the current request
 * @sent_too_much: ahead; it is given up next
 * @progress: of what is unsent
 * @held: memory of responses that were not passed to the kernel as a whole
 * @ip: of the caller
 * @request: of inbound_conn_set_request()
 */
struct inbound_conn {
	struct inbound *inbound;
	struct bufferevent *bev;
	struct event *timer;
	struct http_message message;
	enum inbound_state state;
	int64_t accepted_at;
	int64_t waiting_since;
	bool processing;
	bool header_timer_armed;
	bool continue_sent;
	bool sent_too_much;
	struct answer_progress progress;
	size_t held;
	char ip[INET_ADDRSTRLEN];
	void *request;
	struct inbound_conn *prev;
	struct inbound_conn *next;
};

/**
 * inbound_conn_free() - close a connection
 */
void inbound_conn_free(struct inbound_conn *conn);

/**
 * inbound_conn_refuse() - answer what is being read, and end the connection
 * @why: for the log
 */
void inbound_conn_refuse(struct inbound_conn *conn, int status,
			 const char *why);

/**
 * inbound_conn_refuse_for_memory() - refuse what is being read with 503
 */
void inbound_conn_refuse_for_memory(struct inbound_conn *conn);

/**
 * inbound_conn_give_up() - end a connection with a reset
 *
 * The kernel drops what it holds, too. The caller sees that the response is not
 * complete.
 */
void inbound_conn_give_up(struct inbound_conn *conn, enum inbound_cause cause);

/**
 * inbound_count_given_up() - count and log a connection that is closed
 * @ip: of the caller
 * @unsent: bytes of responses that it does not get
 */
void inbound_count_given_up(struct inbound *inbound, const char *ip,
			    enum inbound_cause cause, size_t unsent);

/**
 * inbound_conn_check_ahead() - what was sent ahead is limited, if @conn has
 * filled its buffer
 */
void inbound_conn_check_ahead(struct inbound_conn *conn);

/**
 * inbound_conn_give_up_ahead() - end a connection with @sent_too_much
 */
void inbound_conn_give_up_ahead(struct inbound_conn *conn);

/**
 * inbound_limit_requests() - refuse the longest requests that are being read
 *
 * Requests that are being processed keep their memory until the response.
 */
void inbound_limit_requests(struct inbound *inbound);

/**
 * inbound_make_place() - make place for a new connection
 *
 * Callers that do nothing must not keep others waiting, so that a connection is
 * not left to the kernel's queue.
 *
 * Return: whether there is a place.
 */
bool inbound_make_place(struct inbound *inbound);

/**
 * inbound_limits_init() - set default limits; for inbound_init()
 */
void inbound_limits_init(struct inbound *inbound);

/**
 * inbound_limits_finish() - free the timers of the limits
 */
void inbound_limits_finish(struct inbound *inbound);

#endif
