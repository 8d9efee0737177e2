#include "trace.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "error.h"
#include "mem.h"

/*
 * Rank of a part for keeping it in a trace, highest first: the bit length of
 * its duration in microseconds (0 to 32), or above that if it failed.
 */
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

static struct trace_name *ref_name(struct trace_store *store, struct str text)
{
	struct trace_name *name;

	HASH_FIND(hh, store->names, text.data, text.len, name);
	if (name) {
		name->refs++;
		return name;
	}
	name = mem_zalloc(sizeof(*name) + text.len + 1);
	name->refs = 1;
	name->len = text.len;
	memcpy(name->text, text.data, text.len);
	HASH_ADD_KEYPTR(hh, store->names, name->text, name->len, name);
	store->name_bytes += name_size(name);
	return name;
}

static void unref_name(struct trace_store *store, struct trace_name *name)
{
	if (--name->refs)
		return;
	store->name_bytes -= name_size(name);
	HASH_DEL(store->names, name);
	free(name);
}

const char *trace_name_text(const struct trace_name *name)
{
	return name->text;
}

static void unref_part_names(struct trace_store *store, struct trace_part *part)
{
	unref_name(store, part->server);
	unref_name(store, part->home);
}

void trace_store_init(struct trace_store *store, const struct clock *clock)
{
	memset(store, 0, sizeof(*store));
	store->clock = clock;
}

static struct trace_list *list_of(struct trace_store *store,
				  const struct trace *trace)
{
	return trace->summary.notable ? &store->notable : &store->ordinary;
}

static void drop(struct trace_store *store, struct trace *trace)
{
	struct trace_list *list = list_of(store, trace);
	int i;

	DL_DELETE(list->first, trace);
	list->n--;
	list->bytes -= (int64_t)trace->bytes;
	for (i = 0; i < trace->n_parts; i++)
		unref_part_names(store, &trace->parts[i]);
	free(trace);
}

static void evict(struct trace_store *store, struct trace *trace)
{
	if (!store->evicted)
		store->evicted =
			mem_zalloc(TRACE_EVICTED_MAX * sizeof(*store->evicted));
	store->evicted[store->n_evicted++ % TRACE_EVICTED_MAX] = trace->id_hash;
	drop(store, trace);
}

void trace_store_finish(struct trace_store *store)
{
	while (store->ordinary.first)
		drop(store, store->ordinary.first);
	while (store->notable.first)
		drop(store, store->notable.first);
	free(store->evicted);
}

int64_t trace_store_count(const struct trace_store *store)
{
	return store->ordinary.n + store->notable.n;
}

int64_t trace_store_bytes(const struct trace_store *store)
{
	return store->ordinary.bytes + store->notable.bytes + store->name_bytes;
}

static bool is_over_limits(const struct trace_store *store)
{
	return trace_store_count(store) > store->limits.max ||
	       trace_store_bytes(store) > store->limits.bytes_max;
}

static bool is_over_half_limits(const struct trace_store *store,
				const struct trace_list *list)
{
	return list->n > store->limits.max / 2 ||
	       list->bytes > store->limits.bytes_max / 2;
}

/*
 * Under load, the few failed requests are those that operators look up, and
 * oldest-first eviction would replace them by the many successful ones. So
 * notable traces are only evicted if they use more than half of the limits, or
 * if there are no others.
 */
static struct trace *choose_victim(const struct trace_store *store)
{
	if (!store->ordinary.first)
		return store->notable.first;
	if (store->notable.first && is_over_half_limits(store, &store->notable))
		return store->notable.first;
	return store->ordinary.first;
}

static void make_room(struct trace_store *store)
{
	struct trace *victim;

	while (is_over_limits(store)) {
		victim = choose_victim(store);
		if (!victim)
			return;
		evict(store, victim);
	}
}

void trace_store_set_limits(struct trace_store *store,
			    const struct trace_limits *limits)
{
	store->limits = *limits;
	make_room(store);
}

static int rank(const struct trace_part *part)
{
	uint32_t took = part->back_us - part->sent_us;

	if (part->code || !part->is_done)
		return RANK_FAILED;
	return took ? 32 - __builtin_clz(took) : 0;
}

/* The highest rank of which not all parts fit into @max; -1 if all do. */
static int cutoff_rank(const struct trace_log *log, int max)
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

static int count_above(const struct trace_log *log, int cutoff)
{
	int n = 0;
	int i;

	for (i = 0; i < log->n; i++)
		n += rank(&log->parts[i]) > cutoff;
	return n;
}

