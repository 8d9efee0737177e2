#include <stddef.h>

#include "table.h"

#define NAME_MAX_LEN 64

static const char *const switch_names[] = {"on", "off", NULL};
static const char *const mode_names[] = {"latency", "coverage", NULL};
static const char *const policy_names[] = {"adaptive", "plain", NULL};
static const char *const state_names[] = {"on", "leaving", NULL};

#define NAME_COLUMN(type_, member, help_)                                      \
	{                                                                      \
		.name = #member, .type = OPTION_STRING,                        \
		.offset = offsetof(type_, member), .required = true, .min = 1, \
		.max = NAME_MAX_LEN, .help = help_                             \
	}
#define INT_COLUMN(type_, member, min_, max_, def_, unit_, help_)              \
	{                                                                      \
		.name = #member, .type = OPTION_INT,                           \
		.offset = offsetof(type_, member), .min = min_, .max = max_,   \
		.def = def_, .unit = unit_, .help = help_                      \
	}
#define FACTOR_COLUMN(type_, member, min_, max_, def_, help_)                  \
	{                                                                      \
		.name = #member, .type = OPTION_DOUBLE,                        \
		.offset = offsetof(type_, member), .min = min_, .max = max_,   \
		.def = def_, .unit = "factor", .help = help_                   \
	}
#define RATIO_COLUMN(type_, member, def_, help_)                               \
	{                                                                      \
		.name = #member, .type = OPTION_DOUBLE,                        \
		.offset = offsetof(type_, member), .min = 0, .max = 1,         \
		.def = def_, .unit = "ratio", .help = help_                    \
	}

const struct option_spec market_columns[] = {
	NAME_COLUMN(struct market, name, "name of the market"),
	{.name = "region",
	 .type = OPTION_STRING,
	 .offset = offsetof(struct market, region),
	 .max = NAME_MAX_LEN,
	 .def_text = "",
	 .help = "region its data centres are in"},
};
const int n_market_columns = sizeof(market_columns) / sizeof(*market_columns);

#define S struct service
const struct option_spec service_columns[] = {
	NAME_COLUMN(S, name, "name callers use"),
	NAME_COLUMN(S, market, "market it belongs to"),
	{.name = "mode",
	 .type = OPTION_ENUM,
	 .offset = offsetof(S, mode),
	 .def = SERVICE_LATENCY,
	 .names = mode_names,
	 .help = "latency: answer at min_coverage once late; coverage: wait "
		 "for "
		 "missing shards until the deadline"},
	INT_COLUMN(S, deadline_ms, 1, 600000, 1000, "ms",
		   "longest time a search may take; also the default"),
	RATIO_COLUMN(S, min_coverage, 0.9,
		     "ratio of covered records below which an answer is "
		     "marked insufficient"),
	INT_COLUMN(S, priority, 0, 9, 5, NULL,
		   "0 is served first under overload"),
	INT_COLUMN(S, weight, 1, 1000, 10, NULL,
		   "share among services of one priority"),
	RATIO_COLUMN(S, hedge_extra, 0.05,
		     "allowed hedges, as a ratio of the needed requests"),
	RATIO_COLUMN(S, retry_extra, 0.1,
		     "allowed retries, as a ratio of the needed requests"),
	INT_COLUMN(S, slo_latency_ms, 1, 600000, 500, "ms",
		   "target: time within which answers are sent"),
	RATIO_COLUMN(S, slo_latency_ratio, 0.99,
		     "target: ratio of answers within slo_latency_ms"),
	RATIO_COLUMN(S, slo_coverage_ratio, 0.99,
		     "target: ratio of answers with full coverage"),
};
#undef S
const int n_service_columns =
	sizeof(service_columns) / sizeof(*service_columns);

#define B struct backend_server
const struct option_spec server_columns[] = {
	NAME_COLUMN(B, name, "name of the backend server"),
	NAME_COLUMN(B, service, "service it serves"),
	NAME_COLUMN(B, data_centre, "data centre it runs in"),
	{.name = "address",
	 .type = OPTION_ADDRESS,
	 .offset = offsetof(B, address),
	 .required = true,
	 .help = "IP:PORT of its HTTP service"},
	{.name = "replica_set",
	 .type = OPTION_STRING,
	 .offset = offsetof(B, replica_set),
	 .max = NAME_MAX_LEN,
	 .def_text = "",
	 .help = "servers of a service that should hold the same shards"},
	INT_COLUMN(B, slots, 1, 10000, 2, "requests",
		   "requests it runs at once, over all instances"),
	INT_COLUMN(B, connections, 1, 100000, 25, "connections",
		   "connections it accepts, over all instances"),
	INT_COLUMN(B, weight, 0, 1000, 100, NULL,
		   "share of requests among replicas; 0: last resort"),
	{.name = "state",
	 .type = OPTION_ENUM,
	 .offset = offsetof(B, state),
	 .def = SERVER_ON,
	 .names = state_names,
	 .help = "leaving: gets no new requests"},
};
#undef B
const int n_server_columns = sizeof(server_columns) / sizeof(*server_columns);

