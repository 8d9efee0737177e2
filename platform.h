/*
 * The client of the platform's configuration service. It makes the calls that
 * the table controller decides on; see docs/PROTOCOL.md for the answers.
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
	PLATFORM_PART,
	PLATFORM_CHANNELS,
};

/**
 * struct platform_channel - one call at a time on one kept connection
 * @address: index into the settings' platform addresses
 * @start: runs the call from the event loop, so that answers never come
 *         before the function that asked returns
 * @id: of the call that is under way
 */
struct platform_channel {
	struct platform *platform;
	enum platform_channel_kind kind;
	int address;
	struct evhttp_connection *http;
	struct event *start;
	char path[192];
	int64_t wait_ms;
	uint64_t id;
	bool busy;
};

/**
 * struct platform_ops - who takes the answers
 */
struct platform_ops {
	void (*answered)(void *arg, enum reader_key key, uint64_t id,
			 const struct platform_answer *answer);
	void (*part)(void *arg, uint64_t id,
		     const struct platform_answer *answer);
};

struct platform {
	struct blackboard *board;
	const struct platform_ops *ops;
	void *arg;
	struct platform_channel channels[PLATFORM_CHANNELS];
};

/**
 * platform_init() - ready to call
 * @ops: borrowed, with @arg
 */
void platform_init(struct platform *platform, struct blackboard *board,
		   const struct platform_ops *ops, void *arg);
void platform_finish(struct platform *platform);

/**
 * platform_call() - read a key; a call under way on it is given up
 */
void platform_call(struct platform *platform, const struct reader_call *call);

/**
 * platform_fetch_part() - read a part of the table, whole
 */
void platform_fetch_part(struct platform *platform, const char *key,
			 uint64_t id);

/**
 * platform_use_next_address() - use the next address from the next call on
 */
void platform_use_next_address(struct platform *platform);

#endif
