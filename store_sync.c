#define LOG_MODULE "store_sync"
#include "store_sync.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "metric.h"
#include "server_name.h"
#include "store_schedule.h"

/* Beyond the wait: an answer takes 4 ms, up to 60 times that if slow. */
#define CALL_TIMEOUT MSEC(600)
/* Longest time that an answer is in transit if the call does not fail. */
#define ANSWER_TRANSIT_MAX MSEC(300)
/* Leaves time for a peer's view, which makes listing the store needless. */
#define START_DELAY MSEC(40)
/*
 * A shorter outage lets no entry expire: servers write every 1.2 s, and three
 * writes in a row must fail. Less the transit of the last answer before it.
 */
#define OUTAGE_MIN (MSEC(2400) - ANSWER_TRANSIT_MAX)
/*
 * Without word of the store for as long as an entry lives, it may have been
 * away though no call failed, if this instance leaves the calls to others.
 * Longer than it takes to replace lost readers.
 */
#define SILENCE_MAX MSEC(3600)

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	struct store_sync *sync = arg;

	sync->ops->server_changed(sync->arg, id, changed_at, removed);
}

static const struct server_view_ops view_ops = {
	.changed = on_server,
};

void store_sync_init(struct store_sync *sync, const struct clock *clock,
		     const struct store_ops *format,
		     const struct store_sync_ops *ops, void *arg,
		     struct registry *registry)
{
	int i;

	memset(sync, 0, sizeof(*sync));
	sync->clock = clock;
	sync->format = format;
	sync->ops = ops;
	sync->arg = arg;
	sync->registry = registry;
	server_view_init(&sync->servers, clock, registry, &view_ops, sync);
	cordon_sync_init(&sync->cordons, clock, registry);
	sync->reached_at = -1;
	sync->failed_at = -1;
	for (i = 0; i < STORE_TOPICS; i++) {
		sync->feeds[i].topic = (enum store_topic)i;
		sync->feeds[i].fresh_at = -1;
		sync->feeds[i].next_at = clock_now(clock) + START_DELAY;
	}
}

void store_sync_finish(struct store_sync *sync)
{
	server_view_finish(&sync->servers);
	route_set_unref(sync->routes);
}

static void apply_server(struct store_sync *sync, const struct store_item *item,
			 bool listing)
{
	char id[REGISTRY_NAME_SIZE];
	struct server_entry entry;
	int ret = server_name_check(store_key_str(&item->name));

	/* No server of that name can be known. */
	if (ret) {
		server_view_refuse(&sync->servers, store_key_str(&item->name),
				   ret, item->changed_at);
		return;
	}
	str_copy(id, sizeof(id), store_key_str(&item->name));
	if (item->removed) {
		server_view_vanished(&sync->servers, id, item->changed_at);
		return;
	}
	ret = sync->format->decode_server(item, &entry);
	/*
	 * Written by somebody else, or in a format that is not known here: the
	 * previous entry is no longer valid. The server is used again once it
	 * writes again, at most a heartbeat later.
	 */
	if (ret) {
		server_view_refuse(&sync->servers, str_from(id), ret,
				   item->changed_at);
		server_view_vanished(&sync->servers, id, item->changed_at);
		return;
	}
	registry_continue_count(sync->registry, &entry);
	server_view_note_shown(&sync->servers, &entry, item->changed_at);
	if (listing)
		server_view_list(&sync->servers, &entry, item->changed_at);
	else
		server_view_put(&sync->servers, &entry, item->changed_at);
}

int store_sync_apply_routes(struct store_sync *sync, struct str text,
			    const char *from)
{
	struct error err = {.code = ERR_NONE};
	struct route_set *set;
	int ret = route_set_parse(text, &set, &err);

	if (ret) {
		LOG_ERROR("routes_refused", LOG_TEXT("from", from),
			  LOG_TEXT("error", error_name(ret)),
			  LOG_TEXT("at", err.subject));
		return ret;
	}
	if (sync->routes && set->version <= sync->routes->version) {
		route_set_unref(set);
		return ERR_STALE;
	}
	LOG_INFO("routes_in_force", LOG_U64("version", set->version),
		 LOG_U64("before", sync->routes ? sync->routes->version : 0),
		 LOG_TEXT("from", from), LOG_I64("routes", set->n_routes));
	route_set_unref(sync->routes);
	sync->routes = set;
	sync->ops->routes_changed(sync->arg);
	return 0;
}

