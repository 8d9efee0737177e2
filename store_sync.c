#define LOG_MODULE "store_sync"
#include "store_sync.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "store_schedule.h"

/* Above the wait: an answer takes 4 ms, and up to 60 times that when slow. */
#define CALL_TIMEOUT MSEC(600)
/* An answer is on its way no longer than this, unless the call fails. */
#define TRANSIT_MOST MSEC(300)
/* A peer may tell all before the store is asked, page by page. */
#define START_DELAY MSEC(40)
/*
 * Views are told each 0.9 s, and the next in rank reads at 2.2 s: one that is
 * older is no sign of a reader that is lost. An entry lapses after three
 * heartbeats of 1.2 s.
 */
#define VIEW_OLD MSEC(2500)

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	struct store_sync *sync = arg;

	sync->ops->server(sync->arg, id, changed_at, removed);
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

static void take_server(struct store_sync *sync, const struct store_item *item,
			bool listing)
{
	struct server_entry entry;
	int ret;

	if (item->removed) {
		server_view_vanished(&sync->servers, item->name,
				     item->changed_at);
		return;
	}
	ret = sync->format->server(item, &entry);
	/*
	 * Another writer, or a version of the servers that says what is not
	 * known here: what was published before does not hold any more. Once
	 * the server writes again, at most a heartbeat later, it is back.
	 */
	if (ret) {
		LOG_WARN("server_entry_refused", LOG_TEXT("server", item->name),
			 LOG_TEXT("error", error_name(ret)),
			 LOG_U64("store_revision", item->changed_at));
		server_view_vanished(&sync->servers, item->name,
				     item->changed_at);
		return;
	}
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
	sync->ops->routes(sync->arg);
	return 0;
}

static void take_item(struct store_sync *sync, struct store_feed *feed,
		      const struct store_item *item)
{
	if (feed->topic == STORE_SERVERS)
		take_server(sync, item, feed->listing);
	else if (item->kind == STORE_ITEM_CORDON)
		cordon_sync_apply_item(&sync->cordons, item);
	else if (item->kind == STORE_ITEM_PLAIN && !item->removed)
		store_sync_apply_routes(sync, item->value, "store");
}

static bool is_empty(const struct store_sync *sync)
{
	return !sync->registry->servers && !sync->feeds[STORE_ROUTES].at &&
	       !sync->feeds[STORE_SERVERS].at;
}

/* What is on its way was asked for by a revision of the earlier era. */
static void start_anew(struct store_sync *sync, struct store_feed *feed)
{
	feed->at = 0;
	feed->listed = false;
	feed->listing = false;
	feed->from[0] = '\0';
	feed->outdated = feed->busy;
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
		 LOG_U64("revision_before", sync->feeds[STORE_SERVERS].at));
	sync->era = era;
	until = server_view_enter_era(&sync->servers);
	cordon_sync_enter_era(&sync->cordons, until);
	for (i = 0; i < STORE_TOPICS; i++)
		start_anew(sync, &sync->feeds[i]);
	return 0;
}

void store_sync_begin_snapshot(struct store_sync *sync)
{
	struct store_feed *feed = &sync->feeds[STORE_SERVERS];

	/* Pages of a list of its own under way would count as this one. */
	feed->listing = false;
	feed->from[0] = '\0';
	server_view_begin_list(&sync->servers);
}

/*
 * The peer may have just started while entries had lapsed, and know fewer
 * servers than live: those it does not name are left only after a while.
 */
void store_sync_end_snapshot(struct store_sync *sync, uint64_t at)
{
	struct store_feed *feed = &sync->feeds[STORE_SERVERS];

	if (feed->fresh_at >= 0)
		server_view_store_returned(&sync->servers);
	server_view_end_list(&sync->servers, at);
}

static void set_known(struct store_sync *sync, const struct store_feed *feed)
{
	if (feed->topic == STORE_SERVERS && feed->fresh_at >= 0)
		sync->servers.known = true;
}

void store_sync_confirm(struct store_sync *sync, enum store_topic topic,
			uint64_t at, int64_t fresh_at)
{
	struct store_feed *feed = &sync->feeds[topic];

	if (at > feed->at)
		feed->at = at;
	if (fresh_at > feed->fresh_at)
		feed->fresh_at = fresh_at;
	set_known(sync, feed);
	/* Changes can be asked for only from a revision on. */
	if (!feed->at)
		return;
	feed->listed = true;
	feed->listing = false;
}

void store_sync_set_max_view_age(struct store_sync *sync, int64_t patience,
				 int rank)
{
	sync->patience = patience;
	sync->rank = rank;
}

static void listed_page(struct store_sync *sync, struct store_feed *feed,
			const struct store_answer *answer)
{
	/* Pages are read one after the other: changes since the first count. */
	if (!feed->from[0])
		feed->list_at = answer->read_at;
	if (answer->more) {
		str_copy(feed->from, sizeof(feed->from),
			 str_from(answer->last_key));
		feed->next_at = clock_now(sync->clock);
		return;
	}
	feed->from[0] = '\0';
	feed->listing = false;
	feed->listed = true;
	feed->at = feed->list_at;
	if (feed->topic == STORE_SERVERS)
		server_view_end_list(&sync->servers, feed->at);
	else
		cordon_sync_end_list(&sync->cordons, feed->list_at);
}

