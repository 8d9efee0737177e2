#include "replica.h"

#include <math.h>

#include "error.h"
#define LOG_MODULE "replica"
#include "log.h"

/* The first choice must take this many times as long as the second. */
#define SWITCH_LATENCY_RATIO 1.25
/* Throttling starts above this many requests for each accepted one. */
#define THROTTLE_K 2.0
#define THROTTLE_FLOOR 0.02
#define SLOW_START_FLOOR 0.1 /* weight factor of a cold server */
/* The health endpoint can at most halve the weight: it may be wrong. */
#define HEALTH_FLOOR 0.5
#define LOAD_AGE_MAX_US 1000000
/* Requests needed before a server is judged by its failures or latency. */
#define OUTLIER_MIN_SAMPLES 8.0f
#define FAILURE_RATIO 0.5f
#define EJECT_DOUBLINGS_MAX 5
/* Older ejections do not lengthen the next one. */
#define EJECTION_MEMORY_US 60000000

/* Preference classes of replicas, the best one first. */
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
	double factor;

	/* The slow start begins when the server stops reporting cold. */
	if (replica->is_cold) {
		server->slow_start_at = now;
		return SLOW_START_FLOOR;
	}
	if (now - server->slow_start_at >= length)
		return 1;
	factor = (double)(now - server->slow_start_at) / (double)length;
	return factor > SLOW_START_FLOOR ? factor : SLOW_START_FLOOR;
}

/* Client-side adaptive throttling: reduces once requests > K x accepts. */
static double throttle(const struct observe_server *server)
{
	double requests =
		(double)(server->accepts + server->refusals + server->failures);
	double factor =
		(THROTTLE_K * (double)server->accepts + 1) / (requests + 1);

	if (factor > 1)
		return 1;
	return factor > THROTTLE_FLOOR ? factor : THROTTLE_FLOOR;
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

double replica_completion_us(const struct observe *observe,
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
	/* Overdue requests reveal a slow server before its answers do. */
	return mean * (1 + load / (slots * share)) * (1 + server->late);
}

/* Draws a replica of the tier at random by weight, other than @skip. */
static int draw_weighted(const struct observe *observe, struct rng *rng,
			 const struct replica *replicas, int n, enum tier tier,
			 int skip)
{
	int64_t now = clock_now(observe->clock);
	double total = 0;
	double remaining;
	int last = -1;
	int i;

	for (i = 0; i < n; i++) {
		if (i != skip && tier_of(&replicas[i], now) == tier)
			total += weight_of(observe, &replicas[i], now);
	}
	remaining = rng_uniform(rng) * total;
	for (i = 0; i < n; i++) {
		if (i == skip || tier_of(&replicas[i], now) != tier)
			continue;
		last = i;
		remaining -= weight_of(observe, &replicas[i], now);
		if (remaining < 0)
			return i;
	}
	return last;
}

/* Weight that the load should follow; ignores throttling and health. */
static double target_weight(const struct observe *observe,
			    const struct replica *replica)
{
	double weight = replica->weight > 0 ? (double)replica->weight : 1;

	return weight * slow_start(observe, replica, clock_now(observe->clock));
}

static double relative_share(const struct observe *observe,
			     const struct replica *replicas, int a, int b)
{
	double own = target_weight(observe, &replicas[a]);
	double other = target_weight(observe, &replicas[b]);

	return own / (own > other ? own : other);
}

/*
 * The load is compared relative to the weight, so that a replica with three
 * times the weight may have three times the requests in flight before it counts
 * as slower.
 */
static int choose_faster(const struct observe *observe,
			 const struct replica *replicas, int first, int second)
{
	double a = replica_completion_us(observe, &replicas[first],
					 relative_share(observe, replicas,
							first, second));
	double b = replica_completion_us(observe, &replicas[second],
					 relative_share(observe, replicas,
							second, first));

	return b * SWITCH_LATENCY_RATIO < a ? second : first;
}

/* Index of an ejected server whose ejection is over and has no probe out. */
static int find_due_probe(const struct replica *replicas, int n, int64_t now)
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

static int64_t earliest_back_off_end(const struct replica *replicas, int n,
				     int64_t now)
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
	int first = draw_weighted(observe, rng, replicas, n, tier, -1);
	int second = draw_weighted(observe, rng, replicas, n, tier, first);

	return second < 0 ? first
			  : choose_faster(observe, replicas, first, second);
}

