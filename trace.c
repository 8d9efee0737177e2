#include "trace.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "error.h"
#include "mem.h"

/* Ranks of a part: the highest are kept first. */
#define RANK_FAILED 33
#define RANKS (RANK_FAILED + 1)

struct trace_name {
	uint32_t refs;
	size_t len;
	UT_hash_handle hh;
	char text[];
};

static int64_t name_size(const struct trace_name *name)
{
	return (int64_t)(sizeof(*name) + name->len + 1);
}

static struct trace_name *hold_name(struct trace_store *book, struct str text)
{
	struct trace_name *name;

	HASH_FIND(hh, book->names, text.data, text.len, name);
	if (name) {
		name->refs++;
		return name;
	}
	name = mem_zalloc(sizeof(*name) + text.len + 1);
	name->refs = 1;
	name->len = text.len;
	memcpy(name->text, text.data, text.len);
	HASH_ADD_KEYPTR(hh, book->names, name->text, name->len, name);
	book->name_bytes += name_size(name);
	return name;
}

static void release_name(struct trace_store *book, struct trace_name *name)
{
	if (--name->refs)
		return;
	book->name_bytes -= name_size(name);
	HASH_DEL(book->names, name);
	free(name);
}

const char *trace_name_text(const struct trace_name *name)
{
	return name->text;
}

static void release_part(struct trace_store *book, struct trace_part *part)
{
	release_name(book, part->server);
	release_name(book, part->home);
}

void trace_store_init(struct trace_store *book, const struct clock *clock)
{
	memset(book, 0, sizeof(*book));
	book->clock = clock;
}

static struct trace_list *list_of(struct trace_store *book,
				  const struct trace *trace)
{
	return trace->summary.notable ? &book->notable : &book->ordinary;
}

static void drop(struct trace_store *book, struct trace *trace)
{
	struct trace_list *list = list_of(book, trace);
	int i;

	DL_DELETE(list->first, trace);
	list->n--;
	list->bytes -= (int64_t)trace->bytes;
	for (i = 0; i < trace->n_parts; i++)
		release_part(book, &trace->parts[i]);
	free(trace);
}

static void evict(struct trace_store *book, struct trace *trace)
{
	if (!book->evicted)
		book->evicted =
			mem_zalloc(TRACE_EVICTED_MAX * sizeof(*book->evicted));
	book->evicted[book->n_evicted++ % TRACE_EVICTED_MAX] = trace->id_hash;
	drop(book, trace);
}

void trace_store_finish(struct trace_store *book)
{
	while (book->ordinary.first)
		drop(book, book->ordinary.first);
	while (book->notable.first)
		drop(book, book->notable.first);
	free(book->evicted);
}

int64_t trace_store_count(const struct trace_store *book)
{
	return book->ordinary.n + book->notable.n;
}

int64_t trace_store_bytes(const struct trace_store *book)
{
	return book->ordinary.bytes + book->notable.bytes + book->name_bytes;
}

static bool is_over(const struct trace_store *book)
{
	return trace_store_count(book) > book->limits.max ||
	       trace_store_bytes(book) > book->limits.bytes_max;
}

static bool is_over_half(const struct trace_store *book,
			 const struct trace_list *list)
{
	return list->n > book->limits.max / 2 ||
	       list->bytes > book->limits.bytes_max / 2;
}

/*
 * Under load the few requests that went wrong are the ones asked for, and the
 * many that went well would push them out: half of the book is theirs.
 */
static struct trace *choose_victim(const struct trace_store *book)
{
	if (!book->ordinary.first)
		return book->notable.first;
	if (book->notable.first && is_over_half(book, &book->notable))
		return book->notable.first;
	return book->ordinary.first;
}

static void make_room(struct trace_store *book)
{
	struct trace *victim;

	while (is_over(book)) {
		victim = choose_victim(book);
		if (!victim)
			return;
		evict(book, victim);
	}
}

void trace_store_set_limits(struct trace_store *book,
			    const struct trace_limits *limits)
{
	book->limits = *limits;
	make_room(book);
}

static int rank(const struct trace_part *part)
{
	uint32_t took = part->back_us - part->sent_us;

	if (part->code || !part->is_back)
		return RANK_FAILED;
	return took ? 32 - __builtin_clz(took) : 0;
}

/* The rank above which all parts fit into @max. */
static int cut_rank(const struct trace_log *log, int max)
{
	int counts[RANKS] = {0};
	int sum = 0;
	int i;

	for (i = 0; i < log->n; i++)
		counts[rank(&log->parts[i])]++;
	for (i = RANKS - 1; i >= 0; i--) {
		sum += counts[i];
		if (sum > max)
			return i;
	}
	return -1;
}

static int count_above(const struct trace_log *log, int cut)
{
	int n = 0;
	int i;

	for (i = 0; i < log->n; i++)
		n += rank(&log->parts[i]) > cut;
	return n;
}

/* Moves the parts worth keeping, in the order sent, and their names. */
static void take_parts(struct trace *trace, struct trace_log *log, int max)
{
	int cut = cut_rank(log, max);
	int room = max - count_above(log, cut);
	int i;

	for (i = 0; i < log->n; i++) {
		struct trace_part *part = &log->parts[i];
		int part_rank = rank(part);

		if (part_rank < cut || (part_rank == cut && room-- <= 0)) {
			release_part(log->book, part);
			continue;
		}
		trace->parts[trace->n_parts++] = *part;
	}
	trace->n_left_out = log->n - trace->n_parts;
	log->n = 0;
	log->base = 0;
}