/* Moves the parts of highest rank to the trace, in the order sent. */
static void move_parts(struct trace *trace, struct trace_log *log, int max)
{
	int cutoff = cutoff_rank(log, max);
	int n_left = max - count_above(log, cutoff);
	int i;

	for (i = 0; i < log->n; i++) {
		struct trace_part *part = &log->parts[i];
		int part_rank = rank(part);

		if (part_rank < cutoff ||
		    (part_rank == cutoff && n_left-- <= 0)) {
			unref_part_names(log->store, part);
			continue;
		}
		trace->parts[trace->n_parts++] = *part;
	}
	trace->n_left_out = log->n - trace->n_parts;
	log->n = 0;
	log->first_part = 0;
}

void trace_store_add(struct trace_store *store,
		     const struct trace_summary *summary, struct trace_log *log)
{
	int max = (int)store->limits.parts_max;
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
	trace->ended_at = clock_now(store->clock);
	trace->number = ++store->n_added;
	if (log)
		move_parts(trace, log, max);
	list = list_of(store, trace);
	DL_APPEND(list->first, trace);
	list->n++;
	list->bytes += (int64_t)size;
	make_room(store);
}

/* The newest trace with that id, of those older than @before if given. */
static const struct trace *find_in_list(const struct trace_list *list,
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

static bool was_evicted(const struct trace_store *store, struct str request_id)
{
	uint64_t hash = str_hash(request_id);
	uint64_t n = store->n_evicted;
	uint64_t i;

	if (n > TRACE_EVICTED_MAX)
		n = TRACE_EVICTED_MAX;
	for (i = 0; i < n; i++) {
		if (store->evicted[i] == hash)
			return true;
	}
	return false;
}

int trace_store_find(const struct trace_store *store, struct str request_id,
		     const struct trace *before, const struct trace **out)
{
	const struct trace *a =
		find_in_list(&store->ordinary, request_id, before);
	const struct trace *b =
		find_in_list(&store->notable, request_id, before);

	*out = a;
	if (!a || (b && b->number > a->number))
		*out = b;
	if (*out)
		return 0;
	return was_evicted(store, request_id) ? ERR_TRACE_EVICTED
					      : ERR_NO_TRACE;
}

int64_t trace_store_oldest(const struct trace_store *store)
{
	int64_t since = clock_now(store->clock);

	if (store->ordinary.first && store->ordinary.first->ended_at < since)
		since = store->ordinary.first->ended_at;
	if (store->notable.first && store->notable.first->ended_at < since)
		since = store->notable.first->ended_at;
	return since;
}

void trace_log_init(struct trace_log *log, struct trace_store *store,
		    int64_t started_at)
{
	memset(log, 0, sizeof(*log));
	log->store = store;
	log->started_at = started_at;
}

void trace_log_finish(struct trace_log *log)
{
	int i;

	for (i = 0; i < log->n; i++)
		unref_part_names(log->store, &log->parts[i]);
	free(log->parts);
}

static uint32_t elapsed_usec(const struct trace_log *log, int64_t at)
{
	int64_t elapsed = at - log->started_at;

	return elapsed < UINT32_MAX ? (uint32_t)elapsed : UINT32_MAX;
}

void trace_log_sent(struct trace_log *log, int64_t at, struct str server,
		    struct str home, enum trace_attempt attempt, int n_shards)
{
	struct trace_part *part;

	MEM_GROW(log->parts, log->n, log->cap);
	part = &log->parts[log->n++];
	memset(part, 0, sizeof(*part));
	part->server = ref_name(log->store, server);
	part->home = ref_name(log->store, home);
	part->sent_us = elapsed_usec(log, at);
	part->attempt = (uint8_t)attempt;
	part->n_shards = (uint16_t)n_shards;
	part->restarts = log->restarts;
}

static struct trace_part *open_part(struct trace_log *log, int index)
{
	struct trace_part *part;

	if (log->first_part + index >= log->n)
		return NULL;
	part = &log->parts[log->first_part + index];
	return part->is_done ? NULL : part;
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
	part->is_done = true;
	part->back_us = elapsed_usec(log, at);
	part->code = (int16_t)code;
}

void trace_log_restart(struct trace_log *log)
{
	log->first_part = log->n;
	log->restarts++;
}

static struct trace_reason *get_or_add_reason(struct trace_summary *summary,
					      int code)
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
	bool is_adjacent = reason->n_ranges && reason->last_hi + 1 == lo;

	reason->last_hi = hi;
	if (!is_adjacent)
		reason->n_ranges++;
	if (reason->n_ranges <= TRACE_RANGES_MAX) {
		struct trace_range *range =
			&reason->ranges[reason->n_ranges - 1];

		range->hi = hi;
		if (!is_adjacent)
			range->lo = lo;
	}
}

void trace_summary_add_missing(struct trace_summary *summary, int code,
			       uint16_t lo, uint16_t hi, uint64_t records)
{
	struct trace_reason *reason = get_or_add_reason(summary, code);

	summary->n_missing++;
	if (!reason)
		return;
	reason->n_shards++;
	reason->records += records;
	add_range(reason, lo, hi);
}
