#include "warmup.h"

#include <string.h>

/*
 * The bound holds in any second. A send may wait for its connection, up to
 * 250 ms, so that two of them may arrive so much closer than they were counted.
 */
#define WINDOW MSEC(1300)
/*
 * A hub that is not known to live any more may be cut off and still send. It
 * keeps its place for so long, longer than a cut lasts that is not taken for
 * its end; its part of the bound is lost meanwhile.
 */
#define SENDER_KEPT MSEC(30000)

int warmup_bound(double per_s, double overrun, double slack)
{
	double bound = per_s * overrun + slack;

	if (per_s <= 0)
		return 0;
	if (bound > 1e6)
		return 1000000;
	return bound >= 1 ? (int)bound : 1;
}

void warmup_init(struct warmup *warmup, const struct clock *clock,
		 const char *instance)
{
	memset(warmup, 0, sizeof(*warmup));
	warmup->clock = clock;
	warmup->started_at = clock_now(clock);
	str_copy(warmup->instance, sizeof(warmup->instance),
		 str_from(instance));
}

static struct warmup_sender *find(struct warmup *warmup, const char *instance)
{
	int i;

	for (i = 0; i < warmup->n; i++) {
		if (!strcmp(warmup->senders[i].instance, instance))
			return &warmup->senders[i];
	}
	return NULL;
}

/* Where there is no room the one goes that was seen longest ago. */
static struct warmup_sender *add(struct warmup *warmup, const char *instance)
{
	struct warmup_sender *sender = &warmup->senders[0];
	int i;

	if (warmup->n < WARMUP_SENDERS_MAX) {
		sender = &warmup->senders[warmup->n++];
	} else {
		for (i = 1; i < warmup->n; i++) {
			if (warmup->senders[i].seen_at < sender->seen_at)
				sender = &warmup->senders[i];
		}
	}
	str_copy(sender->instance, sizeof(sender->instance),
		 str_from(instance));
	sender->seen_at = clock_now(warmup->clock);
	return sender;
}

void warmup_set_senders(struct warmup *warmup,
			char (*instances)[FLEET_NAME_SIZE], int n)
{
	int64_t now = clock_now(warmup->clock);
	int i;

	for (i = 0; i < warmup->n; i++) {
		if (warmup->senders[i].alive)
			warmup->senders[i].seen_at = now;
		warmup->senders[i].alive = false;
	}
	for (i = 0; i < n; i++) {
		struct warmup_sender *sender = find(warmup, instances[i]);

		if (!sender)
			sender = add(warmup, instances[i]);
		sender->alive = true;
	}
}

uint64_t warmup_hash(struct str server, const char *instance)
{
	return str_hash_mix(str_hash(server), str_hash(str_from(instance)));
}

static bool is_kept(const struct warmup *warmup,
		    const struct warmup_sender *sender)
{
	return sender->alive ||
	       clock_now(warmup->clock) - sender->seen_at < SENDER_KEPT;
}

const char *warmup_sender(const struct warmup *warmup, struct str server)
{
	const struct warmup_sender *best = NULL;
	uint64_t least = 0;
	int i;

	for (i = 0; i < warmup->n; i++) {
		const struct warmup_sender *sender = &warmup->senders[i];
		uint64_t score = warmup_hash(server, sender->instance);

		if (!sender->alive || (best && score >= least))
			continue;
		least = score;
		best = sender;
	}
	return best ? best->instance : NULL;
}

/* Those that are before this instance, dead or not. */
static int rank_of(const struct warmup *warmup, struct str server)
{
	uint64_t own = warmup_hash(server, warmup->instance);
	int rank = 0;
	int i;

	for (i = 0; i < warmup->n; i++) {
		const struct warmup_sender *sender = &warmup->senders[i];

		if (is_kept(warmup, sender) &&
		    warmup_hash(server, sender->instance) < own)
			rank++;
	}
	return rank;
}

bool warmup_try_send(const struct warmup *warmup, struct str server,
		     const struct warmup_limit *limit,
		     struct warmup_sends *sends)
{
	const char *sender = warmup_sender(warmup, server);
	int64_t now = clock_now(warmup->clock);
	uint64_t share;

	if (!sender || strcmp(sender, warmup->instance) ||
	    now - warmup->started_at < WINDOW)
		return false;
	share = (uint64_t)limit->bound >> (1 + rank_of(warmup, server));
	if (share > WARMUP_SENDS_MAX)
		share = WARMUP_SENDS_MAX;
	if (!share)
		return false;
	if (sends->n >= share &&
	    now - sends->at[(sends->n - share) % WARMUP_SENDS_MAX] < WINDOW)
		return false;
	sends->at[sends->n++ % WARMUP_SENDS_MAX] = now;
	return true;
}
