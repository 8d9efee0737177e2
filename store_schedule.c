#include "store_schedule.h"

/*
 * Servers write about every 1.2 s, so a watch on all of them answers at once.
 * It is asked again no sooner than this: a server that drains must be left
 * within 3 s of its word, and this leaves room for two lost answers.
 */
#define SERVERS_PERIOD MSEC(900)
#define SERVERS_WAIT_MS 100
/*
 * The routes change rarely, so that a call waits. A connection that went
 * silent is noticed only by the time-out, so that the wait must be well below
 * the 3 s within which routes must be in force.
 */
#define ROUTES_WAIT_MS 1000
#define ROUTES_PERIOD MSEC(50)
/*
 * An instance that starts waits so long for a peer's view, and up to the second
 * figure more, so that hundreds that start at once do not all read page after
 * page: the seeds read first and tell the others. One whose seeds are all down
 * reads after this.
 */
#define JOIN_WAIT MSEC(400)
#define JOIN_SPREAD MSEC(800)
/* Without any view, patience is this share of what it is with one. */
#define START_PATIENCE 0.15
/* And each rank behind these so much longer. */
#define START_RANKS 8
#define START_STEP MSEC(10)
#define FAILURE_PAUSE MSEC(200)
#define FAILURE_PAUSE_MOST MSEC(1000)
/* The pause grows by itself with each so many ranks, up to this. */
#define RANKS_TRYING 4
#define RANKED_PAUSE_MOST MSEC(8000)

void store_schedule_delay_start(struct store_sync *sync, double draw)
{
	sync->start_wait = JOIN_WAIT + (int64_t)(draw * (double)JOIN_SPREAD);
}

/*
 * Where all start at once, the first reads for all; only if it does not, the
 * others do, in their order.
 */
static int64_t start_wait(const struct store_sync *sync,
			  const struct store_feed *feed)
{
	int behind = sync->rank > START_RANKS ? sync->rank - START_RANKS : 0;
	int64_t wait = (int64_t)((double)sync->patience * START_PATIENCE) +
		       behind * START_STEP;

	if (feed->failures)
		return 0;
	return wait > sync->start_wait ? wait : sync->start_wait;
}

/*
 * Peers that read tell what they know, so that this instance need not call
 * before its view is older than its patience.
 */
static int64_t due_at(const struct store_sync *sync,
		      const struct store_feed *feed)
{
	int64_t due = feed->fresh_at + sync->patience;

	if (feed->listing)
		return feed->next_at;
	if (feed->fresh_at < 0)
		return feed->next_at + start_wait(sync, feed);
	if (!sync->patience)
		return feed->next_at;
	return due > feed->next_at ? due : feed->next_at;
}

/*
 * While the store is away all views grow old, and hundreds would call it again
 * and again. The first in rank try as often as they would alone and tell the
 * others; those behind them try the less often. If the first cannot reach it
 * and others can, these had no failure and no such pause.
 */
static int64_t pause_of(const struct store_sync *sync,
			const struct store_feed *feed)
{
	int64_t pause = FAILURE_PAUSE * (1 + feed->failures);

	if (pause > FAILURE_PAUSE_MOST)
		pause = FAILURE_PAUSE_MOST;
	pause += pause * sync->rank / RANKS_TRYING;
	return pause < RANKED_PAUSE_MOST ? pause : RANKED_PAUSE_MOST;
}

/* Far back in rank: it calls only where all before it did not succeed. */
static bool is_behind(const struct store_sync *sync)
{
	return sync->rank >= RANKS_TRYING;
}

/* What one topic's call showed, the other's need not show again. */
static void postpone_others(struct store_sync *sync,
			    const struct store_feed *failed)
{
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		if (sync->feeds[i].next_at < failed->next_at)
			sync->feeds[i].next_at = failed->next_at;
	}
}

/*
 * An instance that is behind mostly finds the store away, as all before it did:
 * one call at a time shows that as well as two.
 */
static bool waits_for_other(const struct store_sync *sync,
			    const struct store_feed *feed)
{
	const struct store_feed *other =
		&sync->feeds[feed->topic == STORE_ROUTES ? STORE_SERVERS
							 : STORE_ROUTES];

	return is_behind(sync) && other->busy;
}

int64_t store_schedule_due(const struct store_sync *sync,
			   const struct store_feed *feed)
{
	if (feed->busy || waits_for_other(sync, feed))
		return INT64_MAX;
	return due_at(sync, feed);
}

int64_t store_schedule_wait_ms(const struct store_sync *sync,
			       const struct store_feed *feed)
{
	return feed->topic == STORE_ROUTES && !is_behind(sync)
		       ? ROUTES_WAIT_MS
		       : SERVERS_WAIT_MS;
}

void store_schedule_answered(struct store_feed *feed)
{
	feed->failures = 0;
	feed->next_at =
		feed->asked_at +
		(feed->topic == STORE_SERVERS ? SERVERS_PERIOD : ROUTES_PERIOD);
}

void store_schedule_failed(struct store_sync *sync, struct store_feed *feed)
{
	feed->next_at = clock_now(sync->clock) + pause_of(sync, feed);
	feed->failures++;
	if (is_behind(sync))
		postpone_others(sync, feed);
}
