/* How the instances that hold one data centre's shares settle a new view. */
#define LOG_MODULE "share"
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "member.h"
#include "peer.pb-c.h"
#include "share_private.h"

#define RESEND_USEC MSEC(1000)
/* An instance that the list names and nobody ever heard holds up a start. */
#define STRANGER_USEC MSEC(30000)
/* With nobody to ask and no list that names us, we wait this long. */
#define ALONE_USEC MSEC(10000)
#define START_PERIODS 3

static void finish_view(struct share_view *view)
{
	free(view->seats);
	memset(view, 0, sizeof(*view));
}

static void clear_views(struct share_pool *pool)
{
	while (pool->n_views)
		finish_view(&pool->views[--pool->n_views]);
	pool->overflow = false;
}

static void remove_peer(struct share_pool *pool, struct share_peer *peer)
{
	HASH_DEL(pool->peers, peer);
	free(peer->instance);
	free(peer);
}

static void clear_peers(struct share_pool *pool)
{
	struct share_peer *peer;
	struct share_peer *next;

	HASH_ITER (hh, pool->peers, peer, next)
		remove_peer(pool, peer);
}

void share_pool_finish(struct share_pool *pool)
{
	clear_views(pool);
	clear_peers(pool);
	free(pool->data_centre);
}

struct share_pool *share_pool_get(struct share *share, const char *data_centre)
{
	uint64_t hash = str_hash(str_from(data_centre));
	struct share_pool *pool;

	HASH_FIND(hh, share->pools, &hash, sizeof(hash), pool);
	if (pool)
		return pool;
	pool = mem_zalloc(sizeof(*pool));
	pool->data_centre = mem_dup(data_centre);
	pool->dc_hash = hash;
	pool->fresh = true;
	HASH_ADD(hh, share->pools, dc_hash, sizeof(pool->dc_hash), pool);
	share_pool_want(share, pool);
	return pool;
}

/* Whether a member takes part in homes; @any: also those that are leaving. */
static bool takes_part(const struct member *member, bool any)
{
	return member_present(member) &&
	       (any || member->status != MEMBER_LEAVING);
}

/* The members, this instance first. */
static const struct member *next_member(const struct share *share,
					const struct member *prev)
{
	if (!prev)
		return &share->members->self;
	if (prev == &share->members->self)
		prev = NULL;
	return member_table_next(share->members, prev);
}

/*
 * The data centre itself if anybody is there; else the one that stands in for
 * it. With everybody leaving, the leaving ones go on.
 */
static bool choose_holder(const struct share *share,
			  const struct share_pool *pool, bool any,
			  uint64_t *out)
{
	const struct member *member;
	uint64_t best = 0;
	bool found = false;

	for (member = next_member(share, NULL); member;
	     member = next_member(share, member)) {
		uint64_t score = str_hash_mix(pool->dc_hash, member->dc_hash);

		if (!takes_part(member, any))
			continue;
		if (member->dc_hash == pool->dc_hash)
			score = UINT64_MAX;
		if (found && score <= best)
			continue;
		found = true;
		best = score;
		*out = member->dc_hash;
	}
	return found;
}

static void add_seat(struct share_view *view, int *cap,
		     const struct member *member)
{
	uint64_t identity = str_hash_mix(member->hash, member->incarnation);

	MEM_GROW(view->seats, view->n, *cap);
	view->seats[view->n++] =
		(struct share_seat){member->hash, member->incarnation};
	/* The order of members differs between instances. */
	view->digest ^= str_hash_mix(identity, 0);
}

static void make_view(const struct share *share, const struct share_pool *pool,
		      struct share_view *view)
{
	const struct member *member;
	uint64_t holder = 0;
	bool any = false;
	int cap = 0;

	memset(view, 0, sizeof(*view));
	if (!choose_holder(share, pool, false, &holder)) {
		any = true;
		choose_holder(share, pool, true, &holder);
	}
	for (member = next_member(share, NULL); member;
	     member = next_member(share, member)) {
		if (!takes_part(member, any) || member->dc_hash != holder)
			continue;
		add_seat(view, &cap, member);
		if (member == &share->members->self)
			view->has_self = true;
	}
	view->digest = str_hash_mix(view->digest, view->n);
}

static struct share_peer *get_peer(struct share_pool *pool,
				   const struct member *member)
{
	struct share_peer *peer;

	HASH_FIND(hh, pool->peers, &member->incarnation,
		  sizeof(member->incarnation), peer);
	if (peer)
		return peer;
	peer = mem_zalloc(sizeof(*peer));
	peer->incarnation = member->incarnation;
	peer->instance = mem_dup(member->instance);
	HASH_ADD(hh, pool->peers, incarnation, sizeof(peer->incarnation), peer);
	return peer;
}