static void apply_item(struct store_sync *sync, struct store_feed *feed,
		       const struct store_item *item)
{
	if (feed->topic == STORE_SERVERS)
		apply_server(sync, item, feed->listing);
	else if (item->kind == STORE_ITEM_CORDON)
		cordon_sync_apply_item(&sync->cordons, item);
	else if (item->kind == STORE_ITEM_PLAIN && !item->removed)
		store_sync_apply_routes(sync, item->value, "store");
}

static bool is_empty(const struct store_sync *sync)
{
	return !sync->registry->servers &&
	       !sync->feeds[STORE_ROUTES].revision &&
	       !sync->feeds[STORE_SERVERS].revision;
}

/* A call that is under way used a revision of the earlier era. */
static void restart_topic(struct store_sync *sync, struct store_feed *feed)
{
	feed->revision = 0;
	feed->history_from = 0;
	feed->gap_from = 0;
	feed->gap_to = 0;
	feed->listed = false;
	feed->listing = false;
	feed->list_from.len = 0;
	feed->call_outdated = feed->busy;
	feed->next_at = clock_now(sync->clock);
}

int store_sync_enter_era(struct store_sync *sync, uint64_t era, uint64_t at,
			 const char *from)
{
	int64_t until;
	int i;

	if (era == sync->era)
		return 0;
	if (era < sync->era) {
		LOG_INFO("store_era_earlier", LOG_TEXT("from", from),
			 LOG_U64("era", era), LOG_U64("known_era", sync->era),
			 LOG_U64("store_revision", at));
		return ERR_STALE;
	}
	if (is_empty(sync)) {
		sync->era = era;
		return 0;
	}
	LOG_WARN("store_era_changed", LOG_TEXT("from", from),
		 LOG_U64("era", era), LOG_U64("era_before", sync->era),
		 LOG_U64("store_revision", at),
		 LOG_U64("revision_before",
			 sync->feeds[STORE_SERVERS].revision));
	sync->era = era;
	until = server_view_enter_era(&sync->servers);
	cordon_sync_enter_era(&sync->cordons, until);
	for (i = 0; i < STORE_TOPICS; i++)
		restart_topic(sync, &sync->feeds[i]);
	return 0;
}

void store_sync_begin_snapshot(struct store_sync *sync)
{
	struct store_feed *feed = &sync->feeds[STORE_SERVERS];

	/* Pages of an own list must not count as part of this snapshot. */
	feed->listing = false;
	feed->list_from.len = 0;
	server_view_begin_list(&sync->servers);
}

/*
 * The store was reached at @at, by this instance or a peer. If it was away
 * since it was reached before, entries of running servers may have expired, and
 * a peer that has started since knows fewer servers than are running. That
 * nobody reached it shows no outage by itself: the instances that read it may
 * have been lost.
 */
static void hold_removals_after_outage(struct store_sync *sync, int64_t at)
{
	bool call_failed = sync->failed_at > sync->reached_at;
	/* It would have met an outage itself, unless it stood still. */
	bool calls_early = sync->max_view_age < OUTAGE_MIN;
	int64_t silence = at - sync->reached_at;

	if (sync->reached_at < 0 || (calls_early && !call_failed) ||
	    silence <= (call_failed ? OUTAGE_MIN : SILENCE_MAX))
		return;
	LOG_INFO("removals_held",
		 LOG_I64("silence_ms", silence / USEC_PER_MSEC),
		 LOG_I64("call_failed", call_failed),
		 LOG_I64("rank", sync->rank));
	server_view_store_returned(&sync->servers);
}

static void note_store_reached(struct store_sync *sync, int64_t at)
{
	if (at <= sync->reached_at)
		return;
	hold_removals_after_outage(sync, at);
	sync->reached_at = at;
}

void store_sync_note_failure(struct store_sync *sync)
{
	sync->failed_at = clock_now(sync->clock);
}

/* A complete list or view up to @to follows the present one. */
static void note_gap(struct store_feed *feed, uint64_t to)
{
	if (to <= feed->revision)
		return;
	feed->history_from = feed->gap_to;
	feed->gap_from = feed->revision;
	feed->gap_to = to;
}

bool store_feed_has_changes(const struct store_feed *feed, uint64_t since)
{
	if (!feed->revision)
		return false;
	return since >= feed->gap_to ||
	       (since >= feed->history_from && since <= feed->gap_from);
}

void store_sync_end_snapshot(struct store_sync *sync, uint64_t at,
			     int64_t fresh_at)
{
	struct store_feed *feed = &sync->feeds[STORE_SERVERS];

	note_gap(feed, at);
	note_store_reached(sync, fresh_at);
	server_view_end_list(&sync->servers, at);
}

