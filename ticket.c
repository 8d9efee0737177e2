#include "ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

#define TICKET_FORMAT_MARK "1-"
#define HEX_DIGITS 16
#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 5000

enum entry_state {
	ENTRY_OPEN,
	ENTRY_RUNNING,
	ENTRY_ANSWERED,
};

struct ticket_entry {
	uint64_t sequence;
	uint64_t nonce;
	uint64_t service;
	uint64_t digest;
	int64_t expires;
	int64_t bytes;
	enum entry_state state;
	struct ticket_answer answer;
	struct ticket_waiter *waiters;
	struct ticket_entry *prev;
	struct ticket_entry *next;
	UT_hash_handle hh;
};

static struct ticket_entry *find(const struct ticket_store *book,
				 uint64_t sequence)
{
	struct ticket_entry *entry;

	HASH_FIND(hh, book->entries, &sequence, sizeof(sequence), entry);
	return entry;
}

static uint8_t *used_byte(const struct ticket_store *book, uint64_t sequence)
{
	return &book->used[sequence % TICKET_HISTORY / 8];
}

static uint8_t used_mask(uint64_t sequence)
{
	return (uint8_t)(1U << (sequence % 8));
}

static void drop(struct ticket_store *book, struct ticket_entry *entry)
{
	HASH_DEL(book->entries, entry);
	DL_DELETE(book->oldest, entry);
	book->n_entries--;
	book->bytes -= entry->bytes;
	free((char *)entry->answer.body.data);
	free(entry);
}

void ticket_store_init(struct ticket_store *book, const struct clock *clock,
		       struct str instance, uint64_t incarnation,
		       uint64_t (*random)(void))
{
	memset(book, 0, sizeof(*book));
	book->clock = clock;
	book->instance = instance;
	book->incarnation = incarnation;
	book->random = random;
	book->used = mem_zalloc(TICKET_HISTORY / 8);
}

void ticket_store_finish(struct ticket_store *book)
{
	static const struct ticket_answer unknown = {.code = ERR_UNKNOWN};
	struct ticket_entry *entry;
	struct ticket_entry *next;

	for (entry = book->oldest; entry; entry = next) {
		next = entry->next;
		ticket_answer(book, entry->sequence, &unknown);
		drop(book, entry);
	}
	free(book->used);
	book->used = NULL;
}

void ticket_store_set_limits(struct ticket_store *book,
			     const struct ticket_limits *limits)
{
	book->limits = *limits;
}

static int64_t entry_cost(const struct ticket_store *book)
{
	return (int64_t)sizeof(struct ticket_entry) +
	       book->limits.answer_reserve;
}

/* Until the oldest entry goes, spread so that not all come back at once. */
static uint32_t retry_after(const struct ticket_store *book, int64_t now)
{
	int64_t ms = RETRY_MIN_MS;

	if (book->oldest)
		ms += (book->oldest->expires - now) / USEC_PER_MSEC;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms + (int64_t)(book->random() % (uint64_t)ms) / 2);
}

int ticket_issue(struct ticket_store *book, struct str service, char *text,
		 uint32_t *retry_after_ms)
{
	int64_t now = clock_now(book->clock);
	struct ticket_entry *entry;

	ticket_expire(book);
	if (book->n_entries >= book->limits.tickets_max ||
	    book->bytes + entry_cost(book) > book->limits.bytes_max) {
		*retry_after_ms = retry_after(book, now);
		return ERR_OVERLOAD;
	}
	entry = mem_zalloc(sizeof(*entry));
	entry->sequence = ++book->issued;
	entry->nonce = book->random();
	entry->service = str_hash(service);
	entry->expires = now + book->limits.lifetime;
	entry->bytes = entry_cost(book);
	*used_byte(book, entry->sequence) &=
		(uint8_t)~used_mask(entry->sequence);
	HASH_ADD(hh, book->entries, sequence, sizeof(entry->sequence), entry);
	DL_APPEND(book->oldest, entry);
	book->n_entries++;
	book->bytes += entry->bytes;
	snprintf(text, TICKET_TEXT_SIZE,
		 TICKET_FORMAT_MARK "%016" PRIx64 "-%016" PRIx64 "-%016" PRIx64
				    "-" STR_FMT,
		 book->incarnation, entry->sequence, entry->nonce,
		 STR_ARG(book->instance));
	return 0;
}

/* Sixteen lower-case digits and a dash, taken off the front of @rest. */
static int take_number(struct str *rest, uint64_t *out)
{
	char digits[HEX_DIGITS + 1];

	if (rest->len <= HEX_DIGITS || rest->data[HEX_DIGITS] != '-')
		return ERR_TICKET;
	memcpy(digits, rest->data, HEX_DIGITS);
	digits[HEX_DIGITS] = '\0';
	if (strspn(digits, "0123456789abcdef") != HEX_DIGITS)
		return ERR_TICKET;
	*out = strtoull(digits, NULL, 16);
	rest->data += HEX_DIGITS + 1;
	rest->len -= HEX_DIGITS + 1;
	return 0;
}

