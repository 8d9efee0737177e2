#define LOG_MODULE "view_share"
#include "view_share.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "view_compress.h"
#include "view_apply.h"
#include "view_send.h"
#include "view_update.h"

/*
 * Maximum age of the view of servers before an instance reads the store, by
 * rank. Drains must reach all instances within 3 s. Views read by the first
 * instance arrive before they are 0.9 s old, so the second does not read at the
 * same time. Five instances may fail or be refused before a view is older than
 * 1.6 s, which is less than an outage in which entries expire. The age grows by
 * VIEW_AGE_STEP per rank up to KNEE_RANK, then by VIEW_AGE_TAIL_STEP.
 */
#define VIEW_AGE_RANK_1 MSEC(1100)
#define VIEW_AGE_STEP MSEC(100)
#define VIEW_AGE_KNEE MSEC(1600)
/*
 * Beyond KNEE_RANK the instances of a large fleet must not all read at once
 * before the view that one of them read arrives. An answer takes up to 0.1 s
 * plus its distribution, during which 20 others start to read. The last of 295
 * instances reads at 3.4 s; such a fleet must stop using a draining server
 * within 6 s.
 */
#define KNEE_RANK 6
#define VIEW_AGE_TAIL_STEP MSEC(6)
#define VIEW_AGE_MAX MSEC(3400)
/*
 * Ages at which the view is requested from a hub, before the store is read: the
 * connection that delivers it may be dead. A reader sends every 0.5 s.
 */
#define SERVERS_REQUEST_AGE MSEC(1000)
#define ROUTES_REQUEST_AGE MSEC(1500)
/* Minimum time between messages that only confirm an unchanged view. */
#define CONFIRM_INTERVAL MSEC(100)
/* Time after which an unanswered request is repeated. */
#define REQUEST_RETRY MSEC(200)
/* Limit for complete views: 0.4 MB per period with 400 servers. */
#define SNAPSHOT_PERIOD MSEC(100)
#define SNAPSHOTS_PER_PERIOD 6

void view_share_init(struct view_share *share, const struct clock *clock,
		     const struct view_share_ops *ops, void *arg,
		     struct store_sync *sync, const char *instance,
		     const char *data_centre)
{
	memset(share, 0, sizeof(*share));
	share->clock = clock;
	share->ops = ops;
	share->arg = arg;
	share->sync = sync;
	str_copy(share->instance, sizeof(share->instance), str_from(instance));
	str_copy(share->data_centre, sizeof(share->data_centre),
		 str_from(data_centre));
	share->failure_at = INT64_MIN / 2;
	share->requested_at = INT64_MIN / 2;
	share->snapshot_period_start = INT64_MIN / 2;
}

void view_share_finish(struct view_share *share)
{
	free(share->members);
	free(share->snapshot.packed);
}

static int64_t max_view_age(int rank)
{
	int64_t age;

	if (!rank)
		return 0;
	age = VIEW_AGE_RANK_1 + (rank - 1) * VIEW_AGE_STEP;
	if (age <= VIEW_AGE_KNEE)
		return age;
	age = VIEW_AGE_KNEE + (rank - KNEE_RANK) * VIEW_AGE_TAIL_STEP;
	return age < VIEW_AGE_MAX ? age : VIEW_AGE_MAX;
}

static void update_rank(struct view_share *share)
{
	int i;

	share->rank = 0;
	for (i = 0; i < share->n_members; i++) {
		if (!strcmp(share->members[i].instance, share->instance))
			share->rank = i;
	}
	store_sync_set_max_view_age(share->sync, max_view_age(share->rank),
				    share->rank);
}

