#define LOG_MODULE "view_share"
#include "view_share.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "view_pack.h"
#include "view_take.h"
#include "view_tell.h"
#include "view_update.h"

/*
 * How old the view may get before the store is read, by rank. What the first
 * reads is told before it is 1.3 s old, so that the second does not read while
 * the first does; and five may be lost or refused before a view is older than
 * 2.2 s. Routes and drains must be known everywhere within 3 s.
 */
#define PATIENCE_SECOND MSEC(1700)
#define PATIENCE_STEP MSEC(100)
#define PATIENCE_MOST MSEC(2200)
/*
 * In a large fleet the rest must not read all at the same moment, before they
 * hear from the first of them that did: an answer takes 0.1 s at most, and its
 * way to all some more, in which 20 others begin. The last of 295 reads at 4 s:
 * such a fleet must leave a server that drains within 6 s.
 */
#define RANKS_SOON 6
#define PATIENCE_SPREAD MSEC(6)
#define PATIENCE_LAST MSEC(4000)
/*
 * A view so old is asked for, before it is read from the store: the connection
 * that it is told on may have gone silent. Who reads tells each 0.9 s.
 */
#define VIEW_OLD MSEC(1500)
/* Nothing new: that it is still so is told no oftener than this. */
#define TELL_PERIOD MSEC(100)
/* A member that was asked for its view and has not answered. */
#define ASK_AGAIN MSEC(200)
/* So many whole views are told in a time: 0.4 MB at 400 servers. */
#define WHOLE_PERIOD MSEC(100)
#define WHOLE_MOST 6

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
	share->asked_at = INT64_MIN / 2;
	share->whole_since = INT64_MIN / 2;
}

void view_share_finish(struct view_share *share)
{
	free(share->members);
	free(share->kept.packed);
}

static int64_t patience_of(int rank)
{
	int64_t patience;

	if (!rank)
		return 0;
	patience = PATIENCE_SECOND + (rank - 1) * PATIENCE_STEP;
	if (patience <= PATIENCE_MOST)
		return patience;
	patience = PATIENCE_MOST + (rank - RANKS_SOON) * PATIENCE_SPREAD;
	return patience < PATIENCE_LAST ? patience : PATIENCE_LAST;
}

static void find_rank(struct view_share *share)
{
	int i;

	share->rank = 0;
	for (i = 0; i < share->n_members; i++) {
		if (!strcmp(share->members[i].instance, share->instance))
			share->rank = i;
	}
	store_sync_set_max_view_age(share->sync, patience_of(share->rank),
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
	find_rank(share);
	if (share->rank != before)
		LOG_INFO("reader_rank", LOG_I64("rank", share->rank),
			 LOG_I64("before", before),
			 LOG_I64("alive", share->n_members));
}

/*
 * In a new era, what this instance knew already is no change here, and may be
 * one for others: they must begin with a whole view.
 */
void view_share_follow_era(struct view_share *share)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];

	if (share->era != share->sync->era) {
		share->era = share->sync->era;
		share->complete_at = UINT64_MAX;
		share->told_at = 0;
		share->told_changes = share->n_changes;
		share->last_change = 0;
		free(share->kept.packed);
		share->kept.packed = NULL;
	}
	if (share->complete_at == UINT64_MAX && feed->listed)
		share->complete_at = feed->at;
}

static uint64_t max(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

void view_share_record_change(struct view_share *share, const char *id,
			      uint64_t changed_at, bool removed)
{
	uint64_t at = share->sync->feeds[STORE_SERVERS].at;
	struct view_change *change;

	view_share_follow_era(share);
	change = &share->changes[share->n_changes++ % VIEW_CHANGES_MAX];
	str_copy(change->id, sizeof(change->id), str_from(id));
	/* One that was held back comes later than its revision. */
	share->last_change = max(max(changed_at, at + 1), share->last_change);
	change->at = share->last_change;
	change->changed_at = changed_at;
	change->removed = removed;
}

static void mark_told(struct view_share *share)
{
	share->told_version = share->sync->routes->version;
	share->told_at = share->sync->feeds[STORE_SERVERS].at;
	share->told_changes = share->n_changes;
	share->told_cordons = share->sync->registry->cordons.n_changes;
}

/*
 * Which revision a message of the last @n changes builds on. If more than are
 * kept came since the last message, it has none, and all who lack some ask.
 */
static uint64_t told_from(const struct view_share *share, int n)
{
	if ((uint64_t)n < share->n_changes - share->told_changes)
		return max(share->sync->feeds[STORE_SERVERS].at,
			   share->last_change);
	return share->told_at;
}

void view_share_publish(struct view_share *share)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];
	const struct route_set *routes = share->sync->routes;
	int64_t now = clock_now(share->clock);
	const struct cordons *cordons = &share->sync->registry->cordons;
	bool news = routes && routes->version != share->told_version;
	struct view_update update;
	bool whole;
	int n;

	/*
	 * A view that holds back removals is not the store's: those that took
	 * it for fresh would not read, and not leave servers that left.
	 */
	view_share_follow_era(share);
	if (!routes || feed->fresh_at < 0 || !feed->at ||
	    server_view_holds_back(&share->sync->servers))
		return;
	/*
	 * At the start of many at once each reads for itself. Only the first in
	 * rank tells all that it has; of the others, who is not as far asks.
	 */
	whole = !share->told_at && !share->rank;
	if (!share->told_at && share->rank) {
		mark_told(share);
		news = false;
	}
	n = (int)(share->n_changes - share->told_changes);
	if (!news && !n && cordons->n_changes == share->told_cordons &&
	    now - share->told_time < TELL_PERIOD)
		return;
	if (n > VIEW_CHANGES_MAX)
		n = 0;
	if (whole)
		view_update_snapshot(share, &update);
	else
		view_update_changes(share, &update, told_from(share, n), n);
	view_update_add_state(share, &update, news);
	view_send_all(share, &update);
	view_update_finish(&update);
	mark_told(share);
	share->told_time = now;
}

