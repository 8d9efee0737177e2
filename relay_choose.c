/* Chooses the relay in a data centre. */
#include "relay_ask_private.h"

#include <string.h>

#include <utlist.h>

#include "directory.h"
#include "mem.h"

/*
 * A relay sends a message at the flush time, even without results. If none has
 * come this long after it, the relay hangs or is cut off and is not used.
 */
#define LATE_TOLERANCE MSEC(15)
/* Traits that score relays like servers; no service latency is known here. */
#define RELAY_SLOTS 64
#define RELAY_USUAL_LATENCY 30000.0 /* microseconds */

static struct relay_peer *get_peer(struct relay_ask *relay,
				   const char *instance)
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
	/* Without a flush time, nothing is due before the first result. */
	return !batch->answered && batch->flush_after &&
	       now > batch->sent_at + batch->flush_after + LATE_TOLERANCE;
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

static double get_peer_cost(const struct relay_ask *relay,
			    const struct relay_peer *peer, int64_t now)
{
	static const struct server_traits traits = {
		.slots = RELAY_SLOTS, .service_latency = RELAY_USUAL_LATENCY};

	if (has_late_job(relay, peer, now))
		return SERVER_COST_AVOID;
	return server_score_cost(&peer->score, &traits, now);
}

/* Returns the instance that a link leads to, NULL if it is no usable relay. */
static const struct fleet_member *
find_usable_relay(struct relay_ask *relay, const struct peer_link *link,
		  const char *data_centre)
{
	const struct fleet_member *member;

	if (!link->outgoing || !link->up || link->closed)
		return NULL;
	member = fleet_find(&relay->board->fleet, str_from(link->instance));
	if (!member || member->status != FLEET_ALIVE ||
	    strcmp(member->data_centre, data_centre) ||
	    !relay->is_usable(relay->arg, member))
		return NULL;
	return member;
}

static uint32_t get_max_capacity(struct relay_ask *relay,
				 const char *data_centre)
{
	const struct peer_link *link;
	uint32_t max_capacity = 0;

	DL_FOREACH (relay->peers->links, link) {
		const struct fleet_member *member =
			find_usable_relay(relay, link, data_centre);

		if (member && member->capacity > max_capacity)
			max_capacity = member->capacity;
	}
	return max_capacity;
}

struct relay_peer *relay_peer_choose(struct relay_ask *relay,
				     const char *data_centre)
{
	uint32_t max_capacity = get_max_capacity(relay, data_centre);
	int64_t now = clock_now(relay->board->clock);
	const struct peer_link *link;
	struct relay_peer *best_peer = NULL;
	double lowest_cost = SERVER_COST_AVOID;

	DL_FOREACH (relay->peers->links, link) {
		const struct fleet_member *member =
			find_usable_relay(relay, link, data_centre);
		struct relay_peer *peer;
		double cost;

		if (!member ||
		    !directory_is_large(member->capacity, max_capacity))
			continue;
		peer = get_peer(relay, member->instance);
		cost = get_peer_cost(relay, peer, now);
		if (cost >= lowest_cost)
			continue;
		lowest_cost = cost;
		best_peer = peer;
	}
	return best_peer;
}

struct relay_peer *relay_peer_find(struct relay_ask *relay,
				   const char *data_centre,
				   const char *instance)
{
	const struct peer_link *link;

	DL_FOREACH (relay->peers->links, link) {
		if (!strcmp(link->instance, instance) &&
		    find_usable_relay(relay, link, data_centre))
			return get_peer(relay, instance);
	}
	return NULL;
}
