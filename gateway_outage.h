/*
 * Checks whether backend servers that requests failed to reach are reachable
 * again, and logs changes of reachability.
 */
#ifndef GATEWAY_OUTAGE_H
#define GATEWAY_OUTAGE_H

struct gateway;

/**
 * gateway_outage_init() - set up outage checks, before requests are accepted
 */
void gateway_outage_init(struct gateway *gateway);

/**
 * gateway_outage_finish() - free, after upstream_finish() has ended the checks
 * under way
 */
void gateway_outage_finish(struct gateway *gateway);

/**
 * gateway_outage_arm_timer() - set the timer for the next check, after requests
 * may have found servers unreachable
 */
void gateway_outage_arm_timer(struct gateway *gateway);

#endif
