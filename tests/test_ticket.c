#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "ticket.h"
#include "unit.h"

#define LIFETIME MSEC(60000)
#define DIGEST 77

static uint64_t counter;

static uint64_t count_up(void)
{
	return ++counter * 0x9e3779b97f4a7c15ULL;
}

struct fixture {
	struct clock clock;
	struct ticket_store book;
	char text[TICKET_TEXT_SIZE];
	struct ticket_id id;
	struct ticket_answer answer;
};

static void set_limits(struct fixture *f, int64_t tickets, int64_t bytes)
{
	struct ticket_limits limits = {
		.lifetime = LIFETIME,
		.tickets_max = tickets,
		.bytes_max = bytes,
		.answer_reserve = 64,
	};

	ticket_store_set_limits(&f->book, &limits);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(5));
	ticket_store_init(&f->book, &f->clock, STR("be1-a"), 42, count_up);
	set_limits(f, 100, 1 << 20);
}

static void issue(struct fixture *f)
{
	uint32_t retry;

	CU_ASSERT_EQUAL_FATAL(ticket_issue(&f->book, STR("desk"), f->text,
					   &retry),
			      0);
	CU_ASSERT_EQUAL_FATAL(ticket_parse(str_from(f->text), &f->id), 0);
}

static int use(struct fixture *f)
{
	return ticket_use(&f->book, &f->id, STR("desk"), DIGEST, &f->answer);
}

static void answer(struct fixture *f, int code, const char *body)
{
	struct ticket_answer given = {.code = code, .body = str_from(body)};

	ticket_answer(&f->book, f->id.sequence, &given);
}

struct waiter {
	struct ticket_waiter base;
	int calls;
	int code;
};

static void on_answered(struct ticket_waiter *base,
			const struct ticket_answer *given)
{
	struct waiter *waiter = (struct waiter *)base;

	waiter->calls++;
	waiter->code = given->code;
}

/*
 * A caller loses the answer to a van order and sends the order again. While
 * the first still runs, the second waits; both get the one answer, and so does
 * a third that comes later. The order runs once.
 */
static void test_repeat(void)
{
	struct waiter first = {.base.answered = on_answered};
	struct waiter second = {.base.answered = on_answered};
	struct fixture f;

	setup(&f);
	issue(&f);
	CU_ASSERT_EQUAL(use(&f), TICKET_FIRST);
	CU_ASSERT_EQUAL(ticket_wait(&f.book, f.id.sequence, &first.base), 0);
	CU_ASSERT_EQUAL(use(&f), TICKET_RUNNING);
	CU_ASSERT_EQUAL(ticket_wait(&f.book, f.id.sequence, &second.base), 0);
	answer(&f, 0, "van 7");
	CU_ASSERT_EQUAL(first.calls, 1);
	CU_ASSERT_EQUAL(second.calls, 1);
	answer(&f, ERR_UNKNOWN, "late");
	CU_ASSERT_EQUAL(second.calls, 1);
	CU_ASSERT_EQUAL(use(&f), TICKET_ANSWERED);
	CU_ASSERT_EQUAL(f.answer.code, 0);
	CU_ASSERT(str_eq_text(f.answer.body, "van 7"));
	CU_ASSERT_EQUAL(ticket_wait(&f.book, f.id.sequence, &first.base),
			ERR_TICKET);
	ticket_store_finish(&f.book);
}

/*
 * A caller makes tickets up, alters one, or uses one for another service or
 * request. Each is refused with its type, and the true ticket still works.
 */
static void test_made_up(void)
{
	struct fixture f;
	struct ticket_id bad;

	setup(&f);
	issue(&f);
	bad = f.id;
	bad.nonce ^= 1;
	CU_ASSERT_EQUAL(ticket_use(&f.book, &bad, STR("desk"), DIGEST,
				   &f.answer),
			ERR_TICKET);
	bad = f.id;
	bad.sequence = 9;
	CU_ASSERT_EQUAL(ticket_use(&f.book, &bad, STR("desk"), DIGEST,
				   &f.answer),
			ERR_TICKET);
	CU_ASSERT_EQUAL(ticket_use(&f.book, &f.id, STR("registry"), DIGEST,
				   &f.answer),
			ERR_TICKET);
	CU_ASSERT_EQUAL(use(&f), TICKET_FIRST);
	CU_ASSERT_EQUAL(ticket_use(&f.book, &f.id, STR("desk"), DIGEST + 1,
				   &f.answer),
			ERR_BAD_REQUEST);
	ticket_store_finish(&f.book);
}

static void test_parse(void)
{
	static const char *const bad[] = {
		"",
		"1-",
		"1-000000000000002a-0000000000000001-0000000000000001-",
		"1-000000000000002A-0000000000000001-0000000000000001-a",
		"1-00000000000000 a-0000000000000001-0000000000000001-a",
		"2-000000000000002a-0000000000000001-0000000000000001-a",
		"1-000000000000002a-0000000000000001-0000000000000001",
	};
	struct ticket_id id;
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		CU_ASSERT_EQUAL(ticket_parse(str_from(bad[i]), &id),
				ERR_TICKET);
	CU_ASSERT_EQUAL_FATAL(
		ticket_parse(STR("1-000000000000002a-0000000000000001-"
				 "00000000000000ff-be-a"),
			     &id),
		0);
	CU_ASSERT_EQUAL(id.incarnation, 42);
	CU_ASSERT_EQUAL(id.nonce, 255);
	CU_ASSERT(str_eq_text(id.instance, "be-a"));
}

