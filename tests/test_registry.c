#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "registry.h"
#include "unit.h"

#define START MSEC(1000000)

static int n_closed;

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
	n_closed++;
}

static void init(struct registry *registry)
{
	n_closed = 0;
	registry_init(registry, STR("dc1"), on_closing, NULL);
}

static struct server_entry entry_of(const char *id, const char *dc)
{
	struct server_entry entry = {.slots = 2};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "s");
	snprintf(entry.data_centre, sizeof(entry.data_centre), "%s", dc);
	address_parse(STR("127.0.0.1:1"), &entry.address);
	return entry;
}

static struct registry_server *put(struct registry *registry, const char *id,
				   const char *dc, uint64_t changed_at)
{
	struct server_entry entry = entry_of(id, dc);

	registry_put(registry, &entry, changed_at);
	return registry_find(registry, str_from(id));
}

static struct registry_server *pick(struct registry *registry,
				    struct registry_server *tried,
				    bool exclude_avoided, int64_t now)
{
	const struct registry_criteria criteria = {
		.tried = &tried,
		.n_tried = tried ? 1 : 0,
		.exclude_avoided = exclude_avoided,
	};

	return registry_pick(registry_service(registry, STR("s")), &criteria,
			     now);
}

static void test_own_data_centre_first(void)
{
	struct registry registry;
	struct registry_server *far;
	struct registry_server *near;

	init(&registry);
	far = put(&registry, "far", "dc2", 1);
	near = put(&registry, "near", "dc1", 2);
	CU_ASSERT(pick(&registry, NULL, false, START) == near);
	CU_ASSERT(pick(&registry, near, false, START) == far);
	/* A queue at the near server costs more than the distance. */
	server_score_sent(&near->score, START);
	server_score_sent(&near->score, START);
	server_score_sent(&near->score, START);
	CU_ASSERT(pick(&registry, NULL, false, START) == far);
	registry_finish(&registry);
}

/*
 * A server stops for 150 ms. Requests sent to it in that time would all be
 * late. The first overdue answer must divert requests to other servers until it
 * answers again.
 */
static void test_stopped_server(void)
{
	struct registry registry;
	struct registry_server *a;
	struct registry_server *b;
	int64_t now = START;

	init(&registry);
	a = put(&registry, "a", "dc1", 1);
	b = put(&registry, "b", "dc2", 2);
	server_score_sent(&a->score, now);
	server_score_result(&a->score, SERVER_ANSWERED, MSEC(10), now);
	server_score_sent(&a->score, now);
	CU_ASSERT(pick(&registry, b, true, now + MSEC(5)) == a);
	now += MSEC(40);
	CU_ASSERT(pick(&registry, NULL, true, now) == b);
	CU_ASSERT(!pick(&registry, b, true, now));
	/* A late answer is better than none. */
	CU_ASSERT(pick(&registry, b, false, now) == a);
	server_score_result(&a->score, SERVER_ANSWERED, MSEC(150),
			    now + MSEC(110));
	CU_ASSERT(pick(&registry, b, true, now + MSEC(111)) == a);
	registry_finish(&registry);
}

/*
 * One server of a pair crashed and the other is slow. The crashed one answers
 * nothing and must not be preferred for its low past latency.
 */
static void test_dead_is_worse_than_late(void)
{
	struct registry registry;
	struct registry_server *dead;
	struct registry_server *late;
	int64_t now = START;

	init(&registry);
	dead = put(&registry, "dead", "dc1", 1);
	late = put(&registry, "late", "dc1", 2);
	server_score_sent(&late->score, now);
	server_score_sent(&dead->score, now);
	now += MSEC(50);
	server_score_result(&dead->score, SERVER_UNREACHABLE, 0, now);
	CU_ASSERT(pick(&registry, NULL, false, now) == late);
	/* It is retried after a while, then avoided for longer. */
	CU_ASSERT(now >= dead->score.avoid_until - MSEC(100));
	server_score_sent(&dead->score, now);
	server_score_result(&dead->score, SERVER_SILENT, MSEC(250), now);
	CU_ASSERT(dead->score.avoid_until == now + MSEC(200));
	registry_finish(&registry);
}

/*
 * A request is cancelled soon after it was sent, because another server
 * answered first. It must not count against the server, which may only have
 * paused.
 */
static void test_short_silence(void)
{
	struct registry registry;
	struct registry_server *server;

	init(&registry);
	server = put(&registry, "a", "dc1", 1);
	server_score_sent(&server->score, START);
	server_score_result(&server->score, SERVER_SILENT, MSEC(150),
			    START + MSEC(150));
	CU_ASSERT(!server->score.avoid_until);
	CU_ASSERT(server->score.failures == 0);
	registry_finish(&registry);
}

