/* Processing of a request at a stand-in, from its arrival to its answer. */
#ifndef BACKEND_WORK_H
#define BACKEND_WORK_H

#include "backend_server.h"

enum work_state {
	WORK_CONNECTING, /* not admitted; may wait for connection set-up */
	WORK_QUEUED,
	WORK_RUNNING,
};

/**
 * struct work - a request that is not answered yet
 * @server: server that received it
 * @conn: its connection; NULL once closed
 * @request: the library's request; NULL once the connection is closed
 * @kind: kind of request
 * @state: progress
 * @request_id: id in @search or @run; "" for the other kinds
 * @conn_number: number of its connection
 * @search: unpacked search, or NULL; owned
 * @run: unpacked run, or NULL; owned
 * @filter: compiled filter of @search
 * @snapshot: version to search, or the newest for a run; NULL if not held
 * @arrived_at: time at which it was read
 * @deadline_at: deadline; 0 for none
 * @done_at: end of its service time, once running
 * @paused: the library has paused the request until the answer
 * @ran: it got a slot; a run counts as executed from then on
 * @unusable: an injected fault made its answer unusable
 * @recorded: history_record_start() was called for it
 * @timer: next step: set-up done, deadline reached or service done
 * @prev: previous request of the server
 * @next: next request of the server
 *
 * Times are monotonic microseconds.
 */
struct work {
	struct server *server;
	struct conn *conn;
	evhtp_request_t *request;
	enum request_kind kind;
	enum work_state state;
	const char *request_id;
	uint64_t conn_number;
	Backend__SearchRequest *search;
	Backend__RunRequest *run;
	struct record_filter filter;
	const struct snapshot *snapshot;
	int64_t arrived_at;
	int64_t deadline_at;
	int64_t done_at;
	bool paused;
	bool ran;
	bool unusable;
	bool recorded;
	struct event timer;
	struct work *prev;
	struct work *next;
};

/* Processes a request once its connection is set up. */
void work_begin(struct server *server, struct conn *conn,
		evhtp_request_t *request);

/*
 * The connection is closed. An admitted request continues without an answer;
 * one that is not admitted is freed.
 */
void work_detach(struct work *work);

/* Frees all requests unanswered, on a crash or when the server is finished. */
void work_drop_all(struct server *server);

/**
 * work_admit() - refuse, queue or start a search or run
 * @work: has its deadline and snapshot; may be freed on return
 */
void work_admit(struct work *work);

/* Adds a header to the answer; both strings are copied. */
void work_add_header(struct work *work, const char *name, const char *value);

/**
 * work_answer() - send the answer and free @work
 * @work: its request's buffer_out has the body
 * @answer: kind of answer, which determines the status
 */
void work_answer(struct work *work, enum answer_kind answer);

#endif