#define T struct tunables
const struct option_spec tunable_rows[] = {
	INT_COLUMN(T, lease_ms, 200, 60000, 2000, "ms",
		   "how long shares stay valid without a message from a peer"),
	INT_COLUMN(T, probe_period_ms, 50, 10000, 500, "ms",
		   "time between heartbeats to one peer after another"),
	INT_COLUMN(T, address_lifetime_ms, 100, 600000, 5000, "ms",
		   "how long callers keep the addresses they were given"),
	INT_COLUMN(T, leave_spread_ms, 0, 60000, 2000, "ms",
		   "longest time until all instances know that one is leaving"),
	INT_COLUMN(T, stop_max_ms, 100, 600000, 30000, "ms",
		   "longest time that a graceful stop waits"),
	INT_COLUMN(T, holdings_poll_ms, 20, 60000, 250, "ms",
		   "interval at which a server is asked what it holds"),
	INT_COLUMN(T, connect_timeout_ms, 10, 60000, 500, "ms",
		   "longest time to establish a connection to a server"),
	INT_COLUMN(T, idle_timeout_ms, 1000, 3600000, 60000, "ms",
		   "caller connections idle for longer are closed"),
	INT_COLUMN(T, body_max_bytes, 1024, 67108864, 1048576, "bytes",
		   "largest request body accepted from a caller"),
	INT_COLUMN(T, ticket_lifetime_ms, 1000, 3600000, 60000, "ms",
		   "how long a ticket and its answer are kept"),
	INT_COLUMN(T, queue_max, 1, 1000000, 1000, "requests",
		   "searches admitted and not yet answered, per instance"),
	INT_COLUMN(T, callers_max, 1, 1000000, 4096, "connections",
		   "caller connections open at once, per instance"),
	INT_COLUMN(T, request_bytes_max, 65536, 1073741824, 67108864, "bytes",
		   "requests of callers not yet answered, per instance"),
	INT_COLUMN(T, answer_bytes_max, 65536, 1073741824, 67108864, "bytes",
		   "answers that callers have not taken, per instance"),
	INT_COLUMN(T, ticket_max, 1, 10000000, 50000, "tickets",
		   "tickets not yet expired, per instance"),
	INT_COLUMN(T, ticket_bytes_max, 65536, 1073741824, 33554432, "bytes",
		   "tickets with their answers, per instance"),
	INT_COLUMN(T, ticket_answer_bytes, 16, 1048576, 512, "bytes",
		   "reserved for the answer of each ticket"),
	INT_COLUMN(T, run_max, 1, 1000000, 4096, "requests",
		   "must-not-repeat requests in progress, per instance"),
	RATIO_COLUMN(T, queue_target, 0.1,
		     "accepted standing queue at the homes, as a ratio of "
		     "slo_latency_ms"),
	RATIO_COLUMN(T, priority_floor, 0.02,
		     "share of the starts for the lowest waiting priority"),
	INT_COLUMN(T, server_queue_max, 1, 1000000, 256, "requests",
		   "requests that wait at a home for one server"),
	INT_COLUMN(T, loop_lag_ms, 1, 10000, 20, "ms",
		   "accepted delay of an instance's event loop"),
	{.name = "canary",
	 .type = OPTION_ENUM,
	 .offset = offsetof(T, canary),
	 .def = SWITCH_OFF,
	 .names = switch_names,
	 .help = "on: a search not known to be safe runs on one server before "
		 "others, so that one that crashes servers crashes at most "
		 "two"},
	INT_COLUMN(
		T, poison_max, 16, 1000000, 4096, "requests",
		"fingerprints of suspects and banned requests, per instance"),
	INT_COLUMN(T, poison_suspect_ms, 1000, 3600000, 60000, "ms",
		   "how long a request stays a suspect after a crash"),
	INT_COLUMN(T, poison_ban_ms, 1000, 86400000, 600000, "ms",
		   "how long a request that crashes servers is refused"),
	INT_COLUMN(T, table_readers, 1, 16, 2, "instances",
		   "instances of a data centre that watch the platform"),
	INT_COLUMN(T, table_watch_ms, 100, 30000, 10000, "ms",
		   "longest time that a long poll waits at the platform"),
	INT_COLUMN(T, table_backoff_min_ms, 10, 60000, 200, "ms",
		   "pause after the first failed call on the platform"),
	INT_COLUMN(T, table_backoff_max_ms, 10, 600000, 4000, "ms",
		   "longest pause between failed calls on the platform"),
	INT_COLUMN(T, table_confirm_ms, 1000, 3600000, 30000, "ms",
		   "age of the last confirmation above which the table is "
		   "unconfirmed"),
	INT_COLUMN(T, table_ask_ms, 100, 3600000, 10000, "ms",
		   "mean time between calls of all instances of a data centre "
		   "that do not watch, while the table is unconfirmed"),
	INT_COLUMN(T, table_verify_ms, 1000, 86400000, 600000, "ms",
		   "time between unconditional reads, which detect a platform "
		   "that was set back"),
	INT_COLUMN(
		T, table_start_ms, 0, 600000, 2000, "ms",
		"longest time that a new instance with a table waits for the "
		"platform and peers before it serves"),
	INT_COLUMN(T, table_start_peers, 0, 16, 3, "instances",
		   "peers whose revision a new instance receives before it "
		   "serves"),
	INT_COLUMN(T, table_fanout, 1, 64, 4, "instances",
		   "peers to which each instance forwards a new revision"),
	INT_COLUMN(T, table_pull_delay_ms, 0, 60000, 200, "ms",
		   "longest wait for a pushed revision before it is pulled"),
	INT_COLUMN(T, table_pull_timeout_ms, 10, 60000, 1000, "ms",
		   "time after which another peer is asked for a revision"),
	INT_COLUMN(T, table_digest_ms, 100, 600000, 2000, "ms",
		   "time between comparisons of an instance's revision with "
		   "another instance"),
	INT_COLUMN(T, trace_max, 2, 1000000, 4096, "requests",
		   "records kept of answered requests, per instance"),
	INT_COLUMN(T, trace_bytes_max, 65536, 1073741824, 8388608, "bytes",
		   "memory for these records, per instance"),
	INT_COLUMN(T, trace_parts_max, 1, 10000, 128, "parts",
		   "parts kept in one record; failed and slow ones first"),
	INT_COLUMN(T, burn_services_max, 1, 100000, 4096, "services",
		   "services whose burn an instance counts separately"),
	{.name = "admission",
	 .type = OPTION_ENUM,
	 .offset = offsetof(T, admission),
	 .def = SWITCH_ON,
	 .names = switch_names,
	 .help = "off: searches start at once and wait at homes until their "
		 "deadline, as a baseline for experiments"},
	{.name = "search_policy",
	 .type = OPTION_ENUM,
	 .offset = offsetof(T, search_policy),
	 .def = SEARCH_ADAPTIVE,
	 .names = policy_names,
	 .help = "for experiments; plain: random replica, no hedges, immediate "
		 "retries"},
	INT_COLUMN(T, observe_half_life_ms, 100, 600000, 10000, "ms",
		   "time after which an observation of a server counts half"),
	INT_COLUMN(T, silent_floor_ms, 10, 60000, 200, "ms",
		   "shortest time after which a connection is considered dead"),
	FACTOR_COLUMN(
		T, silent_factor, 1, 100, 8,
		"multiple of the 99th percentile after which a connection "
		"without progress is considered dead"),
	INT_COLUMN(T, slow_start_ms, 0, 600000, 10000, "ms",
		   "time until a new or cold server gets its full share"),
	INT_COLUMN(T, eject_failures, 1, 1000, 5, "requests",
		   "consecutive failures after which a server is ejected"),
	FACTOR_COLUMN(T, eject_latency_factor, 1.5, 100, 5,
		      "multiple of the latency of its replicas above which a "
		      "server is ejected"),
	INT_COLUMN(T, eject_ms, 10, 600000, 1000, "ms",
		   "duration of a first ejection; doubled up to 32 times"),
	RATIO_COLUMN(T, eject_max_ratio, 0.34,
		     "largest ratio of a service's servers ejected at once"),
	INT_COLUMN(T, back_off_max_ms, 1, 60000, 1000, "ms",
		   "longest back-off from a server that sheds load"),
	INT_COLUMN(T, attempts_max, 1, 10, 4, "requests",
		   "maximum number of requests for a shard in one search"),
	INT_COLUMN(T, hedge_floor_ms, 0, 60000, 2, "ms",
		   "shortest time after which a hedge is sent"),
	FACTOR_COLUMN(T, hedge_median_factor, 1, 100, 3,
		      "multiple of the median latency after which a request is "
		      "late in any case"),
	INT_COLUMN(T, extra_burst, 1, 1000, 10, "requests",
		   "hedges, and retries per second, that a service may send on "
		   "top of their ratios"),
	FACTOR_COLUMN(T, late_factor, 1, 100, 2,
		      "multiple of the 95th percentile of searches after which "
		      "a latency-first answer is sent at min_coverage"),
};
#undef T
const int n_tunable_rows = sizeof(tunable_rows) / sizeof(*tunable_rows);
