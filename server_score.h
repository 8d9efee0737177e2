/*
 * Results of this instance's requests to one backend server, and the expected
 * cost of sending it one more. Only own requests count, as health endpoints lag
 * or mislead.
 */
#ifndef SERVER_SCORE_H
#define SERVER_SCORE_H

#include <stdbool.h>
#include <stdint.h>

struct server_estimate;

/**
 * struct server_score - measurements of a server; times in microseconds
 * @latency: moving average over answers; 0 before the first
 * @latency_at: time of the last answer
 * @failures: moving share of requests that failed or were not answered
 * @refusals: moving share of requests that were refused because of load
 * @outstanding: requests in progress
 * @waiting_since: start of the wait for the next answer: the last answer, or
 *	the send if nothing was in progress
 * @avoid_until: avoid the server until then, set after a request that got no
 *	answer at all
 * @avoid_for: the last such period, doubled each time
 * @unreachable: number of consecutive connection failures
 * @lost_since: time of the first of the current or last series of connection
 *	failures
 */
struct server_score {
	double latency;
	int64_t latency_at;
	double failures;
	double refusals;
	int outstanding;
	int64_t waiting_since;
	int64_t avoid_until;
	int64_t avoid_for;
	int unreachable;
	int64_t lost_since;
};

enum server_result {
	SERVER_ABANDONED, /* ended on our side, not judged */
	SERVER_ANSWERED,
	SERVER_REFUSED,	    /* certainly not run */
	SERVER_FAILED,	    /* an error, or a broken connection */
	SERVER_SILENT,	    /* no answer within the time limit */
	SERVER_UNREACHABLE, /* no connection could be made */
};

void server_score_sent(struct server_score *score, int64_t now);

/**
 * server_score_result() - record the end of a request
 * @score: of the server
 * @result: how the request ended
 * @took: since it was sent, microseconds; for SERVER_ANSWERED and SERVER_SILENT
 * @now: current time, microseconds
 */
void server_score_result(struct server_score *score, enum server_result result,
			 int64_t took, int64_t now);

/**
 * server_score_set_failures() - set the failure rate as reported by another
 * instance
 * @score: of the server
 * @failures: as in struct server_score, from more requests than this instance
 *	sent
 */
void server_score_set_failures(struct server_score *score, double failures);

/**
 * server_score_is_lost() - whether no connection can be made to the server
 * @score: of the server
 */
bool server_score_is_lost(const struct server_score *score);

/**
 * server_score_unreachable() - record a failed connection attempt
 * @score: of the server
 * @now: current time, microseconds
 */
void server_score_unreachable(struct server_score *score, int64_t now);

/**
 * server_score_set_lost() - record that the server can't be reached, though its
 * address accepts connections
 * @score: of the server
 * @now: current time, microseconds
 */
void server_score_set_lost(struct server_score *score, int64_t now);

/**
 * server_score_reconnected() - record a connection to a server that was lost
 * @score: of the server
 */
void server_score_reconnected(struct server_score *score);

/**
 * server_result_of() - result for the server of a request that ended
 * @code: as in struct exchange_result
 * @success: used with code 0: the answer does not report a failure of the
 *	server
 */
enum server_result server_result_of(int code, bool success);

/**
 * struct server_traits - further properties of a server and a request
 * @slots: number of requests that the server runs concurrently
 * @service_latency: average latency of its service, microseconds
 * @remote: in another data centre
 * @relayed: requests to other data centres go through relays, which report on
 *	the servers there; used with @estimate
 * @estimate: shared by all instances that send to the server; NULL: use own
 *	measurements only
 * @level: urgency level of the request, used with @estimate
 * @jitter: random number from 0 to 1 for this request and server, to spread
 *	requests over servers of similar cost; used with @estimate
 */
struct server_traits {
	int64_t slots;
	double service_latency;
	bool remote;
	bool relayed;
	const struct server_estimate *estimate;
	int level;
	double jitter;
};

/**
 * server_score_cost() - expected cost of one more request, the lowest is best
 * @score: of the server
 * @traits: further properties of the server and the request
 * @now: current time, microseconds
 *
 * Return: roughly microseconds; above SERVER_COST_AVOID if the server should
 * only be used when there is no other.
 */
double server_score_cost(const struct server_score *score,
			 const struct server_traits *traits, int64_t now);

#define SERVER_COST_AVOID 1e9

/**
 * server_score_linger() - how long to wait for an answer that is no longer
 * needed
 * @score: of the server
 * @baseline_latency: latency of its service over minutes, microseconds
 * @now: current time, microseconds
 *
 * The only way to cancel a request is to close its connection, and then the
 * next request needs a new one.
 *
 * Return: microseconds.
 */
int64_t server_score_linger(const struct server_score *score,
			    double baseline_latency, int64_t now);

#endif