/*
 * A server is eleven times slower for seconds, and requests accumulate in its
 * queue. Requests to it that were answered elsewhere must be closed soon, so
 * that its slots serve the others; a server that only paused keeps its
 * connections.
 */
static void test_slow_server_is_not_kept_busy(void)
{
	struct registry registry;
	struct registry_server *slow;
	struct registry_server *paused;
	int64_t now = START;
	int i;

	init(&registry);
	slow = put(&registry, "slow", "dc1", 1);
	paused = put(&registry, "paused", "dc1", 2);
	for (i = 0; i < 200; i++) {
		registry_record_latency(slow->service, MSEC(15));
		server_score_sent(&paused->score, now);
		server_score_result(&paused->score, SERVER_ANSWERED, MSEC(15),
				    now);
	}
	for (i = 0; i < 20; i++) {
		registry_record_latency(slow->service, MSEC(165));
		server_score_sent(&slow->score, now);
		server_score_result(&slow->score, SERVER_ANSWERED, MSEC(165),
				    now);
	}
	now += MSEC(150);
	CU_ASSERT(registry_linger(slow, now) <= MSEC(30));
	CU_ASSERT(registry_linger(paused, now) >= MSEC(300));
	/* Old measurements say nothing about its current queue. */
	CU_ASSERT(registry_linger(slow, now + MSEC(1000)) >= MSEC(300));
	registry_finish(&registry);
}

/*
 * A server was eleven times slower, so its requests went to the other one. It
 * has recovered, which only a request can show: without decay of old
 * measurements the other server would carry the load of both for good.
 */
static void test_old_slowness_fades(void)
{
	struct registry registry;
	struct registry_server *slow;
	struct registry_server *other;
	int64_t now = START;
	int i;

	init(&registry);
	slow = put(&registry, "slow", "dc1", 1);
	other = put(&registry, "other", "dc1", 2);
	for (i = 0; i < 20; i++) {
		server_score_sent(&slow->score, now);
		server_score_result(&slow->score, SERVER_ANSWERED, MSEC(110),
				    now);
		server_score_sent(&other->score, now);
		server_score_result(&other->score, SERVER_ANSWERED, MSEC(10),
				    now);
	}
	server_score_sent(&other->score, now);
	CU_ASSERT(pick(&registry, NULL, false, now) == other);
	now += MSEC(8000);
	server_score_result(&other->score, SERVER_ANSWERED, MSEC(10), now);
	server_score_sent(&other->score, now);
	CU_ASSERT(pick(&registry, NULL, false, now) == slow);
	registry_finish(&registry);
}

/*
 * One server of a pair immediately refuses six of ten requests for seconds, and
 * the other has a queue of five. Each refusal costs a second send from a shared
 * budget, so the queue is the better choice.
 */
static void test_refusals_turn_the_choice(void)
{
	struct registry registry;
	struct registry_server *grey;
	struct registry_server *busy;
	int64_t now = START;
	int i;

	init(&registry);
	grey = put(&registry, "grey", "dc1", 1);
	busy = put(&registry, "busy", "dc1", 2);
	for (i = 0; i < 20; i++) {
		server_score_sent(&grey->score, now);
		server_score_result(&grey->score,
				    i % 5 < 3 ? SERVER_REFUSED
					      : SERVER_ANSWERED,
				    MSEC(10), now);
	}
	for (i = 0; i < 5; i++)
		server_score_sent(&busy->score, now);
	CU_ASSERT(pick(&registry, NULL, false, now) == busy);
	registry_finish(&registry);
}

static void test_failures_turn_the_choice(void)
{
	struct registry registry;
	struct registry_server *grey;
	struct registry_server *good;
	int64_t now = START;
	int i;

	init(&registry);
	grey = put(&registry, "grey", "dc1", 1);
	good = put(&registry, "good", "dc2", 2);
	for (i = 0; i < 5; i++) {
		server_score_sent(&grey->score, now);
		server_score_result(&grey->score, SERVER_REFUSED, 0, now);
	}
	CU_ASSERT(pick(&registry, NULL, false, now) == good);
	registry_finish(&registry);
}

static void test_draining_gets_nothing(void)
{
	struct server_entry entry = entry_of("a", "dc1");
	struct registry registry;

	init(&registry);
	put(&registry, "a", "dc1", 1);
	entry.draining = true;
	CU_ASSERT(registry_put(&registry, &entry, 2));
	CU_ASSERT(n_closed == 1);
	CU_ASSERT(!pick(&registry, NULL, false, START));
	/* An older update that arrives late is ignored. */
	entry.draining = false;
	CU_ASSERT(!registry_put(&registry, &entry, 1));
	CU_ASSERT(!pick(&registry, NULL, false, START));
	registry_finish(&registry);
}