void view_share_set_members(struct view_share *share, const struct fleet *fleet)
{
	const struct fleet_member *member;
	struct hub_member *entry;
	int before = share->rank;

	share->n_members = 0;
	for (member = fleet->members; member; member = member->hh.next) {
		if (member->status != FLEET_ALIVE)
			continue;
		MEM_GROW(share->members, share->n_members, share->cap_members);
		entry = &share->members[share->n_members++];
		memcpy(entry->instance, member->instance,
		       sizeof(entry->instance));
		memcpy(entry->data_centre, member->data_centre,
		       sizeof(entry->data_centre));
		entry->capacity = member->capacity;
		entry->score = str_hash(str_from(member->instance));
	}
	hubs_choose(share->members, share->n_members);
	update_rank(share);
	if (share->rank != before)
		LOG_INFO("reader_rank", LOG_I64("rank", share->rank),
			 LOG_I64("before", before),
			 LOG_I64("alive", share->n_members));
}

/*
 * What this instance knew before a new era is not recorded as a change, but may
 * be new to others: they must first get a complete view.
 */
void view_share_follow_era(struct view_share *share)
{
	if (share->era == share->sync->era)
		return;
	share->era = share->sync->era;
	share->sent_revision = 0;
	share->sent_changes = share->n_changes;
	share->last_change = 0;
	free(share->snapshot.packed);
	share->snapshot.packed = NULL;
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void view_share_record_change(struct view_share *share, const char *id,
			      uint64_t changed_at, bool removed)
{
	uint64_t at = share->sync->feeds[STORE_SERVERS].revision;
	struct view_change *change;

	view_share_follow_era(share);
	change = &share->changes[share->n_changes++ % VIEW_CHANGES_MAX];
	str_copy(change->id, sizeof(change->id), str_from(id));
	/* A change that was held back is applied after its own revision. */
	share->last_change =
		max_u64(max_u64(changed_at, at + 1), share->last_change);
	change->view_revision = share->last_change;
	change->changed_at = changed_at;
	change->removed = removed;
}

static void mark_sent(struct view_share *share)
{
	share->sent_version = share->sync->routes->version;
	share->sent_revision = share->sync->feeds[STORE_SERVERS].revision;
	share->sent_changes = share->n_changes;
	share->sent_cordons = share->sync->registry->cordons.n_changes;
}

/*
 * Begins a message of all changes since the revision that was sent last. Some
 * of them may have been in the last message, too: those that are newer than the
 * revision it stated. Members that missed it could not know. If not all are
 * recorded, the message builds on the present revision, so that every member
 * that lacks changes requests them.
 */
static void begin_changes(struct view_share *share, struct view_update *update)
{
	uint64_t from = share->sent_revision;
	int n = view_update_count_changes(share, from);

	if (n < 0) {
		from = max_u64(share->sync->feeds[STORE_SERVERS].revision,
			       share->last_change);
		n = 0;
	}
	view_update_changes(share, update, from, n);
}

void view_share_publish(struct view_share *share)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];
	const struct route_set *routes = share->sync->routes;
	int64_t now = clock_now(share->clock);
	const struct cordon_set *cordons = &share->sync->registry->cordons;
	bool new_routes = routes && routes->version != share->sent_version;
	struct view_update update;
	bool whole;

	/*
	 * A view that holds back removals differs from the store. Members that
	 * treated it as fresh would not read the store and would keep using
	 * removed servers.
	 */
	view_share_follow_era(share);
	if (!routes || feed->fresh_at < 0 || !feed->revision ||
	    server_view_holds_back(&share->sync->servers))
		return;
	/*
	 * When many instances start at once, each reads for itself. Only the
	 * first in rank sends a complete view; members that lack changes of the
	 * others request them.
	 */
	whole = !share->sent_revision && !share->rank;
	if (!share->sent_revision && share->rank) {
		mark_sent(share);
		new_routes = false;
	}
	if (!new_routes && share->n_changes == share->sent_changes &&
	    cordons->n_changes == share->sent_cordons &&
	    now - share->last_sent_at < CONFIRM_INTERVAL)
		return;
	if (whole)
		view_update_snapshot(share, &update);
	else
		begin_changes(share, &update);
	view_update_add_state(share, &update, new_routes);
	view_send_all(share, &update);
	view_update_finish(&update);
	mark_sent(share);
	share->last_sent_at = now;
}

