#include "share.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "member.h"
#include "peer.pb-c.h"
#include "share_private.h"
#include "table.h"

static struct quota usable_settled(const struct share *share,
				   const struct share_row *row)
{
	const struct quota none = {0, 0};

	if (row->pool->suspended || !share_lease_runs(share))
		return none;
	return row->cap;
}

static struct quota usable_naive(const struct share *share,
				 const struct share_row *row)
{
	(void)share;
	return row->target;
}

const struct share_rule share_settled = {
	.name = "settled",
	.usable = usable_settled,
};

const struct share_rule share_naive = {
	.name = "naive",
	.usable = usable_naive,
};

static void check_lease_expiry(struct share *share)
{
	struct share_pool *pool;

	if (share_lease_runs(share))
		return;
	for (pool = share->pools; pool; pool = pool->hh.next) {
		if (pool->suspended)
			continue;
		share->started_at = clock_now(share->clock);
		share_pool_suspend(share, pool, false);
	}
}

static void check_incarnation(struct share *share)
{
	struct share_pool *pool;

	if (share->incarnation == share->members->self.incarnation)
		return;
	share->incarnation = share->members->self.incarnation;
	share->started_at = clock_now(share->clock);
	share->lease_confirmed_at = INT64_MIN / 2;
	for (pool = share->pools; pool; pool = pool->hh.next)
		share_pool_suspend(share, pool, true);
}

/*
 * Applies changes of the members and the lease. Called first by all public
 * functions, so that none of them works on an outdated state.
 */
static void refresh(struct share *share)
{
	const struct member *member;
	struct share_pool *pool;

	check_incarnation(share);
	check_lease_expiry(share);
	if (share->members_version == share->members->version)
		return;
	share->members_version = share->members->version;
	share_pool_get(share, share->members->self.data_centre);
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member_present(member))
			share_pool_get(share, member->data_centre);
	}
	for (pool = share->pools; pool; pool = pool->hh.next)
		share_pool_update_view(share, pool);
}

void share_init(struct share *share, const struct clock *clock,
		const struct member_table *members, const struct share_ops *ops,
		void *arg, int64_t lease, const struct share_rule *rule)
{
	memset(share, 0, sizeof(*share));
	share->clock = clock;
	share->members = members;
	share->ops = ops;
	share->rule = rule;
	share->arg = arg;
	share->lease = lease;
	refresh(share);
}

void share_finish(struct share *share)
{
	struct share_pool *pool;
	struct share_pool *next;

	HASH_ITER (hh, share->pools, pool, next) {
		HASH_DEL(share->pools, pool);
		share_pool_finish(pool);
		free(pool);
	}
	free(share->rows);
}

void share_set_lease(struct share *share, int64_t lease)
{
	share->lease = lease;
}

/* Index of the previous table's rows by the hash of the server's name. */
struct old_row {
	uint64_t hash;
	struct share_row *row;
	UT_hash_handle hh;
};

static struct old_row *index_rows(struct share_row *rows, int n,
				  struct old_row **out)
{
	struct old_row *entries = mem_zalloc(n * sizeof(*entries));
	struct old_row *index = NULL;
	int i;

	for (i = 0; i < n; i++) {
		entries[i].hash = rows[i].hash;
		entries[i].row = &rows[i];
		HASH_ADD(hh, index, hash, sizeof(entries[i].hash), &entries[i]);
	}
	*out = index;
	return entries;
}

static void carry_over_usage(struct share_row *row, struct old_row *index)
{
	struct old_row *old;

	HASH_FIND(hh, index, &row->hash, sizeof(row->hash), old);
	if (old)
		row->used = old->row->used;
	if (!row->pool->views_dropped)
		return;
	/* The caps under dropped views are known for old rows only. */
	if (!old || old->row->pool != row->pool) {
		row->cap = (struct quota){0, 0};
		return;
	}
	if (old->row->cap.slots < row->cap.slots)
		row->cap.slots = old->row->cap.slots;
	if (old->row->cap.connections < row->cap.connections)
		row->cap.connections = old->row->cap.connections;
}

