#include "return_book.h"
#include "unit.h"

#define START MSEC(1000000)
#define SERVICE 7

static struct return_request ask_of(uint64_t fingerprint, int level)
{
	return (struct return_request){
		.fingerprint = fingerprint,
		.service = SERVICE,
		.level = level,
		.cost = MSEC(10),
		.room = 1000000, /* 20 promises a second */
		.patience = MSEC(300),
	};
}

/* Promises to all who are refused at once would only move the crowd */
static void test_promises_are_spread(void)
{
	struct clock clock;
	struct return_schedule book;
	struct scheduled_return entry;
	struct return_request ask;
	uint64_t i;

	clock_init_paused(&clock, START);
	return_schedule_init(&book, &clock);
	for (i = 1; i <= 6; i++) {
		ask = ask_of(i, 1);
		CU_ASSERT(return_schedule_offer(&book, &ask, &entry) ==
			  MSEC(50) * (int64_t)i);
		CU_ASSERT(entry.kept);
	}
	ask = ask_of(7, 1);
	CU_ASSERT(return_schedule_offer(&book, &ask, &entry) == MSEC(350));
	CU_ASSERT(!entry.kept);
	/* The more urgent come first, and the others after them. */
	ask = ask_of(8, 0);
	CU_ASSERT(return_schedule_offer(&book, &ask, &entry) == MSEC(50));
	ask = ask_of(9, 1);
	CU_ASSERT(return_schedule_offer(&book, &ask, &entry) == MSEC(400));
	/* It was told by whom it asked that there is none before. */
	ask = ask_of(10, 0);
	ask.room_in = MSEC(120);
	CU_ASSERT(return_schedule_offer(&book, &ask, &entry) == MSEC(170));
	return_schedule_finish(&book);
}

static enum return_state arrival(struct return_schedule *book,
				 uint64_t fingerprint)
{
	return return_schedule_check(book,
				     return_schedule_find(book, fingerprint));
}

/* Early is refused, in time let in, late forgotten; used up elsewhere too */
static void test_return_in_time(void)
{
	const struct return_request one = ask_of(1, 0);
	const struct return_request two = ask_of(2, 0);
	struct clock clock;
	struct return_schedule book;
	struct scheduled_return entry;

	clock_init_paused(&clock, START);
	return_schedule_init(&book, &clock);
	return_schedule_offer(&book, &one, &entry);
	return_schedule_offer(&book, &two, &entry);
	CU_ASSERT(arrival(&book, 1) == RETURN_EARLY);
	CU_ASSERT(arrival(&book, 3) == RETURN_NONE);
	clock_advance(&clock, MSEC(50));
	CU_ASSERT(arrival(&book, 1) == RETURN_DUE);
	CU_ASSERT(arrival(&book, 2) == RETURN_EARLY);
	return_schedule_remove(&book, 1);
	CU_ASSERT(arrival(&book, 1) == RETURN_NONE);
	clock_advance(&clock, MSEC(50));
	CU_ASSERT(arrival(&book, 2) == RETURN_DUE);
	entry.taken = true;
	return_schedule_receive(&book, &entry);
	CU_ASSERT(arrival(&book, 2) == RETURN_NONE);
	return_schedule_offer(&book, &one, &entry);
	clock_advance(&clock, MSEC(1000));
	CU_ASSERT(arrival(&book, 1) == RETURN_NONE);
	return_schedule_finish(&book);
}

/* A crowd of refused callers must not take an instance's memory */
static void test_book_is_bounded(void)
{
	struct clock clock;
	struct return_schedule book;
	struct scheduled_return entry;
	uint64_t i;

	clock_init_paused(&clock, START);
	return_schedule_init(&book, &clock);
	for (i = 1; i <= RETURN_SCHEDULE_MAX + 1; i++) {
		const struct return_request ask = ask_of(i, 0);

		return_schedule_offer(&book, &ask, &entry);
	}
	CU_ASSERT(HASH_COUNT(book.entries) == RETURN_SCHEDULE_MAX);
	CU_ASSERT(!entry.kept);
	clock_advance(&clock, MSEC(5000));
	return_schedule_receive(&book, &entry);
	CU_ASSERT(HASH_COUNT(book.entries) == 0);
	return_schedule_finish(&book);
}

static const struct unit_test tests[] = {
	{"promises are spread", test_promises_are_spread},
	{"return in time", test_return_in_time},
	{"book is bounded", test_book_is_bounded},
};

UNIT_MAIN("return book", tests)
