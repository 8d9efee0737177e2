/* Shared by the files that decide about a request. */
#ifndef DISPATCH_PRIVATE_H
#define DISPATCH_PRIVATE_H

#include "dispatch.h"

/**
 * dispatch_part_in_flight() - a send of the part has no result yet
 */
bool dispatch_part_in_flight(const struct dispatch_part *part);

/**
 * dispatch_part_fail() - nothing more is done for it
 */
void dispatch_part_fail(struct dispatch_part *part);

/**
 * dispatch_part_pick() - the server that it would be sent to, or NULL
 * @fresh_only: not one that is better avoided
 */
struct registry_server *dispatch_part_pick(const struct dispatch_part *part,
					   bool fresh_only);

/**
 * dispatch_is_temporary() - a server may take the part in a moment
 * @code: why it does not now: no connection is free, it is cold, or more
 *	urgent ones wait for it than it can serve in time
 *
 * A part of a sharded request holds nobody up while others are waited for. The
 * caller of a single server that is cold or overloaded is told at once.
 */
bool dispatch_is_temporary(const struct dispatch *dispatch, int code);

/**
 * dispatch_part_queued_send() - a send of the part that has not left this
 * instance
 *
 * Return: NULL if there is none.
 */
struct dispatch_send *
dispatch_part_queued_send(const struct dispatch_part *part);

/**
 * dispatch_part_move() - send what waits here to another server instead
 *
 * Return: 0; or as dispatch_part_send_again(), and it waits on.
 */
int dispatch_part_move(struct dispatch_part *part,
		       struct dispatch_send *waiting);

/**
 * dispatch_part_send() - send it to the best server that takes it
 * @why: for logs
 * @fresh_only: not to one that is better avoided
 *
 * Return: 0; ERR_NO_REPLICA if there is none that was not tried; ERR_BUDGET if
 * those that are left have no connection free, or are cold.
 */
int dispatch_part_send(struct dispatch_part *part, const char *why,
		       bool fresh_only);

/**
 * dispatch_part_send_again() - send it once more
 *
 * Return: 0; ERR_NO_REPLICA if no server or no attempt is left; ERR_BUDGET if
 * the budget of all requests does not allow it now, or no connection is free.
 */
int dispatch_part_send_again(struct dispatch_part *part, const char *why,
			     bool hedge);

/**
 * dispatch_load_add_demand() - a request came that has servers
 */
void dispatch_load_add_demand(struct dispatch *dispatch);

/**
 * dispatch_load_admit() - a request is about to be sent
 *
 * Return: whether its servers have room for it.
 */
bool dispatch_load_admit(struct dispatch *dispatch);

/**
 * dispatch_load_report() - once a request: was it served within its goal, or
 * did the load prevent it?
 * @code: 0, or why it was not
 */
void dispatch_load_report(struct dispatch *dispatch, int code);

/**
 * dispatch_load_release() - it is over
 */
void dispatch_load_release(struct dispatch *dispatch);

#endif
