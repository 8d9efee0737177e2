#include "budget.h"
#include "clock.h"
#include "delivery.h"
#include "error.h"
#include "registry.h"
#include "unit.h"

#define SENT_AT MSEC(1000)

/**
 * struct fixture - a service with one server
 */
struct fixture {
	struct registry registry;
	struct registry_service *service;
	struct registry_server *server;
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void put_server(struct fixture *fixture, int64_t started_at_ms)
{
	struct server_entry entry = {.id = "one-1",
				     .service = "one",
				     .started_at_ms = started_at_ms};

	registry_put(&fixture->registry, &entry, (uint64_t)started_at_ms);
	fixture->server = registry_find(&fixture->registry, STR("one-1"));
}

static void fixture_init(struct fixture *fixture)
{
	registry_init(&fixture->registry, STR("dc"), on_closing, NULL);
	put_server(fixture, 1);
	fixture->service = fixture->server->service;
}

static void fixture_finish(struct fixture *fixture)
{
	registry_finish(&fixture->registry);
}

/* A send whose part was answered by another server ends without a sign. */
static void add_unread(struct fixture *fixture, int64_t ended_at)
{
	struct delivery *delivery =
		delivery_new(&fixture->service->budget, true);

	unread_sends_end(fixture->server, delivery, DELIVERY_UNKNOWN, SENT_AT,
			 ended_at);
}

static int unread(const struct fixture *fixture)
{
	return fixture->service->budget.unread;
}

/* Guards against counting no send when the first one arrives last. */
static void test_first_arrival_is_no_second(void)
{
	struct budget budget = {0};
	struct delivery *delivery = delivery_new(&budget, false);

	CU_ASSERT(budget.unread == 0);
	delivery_add(delivery);
	CU_ASSERT(budget.unread == 1);
	delivery_end(delivery, true);
	CU_ASSERT(budget.unread == 1);
	delivery_end(delivery, true);
	CU_ASSERT(budget.unread == 0);
}

/* Guards against counting a send that was never made. */
static void test_unsent(void)
{
	struct budget budget = {0};
	struct delivery *delivery = delivery_new(&budget, false);

	delivery_add(delivery);
	delivery_end(delivery, false);
	CU_ASSERT(budget.unread == 0);
	delivery_end(delivery, false);
}

/* Guards against taking an answer to an earlier request for a sign. */
static void test_answer_to_later_request(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	add_unread(&fixture, SENT_AT + MSEC(300));
	unread_sends_answered(fixture.server, SENT_AT + MSEC(200),
			      SENT_AT + MSEC(5000));
	CU_ASSERT(unread(&fixture) == 1);
	unread_sends_answered(fixture.server, SENT_AT + MSEC(400),
			      SENT_AT + MSEC(6000));
	CU_ASSERT(unread(&fixture) == 0);
	fixture_finish(&fixture);
}

/* Guards against dropping sends to a server whose lease ended as it stood. */
static void test_removed_server(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	add_unread(&fixture, SENT_AT);
	registry_remove(&fixture.registry, STR("one-1"), 2);
	CU_ASSERT(unread(&fixture) == 1);
	unread_sends_expire(&fixture.service->unread_sends,
			    SENT_AT + MSEC(19000));
	CU_ASSERT(unread(&fixture) == 1);
	unread_sends_expire(&fixture.service->unread_sends,
			    SENT_AT + MSEC(20000));
	CU_ASSERT(unread(&fixture) == 0);
	fixture_finish(&fixture);
}

/* Guards against counting sends for ever to a server that stays silent. */
static void test_silent_server(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	add_unread(&fixture, SENT_AT);
	unread_sends_expire(&fixture.service->unread_sends,
			    SENT_AT + MSEC(59000));
	CU_ASSERT(unread(&fixture) == 1);
	unread_sends_expire(&fixture.service->unread_sends,
			    SENT_AT + MSEC(60000));
	CU_ASSERT(unread(&fixture) == 0);
	fixture_finish(&fixture);
}

/* Guards against sends counted for a process that has ended. */
static void test_restarted_server(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	add_unread(&fixture, SENT_AT);
	put_server(&fixture, 2);
	CU_ASSERT(unread(&fixture) == 0);
	add_unread(&fixture, SENT_AT);
	fixture_finish(&fixture);
}

/* Guards against second sends that stop, as nobody asks a slow server. */
static void test_servers_are_asked(void)
{
	struct fixture fixture;
	struct unread_send **sends;

	fixture_init(&fixture);
	sends = &fixture.service->unread_sends;
	CU_ASSERT_PTR_NULL(unread_sends_to_ask(*sends, SENT_AT));
	add_unread(&fixture, SENT_AT);
	CU_ASSERT_PTR_EQUAL(unread_sends_to_ask(*sends, SENT_AT),
			    fixture.server);
	CU_ASSERT_PTR_NULL(unread_sends_to_ask(*sends, SENT_AT));
	unread_sends_answered(fixture.server, SENT_AT + 1, SENT_AT + MSEC(1));
	CU_ASSERT(unread(&fixture) == 0);
	add_unread(&fixture, SENT_AT + MSEC(2));
	CU_ASSERT_PTR_EQUAL(unread_sends_to_ask(*sends, SENT_AT + MSEC(2)),
			    fixture.server);
	fixture_finish(&fixture);
}

/* Guards against a load of questions on a server that stands still. */
static void test_silent_server_is_asked_seldom(void)
{
	struct fixture fixture;
	int asked = 0;
	int ms;

	fixture_init(&fixture);
	add_unread(&fixture, SENT_AT);
	for (ms = 0; ms < 60000; ms += 5) {
		if (unread_sends_to_ask(fixture.service->unread_sends,
					SENT_AT + MSEC(ms)))
			asked++;
	}
	CU_ASSERT(asked >= 5 && asked <= 12);
	CU_ASSERT(unread(&fixture) == 1);
	fixture_finish(&fixture);
}

/* Guards against results that are taken for a sign of the server. */
static void test_ends(void)
{
	CU_ASSERT(delivery_outcome_of(0, false) == DELIVERY_RECEIVED);
	CU_ASSERT(delivery_outcome_of(ERR_SHED, true) == DELIVERY_RECEIVED);
	CU_ASSERT(delivery_outcome_of(ERR_SILENT, false) == DELIVERY_UNKNOWN);
	CU_ASSERT(delivery_outcome_of(ERR_TOO_LATE, false) == DELIVERY_UNKNOWN);
	CU_ASSERT(delivery_outcome_of(ERR_TOO_LATE, true) == DELIVERY_UNSENT);
	CU_ASSERT(delivery_outcome_of(ERR_CONNECT, true) == DELIVERY_UNSENT);
	CU_ASSERT(delivery_outcome_of(ERR_CANCELLED, true) == DELIVERY_UNSENT);
}

static const struct unit_test tests[] = {
	{"first arrival is no second", test_first_arrival_is_no_second},
	{"unsent", test_unsent},
	{"answer to a later request", test_answer_to_later_request},
	{"removed server", test_removed_server},
	{"silent server", test_silent_server},
	{"restarted server", test_restarted_server},
	{"servers are asked", test_servers_are_asked},
	{"a silent server is asked seldom", test_silent_server_is_asked_seldom},
	{"ends", test_ends},
};

UNIT_MAIN("delivery", tests)
