/*
 * Agreement on a new view between the instances that hold the shares of one
 * data centre. Each change of the target view starts a generation, in which the
 * caps allow no more than any view that may still be in force somewhere:
 *
 * 1. An instance is drained when it uses no more than its caps.
 * 2. It is settled when it and all required peers are drained.
 * 3. It brings the target view into force, and so raises its caps, when all
 *    required peers are settled, too, and its lease runs. After a suspension
 *    (a start or an expired lease) an established peer, or else the whole
 *    fleet, has to agree as well.
 */
#define LOG_MODULE "share"
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "mem.h"
#include "member.h"
#include "peer.pb-c.h"
#include "share_private.h"

#define RESEND_INTERVAL_USEC MSEC(1000)
/* Time that a start waits for a listed instance that never responded. */
#define UNRESPONSIVE_WAIT_USEC MSEC(30000)
/* Time that a start waits while an instance may be missing from the members. */
#define INCOMPLETE_WAIT_USEC MSEC(10000)
#define START_PROBE_PERIODS 3

static void finish_view(struct share_view *view)
{
	free(view->holders);
	memset(view, 0, sizeof(*view));
}

static void clear_views(struct share_pool *pool)
{
	while (pool->n_views)
		finish_view(&pool->views[--pool->n_views]);
	pool->views_dropped = false;
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
	pool->suspended = true;
	HASH_ADD(hh, share->pools, dc_hash, sizeof(pool->dc_hash), pool);
	share_pool_update_view(share, pool);
	return pool;
}

/* @any: members that are leaving may hold shares, too. */
static bool may_hold_shares(const struct member *member, bool any)
{
	return member_present(member) &&
	       (any || member->status != MEMBER_LEAVING);
}

/* Iterates over the members, beginning with this instance. */
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
 * Chooses the data centre whose instances hold the pool's shares: its own if an
 * instance is present there, otherwise one by rendezvous hashing.
 *
 * @any: count leaving members, for when there are no others
 */