/*
 * A server's entry is removed, and a peer that does not know yet sends the
 * older entry. The server must not come back: its address may be reused.
 */
static void test_removed_stays_removed(void)
{
	struct registry registry;

	init(&registry);
	put(&registry, "a", "dc1", 5);
	CU_ASSERT(!registry_remove(&registry, STR("a"), 4));
	CU_ASSERT(registry_remove(&registry, STR("a"), 6));
	CU_ASSERT(!put(&registry, "a", "dc1", 5));
	CU_ASSERT(put(&registry, "a", "dc1", 7) != NULL);
	/* The removal may be received before the entry itself. */
	CU_ASSERT(!registry_remove(&registry, STR("b"), 9));
	CU_ASSERT(!put(&registry, "b", "dc1", 8));
	registry_finish(&registry);
}

static struct registry_server *put_started(struct registry *registry,
					   int64_t started_at_ms,
					   uint64_t changed_at)
{
	struct server_entry entry = entry_of("a", "dc1");

	entry.started_at_ms = started_at_ms;
	registry_put(registry, &entry, changed_at);
	return registry_find(registry, STR("a"));
}

/*
 * A server hung, was avoided and was restarted under its id. Requests must go
 * to the new process at once, on new connections, and results of requests to
 * the previous process must not count against it.
 */
static void test_restart_is_another_server(void)
{
	struct registry registry;
	struct registry_server *earlier;
	struct registry_server *server;
	int64_t now = START;

	init(&registry);
	earlier = put_started(&registry, 1000, 1);
	registry_server_ref(earlier);
	server_score_sent(&earlier->score, now);
	server_score_sent(&earlier->score, now);
	server_score_unreachable(&earlier->score, now);
	server_score_unreachable(&earlier->score, now);
	CU_ASSERT(!pick(&registry, NULL, false, now));
	server = put_started(&registry, 2000, 2);
	CU_ASSERT(server != earlier);
	CU_ASSERT(earlier->gone);
	CU_ASSERT(n_closed == 1);
	CU_ASSERT(pick(&registry, NULL, true, now) == server);
	server_score_result(&earlier->score, SERVER_SILENT, MSEC(300),
			    now + MSEC(300));
	CU_ASSERT(!server->score.outstanding);
	CU_ASSERT(pick(&registry, NULL, true, now + MSEC(301)) == server);
	registry_server_unref(earlier);
	registry_finish(&registry);
}

/*
 * The last update of a process arrives from the store or a peer after that of
 * its successor. If it were accepted, requests would go to an old address where
 * another service may be listening.
 */
static void test_update_of_an_earlier_start(void)
{
	struct registry registry;
	struct registry_server *server;

	init(&registry);
	server = put_started(&registry, 2000, 5);
	CU_ASSERT(put_started(&registry, 1000, 4) == server);
	CU_ASSERT(put_started(&registry, 1000, 6) == server);
	CU_ASSERT(server->entry.started_at_ms == 2000);
	CU_ASSERT(registry_note_start(&registry, server, 1000) == server);
	/* Without a start time, it is taken for the known process. */
	CU_ASSERT(put_started(&registry, 0, 7) == server);
	CU_ASSERT(server->entry.started_at_ms == 2000);
	CU_ASSERT(registry_note_start(&registry, server, 0) == server);
	CU_ASSERT(n_closed == 0);
	/* After a removal, an earlier start is accepted again. */
	CU_ASSERT(registry_remove(&registry, STR("a"), 8));
	CU_ASSERT(put_started(&registry, 1000, 9) != NULL);
	registry_finish(&registry);
}

static bool put_write(struct registry *registry, int64_t started_at_ms,
		      uint64_t sequence, bool draining, uint64_t changed_at)
{
	struct server_entry entry = entry_of("a", "dc1");

	entry.started_at_ms = started_at_ms;
	entry.sequence = sequence;
	entry.draining = draining;
	registry_continue_count(registry, &entry);
	return registry_put(registry, &entry, changed_at);
}

/* Guards against an older write that is asked for and logged for ever, as the
 * known revision stays below its own. */
