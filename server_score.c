#include "server_score.h"

#include <math.h>

#include "clock.h"
#include "error.h"
#include "server_estimate.h"

/* Weight of the latest answer: ten answers make up most of the average. */
#define LATENCY_WEIGHT 0.1
/* Errors count faster: two consecutive ones change the choice of server. */
#define RESULT_WEIGHT 0.2
/*
 * Time constant with which measurements decay: a server that is no longer
 * chosen may have recovered, and only a request can show it.
 */
#define DECAY_US 1500000.0
/* A failure rate of a tenth doubles the cost of a server. */
#define FAILURE_COST_FACTOR 10.0
/* A refusal costs another send, from a budget that all requests share. */
#define REFUSAL_COST_FACTOR 12.0
/* Preference for the own data centre where only own requests are measured. */
#define REMOTE_COST_FACTOR 1.4
/* Round trip to a relay in another data centre, microseconds. */
#define REMOTE_RTT_US 3000.0
/*
 * Random variation of a processing time, as a share of the service's latency.
 */
#define NOISE_SHARE 0.3
/* Maximum jitter, as a share of the processing time. */
#define JITTER_MAX 0.15
/*
 * A server counts as stopped if no answer arrives for this multiple of its
 * usual latency, and for at least this long.
 */
#define STOPPED_FACTOR 2.5
#define STOPPED_MIN MSEC(25)
/* Worse than a server that is only late. */
#define COST_UNREACHABLE 1e12
/* A shorter silence may be a pause and is not recorded. */
#define SILENCE_MIN MSEC(200)
/*
 * A server whose latency is this multiple of its service's baseline has a queue
 * or is slow. An answer that is no longer needed then occupies a slot that
 * other requests wait for, which costs more than a new connection.
 */
#define LOADED_FACTOR 4.0
#define LINGER MSEC(300)
#define LINGER_WHILE_LOADED MSEC(30)
/* Older measurements say nothing about the current queue. */
#define LOADED_AGE_MAX MSEC(1000)
/*
 * One failed connection may be due to a dropped packet or to the server's
 * connection limit; two in a row without an answer between are not.
 */
#define LOST_AFTER 2
/* Bounds of the period for which a server without any answer is avoided. */
#define AVOID_MIN MSEC(100)
#define AVOID_MAX MSEC(2000)

static void update_average(double *value, double sample, double weight)
{
	*value += (sample - *value) * weight;
}

void server_score_sent(struct server_score *score, int64_t now)
{
	if (!score->outstanding++)
		score->waiting_since = now;
}

static void avoid(struct server_score *score, int64_t now)
{
	score->avoid_for *= 2;
	if (score->avoid_for < AVOID_MIN)
		score->avoid_for = AVOID_MIN;
	if (score->avoid_for > AVOID_MAX)
		score->avoid_for = AVOID_MAX;
	score->avoid_until = now + score->avoid_for;
}

/*
 * A failure on an open connection does not show that the next one would fail.
 */
static void update_reachability(struct server_score *score,
				enum server_result result, int64_t now)
{
	if (result == SERVER_ANSWERED || result == SERVER_REFUSED)
		score->unreachable = 0;
	if (result == SERVER_UNREACHABLE)
		server_score_unreachable(score, now);
}

void server_score_unreachable(struct server_score *score, int64_t now)
{
	if (!score->unreachable++)
		score->lost_since = now;
}

void server_score_set_lost(struct server_score *score, int64_t now)
{
	if (!score->unreachable)
		score->lost_since = now;
	if (score->unreachable < LOST_AFTER)
		score->unreachable = LOST_AFTER;
}

bool server_score_is_lost(const struct server_score *score)
{
	return score->unreachable >= LOST_AFTER;
}

void server_score_reconnected(struct server_score *score)
{
	score->unreachable = 0;
	score->avoid_for = 0;
	score->avoid_until = 0;
}

void server_score_result(struct server_score *score, enum server_result result,
			 int64_t took, int64_t now)
{
	score->outstanding--;
	update_reachability(score, result, now);
	if (result == SERVER_ABANDONED ||
	    (result == SERVER_SILENT && took < SILENCE_MIN))
		return;
	if (result == SERVER_SILENT || result == SERVER_UNREACHABLE) {
		avoid(score, now);
	} else {
		score->waiting_since = now;
		score->avoid_for = 0;
		score->avoid_until = 0;
	}
	update_average(&score->failures,
		       result == SERVER_FAILED || result >= SERVER_SILENT,
		       RESULT_WEIGHT);
	update_average(&score->refusals, result == SERVER_REFUSED,
		       RESULT_WEIGHT);
	if (result != SERVER_ANSWERED)
		return;
	if (!score->latency_at)
		score->latency = (double)took;
	update_average(&score->latency, (double)took, LATENCY_WEIGHT);
	score->latency_at = now;
}

