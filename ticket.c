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

#define TICKET_FORMAT_PREFIX "1-"
#define HEX_DIGITS 16
/* Bounds of the retry time, before jitter. */
#define RETRY_MIN_MS 20
#define RETRY_MAX_MS 5000

enum entry_state {
	ENTRY_UNUSED,
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

static struct ticket_entry *find_entry(const struct ticket_store *store,
				       uint64_t sequence)
{
	struct ticket_entry *entry;

	HASH_FIND(hh, store->entries, &sequence, sizeof(sequence), entry);
	return entry;
}

static uint8_t *used_byte(const struct ticket_store *store, uint64_t sequence)
{
	return &store->used[sequence % TICKET_HISTORY / 8];
}

static uint8_t used_mask(uint64_t sequence)
{
	return (uint8_t)(1U << (sequence % 8));
}

static void remove_entry(struct ticket_store *store, struct ticket_entry *entry)
{
	HASH_DEL(store->entries, entry);
	DL_DELETE(store->oldest, entry);
	store->n_entries--;
	store->bytes -= entry->bytes;
	free((char *)entry->answer.body.data);
	free(entry);
}

void ticket_store_init(struct ticket_store *store, const struct clock *clock,
		       struct str instance, uint64_t incarnation,
		       uint64_t (*random)(void))
{
	memset(store, 0, sizeof(*store));
	store->clock = clock;
	store->instance = instance;
	store->incarnation = incarnation;
	store->random = random;
	store->used = mem_zalloc(TICKET_HISTORY / 8);
}

void ticket_store_finish(struct ticket_store *store)
{
	static const struct ticket_answer unknown = {.code = ERR_UNKNOWN};
	struct ticket_entry *entry;
	struct ticket_entry *next;

	for (entry = store->oldest; entry; entry = next) {
		next = entry->next;
		ticket_answer(store, entry->sequence, &unknown);
		remove_entry(store, entry);
	}
	free(store->used);
	store->used = NULL;
}

void ticket_store_set_limits(struct ticket_store *store,
			     const struct ticket_limits *limits)
{
	store->limits = *limits;
}

static int64_t entry_cost(const struct ticket_store *store)
{
	return (int64_t)sizeof(struct ticket_entry) +
	       store->limits.answer_reserve;
}

/*
 * Time until the oldest entry expires, with up to 50% of jitter so that callers
 * don't all retry at once. Milliseconds.
 */
static uint32_t retry_after(const struct ticket_store *store, int64_t now)
{
	int64_t ms = RETRY_MIN_MS;

	if (store->oldest)
		ms += (store->oldest->expires - now) / USEC_PER_MSEC;
	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	if (ms > RETRY_MAX_MS)
		ms = RETRY_MAX_MS;
	return (uint32_t)(ms + (int64_t)(store->random() % (uint64_t)ms) / 2);
}

int ticket_issue(struct ticket_store *store, struct str service, char *text,
		 uint32_t *retry_after_ms)
{
	int64_t now = clock_now(store->clock);
	struct ticket_entry *entry;

	ticket_expire(store);
	if (store->n_entries >= store->limits.tickets_max ||
	    store->bytes + entry_cost(store) > store->limits.bytes_max) {
		*retry_after_ms = retry_after(store, now);
		return ERR_OVERLOAD;
	}
	entry = mem_zalloc(sizeof(*entry));
	entry->sequence = ++store->issued;
	entry->nonce = store->random();
	entry->service = str_hash(service);
	entry->expires = now + store->limits.lifetime;
	entry->bytes = entry_cost(store);
	*used_byte(store, entry->sequence) &=
		(uint8_t)~used_mask(entry->sequence);
	HASH_ADD(hh, store->entries, sequence, sizeof(entry->sequence), entry);
	DL_APPEND(store->oldest, entry);
	store->n_entries++;
	store->bytes += entry->bytes;
	snprintf(text, TICKET_TEXT_SIZE,
		 TICKET_FORMAT_PREFIX "%016" PRIx64 "-%016" PRIx64
				      "-%016" PRIx64 "-" STR_FMT,
		 store->incarnation, entry->sequence, entry->nonce,
		 STR_ARG(store->instance));
	return 0;
}

/* Consumes 16 lower-case hexadecimal digits and a dash from @rest. */
static int parse_hex(struct str *rest, uint64_t *out)
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
	const size_t prefix_len = sizeof(TICKET_FORMAT_PREFIX) - 1;
	struct str rest = text;