static void set_fresh_at(struct store_sync *sync, struct store_feed *feed,
			 int64_t at)
{
	if (feed->topic == STORE_SERVERS && feed->fresh_at >= 0 &&
	    sync->view_gaps)
		metric_histogram_add(sync->view_gaps, at - feed->fresh_at);
	feed->fresh_at = at;
	if (feed->topic == STORE_SERVERS)
		server_view_confirm(&sync->servers, at);
}

static void set_known(struct store_sync *sync, const struct store_feed *feed)
{
	if (feed->topic == STORE_SERVERS && feed->fresh_at >= 0)
		sync->servers.synced = true;
}

void store_sync_confirm(struct store_sync *sync, enum store_topic topic,
			uint64_t at, int64_t fresh_at)
{
	struct store_feed *feed = &sync->feeds[topic];

	if (at > feed->revision)
		feed->revision = at;
	note_store_reached(sync, fresh_at);
	if (fresh_at > feed->fresh_at)
		set_fresh_at(sync, feed, fresh_at);
	set_known(sync, feed);
	/* A watch needs a revision to start from. */
	if (!feed->revision)
		return;
	feed->listed = true;
	feed->listing = false;
}

void store_sync_set_max_view_age(struct store_sync *sync, int64_t max_view_age,
				 int rank)
{
	sync->max_view_age = max_view_age;
	sync->rank = rank;
}

static void list_page_done(struct store_sync *sync, struct store_feed *feed,
			   const struct store_answer *answer)
{
	/* A watch from the first page finds changes during the later ones. */
	if (!feed->list_from.len)
		feed->list_revision = answer->revision;
	if (answer->more) {
		feed->list_from = answer->last_key;
		feed->next_at = clock_now(sync->clock);
		return;
	}
	feed->list_from.len = 0;
	feed->listing = false;
	feed->listed = true;
	note_gap(feed, feed->list_revision);
	feed->revision = feed->list_revision;
	if (feed->topic == STORE_SERVERS)
		server_view_end_store_list(&sync->servers, feed->revision);
	else
		cordon_sync_end_list(&sync->cordons, feed->list_revision);
}

/*
 * A time at which the answer was up to date: no earlier than the call, and a
 * call that waited for a change was answered at most ANSWER_TRANSIT_MAX ago.
 */
static int64_t answer_valid_at(const struct store_sync *sync,
			       const struct store_feed *feed)
{
	int64_t at = clock_now(sync->clock) - ANSWER_TRANSIT_MAX;

	return at > feed->asked_at ? at : feed->asked_at;
}

static void note_answer(struct store_sync *sync, struct store_feed *feed)
{
	bool was_failing = false;
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		was_failing |= sync->feeds[i].is_failing;
		sync->feeds[i].is_failing = false;
	}
	if (was_failing)
		LOG_INFO("store_regained", LOG_I64("topic", feed->topic),
			 LOG_I64("failures", feed->failures));
	note_store_reached(sync, answer_valid_at(sync, feed));
}

static void call_failed(struct store_sync *sync, struct store_feed *feed,
			int code)
{
	if (!feed->is_failing)
		LOG_WARN("store_lost", LOG_I64("topic", feed->topic),
			 LOG_TEXT("error", error_name(code)));
	feed->is_failing = true;
	store_sync_note_failure(sync);
	store_schedule_failed(sync, feed);
}

static void start_list(struct store_sync *sync, struct store_feed *feed)
{
	feed->listed = false;
	feed->listing = true;
	feed->list_from.len = 0;
	feed->next_at = clock_now(sync->clock);
	if (feed->topic == STORE_ROUTES)
		cordon_sync_begin_list(&sync->cordons);
	else
		server_view_begin_list(&sync->servers);
}

/*
 * The view is now complete up to the answer's revision. Must not be called for
 * a page of a list that was cancelled for a peer's view: the page has no
 * removals, though its revision is past them.
 */
static void advance_revision(struct store_sync *sync, struct store_feed *feed,
			     const struct store_answer *answer)
{
	if (feed->listing)
		list_page_done(sync, feed, answer);
	else if (answer->revision > feed->revision)
		feed->revision = answer->revision;
	if (!feed->listed)
		return;
	if (feed->topic == STORE_ROUTES)
		cordon_sync_confirm(&sync->cordons, feed->revision);
	set_fresh_at(sync, feed, answer_valid_at(sync, feed));
	set_known(sync, feed);
}