static bool in_view(const struct share_view *view, uint64_t incarnation)
{
	int i;

	for (i = 0; i < view->n; i++) {
		if (view->seats[i].incarnation == incarnation)
			return true;
	}
	return false;
}

static void require_view(struct share *share, struct share_pool *pool,
			 const struct share_view *view)
{
	const struct member *member;

	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member_present(member) &&
		    in_view(view, member->incarnation))
			get_peer(pool, member)->required = true;
	}
}

static bool is_involved(const struct share_pool *pool)
{
	int i;

	for (i = 0; i < pool->n_views; i++) {
		if (pool->views[i].has_self)
			return true;
	}
	return false;
}

static int least(int a, int b)
{
	return a < b ? a : b;
}

void share_row_caps(const struct share *share, struct share_row *row)
{
	const struct share_pool *pool = row->pool;
	uint64_t self = share->members->self.hash;
	int i;

	row->cap = row->limit;
	row->want = (struct quota){0, 0};
	for (i = 0; i < pool->n_views; i++) {
		row->want = share_quota(&pool->views[i], row, self);
		row->cap.slots = least(row->cap.slots, row->want.slots);
		row->cap.connections =
			least(row->cap.connections, row->want.connections);
	}
	if (!pool->n_views)
		row->cap = row->want;
}

static bool is_home(struct quota quota)
{
	return quota.slots > 0;
}

/* One more view: shares can only shrink until it is settled. */
static void lower_caps(struct share *share, const struct share_pool *pool)
{
	const struct share_view *view = share_pool_wanted(pool);
	uint64_t self = share->members->self.hash;
	int i;

	for (i = 0; i < share->n_rows; i++) {
		struct share_row *row = &share->rows[i];
		bool before = is_home(row->want);

		if (row->pool != pool)
			continue;
		row->want = share_quota(view, row, self);
		if (before != is_home(row->want))
			share->moves++;
		row->cap.slots = least(row->cap.slots, row->want.slots);
		row->cap.connections =
			least(row->cap.connections, row->want.connections);
	}
}

static void raise_caps(struct share *share, const struct share_pool *pool)
{
	int i;

	for (i = 0; i < share->n_rows; i++) {
		if (share->rows[i].pool == pool)
			share->rows[i].cap = share->rows[i].want;
	}
}

static void append_view(struct share_pool *pool, const struct share_view *view)
{
	if (pool->n_views == SHARE_VIEWS) {
		finish_view(&pool->views[0]);
		memmove(&pool->views[0], &pool->views[1],
			(SHARE_VIEWS - 1) * sizeof(*pool->views));
		pool->n_views--;
		pool->overflow = true;
	}
	pool->views[pool->n_views++] = *view;
}

/* Against a flapping view: one that is unsettled already is not kept twice. */
static bool bring_to_end(struct share_pool *pool, uint64_t digest)
{
	struct share_view view;
	int i;

	for (i = 0; i < pool->n_views; i++) {
		if (pool->views[i].digest != digest)
			continue;
		view = pool->views[i];
		memmove(&pool->views[i], &pool->views[i + 1],
			(pool->n_views - i - 1) * sizeof(view));
		pool->views[pool->n_views - 1] = view;
		return true;
	}
	return false;
}

static void begin_round(struct share *share, struct share_pool *pool)
{
	pool->generation = ++share->generation;
	pool->full = false;
	pool->dirty = true;
	pool->drained = false;
	pool->settled = false;
}

