/* Heartbeats: who is asked when, and what silence means. */
#include "member.h"

#include <string.h>

#include "clock.h"
#include "mem.h"
#include "member_private.h"

#define HELPERS 3 /* asked to ping a member that did not answer us */
#define RANDOM_TRIES 16
/*
 * Of the members asked in a round, those of other data centres are so many and
 * this share of the neighbours, however many they are. With fewer, a small
 * fleet notices later that a whole data centre is silent.
 */
#define FAR_LEAST 5
#define FAR_SHARE 0.25
#define SYNC_RETRY_PERIODS 4
#define SYNC_START MSEC(120000)
#define SYNC_MISSING_PART 100
/*
 * Known from seeds, an instance asks for the whole list again while others may
 * still start, each time after twice as long.
 */
#define SYNC_SEEDED MSEC(20000)

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
	for (i = 0; i < table->n_order; i++) {
		if (table->order[i] == member)
			table->order[i] = NULL;
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
 * One that is gone is asked while the list names it: two sides of a cut may
 * hold each other for gone, and nobody else would tell them.
 */
static bool worth_asking(const struct member_table *table,
			 const struct member *member)
{
	return member->status != MEMBER_GONE || member->listed || table->seeded;
}

/* Members that are alive, of this data centre and of others. */
struct spread_of_members {
	int near;
	int far;
};

static struct spread_of_members count_alive(const struct member_table *table)
{
	struct spread_of_members n = {0, 0};
	const struct member *member;

	for (member = table->members; member; member = member->hh.next) {
		if (member->status != MEMBER_ALIVE)
			continue;
		if (member->dc_hash == table->self.dc_hash)
			n.near++;
		else
			n.far++;
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
 * Where members come by news alone and no lease hangs on an answer, one of
 * another data centre is asked less often: its own neighbours ask it, and bytes
 * between data centres are dear. Once one is suspected all there are asked, for
 * they may be cut off or lost together.
 */
static bool is_passed_over(const struct member_table *table,
			   const struct member *member,
			   const struct spread_of_members *n)
{
	if (!table->seeded || n->near < MEMBER_LOCAL_MIN ||
	    member->status != MEMBER_ALIVE ||
	    member->dc_hash == table->self.dc_hash)
		return false;
	if (has_suspect(table, member->dc_hash))
		return false;
	return (double)(table->ops->random(table->arg) % (uint64_t)n->far) >=
	       FAR_LEAST + FAR_SHARE * n->near;
}

static void shuffle(struct member_table *table)
{
	const struct spread_of_members n = count_alive(table);
	struct member *member;
	int i;

	table->n_near = n.near;
	table->n_order = 0;
	table->at_order = 0;
	for (member = table->members; member; member = member->hh.next) {
		if (!worth_asking(table, member) ||
		    is_passed_over(table, member, &n))
			continue;
		MEM_GROW(table->order, table->n_order, table->cap_order);
		table->order[table->n_order++] = member;
	}
	for (i = table->n_order - 1; i > 0; i--)
		swap(&table->order[i],
		     &table->order[table->ops->random(table->arg) % (i + 1)]);
}

static struct member *next_in_order(struct member_table *table)
{
	while (table->at_order < table->n_order) {
		struct member *member = table->order[table->at_order++];

		if (member && worth_asking(table, member))
			return member;
	}
	return NULL;
}

static struct member *next_target(struct member_table *table)
{
	struct member *member = next_in_order(table);

	if (member)
		return member;
	shuffle(table);
	return next_in_order(table);
}

static struct member *random_alive(struct member_table *table,
				   const struct member *except)
{
	int i;

	if (!table->n_order)
		shuffle(table);
	for (i = 0; i < RANDOM_TRIES && table->n_order; i++) {
		uint64_t at = table->ops->random(table->arg) % table->n_order;
		struct member *member = table->order[at];

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

	shuffle(table);
	for (i = 0; i < n && i < table->n_order; i++)
		member_send_ping(table, table->order[i]);
}

static void ask_helpers(struct member_table *table, struct member_probe *probe)
{
	int i;

	probe->indirect = true;
	probe->judge_at += table->probe_period * 3 / 5 * (1 + table->health);
	table->ops->check_address(table->arg, probe->member);
	for (i = 0; i < HELPERS; i++) {
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
	/* The order is made anew, with all of that data centre. */
	if (table->seeded)
		table->at_order = table->n_order;
}

static void judge(struct member_table *table, struct member_probe *probe,
		  int64_t now)
{
	if (!probe->member || probe->answered || now < probe->judge_at)
		return;
	if (probe->relayed || !member_present(probe->member)) {
		if (probe->member->status == MEMBER_NAMED && !probe->relayed)
			table->ops->check_address(table->arg, probe->member);
		probe->member = NULL;
		return;
	}
	if (!probe->indirect)
		ask_helpers(table, probe);
	else
		probe_failed(table, probe);
}

/*
 * With many members silent, the round-robin may find none that answers for
 * longer than the lease: then the one that did last is asked again.
 */
static void keep_lease(struct member_table *table, int64_t now)
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

/* Of the members that the list names, more than a few were never heard. */
static bool misses_many(const struct member_table *table)
{
	int known = (int)HASH_COUNT(table->members);
	const struct member *member;
	int named = 0;

	for (member = table->members; member; member = member->hh.next)
		named += member->status == MEMBER_NAMED && !member->refused;
	return named > known / SYNC_MISSING_PART + 1;
}

static bool wants_sync(const struct member_table *table, int64_t now)
{
	if (!table->synced || !table->complete)
		return true;
	if (table->seeded)
		return now - table->self.since < SYNC_SEEDED;
	return now - table->self.since < SYNC_START && misses_many(table);
}

/*
 * A new member asks one peer for all members, and others until somebody knew
 * them all: two that both just started may know nobody else, and when all
 * start at once nobody knows many.
 */
static bool sync(struct member_table *table, const struct member *member)
{
	if (table->seeded)
		return member_request_members(table, &member->peer_address);
	return member_send_members(table, &member->peer_address, true);
}

static void keep_synced(struct member_table *table, int64_t now)
{
	int64_t pause = SYNC_RETRY_PERIODS * table->probe_period;
	struct member *member;

	if (now < table->next_sync || !wants_sync(table, now))
		return;
	member = random_alive(table, NULL);
	if (!member || !sync(table, member))
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
		judge(table, &table->probes[i], now);
	keep_synced(table, now);
	if (now < table->next_probe)
		return;
	table->next_probe = now + table->probe_period * 9 / 10 +
			    (int64_t)(table->ops->random(table->arg) %
				      (table->probe_period / 5 + 1));
	member = next_target(table);
	if (member)
		member_send_ping(table, member);
	keep_lease(table, now);
}
