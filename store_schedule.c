#include "store_schedule.h"

/*
 * Each server writes about every 1.2 s, so that a watch on all of them returns
 * at once. This is the least time between two calls: a server must get no new
 * requests 3 s after it announced that it drains, also if readers are lost.
 */
#define SERVERS_PERIOD MSEC(500)
#define SERVERS_WAIT_MS 100
/*
 * The routes change rarely, so that their calls are long polls. A dead
 * connection is noticed only by the time-out, so that the wait must be well
 * below the 3 s within which new routes must be in force.
 */
#define ROUTES_WAIT_MS 1000
#define ROUTES_PERIOD MSEC(50)
/* A long poll confirms the routes less often than the servers. */
#define ROUTES_AGE_EXTRA MSEC(600)
/*
 * An instance that joins others waits this long for a peer's view, plus a
 * random part of JOIN_DELAY_SPREAD, so that hundreds of instances that start at
 * once do not all list the store page by page: the seeds read it first and send
 * their view to the others. If all seeds are down, it reads the store after
 * this delay.
 */
#define JOIN_DELAY_MIN MSEC(400)
#define JOIN_DELAY_SPREAD MSEC(800)
/* An instance without any view waits for this share of max_view_age. */
#define START_VIEW_AGE_RATIO 0.15
/*
 * Each rank after the first START_RANKS_UNDELAYED waits START_RANK_DELAY longer
 * than the rank before.
 */
#define START_RANKS_UNDELAYED 8
#define START_RANK_DELAY MSEC(10)
#define FAILURE_PAUSE MSEC(200)
#define FAILURE_PAUSE_MAX MSEC(1000)
/*
 * The pause after a failure is multiplied by 1 + rank / RANKS_RETRYING, up to
 * this maximum.
 */
#define RANKS_RETRYING 4
#define RANKED_PAUSE_MAX MSEC(8000)

void store_schedule_delay_start(struct store_sync *sync, double random)
{
	sync->start_delay =
		JOIN_DELAY_MIN + (int64_t)(random * (double)JOIN_DELAY_SPREAD);
}

/*
 * If all instances start at once, the first in rank reads the store for all;
 * the others do so only if it fails, in the order of their ranks.
 */
static int64_t start_delay(const struct store_sync *sync,
			   const struct store_feed *feed)
{
	int delayed_ranks = sync->rank > START_RANKS_UNDELAYED
				    ? sync->rank - START_RANKS_UNDELAYED
				    : 0;
	int64_t wait =
		(int64_t)((double)sync->max_view_age * START_VIEW_AGE_RATIO) +
		delayed_ranks * START_RANK_DELAY;

	if (feed->failures)
		return 0;
	return wait > sync->start_delay ? wait : sync->start_delay;
}

/*
 * Peers that read the store send their view, so that this instance need not
 * call it before its own view is older than max_view_age.
 */
static int64_t due_at(const struct store_sync *sync,
		      const struct store_feed *feed)
{
	int64_t due = feed->fresh_at + sync->max_view_age;

	if (feed->topic == STORE_ROUTES)
		due += ROUTES_AGE_EXTRA;
	if (feed->listing)
		return feed->next_at;
	if (feed->fresh_at < 0)
		return feed->next_at + start_delay(sync, feed);
	if (!sync->max_view_age)
		return feed->next_at;
	return due > feed->next_at ? due : feed->next_at;
}

/*
 * While the store is down all views age, and hundreds of instances would retry.
 * The first in rank retry as often as a single instance would and send their
 * view to the others; higher ranks retry less often. Where the first ranks
 * cannot reach the store and others can, the latter had no failure and do not
 * pause.
 */
static int64_t failure_pause(const struct store_sync *sync,
			     const struct store_feed *feed)
{
	int64_t pause = FAILURE_PAUSE * (1 + feed->failures);

	if (pause > FAILURE_PAUSE_MAX)
		pause = FAILURE_PAUSE_MAX;
	pause += pause * sync->rank / RANKS_RETRYING;
	return pause < RANKED_PAUSE_MAX ? pause : RANKED_PAUSE_MAX;
}

/* High ranks call only if no instance before them reached the store. */
static bool is_high_rank(const struct store_sync *sync)
{
	return sync->rank >= RANKS_RETRYING;
}

/* The store is down for all topics: none needs to be tried earlier. */
static void postpone_topics(struct store_sync *sync,
			    const struct store_feed *failed)
{
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		if (sync->feeds[i].next_at < failed->next_at)
			sync->feeds[i].next_at = failed->next_at;
	}
}

/*
 * An instance of a high rank mostly finds that the store is down, as those
 * before it did: one call at a time shows that as well as two.
 */
static bool waits_for_other_topic(const struct store_sync *sync,
				  const struct store_feed *feed)
{
	const struct store_feed *other =
		&sync->feeds[feed->topic == STORE_ROUTES ? STORE_SERVERS
							 : STORE_ROUTES];

	return is_high_rank(sync) && other->busy;
}

int64_t store_schedule_due(const struct store_sync *sync,
			   const struct store_feed *feed)
{
	if (feed->busy || waits_for_other_topic(sync, feed))
		return INT64_MAX;
	return due_at(sync, feed);
}

int64_t store_schedule_wait_ms(const struct store_sync *sync,
			       const struct store_feed *feed)
{
	return feed->topic == STORE_ROUTES && !is_high_rank(sync)
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
	feed->next_at = clock_now(sync->clock) + failure_pause(sync, feed);
	feed->failures++;
	if (is_high_rank(sync))
		postpone_topics(sync, feed);
}
