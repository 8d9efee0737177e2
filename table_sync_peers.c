#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <string.h>

#include "log.h"

/* Only a reader knows by itself when the platform is no longer behind. */
static void confirm_by_peer(struct table_sync *sync, uint32_t age_ms)
{
	int64_t at = sync->settled_at - MSEC(age_ms - 1);

	if (!age_ms)
		return;
	table_sync_confirm(sync, at);
	if (at > sync->behind_at && !reader_is_watching(&sync->reader))
		table_sync_clear_behind(sync);
}

static void fill_refused(const struct table_sync *sync,
			 Peer__TableRefused *message)
{
	const struct table_refusal *refused = &sync->refused;

	peer__table_refused__init(message);
	message->revision = refused->revision;
	message->code = refused->error.code;
	message->subject = (char *)refused->error.subject;
	message->value = (char *)refused->error.value;
	message->line = (uint32_t)refused->error.line;
}

void table_sync_send_digest(struct table_sync *sync, const char *peer, bool ask)
{
	Peer__TableDigest message = PEER__TABLE_DIGEST__INIT;
	Peer__TableRefused refused;

	message.revision = table_sync_revision(sync);
	message.digest = sync->in_force ? sync->in_force->digest : 0;
	message.age_ms = table_sync_age_ms(sync);
	message.ask = ask;
	message.list_revision = sync->list_revision;
	message.list_digest = sync->list_digest;
	if (sync->refused.revision > message.revision) {
		fill_refused(sync, &refused);
		message.refused = &refused;
	}
	sync->ops->send_digest(sync->ctx, peer, &message);
}

static void send_request(struct table_sync *sync, const char *peer, bool whole)
{
	Peer__TableRequest message = PEER__TABLE_REQUEST__INIT;

	if (sync->in_force && !whole) {
		message.have_revision = sync->in_force->revision;
		message.have_digest = sync->in_force->digest;
	}
	sync->counts.pulls++;
	sync->ops->send_request(sync->ctx, peer, &message);
}

static void send_delta(struct table_sync *sync, const char *peer,
		       const struct table_delta *delta)
{
	Peer__TableUpdate message;

	table_delta_write(delta, &message);
	sync->ops->send_update(sync->ctx, peer, &message);
	table_delta_write_finish(&message);
}

static void send_whole(struct table_sync *sync, const char *peer)
{
	Peer__TableUpdate message = PEER__TABLE_UPDATE__INIT;

	message.revision = sync->in_force->revision;
	message.digest = sync->in_force->digest;
	message.text.data = (uint8_t *)sync->in_force->text;
	message.text.len = sync->in_force->len;
	sync->counts.whole_sent++;
	sync->ops->send_update(sync->ctx, peer, &message);
}

static const struct table_delta *last_delta(const struct table_sync *sync)
{
	int i = (sync->next_history + TABLE_SYNC_HISTORY - 1) %
		TABLE_SYNC_HISTORY;
	const struct table_delta *delta = &sync->history[i];

	return delta->revision && delta->revision == table_sync_revision(sync)
		       ? delta
		       : NULL;
}

static void push_to(struct table_sync *sync, const char *peer)
{
	const struct table_delta *delta = last_delta(sync);

	sync->counts.pushes++;
	if (delta)
		send_delta(sync, peer, delta);
	else
		table_sync_send_digest(sync, peer, false);
}

static void push_down(struct table_sync *sync,
		      void (*push)(struct table_sync *sync, const char *peer))
{
	int fanout = (int)sync->reader.tunables->table_fanout;
	int first;
	int n = table_peers_children(&sync->peers, fanout, &first);
	int i;

	for (i = 0; i < n; i++)
		push(sync, sync->peers.own[first + i].instance);
}

static void push_digest(struct table_sync *sync, const char *peer)
{
	table_sync_send_digest(sync, peer, false);
}

void table_sync_put_in_force(struct table_sync *sync, const struct table *newer,
			     const char *source)
{
	table_sync_take(sync, newer, source);
	push_down(sync, push_to);
}

static void note_refused(struct table_sync *sync,
			 const struct table_refusal *refusal)
{
	if (table_sync_remember_refused(sync, refusal))
		push_down(sync, push_digest);
}

/*
 * Against a loop in which an invalid table is read again and again: what was
 * refused is remembered by revision and digest. Another content under the same
 * revision, or a higher revision, is looked at.
 */
