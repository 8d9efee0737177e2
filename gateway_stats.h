/* Every metric of a gateway instance. */
#ifndef GATEWAY_STATS_H
#define GATEWAY_STATS_H

#include "metric.h"

/* X(member, kind, name, help) */
#define GATEWAY_STATS_LIST(X)                                                  \
	X(requests, METRIC_COUNTER, "garnetreach_requests_total",              \
	  "requests taken from callers")                                       \
	X(answered, METRIC_COUNTER, "garnetreach_requests_answered_total",     \
	  "answered as the servers answered, or with all parts")               \
	X(partial, METRIC_COUNTER, "garnetreach_requests_partial_total",       \
	  "answered with enough parts, not all")                               \
	X(refused, METRIC_COUNTER, "garnetreach_requests_refused_total",       \
	  "refused, and not run")                                              \
	X(no_server, METRIC_COUNTER, "garnetreach_requests_no_server_total",   \
	  "of these, at once: too few shards had a server to send to")         \
	X(foreseen, METRIC_COUNTER, "garnetreach_requests_foreseen_total",     \
	  "of these, at once: too few parts were expected in time")            \
	X(overload, METRIC_COUNTER, "garnetreach_requests_overload_total",     \
	  "of these, at once: more under way than can be served in time")      \
	X(overload_level0, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level0_total",                        \
	  "of these, of the most urgent level")                                \
	X(overload_level1, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level1_total",                        \
	  "the same, of routes of priority 1")                                 \
	X(overload_level2, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level2_total",                        \
	  "the same, of routes of priority 2")                                 \
	X(overload_level3, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level3_total",                        \
	  "the same, of less urgent routes")                                   \
	X(return_promised, METRIC_COUNTER,                                     \
	  "garnetreach_returns_promised_total",                                \
	  "refused callers that were promised room at a time")                 \
	X(return_unpromised, METRIC_COUNTER,                                   \
	  "garnetreach_returns_unpromised_total",                              \
	  "refused callers that will not wait until there is room")            \
	X(return_taken, METRIC_COUNTER, "garnetreach_returns_taken_total",     \
	  "promises that were used")                                           \
	X(return_early, METRIC_COUNTER, "garnetreach_returns_early_total",     \
	  "requests refused again, before the time that they were told")       \
	X(failed, METRIC_COUNTER, "garnetreach_requests_failed_total",         \
	  "failed, and may have run")                                          \
	X(left, METRIC_COUNTER, "garnetreach_requests_left_total",             \
	  "whose caller left before the answer")                               \
	X(malformed, METRIC_COUNTER, "garnetreach_requests_malformed_total",   \
	  "refused before they were requests")                                 \
	X(no_route, METRIC_COUNTER, "garnetreach_requests_no_route_total",     \
	  "for which there is no route")                                       \
	X(sends, METRIC_COUNTER, "garnetreach_sends_total",                    \
	  "requests sent to backend servers")                                  \
	X(retries, METRIC_COUNTER, "garnetreach_sends_retry_total",            \
	  "of these, again after a failure")                                   \
	X(hedges, METRIC_COUNTER, "garnetreach_sends_hedge_total",             \
	  "of these, beside one that is late")                                 \
	X(charged, METRIC_COUNTER, "garnetreach_second_sends_charged_total",   \
	  "of both, charged to the budget of second sends")                    \
	X(uncharged, METRIC_COUNTER,                                           \
	  "garnetreach_second_sends_uncharged_total",                          \
	  "of both, not charged: no send before them reached a server")        \
	X(budget_refused, METRIC_GAUGE, "garnetreach_second_sends_refused",    \
	  "second sends that the budget did not allow, since the start")       \
	X(budget_entries, METRIC_GAUGE, "garnetreach_second_sends_entries",    \
	  "instances by which the slack of second sends is divided here")      \
	X(shed, METRIC_COUNTER, "garnetreach_sends_shed_total",                \
	  "of these, refused by the server and not run")                       \
	X(lost, METRIC_COUNTER, "garnetreach_sends_lost_total",                \
	  "of these, without a whole answer")                                  \
	X(parts_left_out, METRIC_COUNTER, "garnetreach_parts_left_out_total",  \
	  "parts not sent: they were expected too late to count")              \
	X(kept_back, METRIC_COUNTER, "garnetreach_sends_kept_back_total",      \
	  "parts not sent again for the same reason")                          \
	X(cold, METRIC_COUNTER, "garnetreach_sends_cold_total",                \
	  "sends kept from servers that are cold, and made elsewhere or not")  \
	X(turns_waited, METRIC_COUNTER, "garnetreach_turns_waited_total",      \
	  "sends that waited here for their turn at a server")                 \
	X(turns_dropped, METRIC_COUNTER, "garnetreach_turns_dropped_total",    \
	  "of these, given back unsent: out of time, or the server left")      \
	X(turns_late, METRIC_COUNTER, "garnetreach_turns_late_total",          \
	  "of these, sent too late for the goal of their request")             \
	X(turns_forgotten, METRIC_COUNTER,                                     \
	  "garnetreach_turns_forgotten_total",                                 \
	  "of these, not needed any more before they were sent")               \
	X(turn_wait, METRIC_HISTOGRAM, "garnetreach_turn_wait_seconds",        \
	  "time that those waited that were sent")                             \
	X(cordons, METRIC_GAUGE, "garnetreach_cordons",                        \
	  "data centres whose servers get no new requests")                    \
	X(request_time, METRIC_HISTOGRAM, "garnetreach_request_seconds",       \
	  "time from a request taken to its answer")                           \
	X(send_time, METRIC_HISTOGRAM, "garnetreach_send_seconds",             \
	  "time from a request sent to its answer")                            \
	X(opened, METRIC_GAUGE, "garnetreach_server_connections_opened",       \
	  "connections opened to backend servers since the start")             \
	X(relay_jobs, METRIC_GAUGE, "garnetreach_relay_jobs",                  \
	  "messages given to instances of other data centres to relay")        \
	X(links, METRIC_GAUGE, "garnetreach_gateway_links",                    \
	  "open connections to and from gateways")                             \
	X(heartbeat_bytes, METRIC_GAUGE,                                       \
	  "garnetreach_gateway_heartbeat_bytes",                               \
	  "bytes of heartbeats sent since the start")                          \
	X(store_calls, METRIC_GAUGE, "garnetreach_store_calls",                \
	  "calls on the platform's store since the start")                     \
	X(routes_version, METRIC_GAUGE, "garnetreach_routes_version",          \
	  "version of the routes in force")                                    \
	X(routes_age, METRIC_GAUGE, "garnetreach_routes_age_ms",               \
	  "since they were last known to be the newest")                       \
	X(bad_loads, METRIC_GAUGE, "garnetreach_server_loads_refused",         \
	  "loads that servers told and that could not be read, since start")   \
	X(servers, METRIC_GAUGE, "garnetreach_servers",                        \
	  "backend servers known")                                             \
	X(conns, METRIC_GAUGE, "garnetreach_caller_connections",               \
	  "open connections of callers")                                       \
	X(log_dropped, METRIC_GAUGE, "garnetreach_log_lines_dropped",          \
	  "log lines that found no room")

#define GATEWAY_STATS_MEMBER(member, kind, name, help) struct metric member;
struct gateway_stats {
	struct metric_registry registry;
	GATEWAY_STATS_LIST(GATEWAY_STATS_MEMBER)
};
#undef GATEWAY_STATS_MEMBER

void gateway_stats_init(struct gateway_stats *stats);

#endif