/*
 * An instance crashes and starts again under its name. A ticket of its former
 * life must not run in its new one, where nothing is known of what ran.
 */
static void test_incarnation(void)
{
	struct fixture f;

	setup(&f);
	issue(&f);
	CU_ASSERT(ticket_is_own(&f.book, &f.id));
	f.book.incarnation = 43;
	CU_ASSERT_FALSE(ticket_is_own(&f.book, &f.id));
	ticket_store_finish(&f.book);
}

/*
 * A process is stopped for longer than a ticket's life and then reads a
 * request that came with it. The ticket is refused: as surely not run if it
 * was never used, as lost if it was. This holds after its entry is freed.
 */
static void test_expiry(void)
{
	struct ticket_id used;
	struct fixture f;

	setup(&f);
	issue(&f);
	CU_ASSERT_EQUAL(use(&f), TICKET_FIRST);
	answer(&f, 0, "van 7");
	used = f.id;
	issue(&f);
	clock_advance(&f.clock, LIFETIME - 1);
	CU_ASSERT_EQUAL(ticket_time_left(&f.book, used.sequence), 1);
	clock_advance(&f.clock, 1);
	CU_ASSERT_EQUAL(use(&f), ERR_TICKET_EXPIRED);
	CU_ASSERT_EQUAL(ticket_use(&f.book, &used, STR("desk"), DIGEST,
				   &f.answer),
			ERR_TICKET_LOST);
	ticket_expire(&f.book);
	CU_ASSERT_EQUAL(f.book.n_entries, 0);
	CU_ASSERT_EQUAL(f.book.bytes, 0);
	CU_ASSERT_EQUAL(use(&f), ERR_TICKET_EXPIRED);
	CU_ASSERT_EQUAL(ticket_use(&f.book, &used, STR("desk"), DIGEST,
				   &f.answer),
			ERR_TICKET_LOST);
	f.book.issued += TICKET_HISTORY;
	CU_ASSERT_EQUAL(use(&f), ERR_TICKET_LOST);
	ticket_store_finish(&f.book);
}

/* A request that runs when its ticket expires is still answered. */
static void test_expiry_while_running(void)
{
	struct waiter waiter = {.base.answered = on_answered};
	struct fixture f;

	setup(&f);
	issue(&f);
	CU_ASSERT_EQUAL(use(&f), TICKET_FIRST);
	ticket_wait(&f.book, f.id.sequence, &waiter.base);
	clock_advance(&f.clock, LIFETIME + 1);
	ticket_expire(&f.book);
	CU_ASSERT_EQUAL(use(&f), TICKET_RUNNING);
	answer(&f, 0, "van 7");
	CU_ASSERT_EQUAL(waiter.calls, 1);
	ticket_expire(&f.book);
	CU_ASSERT_EQUAL(f.book.n_entries, 0);
	ticket_store_finish(&f.book);
}

/*
 * A caller asks for tickets without end. Issuing is refused, as not run and
 * with a time to come back, before memory grows beyond its bounds; answers
 * already kept stay.
 */
static void test_bounds(void)
{
	char text[TICKET_TEXT_SIZE];
	uint32_t retry = 0;
	struct fixture f;
	int n = 0;

	setup(&f);
	set_limits(&f, 10, 1 << 20);
	while (!ticket_issue(&f.book, STR("desk"), text, &retry))
		n++;
	CU_ASSERT_EQUAL(n, 10);
	CU_ASSERT(retry > 0);
	clock_advance(&f.clock, LIFETIME);
	set_limits(&f, 1000, 2000);
	n = 0;
	while (!ticket_issue(&f.book, STR("desk"), text, &retry))
		n++;
	CU_ASSERT(n > 1);
	CU_ASSERT(f.book.bytes <= 2000);
	ticket_store_finish(&f.book);
}

/*
 * A backend server answers with more than was set aside, and the book is full.
 * The waiter gets it whole; a repeat learns that it ran, without the body.
 */
static void test_large_answer(void)
{
	static const char large[4096] = {'x'};
	struct ticket_answer given = {.body = {large, sizeof(large)}};
	struct fixture f;

	setup(&f);
	issue(&f);
	set_limits(&f, 10, f.book.bytes);
	CU_ASSERT_EQUAL(use(&f), TICKET_FIRST);
	ticket_answer(&f.book, f.id.sequence, &given);
	CU_ASSERT(f.book.bytes <= f.book.limits.bytes_max);
	CU_ASSERT_EQUAL(use(&f), TICKET_ANSWERED);
	CU_ASSERT_EQUAL(f.answer.code, 0);
	CU_ASSERT_EQUAL(f.answer.body.len, 0);
	ticket_store_finish(&f.book);
}

static const struct unit_test tests[] = {
	{"repeat", test_repeat},
	{"made up", test_made_up},
	{"parse", test_parse},
	{"incarnation", test_incarnation},
	{"expiry", test_expiry},
	{"expiry while running", test_expiry_while_running},
	{"bounds", test_bounds},
	{"large answer", test_large_answer},
};

UNIT_MAIN("ticket", tests)
