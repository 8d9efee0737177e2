#include "load_share.h"

#include <stdlib.h>
#include <string.h>

#include "str.h"

/* Limits are sent again well before the last report expires. */
#define REPORT_PERIOD MSEC(200)
/* A caller that retries at once may reach another instance this soon. */
#define RETURNS_DELAY_MAX MSEC(15)
/* A limit lowered longer ago may be obsolete: nothing raised it since. */
#define LOWERED_RECENTLY MSEC(3000)
/* With less demand, the ratio of limit to demand is meaningless. */
#define DEMAND_MIN 1.0

#define NEVER INT64_MAX

void load_share_init(struct load_share *share, const struct clock *clock,
		     const struct load_share_ops *ops, void *arg,
		     struct return_schedule *schedule)
{
	memset(share, 0, sizeof(*share));
	share->clock = clock;
	share->ops = ops;
	share->arg = arg;
	share->schedule = schedule;
}

void load_share_add_limit(struct load_share *share, uint64_t service,
			  const struct load_limit *load)
{
	int i;

	for (i = 0; i < share->n_limits; i++) {
		if (share->limits[i].service == service)
			return;
	}
	if (share->n_limits == LOAD_SHARE_SERVICES_MAX)
		return;
	share->limits[share->n_limits].service = service;
	share->limits[share->n_limits++].load = load;
	share->sent_at = 0;
}

void load_share_add_return(struct load_share *share,
			   const struct scheduled_return *entry)
{
	if (share->n_returns == LOAD_SHARE_RETURNS_MAX)
		load_share_tick(share);
	if (!share->n_returns)
		share->first_return_at = clock_now(share->clock);
	share->returns[share->n_returns++] = *entry;
}

static uint32_t to_u32(double n)
{
	if (n <= 0)
		return 0;
	return n < UINT32_MAX ? (uint32_t)n : UINT32_MAX;
}

/* One service in a message, with the array it points to. */
struct packed_load {
	Peer__ServiceLoad message;
	uint32_t demand[ESTIMATE_LEVELS];
};

static void fill_load(struct packed_load *part, uint64_t service,
		      const struct load_limit *load, int64_t now)
{
	int64_t age =
		load->lowered_at ? now - load->lowered_at : LOWERED_RECENTLY;
	int i;

	peer__service_load__init(&part->message);
	part->message.service = service;
	part->message.limit_us = to_u32(load->limit);
	part->message.open_us = to_u32((double)load->in_progress);
	part->message.age_ms = to_u32((double)age / USEC_PER_MSEC);
	for (i = 0; i < ESTIMATE_LEVELS; i++)
		part->demand[i] = to_u32(load->levels[i].demand);
	part->message.n_asked_us = ESTIMATE_LEVELS;
	part->message.asked_us = part->demand;
}

static void fill_return(Peer__Return *message,
			const struct scheduled_return *entry, int64_t now)
{
	peer__return__init(message);
	message->fingerprint = entry->fingerprint;
	message->service = entry->service;
	message->due_in_ms = (int32_t)((entry->due - now) / USEC_PER_MSEC);
	message->cost_us = entry->promised ? to_u32((double)entry->cost) : 0;
	message->level = (uint32_t)entry->level;
	message->taken = entry->taken;
}

/* Remove services that have no limit any more. */
static void drop_unlimited(struct load_share *share)
{
	int n = 0;
	int i;

	for (i = 0; i < share->n_limits; i++) {
		if (share->limits[i].load->limit)
			share->limits[n++] = share->limits[i];
	}
	share->n_limits = n;
}

static void send_report(struct load_share *share, int64_t now)
{
	struct packed_load loads[LOAD_SHARE_SERVICES_MAX];
	Peer__ServiceLoad *load_list[LOAD_SHARE_SERVICES_MAX];
	Peer__Return returns[LOAD_SHARE_RETURNS_MAX];
	Peer__Return *return_list[LOAD_SHARE_RETURNS_MAX];
	Peer__LoadShare message;
	int i;

	peer__load_share__init(&message);
	for (i = 0; i < share->n_limits; i++) {
		fill_load(&loads[i], share->limits[i].service,
			  share->limits[i].load, now);
		load_list[i] = &loads[i].message;
	}
	for (i = 0; i < share->n_returns; i++) {
		fill_return(&returns[i], &share->returns[i], now);
		return_list[i] = &returns[i];
	}
	message.n_services = (size_t)share->n_limits;
	message.services = load_list;
	message.n_returns = (size_t)share->n_returns;
	message.returns = return_list;
	share->ops->send(share->arg, &message);
}