void share_pool_want(struct share *share, struct share_pool *pool)
{
	const struct share_view *wanted = share_pool_wanted(pool);
	struct share_view view;

	make_view(share, pool, &view);
	if (wanted && wanted->digest == view.digest) {
		finish_view(&view);
		return;
	}
	if (!is_involved(pool)) {
		clear_views(pool);
		if (!view.has_self)
			pool->fresh = true;
	}
	if (bring_to_end(pool, view.digest))
		finish_view(&view);
	else
		append_view(pool, &view);
	wanted = share_pool_wanted(pool);
	begin_round(share, pool);
	if (is_involved(pool))
		require_view(share, pool, wanted);
	lower_caps(share, pool);
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

void share_pool_reset(struct share *share, struct share_pool *pool, bool forget)
{
	if (!pool->fresh)
		LOG_WARN("share_stopped",
			 LOG_TEXT("data_centre", pool->data_centre),
			 LOG_TEXT("cause", forget ? "incarnation" : "lease"));
	pool->fresh = true;
	pool->established = false;
	begin_round(share, pool);
	if (forget) {
		clear_views(pool);
		clear_peers(pool);
		share_pool_want(share, pool);
	} else {
		share_pool_want(share, pool);
		if (is_involved(pool))
			require_view(share, pool, share_pool_wanted(pool));
	}
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

/* Whether the process behind a peer may still use shares. */
static bool is_released(const struct share *share,
			const struct share_peer *peer)
{
	const struct member *member =
		member_table_find(share->members, peer->instance);

	if (!member || member->incarnation != peer->incarnation)
		return true;
	return member_released(member, clock_now(share->clock));
}

static bool agrees(const struct share_pool *pool, const struct share_peer *peer)
{
	return peer->digest == share_pool_wanted(pool)->digest &&
	       peer->echo == pool->generation;
}

static bool rows_drained(const struct share *share,
			 const struct share_pool *pool)
{
	int i;

	/* What was started since the last report would be overlooked. */
	if (share->ops->report)
		share->ops->report(share->arg);
	for (i = 0; i < share->n_rows; i++) {
		const struct share_row *row = &share->rows[i];

		if (row->pool != pool)
			continue;
		if (row->used.slots > row->cap.slots ||
		    row->used.connections > row->cap.connections)
			return false;
	}
	return true;
}

struct tally {
	bool drained;
	bool settled;
	bool established;
};

static struct tally count_peers(const struct share *share,
				struct share_pool *pool)
{
	struct tally tally = {true, true, pool->established};
	struct share_peer *peer;
	struct share_peer *next;

	HASH_ITER (hh, pool->peers, peer, next) {
		bool ok;

		if (is_released(share, peer)) {
			remove_peer(pool, peer);
			continue;
		}
		if (!peer->required)
			continue;
		ok = agrees(pool, peer);
		if (!ok || !peer->drained)
			tally.drained = false;
		if (!ok || !peer->settled)
			tally.settled = false;
		if (ok && peer->settled && peer->established)
			tally.established = true;
	}
	return tally;
}

/* One asks the fleet; the others wait until it has the answer. */
static bool asks_fleet(const struct share *share, const struct share_pool *pool)
{
	uint64_t own = str_hash_mix(pool->dc_hash, share->members->self.hash);
	const struct member *member;

	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member->status == MEMBER_ALIVE &&
		    in_view(share_pool_wanted(pool), member->incarnation) &&
		    str_hash_mix(pool->dc_hash, member->hash) < own)
			return false;
	}
	return true;
}

static bool is_stranger(const struct member *member, int64_t now)
{
	return member->status == MEMBER_NAMED && !member->connection_refused &&
	       now - member->since < STRANGER_USEC;
}

/*
 * Whether all can be asked: else there may be holders of whom nobody told us.
 * Without any list we have no table either, and wait.
 */
static bool knows_all(const struct share *share, int64_t now)
{
	if (share->members->complete)
		return true;
	return share->members->list_seen && now - share->started >= ALONE_USEC;
}

/*
 * Nobody known has held this data centre's shares: then somebody unknown may.
 * It is known to some member or named by a list no older than our start.
 */
static bool fleet_agrees(const struct share *share, struct share_pool *pool)
{
	int64_t now = clock_now(share->clock);
	const struct member *member;
	bool agreed = true;

	if (now - share->started < START_PERIODS * share->members->probe_period)
		return false;
	if (!knows_all(share, now))
		return false;
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		struct share_peer *peer;

		if (is_stranger(member, now))
			agreed = false;
		/* Gone for its silence, and its lease may still run. */
		if (member->status == MEMBER_GONE &&
		    !member_released(member, now))
			agreed = false;
		if (!member_present(member))
			continue;
		peer = get_peer(pool, member);
		if (!agrees(pool, peer) || !peer->settled) {
			agreed = false;
			continue;
		}
		if (peer->established)
			peer->required = true;
	}
	return agreed;
}