	if (text.len < prefix_len || text.len >= TICKET_TEXT_SIZE ||
	    memcmp(text.data, TICKET_FORMAT_PREFIX, prefix_len))
		return ERR_TICKET;
	rest.data += prefix_len;
	rest.len -= prefix_len;
	if (parse_hex(&rest, &out->incarnation) ||
	    parse_hex(&rest, &out->sequence) || parse_hex(&rest, &out->nonce) ||
	    !rest.len)
		return ERR_TICKET;
	out->instance = rest;
	return 0;
}

bool ticket_is_own(const struct ticket_store *store, const struct ticket_id *id)
{
	return id->incarnation == store->incarnation &&
	       str_eq(id->instance, store->instance);
}

/* Error for a ticket that has no entry or has expired. */
static int expired_error(const struct ticket_store *store, uint64_t sequence)
{
	if (!sequence || sequence > store->issued)
		return ERR_TICKET;
	if (store->issued - sequence >= TICKET_HISTORY)
		return ERR_TICKET_LOST;
	if (*used_byte(store, sequence) & used_mask(sequence))
		return ERR_TICKET_LOST;
	return ERR_TICKET_EXPIRED;
}

int ticket_use(struct ticket_store *store, const struct ticket_id *id,
	       struct str service, uint64_t digest,
	       struct ticket_answer *answer)
{
	int64_t now = clock_now(store->clock);
	struct ticket_entry *entry = find_entry(store, id->sequence);

	if (!entry)
		return expired_error(store, id->sequence);
	if (entry->nonce != id->nonce || entry->service != str_hash(service))
		return ERR_TICKET;
	if (entry->state != ENTRY_UNUSED && entry->digest != digest)
		return ERR_BAD_REQUEST;
	if (entry->state == ENTRY_RUNNING)
		return TICKET_RUNNING;
	/*
	 * A process that was stopped may read a ticket that arrived before its
	 * expiry. The clock has advanced in the meantime, so the ticket has
	 * expired.
	 */
	if (now >= entry->expires)
		return expired_error(store, id->sequence);
	if (entry->state == ENTRY_ANSWERED) {
		*answer = entry->answer;
		return TICKET_ANSWERED;
	}
	entry->state = ENTRY_RUNNING;
	entry->digest = digest;
	*used_byte(store, id->sequence) |= used_mask(id->sequence);
	return TICKET_FIRST;
}

int64_t ticket_time_left(const struct ticket_store *store, uint64_t sequence)
{
	const struct ticket_entry *entry = find_entry(store, sequence);
	int64_t left = entry ? entry->expires - clock_now(store->clock) : 0;

	return left > 0 ? left : 0;
}

int ticket_wait(struct ticket_store *store, uint64_t sequence,
		struct ticket_waiter *waiter)
{
	struct ticket_entry *entry = find_entry(store, sequence);

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

/*
 * Stores the body if it fits into the bytes reserved for the ticket or into the
 * free bytes of the store, and drops it otherwise.
 */
static void store_answer(struct ticket_store *store, struct ticket_entry *entry,
			 const struct ticket_answer *answer)
{
	int64_t bytes = (int64_t)sizeof(*entry) + (int64_t)answer->body.len;

	entry->state = ENTRY_ANSWERED;
	entry->answer = *answer;
	entry->answer.body = (struct str){NULL, 0};
	store->bytes -= entry->bytes;
	if (bytes > entry->bytes &&
	    store->bytes + bytes > store->limits.bytes_max)
		bytes = (int64_t)sizeof(*entry);
	else if (answer->body.len)
		entry->answer.body = (struct str){mem_dup_len(answer->body.data,
							      answer->body.len),
						  answer->body.len};
	entry->bytes = bytes;
	store->bytes += bytes;
}

void ticket_answer(struct ticket_store *store, uint64_t sequence,
		   const struct ticket_answer *answer)
{
	struct ticket_entry *entry = find_entry(store, sequence);
	struct ticket_waiter *waiter;

	if (!entry || entry->state != ENTRY_RUNNING)
		return;
	store_answer(store, entry, answer);
	/* A waiter may change the store and other waiters, so look up again. */
	while ((entry = find_entry(store, sequence)) && entry->waiters) {
		waiter = entry->waiters;
		ticket_unwait(waiter);
		waiter->answered(waiter, answer);
	}
}

void ticket_expire(struct ticket_store *store)
{
	int64_t now = clock_now(store->clock);
	struct ticket_entry *entry;
	struct ticket_entry *next;

	for (entry = store->oldest; entry; entry = next) {
		next = entry->next;
		if (entry->expires > now)
			break;
		if (entry->state != ENTRY_RUNNING && !entry->waiters)
			remove_entry(store, entry);
	}
}
