/*
 * Times of a graceful stop. The end of the process is a deadline of everything
 * that is open: a request has its whole answer by then, and one that needs
 * longer is refused on arrival, as other instances can serve it. Does no I/O.
 */
#ifndef STOP_PLAN_H
#define STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct stop_plan - times of one stop, microseconds
 * @since: time of the signal; 0: not stopping
 * @close_at: the listening socket and idle connections are closed
 * @answer_by: every open request has its answer
 * @exit_at: the process ends, even if callers have not read all answers
 *
 * All zero is a valid plan of a process that is not stopping.
 */
struct stop_plan {
	int64_t since;
	int64_t close_at;
	int64_t answer_by;
	int64_t exit_at;
};

/**
 * struct stop_request - what is known of a request that arrives during a stop
 * @deadline: of its caller and its route, microseconds
 * @goal: within which its route's requests should be answered, microseconds
 * @usual: nearly all requests of its route are answered within this time,
 *	microseconds
 * @slowest: recent maximum of that time, microseconds
 * @repeatable: it may be sent to a second server
 * @others_ready: another instance can serve it
 */
struct stop_request {
	int64_t deadline;
	int64_t goal;
	int64_t usual;
	int64_t slowest;
	bool repeatable;
	bool others_ready;
};

/**
 * stop_plan_init() - plan a stop
 * @since: time of the signal, microseconds; not 0
 * @grace: time from the signal until the process is killed, microseconds
 */
void stop_plan_init(struct stop_plan *plan, int64_t since, int64_t grace);

/**
 * stop_plan_is_stopping() - whether the process was told to stop
 */
bool stop_plan_is_stopping(const struct stop_plan *plan);

/**
 * stop_plan_deadline() - time by which a request is answered
 * @deadline: of its caller and its route, microseconds
 *
 * Return: microseconds; @deadline itself while not stopping.
 */
int64_t stop_plan_deadline(const struct stop_plan *plan, int64_t deadline);

/**
 * stop_plan_send_by() - latest time to send a request to a server
 *
 * One that is not repeatable and still waits for a server then is refused: that
 * it has not run is certain.
 *
 * Return: microseconds; INT64_MAX: its deadline alone counts.
 */
int64_t stop_plan_send_by(const struct stop_plan *plan,
			  const struct stop_request *request);

/**
 * stop_plan_takes() - whether to take a request rather than refuse it
 * @now: microseconds
 *
 * A refused request would have had less than twice its usual time, or less than
 * its goal; if it is not repeatable, possibly also less than the slowest recent
 * one took.
 */
bool stop_plan_takes(const struct stop_plan *plan,
		     const struct stop_request *request, int64_t now);

#endif
