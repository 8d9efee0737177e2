#define LOG_MODULE "list_sync"
#include "list_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "error.h"
#include "json_value.h"
#include "log.h"
#include "mem.h"

/* Lists */

static void list_finish(struct instance_list *list)
{
	int i;

	for (i = 0; i < list->n; i++) {
		free(list->rows[i].instance);
		free(list->rows[i].text);
	}
	free(list->rows);
	memset(list, 0, sizeof(*list));
}

static void add_row(struct instance_list *list, int *cap, const char *instance,
		    const char *text)
{
	MEM_GROW(list->rows, list->n, *cap);
	list->rows[list->n].instance = mem_dup(instance);
	list->rows[list->n].text = mem_dup(text);
	list->n++;
}

static int compare_rows(const void *a, const void *b)
{
	const struct list_row *x = a;
	const struct list_row *y = b;
	int cmp = strcmp(x->instance, y->instance);

	return cmp ? cmp : strcmp(x->text, y->text);
}

static void remove_duplicates(struct instance_list *list)
{
	int kept = 0;
	int i;

	for (i = 0; i < list->n; i++) {
		if (kept && !strcmp(list->rows[kept - 1].instance,
				    list->rows[i].instance)) {
			free(list->rows[i].instance);
			free(list->rows[i].text);
			continue;
		}
		list->rows[kept++] = list->rows[i];
	}
	list->n = kept;
}

static void set_digest(struct instance_list *list)
{
	int i;

	list->digest = 0;
	for (i = 0; i < list->n; i++) {
		list->digest =
			str_hash_mix(list->digest,
				     str_hash(str_from(list->rows[i].text)));
	}
}

static void parse_row(struct instance_list *list, int *cap,
		      struct json_object *item)
{
	struct str name = json_value_str(item, "instance");

	/* Rows are ordered by their names as C strings. */
	if (!name.len || memchr(name.data, '\0', name.len))
		return;
	add_row(list, cap, name.data,
		json_object_to_json_string_ext(item, JSON_C_TO_STRING_PLAIN));
}

static int list_parse(struct instance_list *list, struct str text,
		      uint64_t revision)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;
	int cap = 0;
	size_t i;

	memset(list, 0, sizeof(*list));
	list->revision = revision;
	root = json_tokener_parse_ex(tok, text.data, (int)text.len);
	json_tokener_free(tok);
	if (!json_object_is_type(root, json_type_array)) {
		json_object_put(root);
		return ERR_SYNTAX;
	}
	for (i = 0; i < json_object_array_length(root); i++)
		parse_row(list, &cap, json_object_array_get_idx(root, i));
	json_object_put(root);
	if (list->n)
		qsort(list->rows, (size_t)list->n, sizeof(*list->rows),
		      compare_rows);
	remove_duplicates(list);
	set_digest(list);
	return 0;
}

static char *list_text(const struct instance_list *list, size_t *len)
{
	char *text;
	FILE *out = open_memstream(&text, len);
	int i;

	fputc('[', out);
	for (i = 0; i < list->n; i++)
		fprintf(out, "%s%s", i ? "," : "", list->rows[i].text);
	fputc(']', out);
	fclose(out);
	return text;
}

/*
 * Merge step over two sorted lists. @instance: the next of the other list, NULL
 * at its end. Return: below 0 if only @a has the next row, above 0 if only the
 * other list has it, 0 if both do.
 */
static int compare_next(const struct instance_list *a, int i,
			const char *instance)
{
	if (i == a->n)
		return 1;
	if (!instance)
		return -1;
	return strcmp(a->rows[i].instance, instance);
}

static bool is_sorted(const Peer__ListUpdate *message)
{
	size_t i;

	for (i = 1; i < message->n_rows; i++) {
		if (strcmp(message->rows[i - 1]->instance,
			   message->rows[i]->instance) >= 0)
			return false;
	}
	return true;
}

