/*
 * When the store is called, by whom among the instances, and how long a call
 * may wait. Decides without sockets.
 */
#ifndef STORE_SCHEDULE_H
#define STORE_SCHEDULE_H

#include <stdint.h>

#include "store_sync.h"

/**
 * store_schedule_delay_start() - this instance starts among others that it does
 * not know
 * @draw: 0 to 1, another one at each instance
 *
 * To be called before the first store_sync_tick().
 */
void store_schedule_delay_start(struct store_sync *sync, double draw);

/**
 * store_schedule_due() - when to call for a topic next, microseconds
 *
 * Return: INT64_MAX while a call is under way, or another topic's that shows as
 * much.
 */
int64_t store_schedule_due(const struct store_sync *sync,
			   const struct store_feed *feed);

/**
 * store_schedule_wait_ms() - how long the store may wait for a change
 */
int64_t store_schedule_wait_ms(const struct store_sync *sync,
			       const struct store_feed *feed);

/**
 * store_schedule_answered() - a call brought an answer
 */
void store_schedule_answered(struct store_feed *feed);

/**
 * store_schedule_failed() - a call failed
 */
void store_schedule_failed(struct store_sync *sync, struct store_feed *feed);

#endif
