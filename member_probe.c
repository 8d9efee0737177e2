/* Heartbeats: which member is pinged when, and what a missing answer means. */
#include "member.h"

#include <string.h>

#include "clock.h"
#include "mem.h"
#include "member_private.h"

/* Members that are asked to ping one that didn't answer us. */
#define INDIRECT_PROBES 3
#define RANDOM_TRIES 16 /* to find a member that is alive */
/*
 * In each round, REMOTE_PROBES_MIN members of other data centres are pinged,
 * plus REMOTE_PROBES_RATIO for each member of the own one, however many there
 * are. With fewer, a small fleet takes longer to notice that a whole data
 * centre is unreachable.
 */
#define REMOTE_PROBES_MIN 5
#define REMOTE_PROBES_RATIO 0.25
#define SYNC_RETRY_PERIODS 4
/* Time after the start to request members that are missing, microseconds. */
#define SYNC_START_WINDOW MSEC(120000)
/* More than one in so many members have to be missing. */
#define SYNC_MISSING_DIVISOR 100
/*
 * With seeds, all members are requested again during this time after the start,
 * microseconds, because other instances may still be starting; each interval
 * is twice the previous one.
 */
#define SYNC_SEEDED_WINDOW MSEC(20000)

void member_probe_now(struct member_table *table, struct member *member)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++) {
		if (table->probes[i].member == member &&
		    !table->probes[i].answered)
			return;
	}
	member_send_ping(table, member);
}

void member_probe_forget(struct member_table *table,
			 const struct member *member)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++) {
		if (table->probes[i].member == member)
			table->probes[i].member = NULL;
	}
	for (i = 0; i < table->n_probe_order; i++) {
		if (table->probe_order[i] == member)
			table->probe_order[i] = NULL;
	}
	if (table->last_acker == member)
		table->last_acker = NULL;
}

void member_probe_discard_all(struct member_table *table)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++)
		table->probes[i].member = NULL;
}

static void swap(struct member **a, struct member **b)
{
	struct member *old = *a;

	*a = *b;
	*b = old;
}

/*
 * A member that is gone is pinged as long as it is listed: the two sides of a
 * network partition may consider each other gone, and nothing else would tell
 * them after it has healed.
 */
static bool is_probe_target(const struct member_table *table,
			    const struct member *member)
{
	return member->status != MEMBER_GONE || member->listed || table->seeded;
}

/* Number of members alive, in this data centre and in others. */
struct alive_counts {
	int local;
	int remote;
};

static struct alive_counts count_alive(const struct member_table *table)
{
	struct alive_counts n = {0, 0};
	const struct member *member;

	for (member = table->members; member; member = member->hh.next) {
		if (member->status != MEMBER_ALIVE)
			continue;
		if (member->dc_hash == table->self.dc_hash)
			n.local++;
		else
			n.remote++;
	}
	return n;
}

static bool has_suspect(const struct member_table *table, uint64_t dc_hash)
{
	const struct member *member;

	for (member = table->members; member; member = member->hh.next) {
		if (member->status == MEMBER_SUSPECT &&
		    member->dc_hash == dc_hash)
			return true;
	}
	return false;
}

/*
 * With seeds, where no lease depends on an acknowledgement, members of other
 * data centres are pinged less often: their own data centre monitors them, and
 * traffic between data centres is expensive. Once a member is suspected, all
 * members of its data centre are pinged, because they may have failed together.
 */
static bool is_skipped(const struct member_table *table,
		       const struct member *member,
		       const struct alive_counts *n)
{
	if (!table->seeded || n->local < MEMBER_LOCAL_MIN ||
	    member->status != MEMBER_ALIVE ||
	    member->dc_hash == table->self.dc_hash)
		return false;
	if (has_suspect(table, member->dc_hash))
		return false;
	return (double)(table->ops->random(table->arg) % (uint64_t)n->remote) >=
	       REMOTE_PROBES_MIN + REMOTE_PROBES_RATIO * n->local;
}

static void shuffle_probe_order(struct member_table *table)
{
	const struct alive_counts n = count_alive(table);
	struct member *member;
	int i;

	table->n_local = n.local;
	table->n_probe_order = 0;
	table->probe_order_pos = 0;
	for (member = table->members; member; member = member->hh.next) {
		if (!is_probe_target(table, member) ||
		    is_skipped(table, member, &n))
			continue;
		MEM_GROW(table->probe_order, table->n_probe_order,
			 table->cap_probe_order);
		table->probe_order[table->n_probe_order++] = member;
	}
	for (i = table->n_probe_order - 1; i > 0; i--)
		swap(&table->probe_order[i],
		     &table->probe_order[table->ops->random(table->arg) %
					 (i + 1)]);
}

static struct member *next_in_order(struct member_table *table)
{
	while (table->probe_order_pos < table->n_probe_order) {
		struct member *member =
			table->probe_order[table->probe_order_pos++];

		if (member && is_probe_target(table, member))
			return member;
	}
	return NULL;
}

static struct member *next_target(struct member_table *table)
{
	struct member *member = next_in_order(table);