/* Applies an update to @base, which may be empty. */
static int list_apply(struct instance_list *list,
		      const struct instance_list *base,
		      const Peer__ListUpdate *message)
{
	size_t k = 0;
	int cap = 0;
	int i = 0;

	memset(list, 0, sizeof(*list));
	list->revision = message->revision;
	if (!is_sorted(message))
		return ERR_PROTOCOL;
	while (i < base->n || k < message->n_rows) {
		const Peer__ListRow *row =
			k < message->n_rows ? message->rows[k] : NULL;
		int cmp = compare_next(base, i, row ? row->instance : NULL);

		if (cmp < 0)
			add_row(list, &cap, base->rows[i].instance,
				base->rows[i].text);
		else if (*row->row)
			add_row(list, &cap, row->instance, row->row);
		if (cmp <= 0)
			i++;
		if (cmp >= 0)
			k++;
	}
	set_digest(list);
	if (list->digest == message->digest)
		return 0;
	list_finish(list);
	return ERR_PROTOCOL;
}

/* Messages */

const struct instance_list *list_sync_newest(const struct list_sync *sync)
{
	return &sync->lists[sync->newest];
}

static void add_message_row(Peer__ListUpdate *message, Peer__ListRow *rows,
			    const char *instance, const char *text)
{
	Peer__ListRow *row = &rows[message->n_rows];

	peer__list_row__init(row);
	row->instance = (char *)instance;
	row->row = (char *)text;
	message->rows[message->n_rows++] = row;
}

static void add_changed_rows(Peer__ListUpdate *message, Peer__ListRow *rows,
			     const struct instance_list *from,
			     const struct instance_list *to)
{
	int i = 0;
	int k = 0;

	while (i < from->n || k < to->n) {
		const char *name = k < to->n ? to->rows[k].instance : NULL;
		int cmp = compare_next(from, i, name);

		if (cmp < 0)
			add_message_row(message, rows, from->rows[i].instance,
					"");
		else if (cmp > 0 ||
			 strcmp(from->rows[i].text, to->rows[k].text))
			add_message_row(message, rows, name, to->rows[k].text);
		if (cmp <= 0)
			i++;
		if (cmp >= 0)
			k++;
	}
}

/* @from: the list that the peer has; empty to send all rows. */
static void send_update(struct list_sync *sync, const char *peer,
			const struct instance_list *from)
{
	const struct instance_list *to = list_sync_newest(sync);
	size_t max_rows = (size_t)from->n + (size_t)to->n;
	Peer__ListUpdate message = PEER__LIST_UPDATE__INIT;
	Peer__ListRow *rows = mem_zalloc(max_rows * sizeof(*rows));

	message.revision = to->revision;
	message.digest = to->digest;
	message.base_revision = from->revision;
	message.base_digest = from->digest;
	message.rows = mem_zalloc(max_rows * sizeof(*message.rows));
	add_changed_rows(&message, rows, from, to);
	sync->ops->send_update(sync->ctx, peer, &message);
	free(message.rows);
	free(rows);
}

static void push_to_children(struct list_sync *sync,
			     const struct instance_list *from)
{
	int fanout = (int)sync->reader->tunables->table_fanout;
	int first;
	int n = table_peers_children(sync->peers, fanout, &first);
	int i;

	for (i = 0; i < n; i++)
		send_update(sync, sync->peers->local[first + i].instance, from);
}

/* Makes @list the newest and takes ownership of its rows. */
static void set_newest(struct list_sync *sync, const struct instance_list *list)
{
	const struct instance_list *old = list_sync_newest(sync);
	size_t len;
	char *text;

	sync->newest = (sync->newest + 1) % LIST_SYNC_REVISIONS;
	list_finish(&sync->lists[sync->newest]);
	sync->lists[sync->newest] = *list;
	if (list->revision >= sync->wanted)
		sync->wanted = 0;
	text = list_text(list, &len);
	sync->ops->updated(sync->ctx, (struct str){text, len});
	free(text);
	/* Without a base nothing is pushed: children read it or request it. */
	if (old->revision)
		push_to_children(sync, old);
}

