#include "outage.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "mem.h"

/*
 * Interval between checks of a server. A recovered shard is used again within
 * this time plus the round trip, 60 ms in total. Each instance opens 20
 * connections a second to each lost server, which are cheap while nothing
 * listens there.
 */
#define CHECK_PERIOD MSEC(50)
/* A check of an address that does not answer takes 250 ms. */
#define OPEN_CHECKS_MAX 5
/* Servers are not checked after this time without requests for them. */
#define CHECK_UNUSED_TIMEOUT MSEC(2000)
/*
 * The expected remaining duration of an outage is the time it has lasted so
 * far. Within these bounds, this is when callers are told to retry.
 */
#define RETRY_AFTER_MIN MSEC(100)
#define RETRY_AFTER_MAX MSEC(5000)

#define NEVER INT64_MAX

/**
 * struct outage_server - a server being checked
 * @server: the server; holds a reference
 * @next_at: when the next check is due, microseconds; NEVER if it is not
 *	checked any more
 * @needed_until: when checking ends without further requests, microseconds
 * @n_open: number of checks without a result yet
 * @reported_lost: the state last passed to the changed callback
 * @prev: previous in the list
 * @next: next in the list
 */
struct outage_server {
	struct registry_server *server;
	int64_t next_at;
	int64_t needed_until;
	int n_open;
	bool reported_lost;
	struct outage_server *prev;
	struct outage_server *next;
};

void outage_init(struct outage *outage, const struct clock *clock,
		 const struct outage_ops *ops, void *arg)
{
	memset(outage, 0, sizeof(*outage));
	outage->clock = clock;
	outage->ops = ops;
	outage->arg = arg;
}

static void remove_check(struct outage *outage, struct outage_server *check)
{
	DL_DELETE(outage->servers, check);
	registry_server_unref(check->server);
	free(check);
}

void outage_finish(struct outage *outage)
{
	while (outage->servers)
		remove_check(outage, outage->servers);
}

static struct outage_server *find(const struct outage *outage,
				  const struct registry_server *server)
{
	struct outage_server *check;

	DL_FOREACH (outage->servers, check) {
		if (check->server == server)
			return check;
	}
	return NULL;
}

/* Report once when the server is lost or reachable again. */
static void report_change(struct outage *outage, struct outage_server *check)
{
	const struct server_score *score = &check->server->score;
	bool lost = server_score_is_lost(score);

	if (lost == check->reported_lost)
		return;
	check->reported_lost = lost;
	if (outage->ops->changed)
		outage->ops->changed(outage->arg, check->server, lost,
				     clock_now(outage->clock) -
					     score->lost_since);
}

static void start_checking(struct outage *outage,
			   struct registry_server *server)
{
	struct outage_server *check = find(outage, server);
	int64_t now = clock_now(outage->clock);

	if (!check) {
		check = mem_zalloc(sizeof(*check));
		check->server = registry_server_ref(server);
		check->next_at = now;
		DL_APPEND(outage->servers, check);
	}
	if (check->next_at > now + CHECK_PERIOD)
		check->next_at = now;
	check->needed_until = now + CHECK_UNUSED_TIMEOUT;
}

bool outage_affects(struct outage *outage,
		    const struct registry_service *service, int64_t *since)
{
	bool affected = true;
	int i;

	*since = 0;
	for (i = 0; i < service->n; i++) {
		struct registry_server *server = service->servers[i];

		if (!registry_is_open(server))
			continue;
		if (server->score.unreachable)
			start_checking(outage, server);
		if (!server_score_is_lost(&server->score))
			affected = false;
		else if (server->score.lost_since > *since)
			*since = server->score.lost_since;
	}
	return affected;
}

void outage_check_done(struct outage *outage, struct outage_server *check,
		       bool listens)
{
	int64_t now = clock_now(outage->clock);

	check->n_open--;
	if (listens) {
		server_score_reconnected(&check->server->score);
		check->next_at = now;
	} else if (check->server->score.unreachable) {
		server_score_unreachable(&check->server->score, now);
	}
	if (check->next_at == NEVER && !check->n_open)
		remove_check(outage, check);
}

static bool needs_no_check(const struct outage_server *check, int64_t now)
{
	return now >= check->needed_until || !registry_is_open(check->server) ||
	       !check->server->score.unreachable;
}

static void end_checks(struct outage *outage, struct outage_server *check)
{
	report_change(outage, check);
	check->next_at = NEVER;
	if (!check->n_open)
		remove_check(outage, check);
}

void outage_tick(struct outage *outage)
{
	int64_t now = clock_now(outage->clock);
	struct outage_server *check;
	struct outage_server *next;

	DL_FOREACH_SAFE (outage->servers, check, next) {
		if (needs_no_check(check, now)) {
			end_checks(outage, check);
			continue;
		}
		report_change(outage, check);
		if (now < check->next_at)
			continue;
		check->next_at = now + CHECK_PERIOD;
		if (check->n_open >= OPEN_CHECKS_MAX)
			continue;
		check->n_open++;
		outage->ops->check(outage->arg, check->server, check);
	}
}

int64_t outage_due(const struct outage *outage)
{
	const struct outage_server *check;
	int64_t due = NEVER;

	DL_FOREACH (outage->servers, check) {
		if (check->next_at < due)
			due = check->next_at;
	}
	return due;
}

int64_t outage_retry_after(const struct outage *outage, int64_t since)
{
	int64_t lasted = since ? clock_now(outage->clock) - since : 0;

	if (lasted < RETRY_AFTER_MIN)
		lasted = RETRY_AFTER_MIN;
	if (lasted > RETRY_AFTER_MAX)
		lasted = RETRY_AFTER_MAX;
	return lasted / USEC_PER_MSEC;
}
