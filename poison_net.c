#define LOG_MODULE "poison_net"
#include "poison_net.h"

#include <inttypes.h>
#include <string.h>

#include "log.h"

static void fill_message(const struct poison_report *report,
			 Peer__Fingerprint *out)
{
	peer__fingerprint__init(out);
	out->hash = report->hash;
	out->crashes = (uint32_t)report->n_servers;
	if (report->unwatched_crash || report->in_doubt)
		out->crashes++;
	out->expires_ms =
		report->remaining > 0
			? (uint32_t)(report->remaining / USEC_PER_MSEC)
			: 0;
	out->banned = report->banned;
	out->was_safe = report->was_safe ||
			(report->in_doubt && !report->unwatched_crash);
	out->in_doubt = report->in_doubt;
	out->n_servers = (size_t)report->n_servers;
	out->servers = (uint64_t *)report->servers;
	out->replica_set = report->replica_set;
	out->crashed_on_trial = report->crashed_on_trial;
	out->trial_ms = (uint32_t)msec_round_up(report->trial);
	out->version = report->version;
	out->trial_ticket = report->trial_ticket;
	out->held_ms = (uint32_t)msec_round_up(report->held);
	out->ran_ms = (uint32_t)msec_round_up(report->ran);
}

static void send_reports(struct peer_link *link,
			 const struct poison_report *reports, int n)
{
	Peer__Fingerprints message = PEER__FINGERPRINTS__INIT;
	Peer__Fingerprint entries[POISON_EXPORT_MAX];
	Peer__Fingerprint *pointers[POISON_EXPORT_MAX];
	int i;

	for (i = 0; i < n; i++) {
		fill_message(&reports[i], &entries[i]);
		pointers[i] = &entries[i];
	}
	message.n_entries = (size_t)n;
	message.entries = pointers;
	peer_send(link, FRAME_FINGERPRINTS, &message.base);
}

/*
 * Reports go out on the links that peers opened. Queries arrive and results
 * leave on the same links, so an entry instance receives the report of a crash
 * before the failure of the query part that it caused.
 */
static void on_changed(void *ctx, const struct poison_report *report)
{
	struct poison_net *net = ctx;
	struct peer_link *link;

	LOG_WARN("fingerprint_changed", LOG_U64("fingerprint", report->hash),
		 LOG_U64("servers", (uint64_t)report->n_servers),
		 LOG_U64("banned", report->banned),
		 LOG_U64("in_doubt", report->in_doubt));
	for (link = net->peers->links; link; link = link->next) {
		if (link->up && (net->flood || !link->outgoing))
			send_reports(link, report, 1);
	}
}

static void on_up(void *arg, struct peer_link *link)
{
	struct poison_report reports[POISON_EXPORT_MAX];
	struct poison_net *net = arg;
	int n;

	if (link->outgoing && !net->flood)
		return;
	n = poison_export(&net->board->poison, reports, POISON_EXPORT_MAX);
	if (n)
		send_reports(link, reports, n);
}

/* Return: whether it changed anything here. */
static bool apply_entry(struct poison_net *net, const Peer__Fingerprint *entry)
{
	struct poison_report report = {
		.hash = entry->hash,
		.unwatched_crash = entry->crashes > entry->n_servers &&
				   !(entry->in_doubt && entry->was_safe),
		.was_safe = entry->was_safe && !entry->in_doubt,
		.n_servers = entry->n_servers < POISON_SERVERS_MAX
				     ? (int)entry->n_servers
				     : POISON_SERVERS_MAX,
		.replica_set = entry->replica_set,
		.ran = MSEC(entry->ran_ms),
		.in_doubt = entry->in_doubt,
		.crashed_on_trial = entry->crashed_on_trial,
		.trial = MSEC(entry->trial_ms),
		.held = MSEC(entry->held_ms),
		.version = entry->version,
		.trial_ticket = entry->trial_ticket,
		.banned = entry->banned,
		.remaining = MSEC(entry->expires_ms),
	};

	if (report.n_servers)
		memcpy(report.servers, entry->servers,
		       (size_t)report.n_servers * sizeof(*report.servers));
	return poison_apply_report(&net->board->poison, &report);
}

/*
 * Flooding ends by itself: a report that comes back changes nothing and isn't
 * forwarded again.
 */
static void forward_entry(struct poison_net *net, const struct peer_link *from,
			  const Peer__Fingerprint *entry)
{
	Peer__Fingerprints message = PEER__FINGERPRINTS__INIT;
	Peer__Fingerprint *pointers[] = {(Peer__Fingerprint *)entry};
	struct peer_link *link;

	message.n_entries = 1;
	message.entries = pointers;
	for (link = net->peers->links; link; link = link->next) {
		if (link->up && strcmp(link->instance, from->instance))
			peer_send(link, FRAME_FINGERPRINTS, &message.base);
	}
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	const Peer__Fingerprints *message =
		(const Peer__Fingerprints *)frame->message;
	struct poison_net *net = arg;
	size_t i;

	if (!link->outgoing && !net->flood)
		return;
	for (i = 0; i < message->n_entries; i++) {
		if (apply_entry(net, message->entries[i]) && net->flood)
			forward_entry(net, link, message->entries[i]);
	}
}

static void on_table(void *arg)
{
	struct poison_net *net = arg;
	const struct tunables *tunables = blackboard_tunables(net->board);
	struct poison_tunables values = {
		.max_entries = tunables->poison_max,
		.suspect_ttl = MSEC(tunables->poison_suspect_ms),
		.ban_ttl = MSEC(tunables->poison_ban_ms),
	};

	poison_set_tunables(&net->board->poison, &values);
}

void poison_net_init(struct poison_net *net, struct blackboard *board,
		     struct peers *peers)
{
	memset(net, 0, sizeof(*net));
	net->board = board;
	net->peers = peers;
	board->poison.changed = on_changed;
	board->poison.ctx = net;
	on_table(net);
	net->handler.up = on_up;
	net->handler.frame = on_frame;
	net->handler.types = 1u << FRAME_FINGERPRINTS;
	net->handler.arg = net;
	peers_add_handler(peers, &net->handler);
	blackboard_watch(board, BLACKBOARD_TABLE, &net->table_watch, on_table,
			 net);
}

void poison_net_tick(struct poison_net *net)
{
	poison_expire(&net->board->poison);
}