void table_sync_refuse(struct table_sync *sync, const char *source,
		       uint64_t revision, uint64_t digest,
		       const struct error *err)
{
	struct table_refusal refusal = {.revision = revision, .digest = digest};

	refusal.error = *err;
	sync->refusals[sync->next_refusal] = refusal;
	sync->next_refusal = (sync->next_refusal + 1) % TABLE_SYNC_REFUSALS;
	sync->counts.refused++;
	LOG_ERROR("table_refused", LOG_U64("revision", revision),
		  LOG_TEXT("error", error_name(err->code)),
		  LOG_TEXT("subject", err->subject),
		  LOG_TEXT("value", err->value),
		  LOG_TEXT("expected", err->expected ? err->expected : ""),
		  LOG_I64("line", err->line), LOG_TEXT("source", source),
		  LOG_U64("in_force", table_sync_revision(sync)));
	note_refused(sync, &refusal);
}

/*
 * Against a data centre whose readers don't reach the platform: one that does
 * tells the first reader of each other data centre, which pulls the change and
 * pushes it down its own tree.
 */
void table_sync_push_from_platform(struct table_sync *sync)
{
	int i;

	if (sync->peers.rank && sync->peers.n_own)
		table_sync_send_digest(sync, sync->peers.own[0].instance,
				       false);
	for (i = 0; i < sync->peers.n_far; i++)
		table_sync_send_digest(sync, sync->peers.far[i].instance,
				       false);
}

static void hear_refused(struct table_sync *sync, const char *peer,
			 const Peer__TableRefused *message)
{
	struct table_refusal refusal = {.revision = message->revision};

	if (message->revision <= sync->refused.revision)
		return;
	error_set(&refusal.error, message->code, message->subject,
		  message->value, NULL);
	refusal.error.line = (int)message->line;
	str_copy(refusal.from, sizeof(refusal.from), str_from(peer));
	note_refused(sync, &refusal);
}

static void hear_of(struct table_sync *sync, const char *peer)
{
	uint64_t hash = str_hash(str_from(peer));
	int i;

	for (i = 0; i < sync->n_heard; i++) {
		if (sync->heard[i] == hash)
			return;
	}
	if (sync->n_heard < TABLE_SYNC_START_PEERS_MAX)
		sync->heard[sync->n_heard++] = hash;
}

static void set_name(char *dst, const char *name)
{
	str_copy(dst, TABLE_SYNC_PEER_SIZE, str_from(name));
}

static int64_t pull_delay(struct table_sync *sync)
{
	if (!sync->serving)
		return 0;
	return reader_random(&sync->reader,
			     MSEC(sync->reader.tunables->table_pull_delay_ms));
}

/*
 * The push is usually on its way when a heartbeat tells of a new revision, so
 * it is pulled only after a moment. A row of new revisions does not move the
 * moment.
 */
static void want(struct table_sync *sync, const char *peer, uint64_t revision,
		 uint64_t digest)
{
	struct table_want *w = &sync->want;
	bool waiting = w->revision && !w->asked;

	if (revision < w->revision ||
	    table_sync_is_refused(sync, revision, digest))
		return;
	if (revision == w->revision) {
		if (strcmp(peer, w->peer))
			set_name(w->other, peer);
		return;
	}
	if (!waiting)
		w->at = clock_now(sync->clock) + pull_delay(sync);
	w->revision = revision;
	w->digest = digest;
	w->asked = false;
	w->whole = false;
	w->other[0] = '\0';
	set_name(w->peer, peer);
}

static void ask(struct table_sync *sync)
{
	struct table_want *w = &sync->want;

	w->asked = true;
	w->at = clock_now(sync->clock) +
		MSEC(sync->reader.tunables->table_pull_timeout_ms);
	send_request(sync, w->peer, w->whole);
}

void table_sync_pull(struct table_sync *sync)
{
	struct table_want *w = &sync->want;

	if (!w->revision || clock_now(sync->clock) < w->at)
		return;
	if (!w->asked) {
		ask(sync);
		return;
	}
	sync->counts.pull_timeouts++;
	if (!w->other[0]) {
		/* The next heartbeat tells of it again. */
		memset(w, 0, sizeof(*w));
		return;
	}
	set_name(w->peer, w->other);
	w->other[0] = '\0';
	ask(sync);
}

void table_sync_receive_heartbeat(struct table_sync *sync, const char *peer,
				  uint64_t revision, uint64_t digest,
				  uint32_t age_ms)
{
	hear_of(sync, peer);
	switch (table_sync_judge(sync, revision, digest)) {
	case STANDING_NEWER:
		want(sync, peer, revision, digest);
		break;
	case STANDING_SAME:
		confirm_by_peer(sync, age_ms);
		break;
	case STANDING_CONFLICT:
		table_sync_note_conflict(sync, peer, digest);
		break;
	case STANDING_STALE:
		break;
	}
}

void table_sync_receive_digest(struct table_sync *sync, const char *peer,
			       const Peer__TableDigest *message)
{
	table_sync_receive_heartbeat(sync, peer, message->revision,
				     message->digest, message->age_ms);
	if (message->refused)
		hear_refused(sync, peer, message->refused);
	if (message->ask || message->revision < table_sync_revision(sync) ||
	    message->list_revision < sync->list_revision)
		table_sync_send_digest(sync, peer, false);
}