void share_table_changed(struct share *share, const struct table *table)
{
	struct share_row *rows =
		mem_zalloc(table->n_servers * sizeof(*share->rows));
	struct old_row *index;
	struct old_row *entries;
	int i;

	refresh(share);
	entries = index_rows(share->rows, share->n_rows, &index);
	for (i = 0; i < table->n_servers; i++) {
		const struct backend_server *server = &table->servers[i];

		rows[i].hash = server->hash;
		rows[i].limit.slots = (int)server->slots;
		rows[i].limit.connections = (int)server->connections;
		rows[i].pool = share_pool_get(share, server->data_centre);
		share_row_update_caps(share, &rows[i]);
		carry_over_usage(&rows[i], index);
	}
	HASH_CLEAR(hh, index);
	free(entries);
	free(share->rows);
	share->rows = rows;
	share->n_rows = table->n_servers;
	if (share->ops->changed)
		share->ops->changed(share->arg);
}

void share_report_usage(struct share *share, int row, int slots,
			int connections)
{
	share->rows[row].used.slots = slots;
	share->rows[row].used.connections = connections;
}

void share_confirm_lease(struct share *share, int64_t sent_at)
{
	refresh(share);
	if (sent_at > share->lease_confirmed_at)
		share->lease_confirmed_at = sent_at;
}

/*
 * Whether the lease needs no confirmation by a peer: no peer responds, and
 * either the platform's list names this instance or no other member is present.
 */
static bool may_self_confirm(const struct share *share)
{
	const struct member *member;

	if (share->members->present && !share->members->list_names_self)
		return false;
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member_present(member) && member->status != MEMBER_SUSPECT)
			return false;
	}
	return true;
}

void share_tick(struct share *share)
{
	int64_t now = clock_now(share->clock);
	struct share_pool *pool;

	refresh(share);
	/* After a late tick other members may have joined unnoticed. */
	if (now - share->last_tick < share->lease && may_self_confirm(share))
		share->lease_confirmed_at = now;
	share->last_tick = now;
	for (pool = share->pools; pool; pool = pool->hh.next)
		share_pool_settle(share, pool);
}

int share_slots(struct share *share, int row)
{
	refresh(share);
	return share->rule->usable(share, &share->rows[row]).slots;
}

int share_connections(struct share *share, int row)
{
	refresh(share);
	return share->rule->usable(share, &share->rows[row]).connections;
}

bool share_lease_valid(struct share *share)
{
	refresh(share);
	return share_lease_runs(share);
}

void share_receive_view_state(struct share *share, const Peer__ViewState *state)
{
	refresh(share);
	share_pool_receive(share, state);
}

bool share_drained(struct share *share)
{
	int i;

	refresh(share);
	for (i = 0; i < share->n_rows; i++) {
		const struct share_row *row = &share->rows[i];

		if (row->used.slots > row->cap.slots ||
		    row->used.connections > row->cap.connections)
			return false;
	}
	return true;
}

static const struct member *holder_member(const struct share *share,
					  const struct share_holder *holder)
{
	const struct member *member;

	if (holder->hash == share->members->self.hash)
		return &share->members->self;
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member->hash == holder->hash)
			return member;
	}
	return NULL;
}

int share_homes(struct share *share, int row,
		const struct member *out[SHARE_HOMES])
{
	const struct share_holder *rank[SHARE_HOMES];
	const struct share_view *view;
	int n;
	int i;

	refresh(share);
	view = share_pool_target_view(share->rows[row].pool);
	if (!view)
		return 0;
	n = share_rank_homes(view, &share->rows[row], rank);
	for (i = 0; i < n; i++)
		out[i] = holder_member(share, rank[i]);
	return n;
}