static bool choose_holding_dc(const struct share *share,
			      const struct share_pool *pool, bool any,
			      uint64_t *out)
{
	const struct member *member;
	uint64_t best = 0;
	bool found = false;

	for (member = next_member(share, NULL); member;
	     member = next_member(share, member)) {
		uint64_t score = str_hash_mix(pool->dc_hash, member->dc_hash);

		if (!may_hold_shares(member, any))
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

static void add_holder(struct share_view *view, int *cap,
		       const struct member *member)
{
	uint64_t identity = str_hash_mix(member->hash, member->incarnation);

	MEM_GROW(view->holders, view->n, *cap);
	view->holders[view->n++] =
		(struct share_holder){member->hash, member->incarnation};
	/* XOR, as the order of members differs between instances. */
	view->digest ^= str_hash_mix(identity, 0);
}

static void make_view(const struct share *share, const struct share_pool *pool,
		      struct share_view *view)
{
	const struct member *member;
	uint64_t holding_dc = 0;
	bool any = false;
	int cap = 0;

	memset(view, 0, sizeof(*view));
	if (!choose_holding_dc(share, pool, false, &holding_dc)) {
		any = true;
		choose_holding_dc(share, pool, true, &holding_dc);
	}
	for (member = next_member(share, NULL); member;
	     member = next_member(share, member)) {
		if (!may_hold_shares(member, any) ||
		    member->dc_hash != holding_dc)
			continue;
		add_holder(view, &cap, member);
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
		if (view->holders[i].incarnation == incarnation)
			return true;
	}
	return false;
}

static void require_peers(struct share *share, struct share_pool *pool,
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

static int min_int(int a, int b)
{
	return a < b ? a : b;
}

void share_row_update_caps(const struct share *share, struct share_row *row)
{
	const struct share_pool *pool = row->pool;
	uint64_t self = share->members->self.hash;
	int i;

	row->cap = row->limit;
	row->target = (struct quota){0, 0};
	for (i = 0; i < pool->n_views; i++) {
		row->target = share_quota(&pool->views[i], row, self);
		row->cap.slots = min_int(row->cap.slots, row->target.slots);
		row->cap.connections =
			min_int(row->cap.connections, row->target.connections);
	}
	if (!pool->n_views)
		row->cap = row->target;
}

static bool is_home(struct quota quota)
{
	return quota.slots > 0;
}

/* A view was added: until it is settled, caps can only shrink. */
static void lower_caps(struct share *share, const struct share_pool *pool)
{
	const struct share_view *view = share_pool_target_view(pool);
	uint64_t self = share->members->self.hash;
	int i;

	for (i = 0; i < share->n_rows; i++) {
		struct share_row *row = &share->rows[i];
		bool before = is_home(row->target);

		if (row->pool != pool)
			continue;
		row->target = share_quota(view, row, self);
		if (before != is_home(row->target))
			share->home_changes++;
		row->cap.slots = min_int(row->cap.slots, row->target.slots);
		row->cap.connections =
			min_int(row->cap.connections, row->target.connections);
	}
}

static void raise_caps(struct share *share, const struct share_pool *pool)
{
	int i;

	for (i = 0; i < share->n_rows; i++) {
		if (share->rows[i].pool == pool)
			share->rows[i].cap = share->rows[i].target;
	}
}

static void append_view(struct share_pool *pool, const struct share_view *view)
{
	if (pool->n_views == SHARE_VIEWS) {
		finish_view(&pool->views[0]);
		memmove(&pool->views[0], &pool->views[1],
			(SHARE_VIEWS - 1) * sizeof(*pool->views));
		pool->n_views--;
		pool->views_dropped = true;
	}
	pool->views[pool->n_views++] = *view;
}

/* Keeps an unsettled view only once when the target view flaps. */
static bool move_view_to_end(struct share_pool *pool, uint64_t digest)
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

static void begin_generation(struct share *share, struct share_pool *pool)
{
	pool->generation = ++share->generation;
	pool->in_force = false;
	pool->dirty = true;
	pool->drained = false;
	pool->settled = false;
}

void share_pool_update_view(struct share *share, struct share_pool *pool)
{
	const struct share_view *target_view = share_pool_target_view(pool);
	struct share_view view;

	make_view(share, pool, &view);
	if (target_view && target_view->digest == view.digest) {
		finish_view(&view);
		return;
	}
	if (!is_involved(pool)) {
		clear_views(pool);
		if (!view.has_self)
			pool->suspended = true;
	}
	if (move_view_to_end(pool, view.digest))
		finish_view(&view);
	else
		append_view(pool, &view);
	target_view = share_pool_target_view(pool);
	begin_generation(share, pool);
	if (is_involved(pool))
		require_peers(share, pool, target_view);
	lower_caps(share, pool);
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

void share_pool_suspend(struct share *share, struct share_pool *pool,
			bool new_incarnation)
{
	if (!pool->suspended)
		LOG_WARN("share_stopped",
			 LOG_TEXT("data_centre", pool->data_centre),
			 LOG_TEXT("cause",
				  new_incarnation ? "incarnation" : "lease"));
	pool->suspended = true;
	pool->established = false;
	begin_generation(share, pool);
	if (new_incarnation) {
		clear_views(pool);
		clear_peers(pool);
		share_pool_update_view(share, pool);
	} else {
		share_pool_update_view(share, pool);
		if (is_involved(pool))
			require_peers(share, pool,
				      share_pool_target_view(pool));
	}
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

/* Whether the peer's process can't use shares any more. */
static bool is_released(const struct share *share,
			const struct share_peer *peer)
{
	const struct member *member =
		member_table_find(share->members, peer->instance);

	if (!member || member->incarnation != peer->incarnation)
		return true;
	return member_released(member, clock_now(share->clock));
}

static bool peer_agrees(const struct share_pool *pool,
			const struct share_peer *peer)
{
	return peer->digest == share_pool_target_view(pool)->digest &&
	       peer->echo == pool->generation;
}

static bool rows_drained(const struct share *share,
			 const struct share_pool *pool)
{
	int i;

	/* Jobs may have been started since the last report. */
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

/* Whether all required peers are drained and settled; one is established. */
struct peer_tally {
	bool drained;
	bool settled;
	bool established;
};

static struct peer_tally tally_peers(const struct share *share,
				     struct share_pool *pool)
{
	struct peer_tally peer_tally = {true, true, pool->established};
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
		ok = peer_agrees(pool, peer);
		if (!ok || !peer->drained)
			peer_tally.drained = false;
		if (!ok || !peer->settled)
			peer_tally.settled = false;
		if (ok && peer->settled && peer->established)
			peer_tally.established = true;
	}
	return peer_tally;
}

/*
 * Whether this instance is the one of the target view that queries the whole
 * fleet. The others wait until it is established.
 */
static bool queries_fleet(const struct share *share,
			  const struct share_pool *pool)
{
	uint64_t own = str_hash_mix(pool->dc_hash, share->members->self.hash);
	const struct member *member;

	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member->status == MEMBER_ALIVE &&
		    in_view(share_pool_target_view(pool),
			    member->incarnation) &&
		    str_hash_mix(pool->dc_hash, member->hash) < own)
			return false;
	}
	return true;
}

static bool is_awaited_member(const struct member *member, int64_t now)
{
	return member->status == MEMBER_NAMED && !member->connection_refused &&
	       now - member->since < UNRESPONSIVE_WAIT_USEC;
}

/*
 * Whether no holder can be missing from the members. If one can, a start goes
 * on after INCOMPLETE_WAIT_USEC, provided that a list was seen: without any
 * list there is no table either, and it waits.
 */
static bool members_complete(const struct share *share, int64_t now)
{
	if (share->members->complete)
		return true;
	return share->members->list_seen &&
	       now - share->started_at >= INCOMPLETE_WAIT_USEC;
}

/*
 * Whether the whole fleet agrees. No required peer is established, so the
 * shares may be held by an instance that is in none of our views. Such an
 * instance is known to some member or named by a list that is no older than our
 * start.
 */
static bool fleet_agrees(const struct share *share, struct share_pool *pool)
{
	int64_t now = clock_now(share->clock);
	const struct member *member;
	bool agreed = true;

	if (now - share->started_at <
	    START_PROBE_PERIODS * share->members->probe_period)
		return false;
	if (!members_complete(share, now))
		return false;
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		struct share_peer *peer;

		if (is_awaited_member(member, now))
			agreed = false;
		/* Unresponsive, but its lease may still run. */
		if (member->status == MEMBER_GONE &&
		    !member_released(member, now))
			agreed = false;
		if (!member_present(member))
			continue;
		peer = get_peer(pool, member);
		if (!peer_agrees(pool, peer) || !peer->settled) {
			agreed = false;
			continue;
		}
		if (peer->established)
			peer->required = true;
	}
	return agreed;
}

static void activate_target_view(struct share *share, struct share_pool *pool)
{
	struct share_view *target_view = &pool->views[pool->n_views - 1];
	struct share_view view = *target_view;
	struct share_peer *peer;

	memset(target_view, 0, sizeof(*target_view));
	clear_views(pool);
	append_view(pool, &view);
	for (peer = pool->peers; peer; peer = peer->hh.next)
		peer->required =
			view.has_self && in_view(&view, peer->incarnation);
	pool->in_force = true;
	pool->suspended = !view.has_self;
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
	state.view_digest = share_pool_target_view(pool)->digest;
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

static void send_state_if_due(struct share *share, struct share_pool *pool,
			      struct share_peer *peer, bool fleet_queried)
{
	const struct member *to =
		member_table_find(share->members, peer->instance);
	int64_t now = clock_now(share->clock);
	uint64_t state = state_hash(pool, peer);
	bool waiting = (peer->required || fleet_queried) && !pool->in_force &&
		       is_involved(pool) &&
		       (!peer_agrees(pool, peer) || !peer->settled);
	bool due = now - peer->sent_at >= RESEND_INTERVAL_USEC;

	if (!to || to->incarnation != peer->incarnation)
		return;
	if (!peer->wants_reply && !(waiting && due) &&
	    !((peer->required || fleet_queried) &&
	      state != peer->sent_state_hash))
		return;
	peer->sent_state_hash = state;
	peer->sent_at = now;
	send_state(share, pool, peer, to, waiting && !peer->wants_reply);
	peer->wants_reply = false;
}

static void send_states(struct share *share, struct share_pool *pool,
			bool fleet_queried)
{
	struct share_peer *peer;

	for (peer = pool->peers; peer; peer = peer->hh.next)
		send_state_if_due(share, pool, peer, fleet_queried);
}

/* An instance that is in none of the views agrees at once. */
static void settle_uninvolved(struct share *share, struct share_pool *pool)
{
	pool->drained = true;
	pool->settled = true;
	pool->in_force = true;
	send_states(share, pool, false);
}

void share_pool_settle(struct share *share, struct share_pool *pool)
{
	struct peer_tally peer_tally;
	bool fleet_queried = false;
	bool agreed;

	/* In force, all peers know, and no state arrived since. */
	if (!pool->n_views || (pool->in_force && !pool->dirty))
		return;
	pool->dirty = false;
	if (!is_involved(pool)) {
		settle_uninvolved(share, pool);
		return;
	}
	peer_tally = tally_peers(share, pool);
	if (!pool->drained && rows_drained(share, pool))
		pool->drained = true;
	if (pool->drained && peer_tally.drained)
		pool->settled = true;
	agreed = peer_tally.established;
	if (!pool->in_force && !agreed && queries_fleet(share, pool)) {
		fleet_queried = true;
		agreed = fleet_agrees(share, pool);
	}
	if (!pool->in_force && pool->settled && peer_tally.settled && agreed &&
	    share_lease_runs(share))
		activate_target_view(share, pool);
	send_states(share, pool, fleet_queried);
}

/*
 * Rejects a state meant for the previous process at this address, whose echo
 * would be taken for one of our generations, and one from a process that is
 * gone.
 */
static const struct member *find_sender(const struct share *share,
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

/*
 * Within a generation a peer's flags are only ever set, so that reordered
 * frames do no harm.
 */
static void merge_state(struct share_peer *peer, const Peer__ViewState *state)
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
	peer->wants_reply |= state->reply;
}

void share_pool_receive(struct share *share, const Peer__ViewState *state)
{
	const struct member *member;
	struct share_pool *pool;

	member = find_sender(share, state);
	if (!member)
		return;
	pool = share_pool_get(share, state->data_centre);
	merge_state(get_peer(pool, member), state);
	pool->dirty = true;
	share_pool_settle(share, pool);
}