void trace_store_add(struct trace_store *book,
		     const struct trace_summary *summary, struct trace_log *log)
{
	int max = (int)book->limits.parts_max;
	struct trace_list *list;
	struct trace *trace;
	size_t size;
	int n = log ? log->n : 0;

	if (n > max)
		n = max;
	size = sizeof(*trace) + (size_t)n * sizeof(*trace->parts);
	trace = mem_zalloc(size);
	trace->summary = *summary;
	trace->bytes = size;
	trace->id_hash = str_hash(str_from(summary->request_id));
	trace->ended_at = clock_now(book->clock);
	trace->number = ++book->n_added;
	if (log)
		take_parts(trace, log, max);
	list = list_of(book, trace);
	DL_APPEND(list->first, trace);
	list->n++;
	list->bytes += (int64_t)size;
	make_room(book);
}

/* The newest of a list with that id, or the newest older than @before. */
static const struct trace *find_in(const struct trace_list *list,
				   struct str request_id,
				   const struct trace *before)
{
	uint64_t hash = str_hash(request_id);
	const struct trace *found = NULL;
	const struct trace *trace;

	DL_FOREACH (list->first, trace) {
		if (before && trace->number >= before->number)
			break;
		if (trace->id_hash == hash &&
		    str_eq_text(request_id, trace->summary.request_id))
			found = trace;
	}
	return found;
}

static bool was_evicted(const struct trace_store *book, struct str request_id)
{
	uint64_t hash = str_hash(request_id);
	uint64_t n = book->n_evicted;
	uint64_t i;

	if (n > TRACE_EVICTED_MAX)
		n = TRACE_EVICTED_MAX;
	for (i = 0; i < n; i++) {
		if (book->evicted[i] == hash)
			return true;
	}
	return false;
}

int trace_store_find(const struct trace_store *book, struct str request_id,
		     const struct trace *before, const struct trace **out)
{
	const struct trace *a = find_in(&book->ordinary, request_id, before);
	const struct trace *b = find_in(&book->notable, request_id, before);

	*out = a;
	if (!a || (b && b->number > a->number))
		*out = b;
	if (*out)
		return 0;
	return was_evicted(book, request_id) ? ERR_TRACE_EVICTED : ERR_NO_TRACE;
}

int64_t trace_store_oldest(const struct trace_store *book)
{
	int64_t since = clock_now(book->clock);

	if (book->ordinary.first && book->ordinary.first->ended_at < since)
		since = book->ordinary.first->ended_at;
	if (book->notable.first && book->notable.first->ended_at < since)
		since = book->notable.first->ended_at;
	return since;
}

void trace_log_init(struct trace_log *log, struct trace_store *book,
		    int64_t started_at)
{
	memset(log, 0, sizeof(*log));
	log->book = book;
	log->started_at = started_at;
}

void trace_log_finish(struct trace_log *log)
{
	int i;

	for (i = 0; i < log->n; i++)
		release_part(log->book, &log->parts[i]);
	free(log->parts);
}

static uint32_t since_start(const struct trace_log *log, int64_t at)
{
	int64_t elapsed = at - log->started_at;

	return elapsed < UINT32_MAX ? (uint32_t)elapsed : UINT32_MAX;
}

void trace_log_sent(struct trace_log *log, int64_t at, struct str server,
		    struct str home, enum trace_attempt why, int n_shards)
{
	struct trace_part *part;

	MEM_GROW(log->parts, log->n, log->cap);
	part = &log->parts[log->n++];
	memset(part, 0, sizeof(*part));
	part->server = hold_name(log->book, server);
	part->home = hold_name(log->book, home);
	part->sent_us = since_start(log, at);
	part->why = (uint8_t)why;
	part->n_shards = (uint16_t)n_shards;
	part->restarts = log->restarts;
}

static struct trace_part *open_part(struct trace_log *log, int index)
{
	struct trace_part *part;

	if (log->base + index >= log->n)
		return NULL;
	part = &log->parts[log->base + index];
	return part->is_back ? NULL : part;
}

void trace_log_set_times(struct trace_log *log, int index, uint32_t wait_us,
			 uint32_t server_us)
{
	struct trace_part *part = open_part(log, index);

	if (!part)
		return;
	part->wait_us = wait_us;
	part->server_us = server_us;
}

void trace_log_done(struct trace_log *log, int index, int64_t at, int code)
{
	struct trace_part *part = open_part(log, index);

	if (!part)
		return;
	part->is_back = true;
	part->back_us = since_start(log, at);
	part->code = (int16_t)code;
}

void trace_log_restart(struct trace_log *log)
{
	log->base = log->n;
	log->restarts++;
}

static struct trace_reason *put_reason(struct trace_summary *summary, int code)
{
	int i;

	for (i = 0; i < summary->n_reasons; i++) {
		if (summary->reasons[i].code == code)
			return &summary->reasons[i];
	}
	if (summary->n_reasons == TRACE_REASONS_MAX)
		return NULL;
	summary->reasons[summary->n_reasons].code = code;
	return &summary->reasons[summary->n_reasons++];
}

static void add_range(struct trace_reason *reason, uint16_t lo, uint16_t hi)
{
	bool joins = reason->n_ranges && reason->last_hi + 1 == lo;

	reason->last_hi = hi;
	if (!joins)
		reason->n_ranges++;
	if (reason->n_ranges <= TRACE_RANGES_MAX) {
		struct trace_range *range =
			&reason->ranges[reason->n_ranges - 1];

		range->hi = hi;
		if (!joins)
			range->lo = lo;
	}
}

void trace_summary_add_missing(struct trace_summary *summary, int code,
			       uint16_t lo, uint16_t hi, uint64_t records)
{
	struct trace_reason *reason = put_reason(summary, code);

	summary->n_missing++;
	if (!reason)
		return;
	reason->n_shards++;
	reason->records += records;
	add_range(reason, lo, hi);
}