int ticket_parse(struct str text, struct ticket_id *out)
{
	const size_t mark = sizeof(TICKET_FORMAT_MARK) - 1;
	struct str rest = text;

	if (text.len < mark || text.len >= TICKET_TEXT_SIZE ||
	    memcmp(text.data, TICKET_FORMAT_MARK, mark))
		return ERR_TICKET;
	rest.data += mark;
	rest.len -= mark;
	if (take_number(&rest, &out->incarnation) ||
	    take_number(&rest, &out->sequence) ||
	    take_number(&rest, &out->nonce) || !rest.len)
		return ERR_TICKET;
	out->instance = rest;
	return 0;
}

bool ticket_is_own(const struct ticket_store *book, const struct ticket_id *id)
{
	return id->incarnation == book->incarnation &&
	       str_eq(id->instance, book->instance);
}

/* A ticket whose entry is gone, or whose time is over before its first use. */
static int judge_expired(const struct ticket_store *book, uint64_t sequence)
{
	if (!sequence || sequence > book->issued)
		return ERR_TICKET;
	if (book->issued - sequence >= TICKET_HISTORY)
		return ERR_TICKET_LOST;
	if (*used_byte(book, sequence) & used_mask(sequence))
		return ERR_TICKET_LOST;
	return ERR_TICKET_EXPIRED;
}

int ticket_use(struct ticket_store *book, const struct ticket_id *id,
	       struct str service, uint64_t digest,
	       struct ticket_answer *answer)
{
	int64_t now = clock_now(book->clock);
	struct ticket_entry *entry = find(book, id->sequence);

	if (!entry)
		return judge_expired(book, id->sequence);
	if (entry->nonce != id->nonce || entry->service != str_hash(service))
		return ERR_TICKET;
	if (entry->state != ENTRY_OPEN && entry->digest != digest)
		return ERR_BAD_REQUEST;
	if (entry->state == ENTRY_RUNNING)
		return TICKET_RUNNING;
	/*
	 * A process that was stopped wakes late and reads a ticket that came
	 * before: the clock went on meanwhile, so the ticket is over.
	 */
	if (now >= entry->expires)
		return judge_expired(book, id->sequence);
	if (entry->state == ENTRY_ANSWERED) {
		*answer = entry->answer;
		return TICKET_ANSWERED;
	}
	entry->state = ENTRY_RUNNING;
	entry->digest = digest;
	*used_byte(book, id->sequence) |= used_mask(id->sequence);
	return TICKET_FIRST;
}

int64_t ticket_time_left(const struct ticket_store *book, uint64_t sequence)
{
	const struct ticket_entry *entry = find(book, sequence);
	int64_t left = entry ? entry->expires - clock_now(book->clock) : 0;

	return left > 0 ? left : 0;
}

int ticket_wait(struct ticket_store *book, uint64_t sequence,
		struct ticket_waiter *waiter)
{
	struct ticket_entry *entry = find(book, sequence);

	if (!entry || entry->state != ENTRY_RUNNING)
		return ERR_TICKET;
	waiter->entry = entry;
	DL_APPEND(entry->waiters, waiter);
	return 0;
}

void ticket_unwait(struct ticket_waiter *waiter)
{
	if (!waiter->entry)
		return;
	DL_DELETE(waiter->entry->waiters, waiter);
	waiter->entry = NULL;
}

/* The body is kept in what was set aside, and above that while there is room.
 */
static void keep_answer(struct ticket_store *book, struct ticket_entry *entry,
			const struct ticket_answer *answer)
{
	int64_t bytes = (int64_t)sizeof(*entry) + (int64_t)answer->body.len;

	entry->state = ENTRY_ANSWERED;
	entry->answer = *answer;
	entry->answer.body = (struct str){NULL, 0};
	book->bytes -= entry->bytes;
	if (bytes > entry->bytes &&
	    book->bytes + bytes > book->limits.bytes_max)
		bytes = (int64_t)sizeof(*entry);
	else if (answer->body.len)
		entry->answer.body = (struct str){mem_dup_len(answer->body.data,
							      answer->body.len),
						  answer->body.len};
	entry->bytes = bytes;
	book->bytes += bytes;
}

void ticket_answer(struct ticket_store *book, uint64_t sequence,
		   const struct ticket_answer *answer)
{
	struct ticket_entry *entry = find(book, sequence);
	struct ticket_waiter *waiter;

	if (!entry || entry->state != ENTRY_RUNNING)
		return;
	keep_answer(book, entry, answer);
	/* A waiter may use the book and other waiters: looked up each time. */
	while ((entry = find(book, sequence)) && entry->waiters) {
		waiter = entry->waiters;
		ticket_unwait(waiter);
		waiter->answered(waiter, answer);
	}
}

void ticket_expire(struct ticket_store *book)
{
	int64_t now = clock_now(book->clock);
	struct ticket_entry *entry;
	struct ticket_entry *next;

	for (entry = book->oldest; entry; entry = next) {
		next = entry->next;
		if (entry->expires > now)
			break;
		if (entry->state != ENTRY_RUNNING && !entry->waiters)
			drop(book, entry);
	}
}
