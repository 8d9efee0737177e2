/*
 * Checks the backend servers that a gateway's requests found lost, and logs
 * what it takes for lost.
 */
#ifndef GATEWAY_OUTAGE_H
#define GATEWAY_OUTAGE_H

struct gateway;

void gateway_outage_init(struct gateway *gateway);

/**
 * gateway_outage_finish() - after upstream_finish(), which ends open checks
 */
void gateway_outage_finish(struct gateway *gateway);

/**
 * gateway_outage_arm_timer() - requests may have found servers lost
 */
void gateway_outage_arm_timer(struct gateway *gateway);

#endif