static void history_gone(struct store_sync *sync, struct store_feed *feed)
{
	LOG_INFO("store_history_gone", LOG_I64("topic", feed->topic),
		 LOG_U64("after", feed->revision));
	start_list(sync, feed);
}

static void apply_answer(struct store_sync *sync, struct store_feed *feed,
			 const struct store_answer *answer)
{
	int i;

	note_answer(sync, feed);
	store_schedule_answered(feed);
	for (i = 0; i < answer->n_items; i++)
		apply_item(sync, feed, &answer->items[i]);
	if (feed->watching || feed->listing)
		advance_revision(sync, feed, answer);
}

/* Whether the next page would begin after this one. */
static bool is_list_advancing(const struct store_feed *feed,
			      const struct store_answer *answer)
{
	return !feed->listing || !answer->more ||
	       str_cmp(store_key_str(&answer->last_key),
		       store_key_str(&feed->list_from)) > 0;
}

/*
 * The store answers, so that this is no outage of it. The page is read again
 * after a pause: what is in its way may be gone then.
 */
static void list_stuck(struct store_sync *sync, struct store_feed *feed,
		       const struct store_answer *answer)
{
	if (!feed->failures)
		LOG_WARN("store_list_stuck", LOG_I64("topic", feed->topic),
			 LOG_STR("after", store_key_str(&feed->list_from)),
			 LOG_STR("last_key", store_key_str(&answer->last_key)),
			 LOG_I64("items", answer->n_items));
	note_answer(sync, feed);
	store_schedule_failed(sync, feed);
}

/* Pages of a list are limited, what a watch returns is not. */
static bool needs_list(const struct store_feed *feed, int code)
{
	return code == ERR_STALE || (code == ERR_TOO_LARGE && feed->watching);
}

/* A failure may come from a proxy in front of the store, without an era. */
static int check_answer(struct store_sync *sync,
			const struct store_answer *answer)
{
	if (answer->era &&
	    store_sync_enter_era(sync, answer->era, answer->revision, "store"))
		return ERR_VERSION;
	return answer->code;
}

void store_sync_answered(struct store_sync *sync, enum store_topic topic,
			 const struct store_answer *answer)
{
	struct store_feed *feed = &sync->feeds[topic];
	int code = check_answer(sync, answer);
	bool outdated = feed->call_outdated;

	feed->busy = false;
	feed->call_outdated = false;
	if (code && !needs_list(feed, code))
		call_failed(sync, feed, code);
	else if (outdated)
		return;
	else if (code)
		history_gone(sync, feed);
	else if (!is_list_advancing(feed, answer))
		list_stuck(sync, feed, answer);
	else
		apply_answer(sync, feed, answer);
}

static void start_call(struct store_sync *sync, struct store_feed *feed)
{
	struct store_call call = {.topic = feed->topic,
				  .after = feed->revision};

	if (feed->topic == STORE_ROUTES &&
	    cordon_sync_needs_list(&sync->cordons))
		feed->listed = false;
	if (!feed->listed && !feed->listing)
		start_list(sync, feed);
	call.watch = feed->listed;
	if (call.watch)
		call.wait_ms = store_schedule_wait_ms(sync, feed);
	call.from = feed->list_from;
	feed->busy = true;
	feed->watching = call.watch;
	feed->asked_at = clock_now(sync->clock);
	sync->ops->call(sync->arg, &call, MSEC(call.wait_ms) + CALL_TIMEOUT);
}

static void make_due_calls(struct store_sync *sync, int64_t now)
{
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		struct store_feed *feed = &sync->feeds[i];

		if (now >= store_schedule_due(sync, feed))
			start_call(sync, feed);
	}
}

void store_sync_tick(struct store_sync *sync)
{
	server_view_tick(&sync->servers);
	make_due_calls(sync, clock_now(sync->clock));
}

int64_t store_sync_due(const struct store_sync *sync)
{
	int64_t due = server_view_due(&sync->servers);
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		int64_t at = store_schedule_due(sync, &sync->feeds[i]);

		if (at < due)
			due = at;
	}
	return due;
}

bool store_sync_ready(const struct store_sync *sync)
{
	return sync->routes && sync->feeds[STORE_ROUTES].fresh_at >= 0 &&
	       sync->feeds[STORE_SERVERS].fresh_at >= 0;
}

int64_t store_sync_routes_age(const struct store_sync *sync)
{
	int64_t at = sync->feeds[STORE_ROUTES].fresh_at;

	return at < 0 ? INT64_MAX : clock_now(sync->clock) - at;
}
