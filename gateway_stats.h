/* Metrics exposed by a gateway instance. */
#ifndef GATEWAY_STATS_H
#define GATEWAY_STATS_H

#include "metric.h"

/* X(field, kind, name, help) */
#define GATEWAY_STATS_LIST(X)                                                  \
	X(requests, METRIC_COUNTER, "garnetreach_requests_total",              \
	  "requests received from callers")                                    \
	X(answered, METRIC_COUNTER, "garnetreach_requests_answered_total",     \
	  "requests answered in full: by one server or with all parts")        \
	X(partial, METRIC_COUNTER, "garnetreach_requests_partial_total",       \
	  "requests answered with enough parts, but not all")                  \
	X(refused, METRIC_COUNTER, "garnetreach_requests_refused_total",       \
	  "requests refused without running")                                  \
	X(refused_memory, METRIC_COUNTER,                                      \
	  "garnetreach_requests_no_memory_total",                              \
	  "requests refused at once: no memory for their answers")             \
	X(no_server, METRIC_COUNTER, "garnetreach_requests_no_server_total",   \
	  "requests refused at once: too few shards had a usable server")      \
	X(forecast_refused, METRIC_COUNTER,                                    \
	  "garnetreach_requests_foreseen_total",                               \
	  "requests refused at once: too few parts expected in time")          \
	X(overload, METRIC_COUNTER, "garnetreach_requests_overload_total",     \
	  "requests refused at once: over the service's load limit")           \
	X(overload_level0, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level0_total",                        \
	  "overload refusals at the most urgent level, priority 0")            \
	X(overload_level1, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level1_total",                        \
	  "overload refusals of routes with priority 1")                       \
	X(overload_level2, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level2_total",                        \
	  "overload refusals of routes with priority 2")                       \
	X(overload_level3, METRIC_COUNTER,                                     \
	  "garnetreach_requests_overload_level3_total",                        \
	  "overload refusals of less urgent routes, priority 3 and up")        \
	X(return_promised, METRIC_COUNTER,                                     \
	  "garnetreach_returns_promised_total",                                \
	  "refused requests with capacity reserved for their retry")           \
	X(return_unpromised, METRIC_COUNTER,                                   \
	  "garnetreach_returns_unpromised_total",                              \
	  "refused requests whose caller cannot wait for capacity")            \
	X(return_taken, METRIC_COUNTER, "garnetreach_returns_taken_total",     \
	  "capacity reservations used by a retry")                             \
	X(return_early, METRIC_COUNTER, "garnetreach_returns_early_total",     \
	  "retries refused because they came before the given time")           \
	X(failed, METRIC_COUNTER, "garnetreach_requests_failed_total",         \
	  "requests that failed and may have run")                             \
	X(cut, METRIC_COUNTER, "garnetreach_requests_cut_total",               \
	  "requests without an answer when the process ended")                 \
	X(answers_cut, METRIC_COUNTER, "garnetreach_answers_cut_total",        \
	  "answers not passed to the kernel when the process ended")           \
	X(stop_taken, METRIC_COUNTER, "garnetreach_stop_taken_total",          \
	  "requests taken while stopping")                                     \
	X(stop_refused, METRIC_COUNTER, "garnetreach_stop_refused_total",      \
	  "requests refused because they would outlast a stop")                \
	X(stop_ended, METRIC_COUNTER, "garnetreach_stop_ended_total",          \
	  "requests ended before their deadline, as the process ends")         \
	X(caller_left, METRIC_COUNTER, "garnetreach_requests_left_total",      \
	  "requests whose caller disconnected before the answer")              \
	X(malformed, METRIC_COUNTER, "garnetreach_requests_malformed_total",   \
	  "messages refused because they are not valid requests")              \
	X(pages_refused, METRIC_COUNTER, "garnetreach_pages_refused_total",    \
	  "messages to the addresses of pages that are not valid requests")    \
	X(pages_given_up, METRIC_GAUGE, "garnetreach_pages_callers_cut",       \
	  "connections to the addresses of pages cut off since the start")     \
	X(no_route, METRIC_COUNTER, "garnetreach_requests_no_route_total",     \
	  "requests that match no route")                                      \
	X(sends, METRIC_COUNTER, "garnetreach_sends_total",                    \
	  "requests sent to backend servers")                                  \
	X(retries_held, METRIC_COUNTER, "garnetreach_retries_held_total",      \
	  "retries held back until it is known what became of a server")       \
	X(retries, METRIC_COUNTER, "garnetreach_sends_retry_total",            \
	  "sends that retry a failed one")                                     \
	X(hedges, METRIC_COUNTER, "garnetreach_sends_hedge_total",             \
	  "sends that hedge a slow one")                                       \
	X(second_sends_charged, METRIC_COUNTER,                                \
	  "garnetreach_second_sends_charged_total",                            \
	  "retries and hedges charged to the retry budget")                    \
	X(second_sends_uncharged, METRIC_COUNTER,                              \
	  "garnetreach_second_sends_uncharged_total",                          \
	  "retries and hedges not charged: no earlier send was delivered")     \
	X(second_sends_refused, METRIC_GAUGE,                                  \
	  "garnetreach_second_sends_refused",                                  \
	  "retries and hedges denied by the retry budget since start")         \
	X(second_sends_refused_unread, METRIC_GAUGE,                           \
	  "garnetreach_second_sends_refused_unread",                           \
	  "those of them denied while earlier ones may still be received")     \
	X(second_sends_asked, METRIC_COUNTER,                                  \
	  "garnetreach_second_sends_asked_total",                              \
	  "servers asked for their health to see that they receive")           \
	X(second_sends_unread, METRIC_GAUGE,                                   \
	  "garnetreach_second_sends_unread",                                   \
	  "second sends that backend servers may still receive")               \
	X(second_sends_entries, METRIC_GAUGE,                                  \
	  "garnetreach_second_sends_entries",                                  \
	  "instances that share the slack of the retry budget")                \
	X(sends_shed, METRIC_COUNTER, "garnetreach_sends_shed_total",          \
	  "sends refused by the server and not run")                           \
	X(sends_lost, METRIC_COUNTER, "garnetreach_sends_lost_total",          \
	  "sends without a complete answer")                                   \
	X(lost_runs_unjudged, METRIC_GAUGE, "garnetreach_lost_runs_unjudged",  \
	  "broken runs of which it stayed unknown whether the server crashed") \
	X(parts_left_out, METRIC_COUNTER, "garnetreach_parts_left_out_total",  \
	  "parts not sent: their answers were expected too late")              \
	X(resends_left_out, METRIC_COUNTER,                                    \
	  "garnetreach_sends_kept_back_total",                                 \
	  "parts not sent again: their answers were expected too late")        \
	X(sends_cold, METRIC_COUNTER, "garnetreach_sends_cold_total",          \
	  "sends withheld from a cold server, sent elsewhere or not at all")   \
	X(queued_sends, METRIC_COUNTER, "garnetreach_turns_waited_total",      \
	  "sends queued here for a server")                                    \
	X(queued_sends_dropped, METRIC_COUNTER,                                \
	  "garnetreach_turns_dropped_total",                                   \
	  "queued sends dropped: out of time, or the server left")             \
	X(queued_sends_late, METRIC_COUNTER, "garnetreach_turns_late_total",   \
	  "queued sends sent too late for the goal of their request")          \
	X(queued_sends_cancelled, METRIC_COUNTER,                              \
	  "garnetreach_turns_forgotten_total",                                 \
	  "queued sends cancelled before they were sent")                      \
	X(queue_wait_time, METRIC_HISTOGRAM, "garnetreach_turn_wait_seconds",  \
	  "time in the queue of the queued sends that were sent")              \
	X(cordons, METRIC_GAUGE, "garnetreach_cordons",                        \
	  "data centres whose servers get no new requests")                    \
	X(request_time, METRIC_HISTOGRAM, "garnetreach_request_seconds",       \
	  "time from receiving a request to answering it")                     \
	X(send_time, METRIC_HISTOGRAM, "garnetreach_send_seconds",             \
	  "time from a send to its answer")                                    \
	X(server_connections_opened, METRIC_GAUGE,                             \
	  "garnetreach_server_connections_opened",                             \
	  "connections opened to backend servers since start")                 \
	X(relay_jobs, METRIC_GAUGE, "garnetreach_relay_jobs",                  \
	  "batches of sends given to relays since start")                      \
	X(gateway_links, METRIC_GAUGE, "garnetreach_gateway_links",            \
	  "open connections between gateways, both directions")                \
	X(strangers_closed, METRIC_GAUGE, "garnetreach_gateway_links_refused", \
	  "connections closed as too many did not tell their instance")        \
	X(gateway_frames_refused, METRIC_GAUGE,                                \
	  "garnetreach_gateway_frames_refused",                                \
	  "frames not sent since the start: gateways had not read too many")   \
	X(relay_refused, METRIC_GAUGE, "garnetreach_gateway_sends_refused",    \
	  "sends of other gateways not made since the start: no memory")       \
	X(heartbeat_bytes, METRIC_GAUGE,                                       \
	  "garnetreach_gateway_heartbeat_bytes",                               \
	  "heartbeat bytes sent since start")                                  \
	X(store_calls, METRIC_GAUGE, "garnetreach_store_calls",                \
	  "calls to the platform's store since start")                         \
	X(routes_version, METRIC_GAUGE, "garnetreach_routes_version",          \
	  "version of the routes in use")                                      \
	X(view_gap, METRIC_HISTOGRAM, "garnetreach_view_gap_seconds",          \
	  "time between confirmations that the view of servers is current")    \
	X(routes_age, METRIC_GAUGE, "garnetreach_routes_age_ms",               \
	  "time since the routes were last confirmed to be current")           \
	X(server_entries_refused, METRIC_GAUGE,                                \
	  "garnetreach_server_entries_refused",                                \
	  "entries refused for their name or value since start")               \
	X(load_reports_refused, METRIC_GAUGE,                                  \
	  "garnetreach_server_loads_refused",                                  \
	  "malformed load reports from servers since start")                   \
	X(answers_size, METRIC_GAUGE, "garnetreach_answers_bytes",             \
	  "memory of the answers that are being read")                         \
	X(answers_given_up, METRIC_GAUGE, "garnetreach_answers_given_up",      \
	  "long answers given up for want of memory since the start")          \
	X(callers_size, METRIC_GAUGE, "garnetreach_caller_requests_bytes",     \
	  "memory of the requests of callers")                                 \
	X(callers_stalled, METRIC_GAUGE, "garnetreach_callers_stalled",        \
	  "callers cut off since the start: took nothing of an answer")        \
	X(unsent_size, METRIC_GAUGE, "garnetreach_answers_unsent_bytes",       \
	  "memory of the answers that callers have not taken yet")             \
	X(callers_memory, METRIC_GAUGE, "garnetreach_callers_slow",            \
	  "callers cut off since the start: read slowly as memory ran short")  \
	X(callers_ahead, METRIC_GAUGE, "garnetreach_callers_ahead",            \
	  "callers cut off since the start: sent too many requests ahead")     \
	X(callers_replaced, METRIC_GAUGE, "garnetreach_callers_replaced",      \
	  "connections closed since the start to make place for new ones")     \
	X(callers_no_place, METRIC_GAUGE, "garnetreach_callers_no_place",      \
	  "connections refused since the start: all others did work")          \
	X(servers, METRIC_GAUGE, "garnetreach_servers",                        \
	  "known backend servers")                                             \
	X(caller_connections, METRIC_GAUGE, "garnetreach_caller_connections",  \
	  "open connections from callers")                                     \
	X(log_dropped, METRIC_GAUGE, "garnetreach_log_lines_dropped",          \
	  "log lines dropped because the buffer was full")

#define GATEWAY_STATS_MEMBER(field, kind, name, help) struct metric field;
/**
 * struct gateway_stats - a struct metric for each row of GATEWAY_STATS_LIST
 * @registry: lists them in this order for metric_expose()
 */
struct gateway_stats {
	struct metric_registry registry;
	GATEWAY_STATS_LIST(GATEWAY_STATS_MEMBER)
};
#undef GATEWAY_STATS_MEMBER

/**
 * gateway_stats_init() - set all metrics to zero and register them
 */
void gateway_stats_init(struct gateway_stats *stats);

#endif
