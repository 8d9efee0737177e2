/*
 * Graceful stop of a gateway. It leaves the directory at once, but serves
 * callers that keep older directory answers for as long as their requests can
 * be answered before the process ends. See stop_plan.h.
 */
#ifndef GATEWAY_STOP_H
#define GATEWAY_STOP_H

struct gateway;

void gateway_stop_init(struct gateway *gateway);
void gateway_stop_finish(struct gateway *gateway);

/**
 * gateway_stop() - stop gracefully; ends the event loop when done
 *
 * Only the first call has an effect.
 */
void gateway_stop(struct gateway *gateway);

#endif