void load_share_tick(struct load_share *share)
{
	int64_t now = clock_now(share->clock);

	if (load_share_due(share) > now &&
	    share->n_returns < LOAD_SHARE_RETURNS_MAX)
		return;
	drop_unlimited(share);
	if (share->n_limits || share->n_returns)
		send_report(share, now);
	share->sent_at = now;
	share->n_returns = 0;
}

int64_t load_share_due(const struct load_share *share)
{
	int64_t due = NEVER;

	if (share->n_limits)
		due = share->sent_at + REPORT_PERIOD;
	if (share->n_returns &&
	    share->first_return_at + RETURNS_DELAY_MAX < due)
		due = share->first_return_at + RETURNS_DELAY_MAX;
	return due;
}

static struct load_share_peer *get_peer(struct load_share *share,
					const char *instance)
{
	struct load_share_peer *peer = &share->peers[0];
	int i;

	for (i = 0; i < share->n_peers; i++) {
		if (!strcmp(share->peers[i].instance, instance))
			return &share->peers[i];
		if (share->peers[i].received_at < peer->received_at)
			peer = &share->peers[i];
	}
	if (share->n_peers < LOAD_SHARE_PEERS_MAX)
		peer = &share->peers[share->n_peers++];
	str_copy(peer->instance, sizeof(peer->instance), str_from(instance));
	return peer;
}

static void read_load(struct service_report *report,
		      const Peer__ServiceLoad *from, int64_t now)
{
	size_t i;

	memset(report, 0, sizeof(*report));
	report->service = from->service;
	report->limit = from->limit_us;
	report->lowered_at = now - MSEC(from->age_ms);
	for (i = 0; i < from->n_asked_us && i < ESTIMATE_LEVELS; i++)
		report->demand[i] = from->asked_us[i];
}

static void read_return(struct return_schedule *schedule,
			const Peer__Return *from, int64_t now)
{
	const struct scheduled_return entry = {
		.fingerprint = from->fingerprint,
		.service = from->service,
		.due = now + MSEC(from->due_in_ms),
		.cost = from->cost_us,
		.level = server_estimate_level(from->level),
		.promised = from->cost_us,
		.taken = from->taken,
	};

	return_schedule_receive(schedule, &entry);
}

void load_share_receive(struct load_share *share, const char *instance,
			const Peer__LoadShare *message)
{
	int64_t now = clock_now(share->clock);
	struct load_share_peer *peer = get_peer(share, instance);
	size_t i;

	peer->received_at = now;
	peer->n = 0;
	for (i = 0; i < message->n_services && i < LOAD_SHARE_SERVICES_MAX; i++)
		read_load(&peer->services[peer->n++], message->services[i],
			  now);
	for (i = 0; i < message->n_returns && i < LOAD_SHARE_RETURNS_MAX; i++)
		read_return(share->schedule, message->returns[i], now);
}

static const struct service_report *
find_report(const struct load_share_peer *peer, uint64_t service, int64_t now)
{
	int i;

	if (now - peer->received_at > LOAD_SHARE_MAX_AGE)
		return NULL;
	for (i = 0; i < peer->n; i++) {
		if (peer->services[i].service == service &&
		    peer->services[i].limit)
			return &peer->services[i];
	}
	return NULL;
}

static int compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

void load_share_peer_load(const struct load_share *share, uint64_t service,
			  struct peer_load *out)
{
	int64_t now = clock_now(share->clock);
	double ratios[LOAD_SHARE_PEERS_MAX];
	int i;
	int j;

	memset(out, 0, sizeof(*out));
	out->n_instances = share->n_others;
	for (i = 0; i < share->n_peers; i++) {
		const struct service_report *report =
			find_report(&share->peers[i], service, now);
		double demand = 0;

		if (!report)
			continue;
		out->limit += report->limit;
		for (j = 0; j < ESTIMATE_LEVELS; j++) {
			out->demand[j] += report->demand[j];
			demand += report->demand[j];
		}
		if (demand > DEMAND_MIN &&
		    now - report->lowered_at < LOWERED_RECENTLY)
			ratios[out->n_limited++] = report->limit / demand;
	}
	if (!out->n_limited)
		return;
	qsort(ratios, (size_t)out->n_limited, sizeof(*ratios), compare);
	out->limit_per_demand = ratios[out->n_limited / 2];
}

void load_share_adopt(struct load_share *share, const char *service,
		      struct load_limit *load, struct peer_load *out)
{
	load_share_peer_load(share, str_hash(str_from(service)), out);
	if (load_limit_adopt(load, out, clock_now(share->clock)) &&
	    share->ops->adopted)
		share->ops->adopted(share->arg, service, load, out);
}
