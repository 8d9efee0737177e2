/* Which instance of a data centre parts are given to. */
#include "relay_ask_private.h"

#include <string.h>

#include <utlist.h>

#include "directory.h"
#include "mem.h"

/*
 * A relay tells what is in at the flush time, even if that is nothing. One
 * that has not done so this long after it is late: it hangs, or the way to it
 * is cut, and parts go another way.
 */
#define LATE_AFTER MSEC(15)
/* What a relay costs is judged like a server's latency; nothing is usual. */
#define RELAY_SLOTS 64
#define RELAY_USUAL 30000.0

static struct relay_peer *peer_of(struct relay_ask *relay, const char *instance)
{
	struct relay_peer *peer;

	HASH_FIND_STR(relay->relays, instance, peer);
	if (peer)
		return peer;
	peer = mem_zalloc(sizeof(*peer));
	str_copy(peer->instance, sizeof(peer->instance), str_from(instance));
	HASH_ADD_STR(relay->relays, instance, peer);
	return peer;
}

bool relay_batch_is_late(const struct relay_batch *batch, int64_t now)
{
	/* Told each result at once, it says nothing before the first. */
	return !batch->heard && batch->flush_after &&
	       now > batch->told_at + batch->flush_after + LATE_AFTER;
}

static bool has_late_job(const struct relay_ask *relay,
			 const struct relay_peer *peer, int64_t now)
{
	const struct relay_batch *batch;

	for (batch = relay->jobs; batch; batch = batch->hh.next) {
		if (batch->peer == peer && relay_batch_is_late(batch, now))
			return true;
	}
	return false;
}

static double cost_of(const struct relay_ask *relay,
		      const struct relay_peer *peer, int64_t now)
{
	static const struct server_traits traits = {.slots = RELAY_SLOTS,
						    .usual = RELAY_USUAL};

	if (has_late_job(relay, peer, now))
		return SERVER_COST_AVOID;
	return server_score_cost(&peer->score, &traits, now);
}

/* The instance at the other end of a link, if it may relay there; or NULL. */
static const struct fleet_member *relay_at(struct relay_ask *relay,
					   const struct peer_link *link,
					   const char *data_centre)
{
	const struct fleet_member *member;

	if (!link->outgoing || !link->up || link->closed)
		return NULL;
	member = fleet_find(&relay->board->fleet, str_from(link->instance));
	if (!member || member->status != FLEET_ALIVE ||
	    strcmp(member->data_centre, data_centre) ||
	    !relay->usable(relay->arg, member))
		return NULL;
	return member;
}

static uint32_t most_capacity(struct relay_ask *relay, const char *data_centre)
{
	const struct peer_link *link;
	uint32_t most = 0;

	DL_FOREACH (relay->peers->links, link) {
		const struct fleet_member *member =
			relay_at(relay, link, data_centre);

		if (member && member->capacity > most)
			most = member->capacity;
	}
	return most;
}

struct relay_peer *relay_peer_choose(struct relay_ask *relay,
				     const char *data_centre)
{
	uint32_t most = most_capacity(relay, data_centre);
	int64_t now = clock_now(relay->board->clock);
	const struct peer_link *link;
	struct relay_peer *best = NULL;
	double least = SERVER_COST_AVOID;

	DL_FOREACH (relay->peers->links, link) {
		const struct fleet_member *member =
			relay_at(relay, link, data_centre);
		struct relay_peer *peer;
		double cost;

		if (!member || !directory_is_large(member->capacity, most))
			continue;
		peer = peer_of(relay, member->instance);
		cost = cost_of(relay, peer, now);
		if (cost >= least)
			continue;
		least = cost;
		best = peer;
	}
	return best;
}

struct relay_peer *relay_peer_find(struct relay_ask *relay,
				   const char *data_centre,
				   const char *instance)
{
	const struct peer_link *link;

	DL_FOREACH (relay->peers->links, link) {
		if (!strcmp(link->instance, instance) &&
		    relay_at(relay, link, data_centre))
			return peer_of(relay, instance);
	}
	return NULL;
}