static void take_full(struct share *share, struct share_pool *pool)
{
	struct share_view *wanted = &pool->views[pool->n_views - 1];
	struct share_view view = *wanted;
	struct share_peer *peer;

	memset(wanted, 0, sizeof(*wanted));
	clear_views(pool);
	append_view(pool, &view);
	for (peer = pool->peers; peer; peer = peer->hh.next)
		peer->required =
			view.has_self && in_view(&view, peer->incarnation);
	pool->full = true;
	pool->fresh = !view.has_self;
	pool->established = view.has_self;
	raise_caps(share, pool);
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

static void send_state(struct share *share, struct share_pool *pool,
		       struct share_peer *peer, const struct member *to,
		       bool reply)
{
	Peer__ViewState state = PEER__VIEW_STATE__INIT;

	state.instance = share->members->self.instance;
	state.incarnation = share->members->self.incarnation;
	state.data_centre = pool->data_centre;
	state.view_digest = share_pool_wanted(pool)->digest;
	state.generation = pool->generation;
	state.echo = peer->generation;
	state.to_incarnation = peer->incarnation;
	state.drained = pool->drained;
	state.settled = pool->settled;
	state.established = pool->established;
	state.reply = reply;
	share->sent_messages++;
	share->sent_bytes += peer__view_state__get_packed_size(&state);
	share->ops->send_view(share->arg, to, &state);
}

static uint64_t state_hash(const struct share_pool *pool,
			   const struct share_peer *peer)
{
	uint64_t flags =
		pool->drained + 2 * pool->settled + 4 * pool->established;
	uint64_t hash = str_hash_mix(pool->generation, peer->generation);

	return str_hash_mix(hash, flags + 1);
}

static void tell_peer(struct share *share, struct share_pool *pool,
		      struct share_peer *peer, bool asked)
{
	const struct member *to =
		member_table_find(share->members, peer->instance);
	int64_t now = clock_now(share->clock);
	uint64_t state = state_hash(pool, peer);
	bool waiting = (peer->required || asked) && !pool->full &&
		       is_involved(pool) &&
		       (!agrees(pool, peer) || !peer->settled);
	bool due = now - peer->sent_at >= RESEND_USEC;

	if (!to || to->incarnation != peer->incarnation)
		return;
	if (!peer->answer && !(waiting && due) &&
	    !((peer->required || asked) && state != peer->sent_state))
		return;
	peer->sent_state = state;
	peer->sent_at = now;
	send_state(share, pool, peer, to, waiting && !peer->answer);
	peer->answer = false;
}

static void tell(struct share *share, struct share_pool *pool, bool asked)
{
	struct share_peer *peer;

	for (peer = pool->peers; peer; peer = peer->hh.next)
		tell_peer(share, pool, peer, asked);
}

/* An instance without any part in it agrees at once. */
static void settle_uninvolved(struct share *share, struct share_pool *pool)
{
	pool->drained = true;
	pool->settled = true;
	pool->full = true;
	tell(share, pool, false);
}

void share_pool_settle(struct share *share, struct share_pool *pool)
{
	struct tally tally;
	bool asked = false;
	bool agreed;

	/* In force, told to all, and nobody has asked. */
	if (!pool->n_views || (pool->full && !pool->dirty))
		return;
	pool->dirty = false;
	if (!is_involved(pool)) {
		settle_uninvolved(share, pool);
		return;
	}
	tally = count_peers(share, pool);
	if (!pool->drained && rows_drained(share, pool))
		pool->drained = true;
	if (pool->drained && tally.drained)
		pool->settled = true;
	agreed = tally.established;
	if (!pool->full && !agreed && asks_fleet(share, pool)) {
		asked = true;
		agreed = fleet_agrees(share, pool);
	}
	if (!pool->full && pool->settled && tally.settled && agreed &&
	    share_lease_runs(share))
		take_full(share, pool);
	tell(share, pool, asked);
}

/*
 * Against a frame to the process before us at this address: its echo would
 * pass for one of our generations. And against one from a process that is
 * gone.
 */
static const struct member *sender(const struct share *share,
				   const Peer__ViewState *state)
{
	const struct member *member =
		member_table_find(share->members, state->instance);

	if (state->to_incarnation != share->members->self.incarnation)
		return NULL;
	if (!member || member->incarnation != state->incarnation ||
	    !member_present(member) || !*state->data_centre)
		return NULL;
	return member;
}

/* Within a generation a peer only gets further. */
static void take_state(struct share_peer *peer, const Peer__ViewState *state)
{
	if (state->generation < peer->generation)
		return;
	if (state->generation > peer->generation) {
		peer->generation = state->generation;
		peer->drained = false;
		peer->settled = false;
		peer->established = false;
		peer->echo = 0;
	}
	peer->digest = state->view_digest;
	if (state->echo > peer->echo)
		peer->echo = state->echo;
	peer->drained |= state->drained;
	peer->settled |= state->settled;
	peer->established |= state->established;
	peer->answer |= state->reply;
}

void share_pool_hear(struct share *share, const Peer__ViewState *state)
{
	const struct member *member;
	struct share_pool *pool;

	member = sender(share, state);
	if (!member)
		return;
	pool = share_pool_get(share, state->data_centre);
	take_state(get_peer(pool, member), state);
	pool->dirty = true;
	share_pool_settle(share, pool);
}