void server_score_set_failures(struct server_score *score, double failures)
{
	score->failures = failures < 1 ? failures : 1;
}

enum server_result server_result_of(int code, bool success)
{
	switch (code) {
	case 0:
		return success ? SERVER_ANSWERED : SERVER_FAILED;
	case ERR_SHED:
		return SERVER_REFUSED;
	case ERR_SILENT:
		return SERVER_SILENT;
	case ERR_CONNECT:
		return SERVER_UNREACHABLE;
	case ERR_LOST:
	case ERR_PROTOCOL:
	case ERR_FOREIGN:
		return SERVER_FAILED;
	default:
		/* Ended on our side. */
		return SERVER_ABANDONED;
	}
}

/* @latency: expected latency of an answer */
static bool is_stopped(const struct server_score *score, double latency,
		       int64_t max_wait, int64_t now)
{
	int64_t limit = (int64_t)(latency * STOPPED_FACTOR);

	if (!score->outstanding)
		return false;
	if (limit < STOPPED_MIN)
		limit = STOPPED_MIN;
	return now - score->waiting_since > limit + max_wait;
}

/* Cost that does not depend on the expected latency. */
static double avoidance_cost(const struct server_score *score, double latency,
			     int64_t max_wait, int64_t now)
{
	double cost = 0;

	if (is_stopped(score, latency, max_wait, now))
		cost += SERVER_COST_AVOID;
	if (now < score->avoid_until)
		cost += COST_UNREACHABLE;
	return cost;
}

static double error_factor(const struct server_score *score)
{
	return 1 + FAILURE_COST_FACTOR * score->failures +
	       REFUSAL_COST_FACTOR * score->refusals;
}

/* Requests of this instance per slot of the server. */
static double own_load(const struct server_score *score,
		       const struct server_traits *traits)
{
	return (double)score->outstanding /
	       (double)(traits->slots > 0 ? traits->slots : 1);
}

/* Cost by this instance's own measurements only. */
static double cost_from_own_requests(const struct server_score *score,
				     const struct server_traits *traits,
				     int64_t now)
{
	double decay = exp(-(double)(now - score->latency_at) / DECAY_US);
	double latency = traits->service_latency;
	double cost;

	if (score->latency_at)
		latency += (score->latency - traits->service_latency) * decay;
	cost = latency * (1 + own_load(score, traits)) * error_factor(score);
	if (traits->remote)
		cost *= REMOTE_COST_FACTOR;
	return cost + avoidance_cost(score, latency, 0, now);
}

/* Differences within the random variation of single requests are ignored. */
static double ignore_noise(double processing_time, double service_latency)
{
	double noise = service_latency * NOISE_SHARE;

	if (processing_time > service_latency + noise)
		return processing_time - noise;
	return processing_time < service_latency - noise
		       ? processing_time + noise
		       : service_latency;
}

/* Cost by expected completion, with the estimate shared by all senders. */
static double cost_from_estimate(const struct server_score *score,
				 const struct server_traits *traits,
				 int64_t now)
{
	const struct server_estimate *estimate = traits->estimate;
	double processing_time =
		ignore_noise(server_estimate_processing_time(
				     estimate, traits->service_latency, now),
			     traits->service_latency);
	double wait =
		(double)server_estimate_wait(estimate, traits->level, now);
	double own = own_load(score, traits) * processing_time;
	/* Waiting at a relay does not mean that the server stopped. */
	int64_t max_wait =
		server_estimate_max_wait(estimate, score->waiting_since);
	double cost;

	if (wait < own)
		wait = own;
	cost = wait + processing_time * (1 + JITTER_MAX * traits->jitter);
	cost *= error_factor(score);
	if (traits->remote)
		cost += REMOTE_RTT_US;
	/*
	 * With few answers, prefer a near server: its estimate is more
	 * reliable.
	 */
	if (traits->remote && !traits->relayed)
		cost += (REMOTE_COST_FACTOR - 1) * processing_time;
	return cost + avoidance_cost(score, processing_time, max_wait, now);
}

double server_score_cost(const struct server_score *score,
			 const struct server_traits *traits, int64_t now)
{
	return traits->estimate ? cost_from_estimate(score, traits, now)
				: cost_from_own_requests(score, traits, now);
}

int64_t server_score_linger(const struct server_score *score,
			    double baseline_latency, int64_t now)
{
	if (score->latency_at && now - score->latency_at < LOADED_AGE_MAX &&
	    score->latency > baseline_latency * LOADED_FACTOR)
		return LINGER_WHILE_LOADED;
	return LINGER;
}
