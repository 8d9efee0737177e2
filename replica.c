#include "replica.h"

#include <math.h>

#include "error.h"
#define LOG_MODULE "replica"
#include "log.h"

/* A second choice must be this much quicker than the first. */
#define CLEARLY_QUICKER 1.25
/* Requests a server may refuse for each it accepts before it gets fewer. */
#define THROTTLE_K 2.0
#define WEIGHT_FLOOR 0.02
#define SLOW_START_FLOOR 0.1
/* A bad word of the health endpoint halves the share, no more. */
#define HEALTH_FLOOR 0.5
#define LOAD_AGE_MAX_US 1000000
#define OUTLIER_SAMPLES 8.0f
#define FAILURE_RATIO 0.5f
#define DOUBLINGS_MAX 5
/* An ejection longer ago than this does not lengthen the next. */
#define EJECTION_MEMORY_US 60000000

enum tier {
	TIER_NORMAL,
	TIER_LAST_RESORT, /* weight 0 in the table */
	TIER_EJECTED,
	TIER_BACK_OFF,
	TIER_EXCLUDED,
};

bool replica_ejected(const struct observe_server *server)
{
	return server->ejected_until;
}

static enum tier tier_of(const struct replica *replica, int64_t now)
{
	if (replica->excluded || !replica->n_homes)
		return TIER_EXCLUDED;
	if (now < replica->server->back_off_until)
		return TIER_BACK_OFF;
	if (replica_ejected(replica->server))
		return TIER_EJECTED;
	return replica->weight > 0 ? TIER_NORMAL : TIER_LAST_RESORT;
}

static enum tier best_tier(const struct replica *replicas, int n, int64_t now)
{
	enum tier best = TIER_EXCLUDED;
	int i;

	for (i = 0; i < n; i++) {
		enum tier tier = tier_of(&replicas[i], now);

		if (tier < best)
			best = tier;
	}
	return best;
}

static double slow_start(const struct observe *observe,
			 const struct replica *replica, int64_t now)
{
	int64_t length = MSEC(observe->tunables.slow_start_ms);
	struct observe_server *server = replica->server;
	double part;

	/* It starts to warm up when it no longer says it is cold. */
	if (replica->is_cold) {
		server->slow_start_at = now;
		return SLOW_START_FLOOR;
	}
	if (now - server->slow_start_at >= length)
		return 1;
	part = (double)(now - server->slow_start_at) / (double)length;
	return part > SLOW_START_FLOOR ? part : SLOW_START_FLOOR;
}

/* As adaptive throttling of clients: fewer when requests > K x accepts. */
static double throttle(const struct observe_server *server)
{
	double asked =
		(double)(server->accepts + server->refusals + server->failures);
	double part = (THROTTLE_K * (double)server->accepts + 1) / (asked + 1);

	if (part > 1)
		return 1;
	return part > WEIGHT_FLOOR ? part : WEIGHT_FLOOR;
}

static double weight_of(const struct observe *observe,
			const struct replica *replica, int64_t now)
{
	const struct observe_server *server = replica->server;
	double weight = replica->weight > 0 ? (double)replica->weight : 1;
	double health = (double)server->health;

	return weight * slow_start(observe, replica, now) * throttle(server) *
	       (HEALTH_FLOOR + (1 - HEALTH_FLOOR) * health);
}

double replica_finish_us(const struct observe *observe,
			 const struct replica *replica, double share)
{
	const struct observe_server *server = replica->server;
	double mean = (double)observe_mean(observe, server);
	double load = observe_load(observe, server);
	double slots = 0;
	int i;

	for (i = 0; i < replica->n_homes; i++)
		slots += replica->homes[i].slots;
	if (slots < 1)
		slots = 1;
	if (mean < 1)
		mean = 1;
	/* Late requests tell of a slow server before its answers do. */
	return mean * (1 + load / (slots * share)) * (1 + server->late);
}

/* Index of a random replica of the tier, by weight, other than @not. */
static int draw(const struct observe *observe, struct rng *rng,
		const struct replica *replicas, int n, enum tier tier, int not )
{
	int64_t now = clock_now(observe->clock);
	double total = 0;
	double point;
	int last = -1;
	int i;

	for (i = 0; i < n; i++) {
		if (i != not &&tier_of(&replicas[i], now) == tier)
			total += weight_of(observe, &replicas[i], now);
	}
	point = rng_uniform(rng) * total;
	for (i = 0; i < n; i++) {
		if (i == not || tier_of(&replicas[i], now) != tier)
			continue;
		last = i;
		point -= weight_of(observe, &replicas[i], now);
		if (point < 0)
			return i;
	}
	return last;
}

