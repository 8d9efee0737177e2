/*
 * Order of a server's writes: its start and its sequence decide which entry is
 * the latest, not the revision at which the store did the write.
 */
#include <inttypes.h>
#include <stdio.h>

#include "error.h"
#include "store_fixture.h"
#include "unit.h"

#define SERVER "i-1"
/* About HeartbeatMs. */
#define BEAT_MS 1200
/* After three missing writes an entry expires. */
#define EXPIRES_MS 3600
/* A wrong entry must not hold for longer: some beats. */
#define BEATS_MAX 5
/* Of an entry that was written by somebody else. */
#define WRONG_SEQUENCE (INT64_C(1) << 62)

struct write {
	const char *state;
	int64_t sequence;
	int64_t born;
	uint64_t created_at;
};

/* The store does a write at a revision, and the instance's watch tells it. */
static void store_does(struct fixture *fixture, struct write write,
		       uint64_t revision)
{
	struct store_item item = make_item(SERVER, revision, false);
	char value[256];

	snprintf(value, sizeof(value),
		 "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\","
		 "\"data_centre\":\"dc\",\"slots\":2,\"state\":\"%s\","
		 "\"cold_for_ms\":0,\"Sequence\":%" PRId64 ",\"born\":%" PRId64
		 "}",
		 write.state, write.sequence, write.born);
	item.value = str_from(value);
	item.created_at = write.created_at ? write.created_at : 10;
	fixture_answer(fixture, STORE_SERVERS, revision, &item, 1);
}

static void store_removes(struct fixture *fixture, uint64_t revision)
{
	struct store_item item = make_item(SERVER, revision, true);

	fixture_answer(fixture, STORE_SERVERS, revision, &item, 1);
}

/* Time passes without news; the watch is answered empty in between. */
static void pass(struct fixture *fixture, int64_t ms)
{
	uint64_t at = fixture->sync.feeds[STORE_SERVERS].revision;

	while (ms > 0) {
		fixture_advance(fixture, 100);
		fixture_answer(fixture, STORE_SERVERS, at, NULL, 0);
		ms -= 100;
	}
}

static const struct registry_server *find(const struct fixture *fixture)
{
	return registry_find(&fixture->registry, STR(SERVER));
}

static bool gets_requests(const struct fixture *fixture)
{
	const struct registry_server *server = find(fixture);

	return server && registry_is_open(server);
}

static void start_in_era(struct fixture *fixture, uint64_t era)
{
	fixture_init(fixture);
	fixture->era = era;
	fixture_answer_routes(fixture, 1);
	fixture_answer(fixture, STORE_SERVERS, 9, NULL, 0);
	fixture_advance(fixture, 900);
	CU_ASSERT(fixture->calls[STORE_SERVERS].watch);
}

static void start(struct fixture *fixture)
{
	start_in_era(fixture, 0);
}

/* Guards against requests to a draining server after a late write of it. */
static void test_drained_stays_drained(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"ready", 1, 0, 0}, 10);
	CU_ASSERT(gets_requests(&fixture));
	store_does(&fixture, (struct write){"draining", 26, 0, 0}, 20);
	store_does(&fixture, (struct write){"ready", 25, 0, 0}, 21);
	CU_ASSERT(!gets_requests(&fixture));
	pass(&fixture, BEAT_MS);
	CU_ASSERT(!gets_requests(&fixture));
	store_does(&fixture, (struct write){"draining", 27, 0, 0}, 22);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(find(&fixture) && !gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* Guards against the same where the late write is the store's last of it. */
static void test_late_write_expires(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"draining", 26, 7, 0}, 20);
	store_does(&fixture, (struct write){"ready", 25, 7, 0}, 21);
	pass(&fixture, EXPIRES_MS);
	CU_ASSERT(!gets_requests(&fixture));
	store_removes(&fixture, 22);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(!find(&fixture));
	fixture_finish(&fixture);
}

/* Guards against a server that left and comes back by a late write. */
static void test_left_stays_away(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"draining", 26, 7, 0}, 20);
	store_removes(&fixture, 21);
	store_does(&fixture, (struct write){"ready", 25, 7, 22}, 22);
	pass(&fixture, EXPIRES_MS);
	CU_ASSERT(!find(&fixture));
	store_removes(&fixture, 23);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(!find(&fixture));
	fixture_finish(&fixture);
}