static const struct table_delta *find_delta(const struct table_sync *sync,
					    uint64_t revision, uint64_t digest)
{
	int i;

	for (i = 0; i < TABLE_SYNC_HISTORY; i++) {
		const struct table_delta *delta = &sync->history[i];

		if (delta->revision && delta->base_revision == revision &&
		    delta->base_digest == digest)
			return delta;
	}
	return NULL;
}

/* Return: whether the kept differences lead from there to here. */
static bool join_deltas(const struct table_sync *sync, uint64_t revision,
			uint64_t digest, struct table_delta *out)
{
	const struct table_delta *next = find_delta(sync, revision, digest);
	struct table_delta joined;

	memset(out, 0, sizeof(*out));
	out->base_revision = revision;
	out->base_digest = digest;
	out->revision = revision;
	out->digest = digest;
	while (next) {
		table_delta_join(&joined, out, next);
		table_delta_finish(out);
		*out = joined;
		if (out->revision == table_sync_revision(sync) &&
		    out->digest == sync->in_force->digest)
			return out->bytes <= sync->in_force->len / 2;
		next = find_delta(sync, out->revision, out->digest);
	}
	return false;
}

void table_sync_receive_request(struct table_sync *sync, const char *peer,
				const Peer__TableRequest *message)
{
	struct table_delta delta;

	if (message->have_revision >= table_sync_revision(sync)) {
		table_sync_send_digest(sync, peer, false);
		return;
	}
	if (join_deltas(sync, message->have_revision, message->have_digest,
			&delta))
		send_delta(sync, peer, &delta);
	else
		send_whole(sync, peer);
	table_delta_finish(&delta);
}

static int take_delta(struct table_sync *sync, const Peer__TableUpdate *message,
		      struct table *table, struct error *err)
{
	struct table_delta delta;
	int ret;

	if (!sync->in_force)
		return ERR_VERSION;
	ret = table_delta_read(&delta, message);
	if (ret)
		return error_set(err, ret, "table update", NULL,
				 "sorted rows of known sheets");
	ret = table_delta_apply(&delta, table, sync->in_force, err);
	table_delta_finish(&delta);
	return ret;
}

static int take_whole(const Peer__TableUpdate *message, struct table *table,
		      struct error *err)
{
	int ret = table_init(table, (const char *)message->text.data,
			     message->text.len, message->revision, err);

	if (ret || table->digest == message->digest)
		return ret;
	table_finish(table);
	return error_set(err, ERR_PROTOCOL, "table update", NULL,
			 "the digest announced");
}

/* Asks the sender of an update that could not be used for a better one. */
static void ask_sender(struct table_sync *sync, const char *peer,
		       const Peer__TableUpdate *message, bool whole)
{
	struct table_want *w = &sync->want;

	if (w->asked && w->revision >= message->revision && w->whole >= whole)
		return;
	if (message->revision >= w->revision) {
		w->revision = message->revision;
		w->digest = message->digest;
	}
	w->whole = whole;
	set_name(w->peer, peer);
	ask(sync);
}

static int update_failed(struct table_sync *sync, const char *peer,
			 const Peer__TableUpdate *message, int code,
			 const struct error *err)
{
	bool whole = !message->base_revision;

	if (code == ERR_VERSION) {
		ask_sender(sync, peer, message, false);
		return code;
	}
	/* Differences that don't give the announced table: get the whole. */
	if (code == ERR_PROTOCOL && !whole) {
		LOG_WARN("table_delta_failed", LOG_TEXT("peer", peer),
			 LOG_U64("revision", message->revision));
		ask_sender(sync, peer, message, true);
		return code;
	}
	table_sync_refuse(sync, peer, message->revision, message->digest, err);
	if (sync->want.revision == message->revision)
		memset(&sync->want, 0, sizeof(sync->want));
	return code;
}

int table_sync_receive_update(struct table_sync *sync, const char *peer,
			      const Peer__TableUpdate *message)
{
	bool whole = !message->base_revision;
	struct error err = {0};
	struct table table;
	int ret;

	hear_of(sync, peer);
	switch (table_sync_judge(sync, message->revision, message->digest)) {
	case STANDING_CONFLICT:
		table_sync_note_conflict(sync, peer, message->digest);
		return ERR_CONFLICT;
	case STANDING_NEWER:
		break;
	default:
		return ERR_STALE;
	}
	if (table_sync_is_refused(sync, message->revision, message->digest))
		return ERR_STALE;
	ret = whole ? take_whole(message, &table, &err)
		    : take_delta(sync, message, &table, &err);
	if (ret)
		return update_failed(sync, peer, message, ret, &err);
	sync->counts.by_delta += !whole;
	table_sync_put_in_force(sync, &table, peer);
	return 0;
}