/*
 * Where hundreds start at once, the first that knows is asked by all of them.
 * Who gets no answer asks again, and soon others know too.
 */
static bool may_tell_whole(struct view_share *share)
{
	int64_t now = clock_now(share->clock);

	if (now - share->whole_since >= WHOLE_PERIOD) {
		share->whole_since = now;
		share->n_whole = 0;
	}
	return share->n_whole++ < WHOLE_MOST;
}

static bool is_kept(const struct view_share *share)
{
	const struct view_snapshot *kept = &share->kept;

	return kept->packed && kept->n_changes == share->n_changes &&
	       kept->version == share->sync->routes->version;
}

/* Takes the packed rows over from @update, to be told again. */
static void keep_whole(struct view_share *share, struct view_update *update)
{
	struct view_snapshot *kept = &share->kept;

	free(kept->packed);
	kept->packed = update->packed;
	kept->len = update->message.packed.len;
	kept->size = update->message.packed_size;
	kept->n_changes = share->n_changes;
	kept->version = share->sync->routes->version;
	update->packed = NULL;
}

static void tell_kept(struct view_share *share, const char *member)
{
	struct view_update update = {.packed = NULL};

	peer__view_update__init(&update.message);
	update.message.whole = true;
	view_update_fill_ages(share, &update);
	update.message.packed.data = share->kept.packed;
	update.message.packed.len = share->kept.len;
	update.message.packed_size = share->kept.size;
	view_send_member(share, member, &update);
}

static void tell_whole(struct view_share *share, const char *member)
{
	struct view_update update;

	if (!share->sync->routes ||
	    share->sync->feeds[STORE_SERVERS].fresh_at < 0 ||
	    !may_tell_whole(share))
		return;
	if (is_kept(share)) {
		tell_kept(share, member);
		return;
	}
	view_update_snapshot(share, &update);
	view_update_add_state(share, &update, true);
	view_send_member(share, member, &update);
	keep_whole(share, &update);
	view_update_finish(&update);
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
	/* Who has a view has no use for one that is of no revision. */
	if (message->servers_at && !feed->at)
		return;
	n = view_update_count_changes(share, message->servers_at);
	if (!message->servers_at || message->store_era != share->sync->era ||
	    n < 0) {
		tell_whole(share, member);
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

/* Return: whether there is a way to it. */
static bool ask(struct view_share *share, const char *member, bool whole)
{
	Peer__ViewRequest request = PEER__VIEW_REQUEST__INIT;
	const struct route_set *routes = share->sync->routes;

	request.routes_version = routes ? routes->version : 0;
	request.store_era = share->sync->era;
	if (!whole)
		request.servers_at = share->sync->feeds[STORE_SERVERS].at;
	share->asked_at = clock_now(share->clock);
	return share->ops->request(share->arg, member, &request);
}

/* Without a view all that tell of theirs have more, and one is asked. */
static bool may_ask(const struct view_share *share)
{
	return store_sync_ready(share->sync) ||
	       clock_now(share->clock) - share->asked_at >= ASK_AGAIN;
}

void view_share_member_reachable(struct view_share *share, const char *member)
{
	if (!store_sync_ready(share->sync) && may_ask(share))
		ask(share, member, false);
}

static bool is_old(const struct view_share *share)
{
	const struct store_feed *feeds = share->sync->feeds;
	int64_t limit = clock_now(share->clock) - VIEW_OLD;

	return feeds[STORE_ROUTES].fresh_at < limit ||
	       feeds[STORE_SERVERS].fresh_at < limit;
}

void view_share_tick(struct view_share *share)
{
	int i;

	bool whole = server_view_needs_full_list(&share->sync->servers);

	if (!store_sync_ready(share->sync) || (!is_old(share) && !whole))
		return;
	/* Another one each time: whom it asked may not be reached. */
	for (i = 0; i < share->n_members; i++) {
		const struct hub_member *member =
			&share->members[share->asked_next++ %
					(unsigned int)share->n_members];

		if (member->is_hub &&
		    strcmp(member->instance, share->instance) &&
		    ask(share, member->instance, whole))
			return;
	}
}

static void pass_on(struct view_share *share, const char *member,
		    const Peer__ViewUpdate *message)
{
	struct view_update update = {.message = *message};
	bool spread = message->spread;

	view_send_data_centre(share, &update, member);
	if (spread)
		view_send_other_centres(share, &update);
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
	/* A whole view that is no news here is none in this data centre. */
	if (message->forward &&
	    !(message->whole && was_ready && era == share->sync->era))
		pass_on(share, member, message);
	/* What it has from others, the others need not be told. */
	if (!share->told_at && store_sync_ready(share->sync))
		mark_told(share);
	if (ret == ERR_VERSION && may_ask(share))
		ask(share, member, false);
	return ret;
}
