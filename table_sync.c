#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <string.h>

#include "log.h"

/* How often a new instance asks some peers for their revision. */
#define HELLO_PERIOD MSEC(500)

/* The start. */

/* Peers of the own data centre first, then the first of each other. */
static const char *candidate(const struct table_sync *sync, int i)
{
	const struct table_peers *peers = &sync->peers;

	if (i < peers->n_own)
		return peers->own[i].instance;
	return peers->far[i - peers->n_own].instance;
}

static void say_hello(struct table_sync *sync)
{
	int n = sync->peers.n_own + sync->peers.n_far;
	int64_t left = sync->reader.tunables->table_start_peers;
	int first = (int)reader_random(&sync->reader, n);
	int i;

	sync->next_hello = clock_now(sync->clock) + HELLO_PERIOD;
	for (i = 0; i < n && left; i++) {
		const char *peer = candidate(sync, (first + i) % n);

		if (!strcmp(peer, sync->peers.self))
			continue;
		table_sync_send_digest(sync, peer, true);
		left--;
	}
}

/* Until the platform's list came, the fleet may seem to be this one alone. */
static bool heard_enough(const struct table_sync *sync)
{
	const struct reader_watch *watches = sync->reader.watches;
	int64_t need = sync->reader.tunables->table_start_peers;

	if (need > sync->peers.n_others)
		need = sync->peers.n_others;
	return sync->peers.known && sync->n_heard >= need &&
	       watches[READER_TABLE].answered &&
	       watches[READER_INSTANCES].answered;
}

/*
 * Against a new instance that serves by an old table: one stale replica of the
 * platform, or one peer that was cut off, must not decide alone.
 */
static void check_start(struct table_sync *sync)
{
	int64_t waited = clock_now(sync->clock) - sync->started_at;
	bool late = waited >= MSEC(sync->reader.tunables->table_start_ms);

	if (sync->serving || !sync->in_force)
		return;
	if (!late && (!heard_enough(sync) || table_sync_is_overtaken(sync)))
		return;
	sync->serving = true;
	reader_set_starting(&sync->reader, false);
	LOG_INFO("table_start_over",
		 LOG_U64("revision", table_sync_revision(sync)),
		 LOG_TEXT("state",
			  table_confirmation_names[table_sync_confirmation(
				  sync)]),
		 LOG_I64("peers_heard", sync->n_heard));
}

int table_sync_ready(const struct table_sync *sync)
{
	return sync->serving ? 0 : ERR_NOT_RUN;
}

/* Time. */

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

static void make_calls(struct table_sync *sync)
{
	struct reader_watch *watch = &sync->reader.watches[READER_TABLE];
	struct reader_call call;

	watch->after = table_sync_revision(sync);
	if (sync->platform_refused > watch->after)
		watch->after = sync->platform_refused;
	sync->reader.unseen = sync->platform_shown < table_sync_revision(sync);
	while (reader_next(&sync->reader, &call)) {
		sync->counts.calls++;
		sync->ops->call(sync->ctx, &call);
	}
}

/*
 * Against lost pushes: each instance compares revisions with a random one of
 * its data centre, and a reader also with the first of another one.
 */
static void compare(struct table_sync *sync)
{
	int64_t period = MSEC(sync->reader.tunables->table_digest_ms);
	const struct table_peers *peers = &sync->peers;
	int64_t now = clock_now(sync->clock);
	int64_t i;

	if (now < sync->next_compare)
		return;
	sync->next_compare =
		now + period / 2 + reader_random(&sync->reader, period);
	i = reader_random(&sync->reader, peers->n_own);
	if (peers->n_own && i != peers->rank)
		table_sync_send_digest(sync, peers->own[i].instance, true);
	i = reader_random(&sync->reader, peers->n_far);
	if (peers->n_far && reader_is_watching(&sync->reader))
		table_sync_send_digest(sync, peers->far[i].instance, true);
}

void table_sync_tick(struct table_sync *sync)
{
	int64_t now = clock_now(sync->clock);

	sync->settled_at = sync->last_tick;
	sync->last_tick = now;
	check_start(sync);
	check_confirmation(sync);
	make_calls(sync);
	table_sync_pull(sync);
	compare(sync);
	if (!sync->serving && now >= sync->next_hello)
		say_hello(sync);
}

void table_sync_set_members(struct table_sync *sync,
			    const struct table_member *members, int n)
{
	struct table_peers *peers = &sync->peers;

	table_peers_set(peers, members, n);
	reader_set_rank(&sync->reader, peers->rank, peers->n_own,
			peers->rank == peers->n_own);
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
	sync->settled_at = now;
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