static void test_earlier_write_moves_revision_on(void)
{
	const struct registry_server *server;
	struct registry registry;

	init(&registry);
	CU_ASSERT(put_write(&registry, 1000, 5, true, 20));
	CU_ASSERT(!put_write(&registry, 1000, 4, false, 21));
	server = registry_find(&registry, STR("a"));
	CU_ASSERT(server->entry.draining);
	CU_ASSERT_EQUAL(server->entry.sequence, 5);
	CU_ASSERT_EQUAL(registry_known_revision(&registry, STR("a")), 21);
	/* The same content. */
	CU_ASSERT(!put_write(&registry, 1000, 3, true, 22));
	CU_ASSERT_EQUAL(registry_known_revision(&registry, STR("a")), 22);
	CU_ASSERT_EQUAL(server->entry.sequence, 5);
	registry_finish(&registry);
}

/* Guards against a restarted server that is taken for a late write of its
 * earlier process, as a peer had told of the start before. */
static void test_start_told_by_a_peer_counts_anew(void)
{
	struct registry_server *server;
	struct registry registry;

	init(&registry);
	CU_ASSERT(put_write(&registry, 1000, 50, false, 20));
	server = registry_find(&registry, STR("a"));
	server = registry_note_start(&registry, server, 2000);
	CU_ASSERT(put_write(&registry, 2000, 1, true, 21));
	CU_ASSERT(server->entry.draining);
	CU_ASSERT(!put_write(&registry, 1000, 51, false, 22));
	CU_ASSERT(server->entry.draining);
	registry_finish(&registry);
}

/* A peer that requests a send learns of a restart before this instance. */
static void test_restart_by_a_peer(void)
{
	struct registry registry;
	struct registry_server *earlier;
	struct registry_server *server;

	init(&registry);
	earlier = put_started(&registry, 1000, 1);
	server = registry_note_start(&registry, earlier, 2000);
	CU_ASSERT(server != earlier);
	CU_ASSERT(server->entry.started_at_ms == 2000);
	CU_ASSERT(n_closed == 1);
	CU_ASSERT(registry_find(&registry, STR("a")) == server);
	/* The store's entry for the same start is not another restart. */
	CU_ASSERT(put_started(&registry, 2000, 2) == server);
	CU_ASSERT(n_closed == 1);
	registry_finish(&registry);
}

/*
 * A server restarts repeatedly while connections to its earlier processes are
 * still open. Together they must stay within the server's limit for this
 * instance.
 */
static void test_connections_outlive_a_start(void)
{
	struct registry registry;
	struct registry_server *first;
	struct registry_server *second;
	struct registry_server *third;

	init(&registry);
	first = registry_server_ref(put_started(&registry, 1000, 1));
	first->n_conns = 2;
	second = registry_server_ref(put_started(&registry, 2000, 2));
	second->n_conns = 1;
	CU_ASSERT(registry_count_conns(second) == 3);
	third = put_started(&registry, 3000, 3);
	CU_ASSERT(registry_count_conns(third) == 3);
	second->n_conns = 0;
	CU_ASSERT(registry_count_conns(third) == 2);
	first->n_conns = 0;
	CU_ASSERT(registry_count_conns(third) == 0);
	CU_ASSERT(!third->earlier);
	registry_server_unref(first);
	registry_server_unref(second);
	registry_finish(&registry);
}

/* Instances exchange the effects of requests on a server by this identifier. */
static void test_incarnation(void)
{
	char a[REGISTRY_INCARNATION_SIZE];
	char b[REGISTRY_INCARNATION_SIZE];
	struct registry registry;

	init(&registry);
	CU_ASSERT(str_eq(registry_incarnation(put_started(&registry, 0, 1), a),
			 STR("a")));
	registry_incarnation(put_started(&registry, 1000, 2), a);
	registry_incarnation(put_started(&registry, 2000, 3), b);
	CU_ASSERT(strcmp(a, b));
	registry_finish(&registry);
}

static const struct unit_test tests[] = {
	{"own data centre first", test_own_data_centre_first},
	{"a stopped server is left", test_stopped_server},
	{"dead is worse than late", test_dead_is_worse_than_late},
	{"a short silence", test_short_silence},
	{"slow server is not kept busy", test_slow_server_is_not_kept_busy},
	{"old slowness fades", test_old_slowness_fades},
	{"refusals turn the choice", test_refusals_turn_the_choice},
	{"failures turn the choice", test_failures_turn_the_choice},
	{"draining gets nothing", test_draining_gets_nothing},
	{"removed stays removed", test_removed_stays_removed},
	{"a restart is another server", test_restart_is_another_server},
	{"update of an earlier start", test_update_of_an_earlier_start},
	{"an earlier write moves the revision on",
	 test_earlier_write_moves_revision_on},
	{"a start told by a peer counts anew",
	 test_start_told_by_a_peer_counts_anew},
	{"a restart reported by a peer", test_restart_by_a_peer},
	{"connections outlive a start", test_connections_outlive_a_start},
	{"incarnation", test_incarnation},
};

UNIT_MAIN("registry", tests)
