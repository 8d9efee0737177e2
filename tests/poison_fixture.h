/*
 * Test fixture: what one instance knows of fingerprints, on a paused clock, and
 * the last report that it made.
 */
#ifndef POISON_FIXTURE_H
#define POISON_FIXTURE_H

#include <string.h>

#include "clock.h"
#include "poison.h"
#include "unit.h"

#define HASH_A 101
#define HASH_B 202
#define REPLICA_SET STR("r1")

static const struct poison_tunables tunables = {
	.max_entries = 64,
	.suspect_ttl = MSEC(60000),
	.ban_ttl = MSEC(600000),
};

struct fixture {
	struct clock clock;
	struct poison poison;
	struct poison_report last;
	int reports;
};

static inline void on_changed(void *ctx, const struct poison_report *report)
{
	struct fixture *f = ctx;

	f->last = *report;
	f->reports++;
}

static inline void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(1000));
	poison_init(&f->poison, &f->clock, on_changed, f);
	poison_set_tunables(&f->poison, &tunables);
}

static inline enum poison_verdict verdict(struct fixture *f, uint64_t hash)
{
	uint32_t retry;

	return poison_check(&f->poison, hash, &retry);
}

static inline int begin(struct fixture *f, struct poison_run *run,
			uint64_t hash, const char *server,
			enum poison_trial trial)
{
	clock_advance(&f->clock, 1);
	return poison_begin(&f->poison, run, hash, str_from(server),
			    REPLICA_SET, trial, INT64_MAX);
}

static inline void lose_server(struct fixture *f, const char *server)
{
	poison_server_lost(&f->poison, str_from(server));
}

/* As gateways use it: nothing new is tried on one server first. */
static inline void setup_without_canaries(struct fixture *f)
{
	setup(f);
	f->poison.no_canaries = true;
	f->poison.ban_after = 3;
}

#endif