int replica_choose(struct observe *observe, struct rng *rng,
		   const struct replica *replicas, int n, bool urgent,
		   struct replica_pick *pick, int64_t *when)
{
	int64_t now = clock_now(observe->clock);
	enum tier tier = best_tier(replicas, n, now);
	int probe = urgent ? -1 : find_due_probe(replicas, n, now);

	if (tier == TIER_EXCLUDED)
		return ERR_NO_REPLICA;
	if (tier == TIER_BACK_OFF) {
		*when = earliest_back_off_end(replicas, n, now);
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

static double home_utilisation(const struct observe *observe,
			       const struct replica *replica, int i)
{
	const struct replica_home *home = &replica->homes[i];
	const struct observe_home *home_stats =
		observe_home(replica->server, home->instance);
	int64_t now = clock_now(observe->clock);
	uint32_t load = home_stats->in_flight;

	if (now - home_stats->load_at < LOAD_AGE_MAX_US &&
	    home_stats->load > load)
		load = home_stats->load;
	return (load + 1.0) / (home->slots ? home->slots : 1);
}

int replica_choose_home(const struct observe *observe, struct rng *rng,
			const struct replica *replica, uint64_t avoid)
{
	double lowest = INFINITY;
	int best = 0;
	int i;

	for (i = 0; i < replica->n_homes; i++) {
		double utilisation = home_utilisation(observe, replica, i);

		if (replica->homes[i].instance == avoid)
			utilisation += 1e9;
		/* Random tie-breaking. */
		utilisation *= 1 + rng_uniform(rng) / 64;
		if (utilisation >= lowest)
			continue;
		lowest = utilisation;
		best = i;
	}
	return best;
}

static int count_ejected(const struct observe_group *group)
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
	int max_ejected =
		(int)(observe->tunables.eject_max_ratio * service->n_servers);

	if (max_ejected < 1)
		max_ejected = 1;
	return service->n_ejected < max_ejected &&
	       count_ejected(server->group) < server->group->n / 2;
}

static void set_ejected(struct observe *observe, struct observe_server *server,
			int64_t now)
{
	uint32_t doublings = server->ejections;

	if (doublings > EJECT_DOUBLINGS_MAX)
		doublings = EJECT_DOUBLINGS_MAX;
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
 * Resets the statistics and restarts the slow start, since the server may fail
 * again at full load. The last quarter of the slow start is enough, as its
 * caches are probably still warm.
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

/* Mean latency of the fastest other replica with enough recent samples. */
static float fastest_peer_mean(const struct observe_server *server)
{
	const struct observe_group *group = server->group;
	float lowest = 0;
	int i;

	for (i = 0; i < group->n; i++) {
		const struct observe_server *peer = group->servers[i];

		if (peer == server || peer->accepts < OUTLIER_MIN_SAMPLES)
			continue;
		if (lowest <= 0 || peer->mean_us < lowest)
			lowest = peer->mean_us;
	}
	return lowest;
}

static bool is_slow(const struct observe *observe,
		    const struct observe_server *server, float usec)
{
	float peers = fastest_peer_mean(server);
	float max_ratio = (float)observe->tunables.eject_latency_factor;

	return peers > 0 && usec > max_ratio * peers;
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

static bool has_high_failure_ratio(const struct observe_server *server)
{
	float requests = server->accepts + server->failures;

	return requests >= OUTLIER_MIN_SAMPLES &&
	       server->failures > FAILURE_RATIO * requests;
}

static bool has_high_latency(const struct observe *observe,
			     const struct observe_server *server)
{
	return server->accepts >= OUTLIER_MIN_SAMPLES &&
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
	else if (has_high_failure_ratio(server))
		eject(observe, server, "failure_ratio", now);
	else if (outcome == OBSERVE_ANSWERED &&
		 has_high_latency(observe, server))
		eject(observe, server, "latency", now);
}