/*
 * Nobody is known to have reached the store for so long: it may have been away,
 * though no call from here failed.
 */
static bool is_view_old(const struct store_sync *sync)
{
	int64_t at = sync->feeds[STORE_SERVERS].fresh_at;

	return at >= 0 && clock_now(sync->clock) - at > VIEW_OLD;
}

/*
 * The store answered. Whichever topic's call had failed, it was away for both,
 * and entries of servers that live may have lapsed.
 */
static void set_reachable(struct store_sync *sync, struct store_feed *feed)
{
	bool lost = false;
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		lost |= sync->feeds[i].lost;
		sync->feeds[i].lost = false;
	}
	if (lost)
		LOG_INFO("store_regained", LOG_I64("topic", feed->topic),
			 LOG_I64("failures", feed->failures));
	if (lost || is_view_old(sync))
		server_view_store_returned(&sync->servers);
}

static void call_failed(struct store_sync *sync, struct store_feed *feed,
			int code)
{
	if (!feed->lost)
		LOG_WARN("store_lost", LOG_I64("topic", feed->topic),
			 LOG_TEXT("error", error_name(code)));
	feed->lost = true;
	store_schedule_failed(sync, feed);
}

static void start_list(struct store_sync *sync, struct store_feed *feed)
{
	feed->listed = false;
	feed->listing = true;
	feed->from[0] = '\0';
	feed->next_at = clock_now(sync->clock);
	if (feed->topic == STORE_ROUTES)
		cordon_sync_begin_list(&sync->cordons);
	else
		server_view_begin_list(&sync->servers);
}

/*
 * When the store's answer was true: no earlier than the call, and the call may
 * have waited for a change most of the time since.
 */
static int64_t known_at(const struct store_sync *sync,
			const struct store_feed *feed)
{
	int64_t at = clock_now(sync->clock) - TRANSIT_MOST;

	return at > feed->asked_at ? at : feed->asked_at;
}

/*
 * What this instance holds is now complete up to a revision. A page of a list
 * that was given up for a peer's view must not come here: its revision covers
 * what the page names, and no removals.
 */
static void take_progress(struct store_sync *sync, struct store_feed *feed,
			  const struct store_answer *answer)
{
	if (feed->listing)
		listed_page(sync, feed, answer);
	else if (answer->read_at > feed->at)
		feed->at = answer->read_at;
	if (!feed->listed)
		return;
	if (feed->topic == STORE_ROUTES)
		cordon_sync_confirm(&sync->cordons, feed->at);
	feed->fresh_at = known_at(sync, feed);
	set_known(sync, feed);
}

static void history_gone(struct store_sync *sync, struct store_feed *feed)
{
	LOG_INFO("store_history_gone", LOG_I64("topic", feed->topic),
		 LOG_U64("after", feed->at));
	start_list(sync, feed);
}

static void take_answer(struct store_sync *sync, struct store_feed *feed,
			const struct store_answer *answer)
{
	int i;

	set_reachable(sync, feed);
	store_schedule_answered(feed);
	for (i = 0; i < answer->n_items; i++)
		take_item(sync, feed, &answer->items[i]);
	if (feed->watching || feed->listing)
		take_progress(sync, feed, answer);
}

/* A failure may come from something before the store, and tells no era. */
static int code_of(struct store_sync *sync, const struct store_answer *answer)
{
	if (answer->era &&
	    store_sync_enter_era(sync, answer->era, answer->read_at, "store"))
		return ERR_VERSION;
	return answer->code;
}

void store_sync_answered(struct store_sync *sync, enum store_topic topic,
			 const struct store_answer *answer)
{
	struct store_feed *feed = &sync->feeds[topic];
	int code = code_of(sync, answer);
	bool outdated = feed->outdated;

	feed->busy = false;
	feed->outdated = false;
	if (code && code != ERR_STALE)
		call_failed(sync, feed, code);
	else if (outdated)
		return;
	else if (code)
		history_gone(sync, feed);
	else
		take_answer(sync, feed, answer);
}

static void call(struct store_sync *sync, struct store_feed *feed)
{
	struct store_call call = {.topic = feed->topic, .after = feed->at};

	if (feed->topic == STORE_ROUTES &&
	    cordon_sync_needs_list(&sync->cordons))
		feed->listed = false;
	if (!feed->listed && !feed->listing)
		start_list(sync, feed);
	call.watch = feed->listed;
	if (call.watch)
		call.wait_ms = store_schedule_wait_ms(sync, feed);
	memcpy(call.from, feed->from, sizeof(call.from));
	feed->busy = true;
	feed->watching = call.watch;
	feed->asked_at = clock_now(sync->clock);
	sync->ops->call(sync->arg, &call, MSEC(call.wait_ms) + CALL_TIMEOUT);
}

static void call_due(struct store_sync *sync, int64_t now)
{
	int i;

	for (i = 0; i < STORE_TOPICS; i++) {
		struct store_feed *feed = &sync->feeds[i];

		if (now >= store_schedule_due(sync, feed))
			call(sync, feed);
	}
}

void store_sync_tick(struct store_sync *sync)
{
	server_view_tick(&sync->servers);
	call_due(sync, clock_now(sync->clock));
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