void view_share_publish_failure(struct view_share *share)
{
	struct view_update update;

	if (share->failure_at > share->sync->reached_at)
		return;
	share->failure_at = clock_now(share->clock);
	view_update_failure(share, &update);
	view_send_all(share, &update);
	view_update_finish(&update);
}

/*
 * When hundreds of instances start at once, all of them send requests to the
 * first that has a view. Those that get no answer retry, by then with others.
 */
static bool may_send_snapshot(struct view_share *share)
{
	int64_t now = clock_now(share->clock);

	if (now - share->snapshot_period_start >= SNAPSHOT_PERIOD) {
		share->snapshot_period_start = now;
		share->n_snapshots = 0;
	}
	return share->n_snapshots++ < SNAPSHOTS_PER_PERIOD;
}

static bool is_snapshot_current(const struct view_share *share)
{
	const struct view_snapshot *snapshot = &share->snapshot;

	return snapshot->packed && snapshot->n_changes == share->n_changes &&
	       snapshot->version == share->sync->routes->version;
}

/* Moves the compressed data from @update to the cache. */
static void cache_snapshot(struct view_share *share, struct view_update *update)
{
	struct view_snapshot *snapshot = &share->snapshot;

	free(snapshot->packed);
	snapshot->packed = update->packed;
	snapshot->len = update->message.packed.len;
	snapshot->size = update->message.packed_size;
	snapshot->n_changes = share->n_changes;
	snapshot->version = share->sync->routes->version;
	update->packed = NULL;
}

static void send_cached_snapshot(struct view_share *share, const char *member)
{
	struct view_update update = {.packed = NULL};

	peer__view_update__init(&update.message);
	update.message.whole = true;
	view_update_fill_ages(share, &update);
	update.message.packed.data = share->snapshot.packed;
	update.message.packed.len = share->snapshot.len;
	update.message.packed_size = share->snapshot.size;
	view_send_member(share, member, &update);
}

static void send_snapshot(struct view_share *share, const char *member)
{
	struct view_update update;

	if (!share->sync->routes ||
	    share->sync->feeds[STORE_SERVERS].fresh_at < 0 ||
	    !may_send_snapshot(share))
		return;
	if (is_snapshot_current(share)) {
		send_cached_snapshot(share, member);
		return;
	}
	view_update_snapshot(share, &update);
	view_update_add_state(share, &update, true);
	view_send_member(share, member, &update);
	cache_snapshot(share, &update);
	view_update_finish(&update);
}

/* @n: changes that are sent; below 0: a complete view is. */
static void log_requested(const struct view_share *share, const char *member,
			  const Peer__ViewRequest *message, int n)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];

	LOG_INFO("view_requested", LOG_TEXT("peer", member),
		 LOG_U64("since", message->servers_at), LOG_I64("changes", n),
		 LOG_U64("history_from", feed->gap_to),
		 LOG_U64("store_revision", feed->revision));
}

void view_share_request(struct view_share *share, const char *member,
			const Peer__ViewRequest *message)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];
	struct view_update update;
	int n;

	if (message->store_era)
		store_sync_enter_era(share->sync, message->store_era,
				     message->servers_at, member);
	view_share_follow_era(share);
	/* A view without a revision is useless to a member that has one. */
	if (message->servers_at && !feed->revision)
		return;
	n = view_update_count_changes(share, message->servers_at);
	if (!message->servers_at || message->store_era != share->sync->era)
		n = -1;
	log_requested(share, member, message, n);
	if (n < 0) {
		send_snapshot(share, member);
		return;
	}
	view_update_changes(share, &update, message->servers_at, n);
	view_update_add_state(share, &update,
			      share->sync->routes &&
				      share->sync->routes->version >
					      message->routes_version);
	view_send_member(share, member, &update);
	view_update_finish(&update);
}