/* Guards against a living server that stays out after its entry expired. */
static void test_expired_comes_back(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"ready", 5, 7, 0}, 20);
	store_removes(&fixture, 21);
	CU_ASSERT(!gets_requests(&fixture));
	store_does(&fixture, (struct write){"ready", 9, 7, 22}, 22);
	CU_ASSERT(gets_requests(&fixture));
	store_removes(&fixture, 23);
	/* A new start counts anew. */
	store_does(&fixture, (struct write){"ready", 1, 8, 24}, 24);
	CU_ASSERT(gets_requests(&fixture));
	store_does(&fixture, (struct write){"draining", 2, 8, 24}, 25);
	store_does(&fixture, (struct write){"ready", 1, 9, 24}, 26);
	CU_ASSERT(gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* Guards against a count of another writer that shuts a server out for ever. */
static void test_wrong_sequence_drained(void)
{
	struct fixture fixture;
	int beat;

	start(&fixture);
	store_does(&fixture, (struct write){"ready", 5, 7, 0}, 20);
	store_does(&fixture, (struct write){"draining", WRONG_SEQUENCE, 7, 0},
		   21);
	CU_ASSERT(!gets_requests(&fixture));
	for (beat = 0; beat < BEATS_MAX; beat++) {
		store_does(&fixture, (struct write){"ready", 6 + beat, 7, 0},
			   22 + (uint64_t)beat);
		pass(&fixture, BEAT_MS);
	}
	CU_ASSERT(gets_requests(&fixture));
	store_does(&fixture, (struct write){"draining", 20, 7, 0}, 40);
	CU_ASSERT(!gets_requests(&fixture));
	store_does(&fixture, (struct write){"ready", 19, 7, 0}, 41);
	CU_ASSERT(!gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* The same in a store that tells a change of the sequence alone to nobody. */
static void test_wrong_sequence_told_once(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"ready", 5, 7, 0}, 20);
	store_does(&fixture, (struct write){"draining", WRONG_SEQUENCE, 7, 0},
		   21);
	store_does(&fixture, (struct write){"ready", 6, 7, 0}, 22);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* Guards against a drain that isn't heard beside a count that is too high. */
static void test_wrong_sequence_hides_no_drain(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"ready", 5, 7, 0}, 20);
	store_does(&fixture, (struct write){"ready", WRONG_SEQUENCE, 7, 0}, 21);
	store_does(&fixture, (struct write){"ready", 6, 7, 0}, 22);
	store_does(&fixture, (struct write){"draining", 9, 7, 0}, 23);
	CU_ASSERT(!gets_requests(&fixture));
	store_does(&fixture, (struct write){"ready", 8, 7, 0}, 24);
	CU_ASSERT(!gets_requests(&fixture));
	pass(&fixture, BEAT_MS);
	CU_ASSERT(!gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* Guards against a late write that is taken for the server's own since an
 * outage of the store kept it from being overwritten. */
static void test_outage_confirms_nothing(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"draining", 26, 7, 0}, 20);
	store_does(&fixture, (struct write){"ready", 25, 7, 0}, 21);
	fixture_advance(&fixture, 3000);
	fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	fixture_advance(&fixture, 4000);
	CU_ASSERT(!gets_requests(&fixture));
	pass(&fixture, BEAT_MS);
	CU_ASSERT(!gets_requests(&fixture));
	store_does(&fixture, (struct write){"draining", 33, 7, 0}, 22);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(!gets_requests(&fixture));
	fixture_finish(&fixture);
}

/* Guards against the same through a list, read after the history was lost. */
static void test_late_write_in_a_list(void)
{
	struct fixture fixture;

	start(&fixture);
	store_does(&fixture, (struct write){"draining", 26, 7, 0}, 20);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_SERVERS, ERR_STALE);
	fixture_advance(&fixture, 1);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	store_does(&fixture, (struct write){"ready", 25, 7, 0}, 21);
	CU_ASSERT(find(&fixture) && !gets_requests(&fixture));
	fixture_advance(&fixture, 900);
	/* The next list lacks it: nothing is left to be confirmed. */
	fixture_fail(&fixture, STORE_SERVERS, ERR_STALE);
	fixture_advance(&fixture, 1);
	fixture_answer(&fixture, STORE_SERVERS, 30, NULL, 0);
	pass(&fixture, BEATS_MAX * BEAT_MS);
	CU_ASSERT(!find(&fixture));
	fixture_finish(&fixture);
}

/* Guards against writes of a restored store, or without a sequence, that are
 * taken for earlier ones. */
static void test_sequence_of_another_era(void)
{
	struct fixture fixture;

	start_in_era(&fixture, 1);
	store_does(&fixture, (struct write){"ready", 30, 7, 0}, 20);
	CU_ASSERT_EQUAL(find(&fixture)->entry.sequence, 30);
	fixture.era = 2;
	fixture_answer(&fixture, STORE_SERVERS, 11, NULL, 0);
	fixture_advance(&fixture, 900);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	store_does(&fixture, (struct write){"draining", 5, 7, 0}, 12);
	CU_ASSERT(find(&fixture) && !gets_requests(&fixture));
	CU_ASSERT_EQUAL(find(&fixture)->entry.sequence, 5);
	fixture_finish(&fixture);

	start(&fixture);
	store_does(&fixture, (struct write){"draining", 30, 7, 0}, 20);
	store_does(&fixture, (struct write){"ready", 0, 7, 0}, 21);
	CU_ASSERT(gets_requests(&fixture));
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"late write of a draining server", test_drained_stays_drained},
	{"late write that expires", test_late_write_expires},
	{"late write of a server that left", test_left_stays_away},
	{"an expired entry comes back", test_expired_comes_back},
	{"wrong sequence, drained", test_wrong_sequence_drained},
	{"wrong sequence, told once", test_wrong_sequence_told_once},
	{"wrong sequence before a drain", test_wrong_sequence_hides_no_drain},
	{"late write before an outage", test_outage_confirms_nothing},
	{"late write in a list", test_late_write_in_a_list},
	{"sequence of another era", test_sequence_of_another_era},
};

UNIT_MAIN("write_order", tests)
