/*
 * HTTP client of the platform's configuration service. It makes the calls that
 * the table controller decides on; docs/PROTOCOL.md describes the answers.
 */
#ifndef PLATFORM_H
#define PLATFORM_H

#include "blackboard.h"
#include "table_sync.h"

struct event;
struct evhttp_connection;
struct platform;

enum platform_channel_kind {
	PLATFORM_TABLE,
	PLATFORM_INSTANCES,
	PLATFORM_PART, /* a part of the table */
	PLATFORM_CHANNELS,
};

/**
 * struct platform_channel - a persistent connection, for one call at a time
 * @platform: that it belongs to
 * @kind: what it reads
 * @address: index into the settings' platform addresses
 * @http: NULL before the first call
 * @start_event: starts the call from the event loop, so that an answer never
 *		 arrives before the function that requested it returns
 * @path: path and query of the current call
 * @wait_ms: how long the platform may wait in the current call
 * @id: of the current call
 * @busy: a call is under way
 */
struct platform_channel {
	struct platform *platform;
	enum platform_channel_kind kind;
	int address;
	struct evhttp_connection *http;
	struct event *start_event;
	char path[192];
	int64_t wait_ms;
	uint64_t id;
	bool busy;
};

/**
 * struct platform_ops - callbacks for the answers
 * @answered: a call of platform_call() ended; @answer is borrowed
 * @part_answered: a call of platform_fetch_part() ended; @answer is borrowed
 */
struct platform_ops {
	void (*answered)(void *arg, enum reader_key key, uint64_t id,
			 const struct platform_answer *answer);
	void (*part_answered)(void *arg, uint64_t id,
			      const struct platform_answer *answer);
};

/**
 * struct platform - the client
 * @board: borrowed
 * @ops: borrowed
 * @arg: given to @ops
 * @channels: by enum platform_channel_kind
 */
struct platform {
	struct blackboard *board;
	const struct platform_ops *ops;
	void *arg;
	struct platform_channel channels[PLATFORM_CHANNELS];
};

/**
 * platform_init() - set up the client without connecting
 * @platform: set up
 * @board: borrowed
 * @ops: borrowed
 * @arg: given to @ops
 */
void platform_init(struct platform *platform, struct blackboard *board,
		   const struct platform_ops *ops, void *arg);
void platform_finish(struct platform *platform);

/**
 * platform_call() - read a key; cancels a call for it that is under way
 * @platform: the client
 * @call: copied
 */
void platform_call(struct platform *platform, const struct reader_call *call);

/**
 * platform_fetch_part() - read a part of the table as a whole; cancels the one
 * that is under way
 * @platform: the client
 * @key: of the part
 * @id: given back with the answer
 */
void platform_fetch_part(struct platform *platform, const char *key,
			 uint64_t id);

/**
 * platform_use_next_address() - switch the table and its parts to the next
 * address, from the next call on
 * @platform: the client
 */
void platform_use_next_address(struct platform *platform);

#endif
