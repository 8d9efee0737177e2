/*
 * Logs the second sends (retries and hedges) of this instance, per service,
 * once per retry budget window. The fleet's budget limits the sum over all
 * instances.
 */
#ifndef GATEWAY_SECOND_SENDS_H
#define GATEWAY_SECOND_SENDS_H

#include <stdint.h>

struct gateway;

/**
 * gateway_second_sends_init() - start the first window
 */
void gateway_second_sends_init(struct gateway *gateway);
void gateway_second_sends_finish(struct gateway *gateway);

/**
 * gateway_second_sends_refused() - count second sends refused by the budget
 *
 * Return: total over all services since the process started.
 */
int64_t gateway_second_sends_refused(const struct gateway *gateway);

/**
 * gateway_second_sends_refused_unread() - those of them that were refused while
 * servers might still receive earlier ones
 */
int64_t gateway_second_sends_refused_unread(const struct gateway *gateway);

/**
 * gateway_second_sends_unread() - count second sends that servers may still
 * receive, over all services
 */
int64_t gateway_second_sends_unread(const struct gateway *gateway);

#endif
