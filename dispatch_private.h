/* Shared by the files that decide about a request. */
#ifndef DISPATCH_PRIVATE_H
#define DISPATCH_PRIVATE_H

#include "dispatch.h"

/**
 * dispatch_part_under_way() - a send of the part has no result yet
 */
bool dispatch_part_under_way(const struct dispatch_part *part);

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
 * dispatch_is_worth_waiting() - a server may take the part in a moment
 * @code: why it does not now: no connection is free, or it is cold
 *
 * A part of a sharded request holds nobody up while others are waited for. A
 * request to one server does not wait until it is warm: its caller is told at
 * once.
 */
bool dispatch_is_worth_waiting(const struct dispatch *dispatch, int code);

/**
 * dispatch_forecast() - whether enough answers are expected in time
 *
 * Parts that are not worth sending fail with ERR_LEFT_OUT. Changes nothing
 * where load control is off, or nothing is known of such requests.
 *
 * Return: false if the request is to be refused; then @dispatch->room_in is
 * set.
 */
bool dispatch_forecast(struct dispatch *dispatch);

/**
 * dispatch_recall() - others failed: send what was left out after all
 *
 * Return: whether anything was sent.
 */
bool dispatch_recall(struct dispatch *dispatch);

/**
 * dispatch_is_worth_sending() - whether one more send of a part can still help
 */
bool dispatch_is_worth_sending(struct dispatch_part *part, bool hedge);

/**
 * dispatch_forecast_sent() - a send goes before what is sent to its server next
 *
 * Return: how long it waits for others there, microseconds: it is no straggler
 * before.
 */
int64_t dispatch_forecast_sent(const struct dispatch_send *send);

/**
 * dispatch_forecast_learn() - a part that is not in yet was answered
 * @took: microseconds
 */
void dispatch_forecast_learn(const struct dispatch_send *send, int64_t took);

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

#endif