/* What share of the load a replica should have, refusals aside. */
static double fair_weight(const struct observe *observe,
			  const struct replica *replica)
{
	double weight = replica->weight > 0 ? (double)replica->weight : 1;

	return weight * slow_start(observe, replica, clock_now(observe->clock));
}

static double share_of(const struct observe *observe,
		       const struct replica *replicas, int a, int b)
{
	double own = fair_weight(observe, &replicas[a]);
	double other = fair_weight(observe, &replicas[b]);

	return own / (own > other ? own : other);
}

/*
 * The load is held against the share, so that a replica with three times the
 * weight may have three times the requests before it counts as the slower.
 */
static int better(const struct observe *observe, const struct replica *replicas,
		  int first, int second)
{
	double a =
		replica_finish_us(observe, &replicas[first],
				  share_of(observe, replicas, first, second));
	double b =
		replica_finish_us(observe, &replicas[second],
				  share_of(observe, replicas, second, first));

	return b * CLEARLY_QUICKER < a ? second : first;
}

/* An ejected server whose time is up, and that nobody tries just now. */
static int due_probe(const struct replica *replicas, int n, int64_t now)
{
	int i;

	for (i = 0; i < n; i++) {
		const struct observe_server *server = replicas[i].server;

		if (tier_of(&replicas[i], now) == TIER_EJECTED &&
		    !server->probing && now >= server->ejected_until)
			return i;
	}
	return -1;
}

static int64_t first_return(const struct replica *replicas, int n, int64_t now)
{
	int64_t first = INT64_MAX;
	int i;

	for (i = 0; i < n; i++) {
		if (tier_of(&replicas[i], now) == TIER_BACK_OFF &&
		    replicas[i].server->back_off_until < first)
			first = replicas[i].server->back_off_until;
	}
	return first;
}

static int pick_replica(struct observe *observe, struct rng *rng,
			const struct replica *replicas, int n, enum tier tier)
{
	int first = draw(observe, rng, replicas, n, tier, -1);
	int second = draw(observe, rng, replicas, n, tier, first);

	return second < 0 ? first : better(observe, replicas, first, second);
}

int replica_choose(struct observe *observe, struct rng *rng,
		   const struct replica *replicas, int n, bool urgent,
		   struct replica_pick *pick, int64_t *when)
{
	int64_t now = clock_now(observe->clock);
	enum tier tier = best_tier(replicas, n, now);
	int probe = urgent ? -1 : due_probe(replicas, n, now);

	if (tier == TIER_EXCLUDED)
		return ERR_NO_REPLICA;
	if (tier == TIER_BACK_OFF) {
		*when = first_return(replicas, n, now);
		return ERR_SHED;
	}
	pick->probe = probe >= 0;
	if (pick->probe)
		replicas[probe].server->probing = true;
	pick->replica = pick->probe
				? probe
				: pick_replica(observe, rng, replicas, n, tier);
	pick->home =
		replica_choose_home(observe, rng, &replicas[pick->replica], 0);
	return 0;
}

static double home_fill(const struct observe *observe,
			const struct replica *replica, int i)
{
	const struct replica_home *home = &replica->homes[i];
	const struct observe_home *seen =
		observe_home(replica->server, home->instance);
	int64_t now = clock_now(observe->clock);
	uint32_t load = seen->in_flight;

	if (now - seen->load_at < LOAD_AGE_MAX_US && seen->load > load)
		load = seen->load;
	return (load + 1.0) / (home->slots ? home->slots : 1);
}

int replica_choose_home(const struct observe *observe, struct rng *rng,
			const struct replica *replica, uint64_t avoid)
{
	double least = INFINITY;
	int best = 0;
	int i;

	for (i = 0; i < replica->n_homes; i++) {
		double fill = home_fill(observe, replica, i);

		if (replica->homes[i].instance == avoid)
			fill += 1e9;
		/* A little chance breaks ties. */
		fill *= 1 + rng_uniform(rng) / 64;
		if (fill >= least)
			continue;
		least = fill;
		best = i;
	}
	return best;
}

static int ejected_in(const struct observe_group *group)
{
	int n = 0;
	int i;

	for (i = 0; i < group->n; i++)
		n += replica_ejected(group->servers[i]);
	return n;
}

