/*
 * Estimate of how long one more request to a backend server would wait there,
 * and how long its processing would take. Instances that send to a server
 * measure it and report it to those that send through them, so that all choose
 * servers and reject requests by the same data. Does no I/O.
 */
#ifndef SERVER_ESTIMATE_H
#define SERVER_ESTIMATE_H

#include <stdint.h>

/* Number of urgency levels; the last one covers all lower priorities. */
#define ESTIMATE_LEVELS 4

/**
 * struct server_estimate - wait and processing time; all zero: unknown, no wait
 * @levels: by urgency level
 * @levels.wait: time until a slot is free for a request of that level, as of
 *	@levels.at; microseconds
 * @levels.at: when the wait was set, microseconds; 0: never
 * @processing_time: time from getting a slot to the answer, microseconds
 * @processing_time_at: when that was last updated, 0: never
 */
struct server_estimate {
	struct {
		int64_t wait;
		int64_t at;
	} levels[ESTIMATE_LEVELS];
	double processing_time;
	int64_t processing_time_at;
};

/**
 * server_estimate_level() - urgency level of a route's priority
 * @priority: 0 is the most urgent
 */
int server_estimate_level(int64_t priority);

/**
 * server_estimate_set_wait() - set the wait of a level
 * @estimate: the estimate
 * @level: urgency level
 * @wait: microseconds
 * @now: current time, microseconds
 */
void server_estimate_set_wait(struct server_estimate *estimate, int level,
			      int64_t wait, int64_t now);

/**
 * server_estimate_add_report() - set the processing time as reported by a peer
 * @estimate: the estimate
 * @processing_time: microseconds; ignored unless positive
 * @now: current time, microseconds
 *
 * Reports in quick succession come from different senders and are averaged.
 */
void server_estimate_add_report(struct server_estimate *estimate,
				double processing_time, int64_t now);

/**
 * server_estimate_add_sample() - update from an answer to a request of this
 * instance
 * @estimate: the estimate
 * @took: without the wait on this instance, microseconds
 * @baseline_latency: as for server_estimate_processing_time()
 * @now: current time, microseconds
 *
 * The weight of the sample grows with the time since the last update.
 */
void server_estimate_add_sample(struct server_estimate *estimate, int64_t took,
				double baseline_latency, int64_t now);

/**
 * server_estimate_wait() - expected wait of a request of a level
 * @estimate: the estimate
 * @level: urgency level
 * @now: current time, microseconds
 *
 * The wait that was set decreases as time passes.
 *
 * Return: microseconds.
 */
int64_t server_estimate_wait(const struct server_estimate *estimate, int level,
			     int64_t now);

/**
 * server_estimate_max_wait() - the longest server_estimate_wait() of all levels
 * @estimate: the estimate
 * @now: current time, microseconds
 */
int64_t server_estimate_max_wait(const struct server_estimate *estimate,
				 int64_t now);

/**
 * server_estimate_processing_time() - expected time from slot to answer
 * @estimate: the estimate
 * @baseline_latency: of the service, microseconds; the estimate returns to it
 *	without updates, and is clamped to a range around it
 * @now: current time, microseconds
 *
 * Return: microseconds.
 */
double server_estimate_processing_time(const struct server_estimate *estimate,
				       double baseline_latency, int64_t now);

#endif
