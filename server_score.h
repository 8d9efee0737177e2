/*
 * What this instance has seen of one backend server, and how good a choice it
 * is for the next request. Health endpoints lag or mislead, so only own
 * requests count.
 */
#ifndef SERVER_SCORE_H
#define SERVER_SCORE_H

#include <stdbool.h>
#include <stdint.h>

struct server_estimate;

/**
 * struct server_score - observations, microseconds where they are times
 * @latency: of answers, a moving average; 0 before the first
 * @latency_at: of the last answer
 * @failures: share of requests that failed or were not answered, moving
 * @refusals: share of requests refused for load, moving
 * @outstanding: requests under way
 * @waiting_since: since when an answer is due: the last answer, or the send
 *	if nothing was under way then
 * @avoid_until: after a request that got no answer at all
 * @avoid_for: the last such time, doubled each time
 * @unreachable: connections in a row that were not made
 * @lost_since: of the first of them, or of those before
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
	SERVER_ABANDONED, /* says nothing: ended on our side */
	SERVER_ANSWERED,
	SERVER_REFUSED,	    /* surely not run */
	SERVER_FAILED,	    /* an error, or a broken connection */
	SERVER_SILENT,	    /* given up without an answer */
	SERVER_UNREACHABLE, /* no connection was made */
};

void server_score_sent(struct server_score *score, int64_t now);

/**
 * server_score_result() - a request ended
 * @took: since it was sent, for SERVER_ANSWERED and SERVER_SILENT
 */
void server_score_result(struct server_score *score, enum server_result result,
			 int64_t took, int64_t now);

/**
 * server_score_set_failures() - another instance says what it saw of the server
 * @failures: as in struct server_score, of more sends than were seen here
 */
void server_score_set_failures(struct server_score *score, double failures);

/**
 * server_score_is_lost() - no connection can be made to the server
 */
bool server_score_is_lost(const struct server_score *score);

/**
 * server_score_unreachable() - a connection to it was not made
 */
void server_score_unreachable(struct server_score *score, int64_t now);

/**
 * server_score_reconnected() - a connection was made to a server that was lost
 */
void server_score_reconnected(struct server_score *score);

/**
 * server_result_of() - what the end of a send says of its server
 * @code: as in struct exchange_result
 * @success: with code 0: the server's answer is no failure of its own
 */
enum server_result server_result_of(int code, bool success);

/**
 * struct server_traits - what is known of a server besides
 * @slots: requests that it runs at once
 * @usual: latency of its service, microseconds
 * @remote: in another data centre
 * @relayed: requests go to other data centres by relays, which tell of the
 *	servers there; with @outlook
 * @outlook: what is known of all that send to it; NULL: own sends alone count
 * @level: of the request's urgency, with @outlook
 * @spread: 0 to 1, drawn for the request and the server, so that not all choose
 *	the same one of servers that look alike; with @outlook
 */
struct server_traits {
	int64_t slots;
	double usual;
	bool remote;
	bool relayed;
	const struct server_estimate *outlook;
	int level;
	double spread;
};

/**
 * server_score_cost() - the expected cost of one more request, the lowest wins
 *
 * Return: about microseconds; above SERVER_COST_AVOID while the server should
 * be taken only if there is no other.
 */
double server_score_cost(const struct server_score *score,
			 const struct server_traits *traits, int64_t now);

#define SERVER_COST_AVOID 1e9

/**
 * server_score_linger() - how long an answer that nobody needs may still come
 * @usual: latency of its service over minutes, microseconds
 *
 * Closing the connection is the only way to cancel, and costs the next request
 * a new one.
 *
 * Return: microseconds.
 */
int64_t server_score_linger(const struct server_score *score, double usual,
			    int64_t now);

#endif
