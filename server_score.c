#include "server_score.h"

#include <math.h>

#include "clock.h"
#include "error.h"
#include "server_outlook.h"

/* Weight of the newest answer: ten answers make most of the average. */
#define LATENCY_WEIGHT 0.1
/* Errors count faster: two in a row turn the choice. */
#define RESULT_WEIGHT 0.2
/*
 * What was seen of a server that is not chosen any more fades: it may have
 * recovered, and only a request can show it.
 */
#define FADE_US 1500000.0
/* At a failure rate of a tenth, a server costs twice as much. */
#define FAILURE_PRICE 10.0
/* A refused request costs another send, of a budget that all share. */
#define REFUSAL_PRICE 12.0
/* For the own data centre, where only own sends are known. */
#define REMOTE_PRICE 1.4
/* To a relay in another data centre and back, microseconds. */
#define REMOTE_WAY 3000.0
/* Of what is usual: so much a pace may differ by chance. */
#define PACE_CHANCE 0.3
/* Of the pace, at most. */
#define SPREAD_MOST 0.15
/*
 * A server is taken for stopped when an answer is due for so many times its
 * usual latency, and at least for this long.
 */
#define STOPPED_TIMES 2.5
#define STOPPED_LEAST MSEC(25)
/* Worse than a server that is only late. */
#define SERVER_COST_DEAD 1e12
/* Silence of less than this may be a pause: it says nothing. */
#define SILENCE_LEAST MSEC(200)
/*
 * A server that takes so many times its service's usual time has a queue, or is
 * slow. What nobody waits for keeps its slots from others there, and costs more
 * than the connection that ends with it.
 */
#define LOADED_TIMES 4.0
#define LINGER MSEC(300)
#define LINGER_LOADED MSEC(30)
/* Of what was seen last, before it says nothing more about a queue. */
#define LOADED_AGE_MOST MSEC(1000)
/*
 * One connection that is not made may be a packet that was dropped, or one more
 * than the server accepts; two in a row without an answer between are not.
 */
#define LOST_AFTER 2
/* Without any answer: left alone for this long, doubled up to the most. */
#define AVOID_FIRST MSEC(100)
#define AVOID_MOST MSEC(2000)

static void average(double *value, double sample, double weight)
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
	if (score->avoid_for < AVOID_FIRST)
		score->avoid_for = AVOID_FIRST;
	if (score->avoid_for > AVOID_MOST)
		score->avoid_for = AVOID_MOST;
	score->avoid_until = now + score->avoid_for;
}

/* What broke on an open connection says nothing about the next one. */
static void note_reach(struct server_score *score, enum server_result result,
		       int64_t now)
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
	note_reach(score, result, now);
	if (result == SERVER_ABANDONED ||
	    (result == SERVER_SILENT && took < SILENCE_LEAST))
		return;
	if (result == SERVER_SILENT || result == SERVER_UNREACHABLE) {
		avoid(score, now);
	} else {
		score->waiting_since = now;
		score->avoid_for = 0;
		score->avoid_until = 0;
	}
	average(&score->failures,
		result == SERVER_FAILED || result >= SERVER_SILENT,
		RESULT_WEIGHT);
	average(&score->refusals, result == SERVER_REFUSED, RESULT_WEIGHT);
	if (result != SERVER_ANSWERED)
		return;
	if (!score->latency_at)
		score->latency = (double)took;
	average(&score->latency, (double)took, LATENCY_WEIGHT);
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

/* @latency: within which an answer is due */
static bool is_stopped(const struct server_score *score, double latency,
		       int64_t waits, int64_t now)
{
	int64_t limit = (int64_t)(latency * STOPPED_TIMES);

	if (!score->outstanding)
		return false;
	if (limit < STOPPED_LEAST)
		limit = STOPPED_LEAST;
	return now - score->waiting_since > limit + waits;
}

/* What counts against it whatever it would take. */
static double avoidance(const struct server_score *score, double latency,
			int64_t waits, int64_t now)
{
	double cost = 0;

	if (is_stopped(score, latency, waits, now))
		cost += SERVER_COST_AVOID;
	if (now < score->avoid_until)
		cost += SERVER_COST_DEAD;
	return cost;
}

static double price_of_errors(const struct server_score *score)
{
	return 1 + FAILURE_PRICE * score->failures +
	       REFUSAL_PRICE * score->refusals;
}

/* Requests of this instance for each slot. */
static double own_load(const struct server_score *score,
		       const struct server_traits *traits)
{
	return (double)score->outstanding /
	       (double)(traits->slots > 0 ? traits->slots : 1);
}

/* By own sends alone. */
static double cost_as_seen(const struct server_score *score,
			   const struct server_traits *traits, int64_t now)
{
	double fade = exp(-(double)(now - score->latency_at) / FADE_US);
	double latency = traits->usual;
	double cost;

	if (score->latency_at)
		latency += (score->latency - traits->usual) * fade;
	cost = latency * (1 + own_load(score, traits)) * price_of_errors(score);
	if (traits->remote)
		cost *= REMOTE_PRICE;
	return cost + avoidance(score, latency, 0, now);
}

/* The times of single requests differ much: small differences say nothing. */
static double beyond_chance(double pace, double usual)
{
	double chance = usual * PACE_CHANCE;

	if (pace > usual + chance)
		return pace - chance;
	return pace < usual - chance ? pace + chance : usual;
}

/* By expected completion, as all that send to it see it. */
static double cost_as_told(const struct server_score *score,
			   const struct server_traits *traits, int64_t now)
{
	const struct server_estimate *outlook = traits->outlook;
	double pace = beyond_chance(
		server_estimate_processing_time(outlook, traits->usual, now),
		traits->usual);
	double wait = (double)server_estimate_wait(outlook, traits->level, now);
	double own = own_load(score, traits) * pace;
	/* A part that waits at a relay does not show that its server stopped.
	 */
	int64_t waits = server_estimate_max_wait(outlook, score->waiting_since);
	double cost;

	if (wait < own)
		wait = own;
	cost = wait + pace * (1 + SPREAD_MOST * traits->spread);
	cost *= price_of_errors(score);
	if (traits->remote)
		cost += REMOTE_WAY;
	/* One that few answers come from is better known if it is near. */
	if (traits->remote && !traits->relayed)
		cost += (REMOTE_PRICE - 1) * pace;
	return cost + avoidance(score, pace, waits, now);
}

double server_score_cost(const struct server_score *score,
			 const struct server_traits *traits, int64_t now)
{
	return traits->outlook ? cost_as_told(score, traits, now)
			       : cost_as_seen(score, traits, now);
}

int64_t server_score_linger(const struct server_score *score, double usual,
			    int64_t now)
{
	if (score->latency_at && now - score->latency_at < LOADED_AGE_MOST &&
	    score->latency > usual * LOADED_TIMES)
		return LINGER_LOADED;
	return LINGER;
}
