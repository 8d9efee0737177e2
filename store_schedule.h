/*
 * Decides when this instance calls the store, depending on its rank among the
 * instances, and how long a call may wait. Pure decisions, no sockets.
 */
#ifndef STORE_SCHEDULE_H
#define STORE_SCHEDULE_H

#include <stdint.h>

#include "store_sync.h"

/**
 * store_schedule_delay_start() - wait for a peer's view before the first call
 * @sync: the state of this instance
 * @random: 0 to 1, different on each instance; spreads the calls of instances
 *	    that start at the same time
 *
 * For an instance that joins others. To be called before the first
 * store_sync_tick().
 */
void store_schedule_delay_start(struct store_sync *sync, double random);

/**
 * store_schedule_due() - when to make the next call for a topic
 * @sync: the state of this instance
 * @feed: the topic
 *
 * Return: microseconds; INT64_MAX while a call for it is under way, or the
 * other topic's call must be awaited first.
 */
int64_t store_schedule_due(const struct store_sync *sync,
			   const struct store_feed *feed);

/**
 * store_schedule_wait_ms() - how long the store may wait for a change in the
 * next call for a topic
 * @sync: the state of this instance
 * @feed: the topic
 */
int64_t store_schedule_wait_ms(const struct store_sync *sync,
			       const struct store_feed *feed);

/**
 * store_schedule_answered() - a call was answered: schedule the next one
 * @feed: the topic
 */
void store_schedule_answered(struct store_feed *feed);

/**
 * store_schedule_failed() - a call failed: schedule the next attempt
 * @sync: the state of this instance
 * @feed: the topic
 */
void store_schedule_failed(struct store_sync *sync, struct store_feed *feed);

#endif
