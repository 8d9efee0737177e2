/*
 * Overload handling of a gateway instance: exchanges load limits with the other
 * instances that accept callers, and tells refused callers when to retry.
 */
#ifndef GATEWAY_LOAD_H
#define GATEWAY_LOAD_H

#include "load_share.h"
#include "peer.h"
#include "return_schedule.h"
#include "wake_timer.h"

struct gateway;
struct gateway_request;
struct route;

/**
 * struct gateway_load - state of overload handling
 * @return_schedule: capacity reserved for the retries of refused callers
 * @load_share: limits and reservations exchanged with other instances
 * @timer: fires when @load_share has something to send
 * @handler: receives messages of other instances
 */
struct gateway_load {
	struct return_schedule return_schedule;
	struct load_share load_share;
	struct wake_timer timer;
	struct peer_handler handler;
};

/**
 * gateway_load_init() - set up overload handling, after gateway_fleet_init()
 */
void gateway_load_init(struct gateway *gateway);
void gateway_load_finish(struct gateway *gateway);

/**
 * gateway_load_arm_timer() - set the timer for the next message to peers, after
 * a request may have changed the limits
 */
void gateway_load_arm_timer(struct gateway *gateway);

/**
 * gateway_load_check_return() - check whether a request was refused before and
 * may be admitted now
 * @return_key: identifies the request and its caller
 * @id: request ID for the log
 * @out: set if the request is known
 *
 * Return: RETURN_EARLY if it must be refused again, RETURN_DUE if capacity was
 * reserved for it, else RETURN_NONE. Only RETURN_EARLY keeps the reservation.
 */
enum return_state gateway_load_check_return(struct gateway *gateway,
					    const struct route *route,
					    uint64_t return_key, struct str id,
					    struct scheduled_return *out);

/**
 * gateway_load_return_target() - find the target that refused a request
 *
 * Return: NULL if the route no longer has it.
 */
const struct route_service *
gateway_load_return_target(const struct route *route,
			   const struct scheduled_return *entry);

/**
 * gateway_load_offer_return() - choose when a refused caller may retry, and
 * reserve capacity for the retry if the caller can wait that long
 *
 * Return: time to wait, milliseconds.
 */
int64_t gateway_load_offer_return(struct gateway_request *request);

#endif
