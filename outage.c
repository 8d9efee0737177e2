#include "outage.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "mem.h"

/*
 * Between checks of a server. A shard that is back is used within this and the
 * way there, 60 ms in all; one instance opens 20 connections a second to each
 * server that is lost, which cost nothing there, for nobody listens.
 */
#define CHECK_PERIOD MSEC(50)
/* At an address that does not answer, a check ends after 250 ms. */
#define CHECKS_OPEN_MOST 5
/* Nobody asked for the service for so long: its servers are left alone. */
#define WANTED_FOR MSEC(2000)
/*
 * An outage of which no end is known lasts about as long again as it has
 * lasted: within these bounds that is when a caller is told to come back.
 */
#define RETRY_AFTER_LEAST MSEC(100)
#define RETRY_AFTER_MOST MSEC(5000)

#define NEVER INT64_MAX

/**
 * struct outage_server - a server that is checked
 * @next_at: when the next check is due; NEVER once it is not checked any more
 * @open: checks that have no result yet
 * @told_lost: what was said of it last
 */
struct outage_server {
	struct registry_server *server;
	int64_t next_at;
	int64_t wanted_until;
	int open;
	bool told_lost;
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

static void forget(struct outage *outage, struct outage_server *check)
{
	DL_DELETE(outage->servers, check);
	registry_server_unref(check->server);
	free(check);
}

void outage_finish(struct outage *outage)
{
	while (outage->servers)
		forget(outage, outage->servers);
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

/* Says it once if the server came to be taken for lost, or not any more. */
static void tell(struct outage *outage, struct outage_server *check)
{
	const struct server_score *score = &check->server->score;
	bool lost = server_score_is_lost(score);

	if (lost == check->told_lost)
		return;
	check->told_lost = lost;
	if (outage->ops->changed)
		outage->ops->changed(outage->arg, check->server, lost,
				     clock_now(outage->clock) -
					     score->lost_since);
}

static void watch(struct outage *outage, struct registry_server *server)
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
	check->wanted_until = now + WANTED_FOR;
}

bool outage_affects(struct outage *outage,
		    const struct registry_service *service, int64_t *since)
{
	bool hit = true;
	int i;

	*since = 0;
	for (i = 0; i < service->n; i++) {
		struct registry_server *server = service->servers[i];

		if (!registry_is_open(server))
			continue;
		if (server->score.unreachable)
			watch(outage, server);
		if (!server_score_is_lost(&server->score))
			hit = false;
		else if (server->score.lost_since > *since)
			*since = server->score.lost_since;
	}
	return hit;
}

void outage_check_done(struct outage *outage, struct outage_server *check,
		       bool listens)
{
	int64_t now = clock_now(outage->clock);

	check->open--;
	if (listens) {
		server_score_reconnected(&check->server->score);
		check->next_at = now;
	} else if (check->server->score.unreachable) {
		server_score_unreachable(&check->server->score, now);
	}
	if (check->next_at == NEVER && !check->open)
		forget(outage, check);
}

/* Return: whether it need not be checked any more. */
static bool is_done(const struct outage_server *check, int64_t now)
{
	return now >= check->wanted_until || !registry_is_open(check->server) ||
	       !check->server->score.unreachable;
}

static void end_checks(struct outage *outage, struct outage_server *check)
{
	tell(outage, check);
	check->next_at = NEVER;
	if (!check->open)
		forget(outage, check);
}

void outage_tick(struct outage *outage)
{
	int64_t now = clock_now(outage->clock);
	struct outage_server *check;
	struct outage_server *next;

	DL_FOREACH_SAFE (outage->servers, check, next) {
		if (is_done(check, now)) {
			end_checks(outage, check);
			continue;
		}
		tell(outage, check);
		if (now < check->next_at)
			continue;
		check->next_at = now + CHECK_PERIOD;
		if (check->open >= CHECKS_OPEN_MOST)
			continue;
		check->open++;
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

	if (lasted < RETRY_AFTER_LEAST)
		lasted = RETRY_AFTER_LEAST;
	if (lasted > RETRY_AFTER_MOST)
		lasted = RETRY_AFTER_MOST;
	return lasted / USEC_PER_MSEC;
}
