/* Requests that seem to crash servers, before it is known whether they do. */
#include "crash_watch_private.h"

#include <utlist.h>

/*
 * Most servers whose connections broke have answered or refused a new one by
 * then; what the others do is known seconds later.
 */
#define REPORT_AFTER MSEC(25)
/* One server's connections may break for any request. */
#define SERVERS_MIN 2

void crash_doubt_start(struct watched_server *watched)
{
	watched->doubt_at = watched->server->broke_at + REPORT_AFTER;
}

void crash_doubt_end(struct watched_server *watched)
{
	watched->doubt_at = INT64_MAX;
	watched->doubted = false;
}

static bool may_be_cause(const struct watched_run *run)
{
	return !run->run.safe &&
	       run->run.started <= run->server->server->broke_at;
}

static bool has_possible_cause(const struct watched_server *watched,
			       uint64_t hash)
{
	const struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (run->run.hash == hash && may_be_cause(run))
			return true;
	}
	return false;
}

static bool is_doubted_or_safe(const struct poison *poison, uint64_t hash)
{
	return poison_suspect_set(poison, hash) ||
	       poison_has_run_well(poison, hash);
}

static int count_doubted_servers(const struct crash_watch *watch, uint64_t hash)
{
	const struct watched_server *watched;
	int n = 0;

	DL_FOREACH (watch->servers, watched) {
		if (watched->doubted && has_possible_cause(watched, hash))
			n++;
	}
	return n;
}

void crash_doubt_report_if_due(struct crash_watch *watch,
			       struct watched_server *watched)
{
	const char *service = watched->server->entry.service;
	const struct watched_run *run;

	if (clock_now(watch->clock) < watched->doubt_at)
		return;
	watched->doubt_at = INT64_MAX;
	watched->doubted = true;
	DL_FOREACH (watched->runs, run) {
		if (may_be_cause(run) &&
		    !is_doubted_or_safe(watch->poison, run->run.hash) &&
		    count_doubted_servers(watch, run->run.hash) >= SERVERS_MIN)
			poison_doubt(watch->poison, run->run.hash,
				     str_from(service));
	}
}
