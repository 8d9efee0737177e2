/*
 * Forecasts from reported server queues when the parts of a sharded request
 * will be answered, and leaves out or refuses what would be late. Without load
 * control, or before the route's first answer, nothing is left out or refused.
 */
#ifndef DISPATCH_FORECAST_H
#define DISPATCH_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

struct dispatch;
struct dispatch_part;
struct dispatch_send;

/**
 * dispatch_forecast() - forecast whether enough answers will be in time
 *
 * Parts whose answers would be too late fail with ERR_LEFT_OUT.
 *
 * Return: false if the request is to be refused; then
 * @dispatch->capacity_delay is set.
 */
bool dispatch_forecast(struct dispatch *dispatch);

/**
 * dispatch_send_left_out() - send parts that were left out after others failed
 *
 * Return: whether any was sent.
 */
bool dispatch_send_left_out(struct dispatch *dispatch);

/**
 * dispatch_is_worth_sending() - whether a hedge or retry of a part is expected
 * to be answered in time
 * @hedge: it is a hedge
 */
bool dispatch_is_worth_sending(struct dispatch_part *part, bool hedge);

/**
 * dispatch_forecast_add_sent() - add a send to the expected queue of its server
 */
void dispatch_forecast_add_sent(const struct dispatch_send *send);

/**
 * dispatch_forecast_update() - update the route's latency by an accepted answer
 * @took: time from the send to the answer, microseconds
 */
void dispatch_forecast_update(const struct dispatch_send *send, int64_t took);

#endif
