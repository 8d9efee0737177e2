#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <string.h>

#include "log.h"

/*
 * The alarm "platform behind" of a reader ends only by an answer of the
 * platform itself; that of others by a peer's confirmation.
 */
static void confirm_by_peer(struct table_sync *sync, uint32_t age_ms)
{
	int64_t at = sync->processed_until - MSEC(age_ms - 1);

	if (!age_ms)
		return;
	table_sync_confirm(sync, at);
	if (at > sync->platform_behind_at && !reader_is_watching(&sync->reader))
		table_sync_clear_platform_behind(sync);
}

static void fill_refused(const struct table_sync *sync,
			 Peer__TableRefused *message)
{
	const struct table_refusal *refused = &sync->highest_refusal;

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
	if (sync->highest_refusal.revision > message.revision) {
		fill_refused(sync, &refused);
		message.refused = &refused;
	}
	sync->ops->send_digest(sync->ctx, peer, &message);
}

static void send_request(struct table_sync *sync, const char *peer,
			 bool is_full_text)
{
	Peer__TableRequest message = PEER__TABLE_REQUEST__INIT;

	if (sync->in_force && !is_full_text) {
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

static void send_full_text(struct table_sync *sync, const char *peer)
{
	Peer__TableUpdate message = PEER__TABLE_UPDATE__INIT;

	message.revision = sync->in_force->revision;
	message.digest = sync->in_force->digest;
	message.text.data = (uint8_t *)sync->in_force->text;
	message.text.len = sync->in_force->len;
	sync->counts.full_sent++;
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

static void push_update(struct table_sync *sync, const char *peer)
{
	const struct table_delta *delta = last_delta(sync);

	sync->counts.pushes++;
	if (delta)
		send_delta(sync, peer, delta);
	else
		table_sync_send_digest(sync, peer, false);
}

static void push_to_children(struct table_sync *sync,
			     void (*push)(struct table_sync *sync,
					  const char *peer))
{
	int fanout = (int)sync->reader.tunables->table_fanout;
	int first;
	int n = table_peers_children(&sync->peers, fanout, &first);
	int i;

	for (i = 0; i < n; i++)
		push(sync, sync->peers.local[first + i].instance);
}

static void push_digest(struct table_sync *sync, const char *peer)
{
	table_sync_send_digest(sync, peer, false);
}

void table_sync_replace_and_push(struct table_sync *sync,
				 const struct table *newer, const char *source)
{
	table_sync_replace(sync, newer, source);
	push_to_children(sync, push_update);
}

static void report_refusal(struct table_sync *sync,
			   const struct table_refusal *refusal)
{
	if (table_sync_set_highest_refusal(sync, refusal))
		push_to_children(sync, push_digest);
}

/*
 * Remembers refused tables by revision and digest, so that an invalid table is
 * not parsed again and again. Another content under the same revision, or a
 * higher revision, is checked.
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
	report_refusal(sync, &refusal);
}

/*
 * Keeps data centres up to date whose readers cannot reach the platform: a
 * reader that can notifies the first reader of each other data centre, which
 * pulls the change and pushes it down its own tree.
 */
void table_sync_notify_data_centres(struct table_sync *sync)
{
	int i;

	if (sync->peers.rank && sync->peers.n_local)
		table_sync_send_digest(sync, sync->peers.local[0].instance,
				       false);
	for (i = 0; i < sync->peers.n_remote; i++)
		table_sync_send_digest(sync, sync->peers.remote[i].instance,
				       false);
}

static void receive_refusal(struct table_sync *sync, const char *peer,
			    const Peer__TableRefused *message)
{
	struct table_refusal refusal = {.revision = message->revision};

	if (message->revision <= sync->highest_refusal.revision)
		return;
	error_set(&refusal.error, message->code, message->subject,
		  message->value, NULL);
	refusal.error.line = (int)message->line;
	str_copy(refusal.from, sizeof(refusal.from), str_from(peer));
	report_refusal(sync, &refusal);
}

static void count_start_peer(struct table_sync *sync, const char *peer)
{
	uint64_t hash = str_hash(str_from(peer));
	int i;

	for (i = 0; i < sync->n_start_peers; i++) {
		if (sync->start_peers[i] == hash)
			return;
	}
	if (sync->n_start_peers < TABLE_SYNC_START_PEERS_MAX)
		sync->start_peers[sync->n_start_peers++] = hash;
}

static void set_peer(char *dst, const char *name)
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
 * A push is usually in flight when a heartbeat announces a new revision, so the
 * pull is delayed. Further revisions do not extend the delay.
 */
static void schedule_pull(struct table_sync *sync, const char *peer,
			  uint64_t revision, uint64_t digest)
{
	struct table_pull *pull = &sync->pull;
	bool waiting = pull->revision && !pull->requested;

	if (revision < pull->revision ||
	    table_sync_is_refused(sync, revision, digest))
		return;
	if (revision == pull->revision) {
		if (strcmp(peer, pull->peer))
			set_peer(pull->fallback, peer);
		return;
	}
	if (!waiting)
		pull->next_at = clock_now(sync->clock) + pull_delay(sync);
	pull->revision = revision;
	pull->digest = digest;
	pull->requested = false;
	pull->needs_full_text = false;
	pull->fallback[0] = '\0';
	set_peer(pull->peer, peer);
}

static void send_pull(struct table_sync *sync)
{
	struct table_pull *pull = &sync->pull;

	pull->requested = true;
	pull->next_at = clock_now(sync->clock) +
			MSEC(sync->reader.tunables->table_pull_timeout_ms);
	send_request(sync, pull->peer, pull->needs_full_text);
}

void table_sync_pull(struct table_sync *sync)
{
	struct table_pull *pull = &sync->pull;

	if (!pull->revision || clock_now(sync->clock) < pull->next_at)
		return;
	if (!pull->requested) {
		send_pull(sync);
		return;
	}
	sync->counts.pull_timeouts++;
	if (!pull->fallback[0]) {
		/* The next heartbeat announces it again. */
		memset(pull, 0, sizeof(*pull));
		return;
	}
	set_peer(pull->peer, pull->fallback);
	pull->fallback[0] = '\0';
	send_pull(sync);
}

void table_sync_receive_heartbeat(struct table_sync *sync, const char *peer,
				  uint64_t revision, uint64_t digest,
				  uint32_t age_ms)
{
	count_start_peer(sync, peer);
	switch (table_sync_compare(sync, revision, digest)) {
	case REVISION_NEWER:
		schedule_pull(sync, peer, revision, digest);
		break;
	case REVISION_SAME:
		confirm_by_peer(sync, age_ms);
		break;
	case REVISION_CONFLICT:
		table_sync_report_conflict(sync, peer, digest);
		break;
	case REVISION_STALE:
		break;
	}
}

void table_sync_receive_digest(struct table_sync *sync, const char *peer,
			       const Peer__TableDigest *message)
{
	table_sync_receive_heartbeat(sync, peer, message->revision,
				     message->digest, message->age_ms);
	if (message->refused)
		receive_refusal(sync, peer, message->refused);
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

/*
 * Combines the deltas from the given table to the one in force.
 *
 * Return: whether the history has them and they are at most half the text.
 */
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
		send_full_text(sync, peer);
	table_delta_finish(&delta);
}

static int read_delta(struct table_sync *sync, const Peer__TableUpdate *message,
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

static int read_full_text(const Peer__TableUpdate *message, struct table *table,
			  struct error *err)
{
	int ret = table_init(table, (const char *)message->text.data,
			     message->text.len, message->revision, err);

	if (ret || table->digest == message->digest)
		return ret;
	table_finish(table);
	return error_set(err, ERR_PROTOCOL, "table update", NULL,
			 "the announced digest");
}

/* Requests another update from the sender of one that cannot be applied. */
static void pull_from_sender(struct table_sync *sync, const char *peer,
			     const Peer__TableUpdate *message,
			     bool is_full_text)
{
	struct table_pull *pull = &sync->pull;

	if (pull->requested && pull->revision >= message->revision &&
	    pull->needs_full_text >= is_full_text)
		return;
	if (message->revision >= pull->revision) {
		pull->revision = message->revision;
		pull->digest = message->digest;
	}
	pull->needs_full_text = is_full_text;
	set_peer(pull->peer, peer);
	send_pull(sync);
}

static int handle_update_error(struct table_sync *sync, const char *peer,
			       const Peer__TableUpdate *message, int code,
			       const struct error *err)
{
	bool is_full_text = !message->base_revision;

	if (code == ERR_VERSION) {
		pull_from_sender(sync, peer, message, false);
		return code;
	}
	/* The delta did not produce the announced table: get the full text. */
	if (code == ERR_PROTOCOL && !is_full_text) {
		LOG_WARN("table_delta_failed", LOG_TEXT("peer", peer),
			 LOG_U64("revision", message->revision));
		pull_from_sender(sync, peer, message, true);
		return code;
	}
	table_sync_refuse(sync, peer, message->revision, message->digest, err);
	if (sync->pull.revision == message->revision)
		memset(&sync->pull, 0, sizeof(sync->pull));
	return code;
}

int table_sync_receive_update(struct table_sync *sync, const char *peer,
			      const Peer__TableUpdate *message)
{
	bool is_full_text = !message->base_revision;
	struct error err = {0};
	struct table table;
	int ret;

	count_start_peer(sync, peer);
	switch (table_sync_compare(sync, message->revision, message->digest)) {
	case REVISION_CONFLICT:
		table_sync_report_conflict(sync, peer, message->digest);
		return ERR_CONFLICT;
	case REVISION_NEWER:
		break;
	default:
		return ERR_STALE;
	}
	if (table_sync_is_refused(sync, message->revision, message->digest))
		return ERR_STALE;
	ret = is_full_text ? read_full_text(message, &table, &err)
			   : read_delta(sync, message, &table, &err);
	if (ret)
		return handle_update_error(sync, peer, message, ret, &err);
	sync->counts.by_delta += !is_full_text;
	table_sync_replace_and_push(sync, &table, peer);
	return 0;
}
