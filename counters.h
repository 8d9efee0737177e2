/* All metrics of an instance: counters, gauges and histograms. */
#ifndef COUNTERS_H
#define COUNTERS_H

#include "metric.h"

/* X(member, kind, name, help) */
#define COUNTER_LIST(X)                                                        \
	X(searches, METRIC_COUNTER, "garnetreach_searches_total",              \
	  "searches received from callers")                                    \
	X(searches_done, METRIC_COUNTER, "garnetreach_searches_done_total",    \
	  "searches answered with records or counts")                          \
	X(searches_refused, METRIC_COUNTER,                                    \
	  "garnetreach_searches_refused_total", "searches refused")            \
	X(searches_partial, METRIC_COUNTER,                                    \
	  "garnetreach_searches_partial_total",                                \
	  "searches answered with less than full coverage")                    \
	X(search_time, METRIC_HISTOGRAM, "garnetreach_search_seconds",         \
	  "time from receiving a search to answering it")                      \
	X(searches_open, METRIC_GAUGE, "garnetreach_searches_open",            \
	  "searches received and not yet answered")                            \
	X(parts_sent, METRIC_COUNTER, "garnetreach_parts_sent_total",          \
	  "requests to backend servers sent to their homes")                   \
	X(parts_retried, METRIC_COUNTER, "garnetreach_parts_retried_total",    \
	  "requests to backend servers sent again after a failure")            \
	X(parts_hedged, METRIC_COUNTER, "garnetreach_parts_hedged_total",      \
	  "requests to backend servers sent as hedges of slow ones")           \
	X(restarts, METRIC_COUNTER, "garnetreach_search_restarts_total",       \
	  "searches restarted at another snapshot")                            \
	X(traces, METRIC_GAUGE, "garnetreach_traces",                          \
	  "traces of finished requests in memory")                             \
	X(trace_bytes, METRIC_GAUGE, "garnetreach_trace_bytes",                \
	  "memory of the traces of finished requests")                         \
	X(traces_evicted, METRIC_COUNTER, "garnetreach_traces_evicted_total",  \
	  "traces evicted to make room for newer ones")                        \
	X(burn_uncounted, METRIC_COUNTER, "garnetreach_burn_uncounted_total",  \
	  "requests not counted for burn rates: too many services")            \
	X(answers_foreign, METRIC_COUNTER,                                     \
	  "garnetreach_answers_foreign_total",                                 \
	  "partial answers dropped: other request, version or shard")          \
	X(home_requests, METRIC_COUNTER, "garnetreach_home_requests_total",    \
	  "requests to backend servers received by this home")                 \
	X(home_sent, METRIC_COUNTER, "garnetreach_home_sent_total",            \
	  "requests that this home sent to backend servers")                   \
	X(home_dropped, METRIC_COUNTER, "garnetreach_home_dropped_total",      \
	  "requests that this home dropped before they had a slot")            \
	X(home_queued, METRIC_GAUGE, "garnetreach_home_queued",                \
	  "requests waiting for a slot")                                       \
	X(home_in_flight, METRIC_GAUGE, "garnetreach_home_in_flight",          \
	  "requests in flight to backend servers")                             \
	X(server_time, METRIC_HISTOGRAM, "garnetreach_server_seconds",         \
	  "time from sending a request to a backend server to its answer")     \
	X(server_connects, METRIC_COUNTER,                                     \
	  "garnetreach_server_connects_total",                                 \
	  "connections opened to backend servers")                             \
	X(server_silences, METRIC_COUNTER,                                     \
	  "garnetreach_server_silences_total",                                 \
	  "connections to backend servers closed as silent")                   \
	X(server_cancels, METRIC_COUNTER, "garnetreach_server_cancels_total",  \
	  "cancellations sent to backend servers")                             \
	X(peer_frames_in, METRIC_COUNTER, "garnetreach_peer_frames_in_total",  \
	  "frames received from other instances")                              \
	X(peer_frames_refused, METRIC_COUNTER,                                 \
	  "garnetreach_peer_frames_refused_total",                             \
	  "frames not sent as other instances had not read too many")          \
	X(relay_sends_refused, METRIC_COUNTER,                                 \
	  "garnetreach_relay_sends_refused_total",                             \
	  "sends of other instances not made for want of memory")              \
	X(peer_strangers_closed, METRIC_COUNTER,                               \
	  "garnetreach_peer_strangers_closed_total",                           \
	  "connections closed as too many did not say which instance they "    \
	  "are")                                                               \
	X(peer_frames_bad, METRIC_COUNTER,                                     \
	  "garnetreach_peer_frames_bad_total",                                 \
	  "invalid frames that closed their connection")                       \
	X(peer_links, METRIC_GAUGE, "garnetreach_peer_links",                  \
	  "open connections to and from other instances")                      \
	X(platform_calls, METRIC_COUNTER, "garnetreach_platform_calls_total",  \
	  "calls to the platform's service")                                   \
	X(table_revision, METRIC_GAUGE, "garnetreach_table_revision",          \
	  "revision of the current table")                                     \
	X(searches_overload, METRIC_COUNTER,                                   \
	  "garnetreach_searches_overload_total",                               \
	  "searches refused for load before they started")                     \
	X(tickets, METRIC_COUNTER, "garnetreach_tickets_total",                \
	  "tickets issued")                                                    \
	X(tickets_refused, METRIC_COUNTER,                                     \
	  "garnetreach_tickets_refused_total", "tickets not issued for load")  \
	X(runs, METRIC_COUNTER, "garnetreach_runs_total",                      \
	  "run requests (never sent twice) received from callers")             \
	X(runs_done, METRIC_COUNTER, "garnetreach_runs_done_total",            \
	  "run requests answered as done")                                     \
	X(runs_unknown, METRIC_COUNTER, "garnetreach_runs_unknown_total",      \
	  "run requests with unknown outcome")                                 \
	X(runs_open, METRIC_GAUGE, "garnetreach_runs_open",                    \
	  "run requests in progress here, of tickets of any instance")         \
	X(loop_lag, METRIC_HISTOGRAM, "garnetreach_loop_lag_seconds",          \
	  "delay of a timer in the event loop")                                \
	X(table_refused, METRIC_COUNTER, "garnetreach_table_refused_total",    \
	  "tables rejected")                                                   \
	X(table_alarms, METRIC_GAUGE, "garnetreach_table_alarms",              \
	  "active alarms about the table")                                     \
	X(table_stale, METRIC_COUNTER, "garnetreach_table_stale_total",        \
	  "tables of the platform with a lower revision")                      \
	X(table_conflicts, METRIC_COUNTER,                                     \
	  "garnetreach_table_conflicts_total",                                 \
	  "tables with the current revision but other contents")               \
	X(table_by_delta, METRIC_COUNTER, "garnetreach_table_by_delta_total",  \
	  "tables built from the previous one by a delta")                     \
	X(table_pulls, METRIC_COUNTER, "garnetreach_table_pulls_total",        \
	  "tables requested from peers")                                       \
	X(member_datagrams_out, METRIC_COUNTER,                                \
	  "garnetreach_member_datagrams_out_total", "heartbeats sent")         \
	X(member_bytes_out, METRIC_COUNTER,                                    \
	  "garnetreach_member_bytes_out_total", "bytes of heartbeats sent")    \
	X(member_datagrams_bad, METRIC_COUNTER,                                \
	  "garnetreach_member_datagrams_bad_total", "malformed heartbeats")    \
	X(table_pull_timeouts, METRIC_COUNTER,                                 \
	  "garnetreach_table_pull_timeouts_total",                             \
	  "tables requested from peers and not received in time")              \
	X(stop_ended, METRIC_COUNTER, "garnetreach_stop_ended_total",          \
	  "requests ended before their deadline, as the process ends")         \
	X(cut, METRIC_COUNTER, "garnetreach_requests_cut_total",               \
	  "requests without an answer when the process ended")                 \
	X(callers_given_up, METRIC_COUNTER, "garnetreach_callers_cut_total",   \
	  "callers cut off: their answers took too much memory, unread")       \
	X(answers_cut, METRIC_COUNTER, "garnetreach_answers_cut_total",        \
	  "answers not passed to the kernel when the process ended")           \
	X(home_stop_ended, METRIC_COUNTER,                                     \
	  "garnetreach_home_stop_ended_total",                                 \
	  "requests to backend servers that a stopping home ended")

#define COUNTER_MEMBER(member, kind, name, help) struct metric member;
/* The metrics of COUNTER_LIST, registered in that order. */
struct counters {
	struct metric_registry registry;
	COUNTER_LIST(COUNTER_MEMBER)
};
#undef COUNTER_MEMBER

/**
 * counters_init() - initialise all metrics with the value 0
 */
void counters_init(struct counters *counters);

#endif