static bool may_eject(const struct observe *observe,
		      const struct observe_server *server)
{
	const struct observe_service *service = server->service;
	int most =
		(int)(observe->tunables.eject_max_ratio * service->n_servers);

	if (most < 1)
		most = 1;
	return service->n_ejected < most &&
	       ejected_in(server->group) < server->group->n / 2;
}

static void set_ejected(struct observe *observe, struct observe_server *server,
			int64_t now)
{
	uint32_t doublings = server->ejections;

	if (doublings > DOUBLINGS_MAX)
		doublings = DOUBLINGS_MAX;
	server->ejected_until =
		now + (MSEC(observe->tunables.eject_ms) << doublings);
	server->ejections++;
	server->ejected_at = now;
	server->probing = false;
}

static void eject(struct observe *observe, struct observe_server *server,
		  const char *reason, int64_t now)
{
	if (!may_eject(observe, server))
		return;
	if (now - server->ejected_at > EJECTION_MEMORY_US)
		server->ejections = 0;
	set_ejected(observe, server, now);
	server->service->n_ejected++;
	LOG_WARN("server_ejected", LOG_TEXT("server", server->name),
		 LOG_TEXT("reason", reason),
		 LOG_I64("for_ms",
			 (server->ejected_until - now) / USEC_PER_MSEC));
}

/*
 * It begins anew, with a smaller share: it may fail again at full load. The
 * start is a short one, since its caches are likely warm.
 */
static void readmit(const struct observe *observe,
		    struct observe_server *server, int64_t elapsed_us,
		    int64_t now)
{
	int64_t length = MSEC(observe->tunables.slow_start_ms);

	server->ejected_until = 0;
	server->probing = false;
	server->service->n_ejected--;
	server->requests = 0;
	server->accepts = 0;
	server->refusals = 0;
	server->failures = 0;
	server->failures_in_row = 0;
	server->mean_us = (float)elapsed_us;
	server->sampled_at = now;
	server->slow_start_at = now - length * 3 / 4;
	LOG_INFO("server_readmitted", LOG_TEXT("server", server->name));
}

/* The mean of the quickest other replica that has been seen lately. */
static float peers_mean(const struct observe_server *server)
{
	const struct observe_group *group = server->group;
	float least = 0;
	int i;

	for (i = 0; i < group->n; i++) {
		const struct observe_server *peer = group->servers[i];

		if (peer == server || peer->accepts < OUTLIER_SAMPLES)
			continue;
		if (least <= 0 || peer->mean_us < least)
			least = peer->mean_us;
	}
	return least;
}

static bool is_slow(const struct observe *observe,
		    const struct observe_server *server, float usec)
{
	float peers = peers_mean(server);
	float factor = (float)observe->tunables.eject_latency_factor;

	return peers > 0 && usec > factor * peers;
}

static void review_probe(struct observe *observe, struct observe_server *server,
			 enum observe_outcome outcome, int64_t elapsed_us,
			 int64_t now)
{
	if (outcome == OBSERVE_NOT_ASKED)
		server->probing = false;
	else if (outcome == OBSERVE_ANSWERED &&
		 !is_slow(observe, server, (float)elapsed_us))
		readmit(observe, server, elapsed_us, now);
	else
		set_ejected(observe, server, now);
}

static bool fails_often(const struct observe_server *server)
{
	float asked = server->accepts + server->failures;

	return asked >= OUTLIER_SAMPLES &&
	       server->failures > FAILURE_RATIO * asked;
}

static bool stays_slow(const struct observe *observe,
		       const struct observe_server *server)
{
	return server->accepts >= OUTLIER_SAMPLES &&
	       is_slow(observe, server, server->mean_us);
}

void replica_update_ejection(struct observe *observe,
			     struct observe_server *server,
			     enum observe_outcome outcome, int64_t elapsed_us)
{
	int64_t now = clock_now(observe->clock);

	if (replica_ejected(server)) {
		if (server->probing)
			review_probe(observe, server, outcome, elapsed_us, now);
		return;
	}
	if (outcome == OBSERVE_FAILED &&
	    server->failures_in_row >= observe->tunables.eject_failures)
		eject(observe, server, "failures_in_row", now);
	else if (fails_often(server))
		eject(observe, server, "failure_ratio", now);
	else if (outcome == OBSERVE_ANSWERED && stays_slow(observe, server))
		eject(observe, server, "latency", now);
}
