/*
 * What one more request to a backend server would meet there: how much work
 * goes before it, and how long the server takes. Who sends to a server knows
 * it, and tells those that send through it, so that all choose and refuse by
 * one view. Decides without sockets.
 */
#ifndef SERVER_OUTLOOK_H
#define SERVER_OUTLOOK_H

#include <stdint.h>

/* Levels of urgency that are told apart; the last holds all that follow. */
#define ESTIMATE_LEVELS 4

/**
 * struct server_estimate - all zero: nothing is known, and nothing goes before
 * @levels: by urgency: until a slot is free for a request of that level, as it
 *	was at @at; microseconds
 * @pace: time that a request takes once it has a slot, microseconds
 * @pace_at: when that was told, 0: never
 */
struct server_estimate {
	struct {
		int64_t ahead;
		int64_t at;
	} levels[ESTIMATE_LEVELS];
	double pace;
	int64_t pace_at;
};

/**
 * server_estimate_level() - the level of a route's priority
 */
int server_estimate_level(int64_t priority);

/**
 * server_estimate_set_wait() - a request of a level would wait so long now
 * @ahead: microseconds
 */
void server_estimate_set_wait(struct server_estimate *outlook, int level,
			      int64_t ahead, int64_t now);

/**
 * server_estimate_add_report() - a request takes so long there lately,
 * microseconds
 *
 * Words that come within a moment of each other are of different senders: the
 * mean of them is believed.
 */
void server_estimate_add_report(struct server_estimate *outlook, double pace,
				int64_t now);

/**
 * server_estimate_add_sample() - an answer to a request of this instance came
 * @took: without what it waited here, microseconds
 * @usual: as for server_estimate_processing_time()
 *
 * It counts for more the longer nothing was known.
 */
void server_estimate_add_sample(struct server_estimate *outlook, int64_t took,
				double usual, int64_t now);

/**
 * server_estimate_wait() - how long a request of a level would wait
 *
 * The work that was told is done as time passes.
 *
 * Return: microseconds.
 */
int64_t server_estimate_wait(const struct server_estimate *outlook, int level,
			     int64_t now);

/**
 * server_estimate_max_wait() - as server_estimate_wait(), of the level that
 * waits longest
 */
int64_t server_estimate_max_wait(const struct server_estimate *outlook,
				 int64_t now);

/**
 * server_estimate_processing_time() - how long a request takes once it has a
 *slot
 * @usual: of the service, microseconds: what is believed where nothing was told
 *	for long; what was told is believed within a range around it
 *
 * Return: microseconds.
 */
double server_estimate_processing_time(const struct server_estimate *outlook,
				       double usual, int64_t now);

#endif