	if (member)
		return member;
	shuffle_probe_order(table);
	return next_in_order(table);
}

static struct member *random_alive(struct member_table *table,
				   const struct member *except)
{
	int i;

	if (!table->n_probe_order)
		shuffle_probe_order(table);
	for (i = 0; i < RANDOM_TRIES && table->n_probe_order; i++) {
		uint64_t at =
			table->ops->random(table->arg) % table->n_probe_order;
		struct member *member = table->probe_order[at];

		if (member && member != except &&
		    (member->status == MEMBER_ALIVE ||
		     member->status == MEMBER_LEAVING))
			return member;
	}
	return NULL;
}

void member_probe_burst(struct member_table *table, int n)
{
	int i;

	shuffle_probe_order(table);
	for (i = 0; i < n && i < table->n_probe_order; i++)
		member_send_ping(table, table->probe_order[i]);
}

static void probe_indirectly(struct member_table *table,
			     struct member_probe *probe)
{
	int i;

	probe->indirect = true;
	probe->check_at += table->probe_period * 3 / 5 * (1 + table->health);
	table->ops->check_address(table->arg, probe->member);
	for (i = 0; i < INDIRECT_PROBES; i++) {
		struct member *helper = random_alive(table, probe->member);

		if (helper)
			member_send_ping_request(table, helper, probe);
	}
}

static void probe_failed(struct member_table *table, struct member_probe *probe)
{
	struct member *member = probe->member;

	probe->member = NULL;
	if (member->last_heard > probe->sent_at)
		return;
	if (table->health < MEMBER_HEALTH_MAX)
		table->health++;
	member_mark_suspect(table, member);
	/* Starts a new round, which has all members of that data centre. */
	if (table->seeded)
		table->probe_order_pos = table->n_probe_order;
}

static void check_probe(struct member_table *table, struct member_probe *probe,
			int64_t now)
{
	if (!probe->member || probe->answered || now < probe->check_at)
		return;
	if (probe->relayed || !member_present(probe->member)) {
		if (probe->member->status == MEMBER_NAMED && !probe->relayed)
			table->ops->check_address(table->arg, probe->member);
		probe->member = NULL;
		return;
	}
	if (!probe->indirect)
		probe_indirectly(table, probe);
	else
		probe_failed(table, probe);
}

/*
 * If many members are unresponsive, the round may reach none that answers for
 * longer than the lease. Then the member that answered last is pinged again.
 */
static void renew_lease(struct member_table *table, int64_t now)
{
	struct member *member = table->last_acker;

	if (now - table->last_confirmed < table->lease / 2)
		return;
	if (!member || member->status == MEMBER_SUSPECT ||
	    !member_present(member) || now - member->last_heard > table->lease)
		member = random_alive(table, NULL);
	if (member)
		member_send_ping(table, member);
}

/* Whether more than a few of the listed members were never heard. */
static bool are_many_unheard(const struct member_table *table)
{
	int known = (int)HASH_COUNT(table->members);
	const struct member *member;
	int named = 0;

	for (member = table->members; member; member = member->hh.next)
		named += member->status == MEMBER_NAMED &&
			 !member->connection_refused;
	return named > known / SYNC_MISSING_DIVISOR + 1;
}

static bool needs_sync(const struct member_table *table, int64_t now)
{
	if (!table->synced || !table->complete)
		return true;
	if (table->seeded)
		return now - table->self.since < SYNC_SEEDED_WINDOW;
	return now - table->self.since < SYNC_START_WINDOW &&
	       are_many_unheard(table);
}

/*
 * A new instance requests all members from a peer, and repeats this with other
 * peers until one had them all: a peer that has just started itself may know no
 * one else, and when all start at the same time none of them knows many.
 */
static bool request_sync(struct member_table *table,
			 const struct member *member)
{
	if (table->seeded)
		return member_request_members(table, &member->peer_address);
	return member_send_members(table, &member->peer_address, true);
}

static void sync_if_needed(struct member_table *table, int64_t now)
{
	int64_t pause = SYNC_RETRY_PERIODS * table->probe_period;
	struct member *member;

	if (now < table->next_sync || !needs_sync(table, now))
		return;
	member = random_alive(table, NULL);
	if (!member || !request_sync(table, member))
		return;
	table->synced = true;
	if (table->seeded && table->complete && now - table->self.since > pause)
		pause = now - table->self.since;
	table->next_sync = now + pause;
}

void member_probe_tick(struct member_table *table)
{
	int64_t now = clock_now(table->clock);
	struct member *member;
	int i;

	for (i = 0; i < MEMBER_PROBES; i++)
		check_probe(table, &table->probes[i], now);
	sync_if_needed(table, now);
	if (now < table->next_probe)
		return;
	table->next_probe = now + table->probe_period * 9 / 10 +
			    (int64_t)(table->ops->random(table->arg) %
				      (table->probe_period / 5 + 1));
	member = next_target(table);
	if (member)
		member_send_ping(table, member);
	renew_lease(table, now);
}
