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

	if (row->pool->fresh || !share_lease_runs(share))
		return none;
	return row->cap;
}

static struct quota usable_naive(const struct share *share,
				 const struct share_row *row)
{
	(void)share;
	return row->want;
}

const struct share_rule share_settled = {
	.name = "settled",
	.usable = usable_settled,
};

const struct share_rule share_naive = {
	.name = "naive",
	.usable = usable_naive,
};

static void check_lapse(struct share *share)
{
	struct share_pool *pool;

	if (share_lease_runs(share))
		return;
	for (pool = share->pools; pool; pool = pool->hh.next) {
		if (pool->fresh)
			continue;
		share->started = clock_now(share->clock);
		share_pool_reset(share, pool, false);
	}
}

static void note_incarnation(struct share *share)
{
	struct share_pool *pool;

	if (share->incarnation == share->members->self.incarnation)
		return;
	share->incarnation = share->members->self.incarnation;
	share->started = clock_now(share->clock);
	share->confirmed = INT64_MIN / 2;
	for (pool = share->pools; pool; pool = pool->hh.next)
		share_pool_reset(share, pool, true);
}

/*
 * All entries begin here: whatever happened to the members or the lease since
 * is seen before anything is answered.
 */
static void refresh(struct share *share)
{
	const struct member *member;
	struct share_pool *pool;

	note_incarnation(share);
	check_lapse(share);
	if (share->seen_version == share->members->version)
		return;
	share->seen_version = share->members->version;
	share_pool_get(share, share->members->self.data_centre);
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member_present(member))
			share_pool_get(share, member->data_centre);
	}
	for (pool = share->pools; pool; pool = pool->hh.next)
		share_pool_want(share, pool);
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

/* Rows by the name's hash, to carry over what is used. */
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

static void carry_over(struct share_row *row, struct old_row *index)
{
	struct old_row *old;

	HASH_FIND(hh, index, &row->hash, sizeof(row->hash), old);
	if (old)
		row->used = old->row->used;
	if (!row->pool->overflow)
		return;
	/* Views were forgotten: what they allowed is known of old rows only. */
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
		share_row_caps(share, &rows[i]);
		carry_over(&rows[i], index);
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
	if (sent_at > share->confirmed)
		share->confirmed = sent_at;
}

/*
 * With nobody to ask, the list that names us is confirmation enough; so is
 * having nobody at all.
 */
static bool is_alone(const struct share *share)
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
	/* A late tick confirms nothing: others may have come meanwhile. */
	if (now - share->last_tick < share->lease && is_alone(share))
		share->confirmed = now;
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
	share_pool_hear(share, state);
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

static const struct member *seat_member(const struct share *share,
					const struct share_seat *seat)
{
	const struct member *member;

	if (seat->hash == share->members->self.hash)
		return &share->members->self;
	for (member = member_table_next(share->members, NULL); member;
	     member = member_table_next(share->members, member)) {
		if (member->hash == seat->hash)
			return member;
	}
	return NULL;
}

int share_homes(struct share *share, int row,
		const struct member *out[SHARE_HOMES])
{
	const struct share_seat *rank[SHARE_HOMES];
	const struct share_view *view;
	int n;
	int i;

	refresh(share);
	view = share_pool_wanted(share->rows[row].pool);
	if (!view)
		return 0;
	n = share_rank(view, &share->rows[row], rank);
	for (i = 0; i < n; i++)
		out[i] = seat_member(share, rank[i]);
	return n;
}