int list_sync_platform_list(struct list_sync *sync, struct str text,
			    uint64_t revision)
{
	struct instance_list list;
	int ret;

	if (revision <= list_sync_newest(sync)->revision)
		return ERR_STALE;
	ret = list_parse(&list, text, revision);
	if (ret)
		return ret;
	set_newest(sync, &list);
	return 0;
}

void list_sync_peer_revision(struct list_sync *sync, const char *peer,
			     uint64_t revision, uint64_t digest)
{
	int64_t delay = MSEC(sync->reader->tunables->table_pull_delay_ms);

	(void)digest;
	if (revision <= list_sync_newest(sync)->revision ||
	    revision <= sync->wanted)
		return;
	/* The delay leaves time for a push, which makes a request needless. */
	if (!sync->wanted || sync->requested)
		sync->due_at = clock_now(sync->clock) +
			       reader_random(sync->reader, delay);
	sync->wanted = revision;
	sync->requested = false;
	str_copy(sync->wanted_peer, sizeof(sync->wanted_peer), str_from(peer));
}

static const struct instance_list *find_list(const struct list_sync *sync,
					     uint64_t revision, uint64_t digest)
{
	int i;

	for (i = 0; i < LIST_SYNC_REVISIONS; i++) {
		if (sync->lists[i].revision == revision &&
		    sync->lists[i].digest == digest)
			return &sync->lists[i];
	}
	return NULL;
}

void list_sync_request(struct list_sync *sync, const char *peer,
		       const Peer__ListRequest *message)
{
	static const struct instance_list none;
	const struct instance_list *from =
		find_list(sync, message->have_revision, message->have_digest);

	if (message->have_revision < list_sync_newest(sync)->revision)
		send_update(sync, peer, from ? from : &none);
}

static void request_update(struct list_sync *sync, const char *peer, bool whole)
{
	const struct instance_list *have = list_sync_newest(sync);
	Peer__ListRequest message = PEER__LIST_REQUEST__INIT;

	if (!whole) {
		message.have_revision = have->revision;
		message.have_digest = have->digest;
	}
	sync->requested = true;
	sync->due_at = clock_now(sync->clock) +
		       MSEC(sync->reader->tunables->table_pull_timeout_ms);
	sync->ops->send_request(sync->ctx, peer, &message);
}

int list_sync_update(struct list_sync *sync, const char *peer,
		     const Peer__ListUpdate *message)
{
	static const struct instance_list none;
	const struct instance_list *have = list_sync_newest(sync);
	const struct instance_list *base = &none;
	struct instance_list list;
	int ret;

	if (message->revision <= have->revision)
		return ERR_STALE;
	if (message->base_revision) {
		base = have;
		if (message->base_revision != have->revision ||
		    message->base_digest != have->digest) {
			request_update(sync, peer, false);
			return ERR_VERSION;
		}
	}
	ret = list_apply(&list, base, message);
	if (ret) {
		LOG_WARN("list_update_failed", LOG_TEXT("peer", peer),
			 LOG_U64("revision", message->revision));
		if (message->base_revision)
			request_update(sync, peer, true);
		return ret;
	}
	set_newest(sync, &list);
	return 0;
}

void list_sync_tick(struct list_sync *sync)
{
	if (!sync->wanted || clock_now(sync->clock) < sync->due_at)
		return;
	if (!sync->requested) {
		request_update(sync, sync->wanted_peer, false);
		return;
	}
	/* Timed out: the next digest of a peer announces the revision again. */
	sync->wanted = 0;
	sync->requested = false;
}

void list_sync_init(struct list_sync *sync, const struct clock *clock,
		    const struct table_peers *peers, struct reader *reader,
		    const struct list_sync_ops *ops, void *ctx)
{
	memset(sync, 0, sizeof(*sync));
	sync->clock = clock;
	sync->peers = peers;
	sync->reader = reader;
	sync->ops = ops;
	sync->ctx = ctx;
}

void list_sync_finish(struct list_sync *sync)
{
	int i;

	for (i = 0; i < LIST_SYNC_REVISIONS; i++)
		list_finish(&sync->lists[i]);
}
