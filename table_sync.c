#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <string.h>

#include "log.h"

/* Interval at which a new instance asks some peers for their revision. */
#define START_QUERY_PERIOD_USEC MSEC(500)

/* Startup. */

/* Members of this data centre come first, then one of each other one. */
static const char *start_peer(const struct table_sync *sync, int i)
{
	const struct table_peers *peers = &sync->peers;

	if (i < peers->n_local)
		return peers->local[i].instance;
	return peers->remote[i - peers->n_local].instance;
}

static void query_start_peers(struct table_sync *sync)
{
	int n = sync->peers.n_local + sync->peers.n_remote;
	int64_t left = sync->reader.tunables->table_start_peers;
	int first = (int)reader_random(&sync->reader, n);
	int i;

	sync->next_start_query =
		clock_now(sync->clock) + START_QUERY_PERIOD_USEC;
	for (i = 0; i < n && left; i++) {
		const char *peer = start_peer(sync, (first + i) % n);

		if (!strcmp(peer, sync->peers.self))
			continue;
		table_sync_send_digest(sync, peer, true);
		left--;
	}
}

/*
 * Requires the platform's list of instances, because without it the fleet may
 * seem to consist of this instance alone.
 */
static bool has_enough_answers(const struct table_sync *sync)
{
	const struct reader_watch *watches = sync->reader.watches;
	int64_t n_needed = sync->reader.tunables->table_start_peers;

	if (n_needed > sync->peers.n_others)
		n_needed = sync->peers.n_others;
	return sync->peers.members_known && sync->n_start_peers >= n_needed &&
	       watches[READER_TABLE].answered &&
	       watches[READER_INSTANCES].answered;
}

/*
 * Prevents a new instance from serving with an old table: a single stale
 * replica of the platform, or a single peer that was partitioned, must not be
 * the only source.
 */
static void check_start(struct table_sync *sync)
{
	int64_t waited = clock_now(sync->clock) - sync->started_at;
	bool late = waited >= MSEC(sync->reader.tunables->table_start_ms);

	if (sync->serving || !sync->in_force)
		return;
	if (!late &&
	    (!has_enough_answers(sync) || table_sync_is_overtaken(sync)))
		return;
	sync->serving = true;
	reader_set_starting(&sync->reader, false);
	LOG_INFO("table_start_over",
		 LOG_U64("revision", table_sync_revision(sync)),
		 LOG_TEXT("state",
			  table_confirmation_names[table_sync_confirmation(
				  sync)]),
		 LOG_I64("peers_heard", sync->n_start_peers));
}

int table_sync_ready(const struct table_sync *sync)
{
	return sync->serving ? 0 : ERR_NOT_RUN;
}

/* Timed actions. */

static void check_confirmation(struct table_sync *sync)
{
	int64_t bound = MSEC(sync->reader.tunables->table_confirm_ms);
	bool old = sync->serving &&
		   (sync->confirmed_at < 0 || table_sync_age(sync) > bound);

	reader_set_unconfirmed(&sync->reader, old);
	if (old)
		table_sync_raise_alarm(sync, TABLE_ALARM_UNCONFIRMED,
				       table_sync_revision(sync));
	else
		table_sync_clear_alarm(sync, TABLE_ALARM_UNCONFIRMED);
}

static void call_platform(struct table_sync *sync)
{
	struct reader_watch *watch = &sync->reader.watches[READER_TABLE];
	struct reader_call call;

	watch->after = table_sync_revision(sync);
	if (sync->platform_refused_revision > watch->after)
		watch->after = sync->platform_refused_revision;
	sync->reader.revision_unseen =
		sync->platform_revision < table_sync_revision(sync);
	while (reader_next(&sync->reader, &call)) {
		sync->counts.calls++;
		sync->ops->call(sync->ctx, &call);
	}
}

/*
 * Repairs lost pushes: each instance compares revisions with a random member of
 * its data centre, and a reader also with the first member of another one.
 */
static void exchange_digests(struct table_sync *sync)
{
	int64_t period = MSEC(sync->reader.tunables->table_digest_ms);
	const struct table_peers *peers = &sync->peers;
	int64_t now = clock_now(sync->clock);
	int64_t i;

	if (now < sync->next_digest_exchange)
		return;
	sync->next_digest_exchange =
		now + period / 2 + reader_random(&sync->reader, period);
	i = reader_random(&sync->reader, peers->n_local);
	if (peers->n_local && i != peers->rank)
		table_sync_send_digest(sync, peers->local[i].instance, true);
	i = reader_random(&sync->reader, peers->n_remote);
	if (peers->n_remote && reader_is_watching(&sync->reader))
		table_sync_send_digest(sync, peers->remote[i].instance, true);
}

void table_sync_tick(struct table_sync *sync)
{
	int64_t now = clock_now(sync->clock);

	sync->processed_until = sync->last_tick;
	sync->last_tick = now;
	check_start(sync);
	check_confirmation(sync);
	call_platform(sync);
	table_sync_pull(sync);
	exchange_digests(sync);
	if (!sync->serving && now >= sync->next_start_query)
		query_start_peers(sync);
}

void table_sync_set_members(struct table_sync *sync,
			    const struct table_member *members, int n)
{
	struct table_peers *peers = &sync->peers;

	table_peers_set(peers, members, n);
	reader_set_rank(&sync->reader, peers->rank, peers->n_local,
			peers->rank == peers->n_local);
}

void table_sync_init(struct table_sync *sync, const struct clock *clock,
		     const char *instance, const char *data_centre,
		     const struct table_sync_ops *ops, void *ctx, uint64_t seed)
{
	int64_t now = clock_now(clock);

	memset(sync, 0, sizeof(*sync));
	sync->clock = clock;
	sync->ops = ops;
	sync->ctx = ctx;
	sync->confirmed_at = -1;
	sync->started_at = now;
	sync->last_tick = now;
	sync->processed_until = now;
	option_set_defaults(tunable_rows, n_tunable_rows, &sync->defaults);
	reader_init(&sync->reader, clock, &sync->defaults, seed);
	table_peers_init(&sync->peers, instance, data_centre);
}

void table_sync_finish(struct table_sync *sync)
{
	int i;

	table_sync_stop_parts(sync);
	table_parts_finish(&sync->last_parts);
	for (i = 0; i < TABLE_SYNC_HISTORY; i++)
		table_delta_finish(&sync->history[i]);
	table_peers_finish(&sync->peers);
	memset(sync, 0, sizeof(*sync));
}
