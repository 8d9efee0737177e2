/*
 * What a gateway instance does where backend servers are short: it tells other
 * instances that take callers of it, and callers when to come back.
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
 * struct gateway_load - wiring of these
 */
struct gateway_load {
	struct return_schedule book;
	struct load_share share;
	struct wake_timer timer;
	struct peer_handler handler;
};

/**
 * gateway_load_init() - after the fleet's part of the instance
 */
void gateway_load_init(struct gateway *gateway);
void gateway_load_finish(struct gateway *gateway);

/**
 * gateway_load_arm_timer() - requests may have found servers short
 */
void gateway_load_arm_timer(struct gateway *gateway);

/**
 * gateway_load_check_return() - whether a request was refused before and is due
 * @id: of the request, for the log
 * @out: set if the request is known
 */
enum return_state gateway_load_check_return(struct gateway *gateway,
					    const struct route *route,
					    uint64_t fingerprint, struct str id,
					    struct scheduled_return *out);

/**
 * gateway_load_return_target() - the target that a request was refused for
 *
 * Return: NULL if the route has it no more.
 */
const struct route_service *
gateway_load_return_target(const struct route *route,
			   const struct scheduled_return *entry);

/**
 * gateway_load_offer_return() - when a caller that is refused may come back
 *
 * Return: milliseconds.
 */
int64_t gateway_load_offer_return(struct gateway_request *request);

#endif
