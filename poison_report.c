/* Reports on fingerprints that instances send each other. */
#include "poison_private.h"

#include <string.h>

static void fill_report(const struct poison *poison,
			const struct poison_entry *entry,
			struct poison_report *report)
{
	int64_t now = clock_now(poison->clock);

	*report = (struct poison_report){
		.hash = entry->hash,
		.unwatched_crash = entry->unwatched_crash,
		.was_safe = entry->was_safe,
		.n_servers = entry->n_servers,
		.replica_set = entry->replica_set,
		.ran = entry->ran,
		.crashed_on_trial = entry->crashed_on_trial,
		.trial_ticket = entry->trial_ticket,
		.trial =
			entry->trial_until > now ? entry->trial_until - now : 0,
		.held = entry->held_until > now ? entry->held_until - now : 0,
		.banned = entry->banned,
		.in_doubt = entry->in_doubt,
		.remaining = entry->expires - now,
		.version = entry->version,
	};
	memcpy(report->servers, entry->servers, sizeof(report->servers));
}

void poison_notify_changed(const struct poison *poison,
			   const struct poison_entry *entry)
{
	struct poison_report report;

	if (!poison->changed)
		return;
	fill_report(poison, entry, &report);
	poison->changed(poison->ctx, &report);
}

static int64_t bounded_remaining(const struct poison *poison,
				 const struct poison_report *report)
{
	int64_t limit = report->banned ? poison->tunables.ban_ttl
				       : poison->tunables.suspect_ttl;

	return report->remaining < limit ? report->remaining : limit;
}

static bool evidence_differs(const struct poison_entry *entry,
			     const struct poison_entry *before)
{
	return entry->version != before->version ||
	       entry->banned != before->banned ||
	       entry->in_doubt != before->in_doubt ||
	       entry->n_servers != before->n_servers ||
	       entry->unwatched_crash != before->unwatched_crash ||
	       entry->crashed_on_trial != before->crashed_on_trial ||
	       entry->was_safe != before->was_safe;
}

/*
 * What was reported before it was cleared, and arrives later. Without this, the
 * two reports could follow each other from instance to instance without end.
 */
static bool is_cleared(const struct poison *poison,
		       const struct poison_report *report)
{
	return report->version &&
	       report->version <= poison_cleared_version(poison, report->hash);
}

static bool apply_clear(struct poison *poison, const struct poison_entry *entry,
			const struct poison_report *report)
{
	bool known = entry ? entry->banned : !report->version;

	if (known || is_cleared(poison, report) ||
	    (entry && report->version && report->version < entry->version))
		return false;
	poison_clear(poison, report->hash,
		     report->version ? report->version : entry->version);
	return true;
}

/* Of trials that were announced at the same time, the lowest ticket's counts.
 */
static bool apply_trial(const struct poison *poison, struct poison_entry *entry,
			const struct poison_report *report)
{
	int64_t now = clock_now(poison->clock);
	bool is_new = poison_note_until(poison, &entry->trial_until,
					now + report->trial);
	bool is_first = report->trial_ticket && entry->trial_until > now &&
			report->trial_ticket < entry->trial_ticket;

	if (!is_new && !is_first)
		return false;
	entry->trial_ticket = report->trial_ticket;
	return true;
}

/* An instance that has just started does not know what runs well. */
static bool knows_better(const struct poison *poison,
			 const struct poison_report *report)
{
	return report->in_doubt && !report->n_servers &&
	       !report->unwatched_crash &&
	       poison_has_run_well(poison, report->hash);
}

bool poison_apply_report(struct poison *poison,
			 const struct poison_report *report)
{
	int64_t now = clock_now(poison->clock);
	struct poison_entry *entry =
		poison_find_live_entry(poison, report->hash);
	struct poison_entry before = {0};
	bool new_wait = false;
	int i;

	if (!report->unwatched_crash && !report->n_servers && !report->banned &&
	    !report->in_doubt)
		return apply_clear(poison, entry, report);
	if (report->remaining <= 0 || is_cleared(poison, report) ||
	    knows_better(poison, report))
		return false;
	if (entry)
		before = *entry;
	else
		entry = poison_add_entry(poison, report->hash);
	if (report->unwatched_crash)
		poison_entry_add_unwatched_crash(poison, entry,
						 report->was_safe);
	entry->banned = entry->banned || report->banned;
	entry->crashed_on_trial |= report->crashed_on_trial;
	entry->in_doubt |= report->in_doubt;
	for (i = 0; i < report->n_servers && i < POISON_SERVERS_MAX; i++)
		poison_entry_add_server(entry, report->servers[i]);
	poison_entry_raise_ran(entry, report->ran);
	if (report->trial)
		new_wait |= apply_trial(poison, entry, report);
	if (report->held)
		new_wait |= poison_note_until(poison, &entry->held_until,
					      now + report->held);
	if (report->version > entry->version)
		entry->version = report->version;
	if (!evidence_differs(entry, &before))
		return new_wait;
	entry->replica_set = report->replica_set;
	poison_update_ban(poison, entry);
	entry->expires = now + bounded_remaining(poison, report);
	if (entry->banned && !before.banned && !report->banned)
		entry->expires = now + poison->tunables.ban_ttl;
	return true;
}

int poison_export(struct poison *poison, struct poison_report *reports, int max)
{
	int n = (int)HASH_COUNT(poison->entries);
	int skip = n > max ? n - max : 0;
	int filled = 0;
	struct poison_entry *entry;

	for (entry = poison->entries; entry; entry = entry->hh.next) {
		if (skip-- > 0)
			continue;
		fill_report(poison, entry, &reports[filled++]);
	}
	return filled;
}