/* @whole: request a complete view. Return: whether @member can be reached. */
static bool request_view(struct view_share *share, const char *member,
			 bool whole)
{
	Peer__ViewRequest request = PEER__VIEW_REQUEST__INIT;
	const struct route_set *routes = share->sync->routes;

	request.routes_version = routes ? routes->version : 0;
	request.store_era = share->sync->era;
	if (!whole)
		request.servers_at = share->sync->feeds[STORE_SERVERS].revision;
	share->requested_at = clock_now(share->clock);
	return share->ops->request(share->arg, member, &request);
}

/*
 * Without a view, each message of a member shows that changes are missing; only
 * one request is sent at a time.
 */
static bool may_request(const struct view_share *share)
{
	return store_sync_ready(share->sync) ||
	       clock_now(share->clock) - share->requested_at >= REQUEST_RETRY;
}

void view_share_member_reachable(struct view_share *share, const char *member)
{
	if (!store_sync_ready(share->sync) && may_request(share))
		request_view(share, member, false);
}

static bool is_view_old(const struct view_share *share)
{
	const struct store_feed *feeds = share->sync->feeds;
	int64_t now = clock_now(share->clock);

	return feeds[STORE_ROUTES].fresh_at < now - ROUTES_REQUEST_AGE ||
	       feeds[STORE_SERVERS].fresh_at < now - SERVERS_REQUEST_AGE;
}

void view_share_tick(struct view_share *share)
{
	int i;

	bool whole = server_view_needs_full_list(&share->sync->servers);

	if (!store_sync_ready(share->sync) || (!is_view_old(share) && !whole))
		return;
	/* Rotates, as the member asked before may not answer. */
	for (i = 0; i < share->n_members; i++) {
		const struct hub_member *member =
			&share->members[share->next_request++ %
					(unsigned int)share->n_members];

		if (member->is_hub &&
		    strcmp(member->instance, share->instance) &&
		    request_view(share, member->instance, whole))
			return;
	}
}

static void forward_update(struct view_share *share, const char *member,
			   const Peer__ViewUpdate *message)
{
	struct view_update update = {.message = *message};
	bool spread = message->spread;

	view_send_data_centre(share, &update, member);
	if (spread)
		view_send_other_centres(share, &update);
}

static void log_received(const struct view_share *share, const char *member,
			 const Peer__ViewUpdate *message, int ret)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];

	if (!message->whole && !ret)
		return;
	LOG_INFO("view_received", LOG_TEXT("peer", member),
		 LOG_I64("whole", message->whole),
		 LOG_TEXT("error", error_name(ret)),
		 LOG_U64("from", message->servers_from),
		 LOG_U64("peer_revision", message->servers_at),
		 LOG_U64("store_revision", feed->revision),
		 LOG_I64("held_back",
			 server_view_holds_back(&share->sync->servers)));
}

int view_share_update(struct view_share *share, const char *member,
		      const Peer__ViewUpdate *message)
{
	bool was_ready = store_sync_ready(share->sync);
	uint64_t era = share->sync->era;
	Peer__ViewBody *body;
	int ret = view_decompress(message, &body);

	if (ret) {
		LOG_WARN("view_refused", LOG_TEXT("peer", member),
			 LOG_U64("bytes", message->packed.len));
		return ret;
	}
	share->updates_in++;
	ret = view_apply(share, member, message, body);
	if (body)
		peer__view_body__free_unpacked(body, NULL);
	log_received(share, member, message, ret);
	/*
	 * If this instance already had a view of the same era, so has its data
	 * centre: a complete view need not be forwarded.
	 */
	if (message->forward &&
	    !(message->whole && was_ready && era == share->sync->era))
		forward_update(share, member, message);
	/* What came from other members need not be sent back. */
	if (!share->sent_revision && store_sync_ready(share->sync))
		mark_sent(share);
	if ((ret == ERR_VERSION || ret == ERR_CONFLICT) && may_request(share))
		request_view(share, member, ret == ERR_CONFLICT);
	return ret;
}
