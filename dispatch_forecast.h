/*
 * What the registry says of when a request's parts will be answered, and what
 * follows from it. Each function changes nothing where load control is off, or
 * before such requests were answered.
 */
#ifndef DISPATCH_FORECAST_H
#define DISPATCH_FORECAST_H

#include <stdbool.h>
#include <stdint.h>

struct dispatch;
struct dispatch_part;
struct dispatch_send;

/**
 * dispatch_forecast() - whether enough answers are expected in time
 *
 * Parts that are not worth sending fail with ERR_LEFT_OUT.
 *
 * Return: false if the request is to be refused; then @dispatch->room_in is
 * set.
 */
bool dispatch_forecast(struct dispatch *dispatch);

/**
 * dispatch_send_left_out() - others failed: send what was left out after all
 *
 * Return: whether anything was sent.
 */
bool dispatch_send_left_out(struct dispatch *dispatch);

/**
 * dispatch_is_worth_sending() - whether one more send of a part can still help
 */
bool dispatch_is_worth_sending(struct dispatch_part *part, bool hedge);

/**
 * dispatch_forecast_add_sent() - a send goes before what is sent to its server
 * next
 */
void dispatch_forecast_add_sent(const struct dispatch_send *send);

/**
 * dispatch_forecast_update() - a part that is not in yet was answered
 * @took: microseconds
 */
void dispatch_forecast_update(const struct dispatch_send *send, int64_t took);

#endif
