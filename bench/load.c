/*
 * Open-loop load generator: each request starts at its scheduled time, even if
 * earlier ones are still in flight. Latency is measured from that time.
 */
#include "common.h"

#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>
#include <json-c/json.h>

#include "clock.h"
#include "error.h"
#include "load_option.h"
#include "load_request.h"
#include "mem.h"

#define READY_TIMEOUT_SECONDS 10
#define TICK_MS 20
#define DRAIN_MARGIN_MS 1000

/**
 * struct load - state of one run
 * @arrival: timer of the next scheduled request
 * @tick: periodic timer: address refresh, start and end of the run
 * @interval: periodic timer of the timeline
 * @arrival_seed: state of erand48() for interarrival times
 * @initialised_at: start of the process; times are monotonic microseconds
 * @started_at: start of the arrivals; 0 until all callers are ready
 * @arrivals_end: no request is scheduled from then on
 * @next_arrival: scheduled time of the next request
 * @drain_until: the run ends then, even with requests in flight
 */
struct load {
	struct load_options options;
	struct clock clock;
	struct event_base *base;
	struct event *arrival;
	struct event *tick;
	struct event *interval;
	struct event *sigterm;
	struct load_pool pool;
	struct load_callers callers;
	struct load_direct direct;
	struct load_queries queries;
	struct load_report report;
	struct load_requests requests;
	unsigned short arrival_seed[3];
	int64_t initialised_at;
	int64_t started_at;
	int64_t arrivals_end;
	int64_t next_arrival;
	int64_t drain_until;
};

/* Time to the next arrival, microseconds. */
static int64_t interarrival_time(struct load *load)
{
	double mean = USEC_PER_SEC / load->options.rate;

	if (load->options.is_even)
		return (int64_t)mean;
	return (int64_t)(-log(1 - erand48(load->arrival_seed)) * mean);
}

static void start_due_requests(evutil_socket_t fd, short what, void *arg)
{
	struct load *load = arg;
	struct timeval tv;

	(void)fd;
	(void)what;
	while (load->next_arrival < load->arrivals_end &&
	       load->next_arrival <= clock_now(&load->clock)) {
		int64_t due = load->next_arrival;

		load->next_arrival += interarrival_time(load);
		load_requests_start(&load->requests, due);
	}
	if (load->next_arrival >= load->arrivals_end)
		return;
	tv = common_timeval(load->next_arrival - clock_now(&load->clock));
	evtimer_add(load->arrival, &tv);
}

static void print_line(struct json_object *line)
{
	puts(json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	fflush(stdout);
	json_object_put(line);
}

static double seconds_since(const struct load *load, int64_t from)
{
	return (double)(clock_now(&load->clock) - from) / USEC_PER_SEC;
}

static void print_interval(evutil_socket_t fd, short what, void *arg)
{
	struct load *load = arg;
	struct json_object *line = load_report_interval(&load->report);

	(void)fd;
	(void)what;
	json_object_object_add(line, "t",
			       json_object_new_double(
				       seconds_since(load, load->started_at)));
	json_object_object_add(line, "in_flight",
			       json_object_new_uint64(
				       load->requests.in_flight));
	print_line(line);
}

static void start_arrivals(struct load *load)
{
	struct timeval every = common_timeval(
		(int64_t)(load->options.timeline * USEC_PER_SEC));
	int64_t length = (int64_t)(load->options.seconds * USEC_PER_SEC);

	load->started_at = clock_now(&load->clock);
	load->next_arrival = load->started_at + interarrival_time(load);
	load->arrivals_end = load->started_at + length;
	load->drain_until = load->arrivals_end +
			    MSEC(load->options.timeout_ms) +
			    MSEC(DRAIN_MARGIN_MS);
	if (load->options.resend_not_run)
		load->drain_until += MSEC(load->options.patience_ms);
	if (load->options.timeline > 0)
		event_add(load->interval, &every);
	start_due_requests(-1, 0, load);
}

static bool is_finished(const struct load *load)
{
	int64_t now = clock_now(&load->clock);

	if (!load->started_at)
		return now > load->initialised_at +
				     MSEC(READY_TIMEOUT_SECONDS * 1000);
	if (now < load->arrivals_end)
		return false;
	return !load->requests.in_flight || now > load->drain_until;
}

static bool is_ready(const struct load *load)
{
	if (load->options.direct)
		return load_direct_ready(&load->direct);
	return load_callers_ready(&load->callers);
}

static void tick(evutil_socket_t fd, short what, void *arg)
{
	struct load *load = arg;

	(void)fd;
	(void)what;
	load_callers_refresh(&load->callers);
	if (!load->started_at && is_ready(load))
		start_arrivals(load);
	if (is_finished(load))
		event_base_loopbreak(load->base);
}

/* SIGTERM stops new requests; those in flight may still finish. */
static void stop_arrivals(evutil_socket_t fd, short what, void *arg)
{
	struct load *load = arg;

	(void)fd;
	(void)what;
	load->arrivals_end = 0;
	load->drain_until = clock_now(&load->clock) +
			    MSEC(load->options.timeout_ms) +
			    MSEC(DRAIN_MARGIN_MS);
	if (!load->started_at)
		event_base_loopbreak(load->base);
}

static struct json_object *target_json(const struct load_target *target)
{
	struct json_object *out = json_object_new_object();
	const struct load_target_counts *counts = &target->counts;

	json_object_object_add(out, "sent",
			       json_object_new_uint64(counts->sent));
	json_object_object_add(out, "answers",
			       json_object_new_uint64(counts->answers));
	json_object_object_add(out, "connect_failures",
			       json_object_new_uint64(
				       counts->connect_failures));
	json_object_object_add(out, "cut_off",
			       json_object_new_uint64(counts->cut_off));
	json_object_object_add(out, "cut_off_reused",
			       json_object_new_uint64(counts->cut_off_reused));
	json_object_object_add(out, "silent",
			       json_object_new_uint64(counts->silent));
	json_object_object_add(out, "connections",
			       json_object_new_int(target->n_conns));
	return out;
}

static struct json_object *targets_json(const struct load *load)
{
	struct json_object *out = json_object_new_object();
	const struct load_target *target = load->pool.targets;

	for (; target; target = target->hh.next)
		json_object_object_add(out, target->name, target_json(target));
	return out;
}

static void print_summary(struct load *load)
{
	struct json_object *line;
	struct load_totals *overall = &load->report.overall;

	overall->by_outcome[LOAD_UNFINISHED] = load->requests.in_flight;
	line = load_report_overall(&load->report);
	json_object_object_add(line, "summary", json_object_new_boolean(1));
	json_object_object_add(line, "rate",
			       json_object_new_double(load->options.rate));
	json_object_object_add(line, "seconds",
			       json_object_new_double(load->options.seconds));
	json_object_object_add(line, "started_us",
			       json_object_new_int64(load->started_at));
	json_object_object_add(line, "cpu_us",
			       json_object_new_int64(common_cpu_usec()));
	json_object_object_add(line, "addresses", targets_json(load));
	json_object_object_add(line, "address_refreshes",
			       json_object_new_uint64(load->callers.refreshes));
	json_object_object_add(line, "address_refresh_failures",
			       json_object_new_uint64(
				       load->callers.refresh_failures));
	json_object_object_add(line, "lateness_us",
			       load_samples_json(&load->requests.lateness));
	print_line(line);
}

static void put_text(struct json_object *body, const char *key,
		     const char *value)
{
	if (value)
		json_object_object_add(body, key,
				       json_object_new_string(value));
}

/* Adds the search described by --service and related options, if any. */
static int add_option_search(struct load *load)
{
	const struct load_options *options = &load->options;
	struct json_object *body;
	struct json_object *where = NULL;

	if (!options->service)
		return 0;
	if (options->where) {
		where = json_tokener_parse(options->where);
		if (!json_object_is_type(where, json_type_object)) {
			json_object_put(where);
			return ERR_SYNTAX;
		}
	}
	body = json_object_new_object();
	put_text(body, "service", options->service);
	put_text(body, "mode", options->mode);
	if (where)
		json_object_object_add(body, "where", where);
	if (options->limit)
		json_object_object_add(body, "limit",
				       json_object_new_int64(options->limit));
	load_queries_add(&load->queries, body);
	return 0;
}

static int read_queries(struct load *load)
{
	int ret = 0;

	if (load->options.queries)
		ret = load_queries_read(&load->queries, load->options.queries);
	if (!ret)
		ret = add_option_search(load);
	if (!ret && load->options.deadline_ms)
		load_queries_set(&load->queries, "deadline_ms",
				 json_object_new_int64(
					 load->options.deadline_ms));
	return ret;
}

static void init_events(struct load *load)
{
	struct event_config *config = event_config_new();
	struct timeval every = common_timeval(MSEC(TICK_MS));

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	load->base = event_base_new_with_config(config);
	event_config_free(config);
	load->arrival = evtimer_new(load->base, start_due_requests, load);
	load->tick = event_new(load->base, -1, EV_PERSIST, tick, load);
	load->interval =
		event_new(load->base, -1, EV_PERSIST, print_interval, load);
	load->sigterm = evsignal_new(load->base, SIGTERM, stop_arrivals, load);
	event_add(load->tick, &every);
	event_add(load->sigterm, NULL);
}

enum random_stream {
	STREAM_ARRIVALS,
	STREAM_REQUESTS,
	STREAM_REPLICAS,
};

/* Mixes seed and stream, so that adjacent seeds give unrelated sequences. */
static void set_seed(unsigned short *seed, int64_t option,
		     enum random_stream stream)
{
	uint64_t from = str_hash_mix((uint64_t)option, stream);

	seed[0] = (unsigned short)from;
	seed[1] = (unsigned short)(from >> 16);
	seed[2] = (unsigned short)(from >> 32);
}

static int init_requests(struct load *load)
{
	const struct load_options *options = &load->options;
	struct load_requests *requests = &load->requests;

	requests->base = load->base;
	requests->clock = &load->clock;
	requests->callers = &load->callers;
	requests->direct = options->direct ? &load->direct : NULL;
	requests->queries = &load->queries;
	requests->report = &load->report;
	requests->run_service =
		options->run_service ? options->run_service : options->service;
	requests->run_deadline_ms = options->deadline_ms;
	requests->run_ratio = options->runs;
	requests->repeat_ratio = options->repeat_runs;
	requests->resend_not_run = options->resend_not_run;
	requests->history_answers = options->history_answers;
	requests->resend_time = MSEC(options->patience_ms);
	set_seed(requests->seed, options->seed, STREAM_REQUESTS);
	set_seed(load->direct.seed, options->seed, STREAM_REPLICAS);
	set_seed(load->arrival_seed, options->seed, STREAM_ARRIVALS);
	snprintf(requests->id_prefix, sizeof(requests->id_prefix),
		 "l%d-%" PRId64, (int)getpid(), options->seed);
	if (!options->history)
		return 0;
	requests->history = fopen(options->history, "w");
	return requests->history ? 0 : ERR_SYSTEM;
}

static int load_init(struct load *load, const struct load_options *options)
{
	int ret;

	memset(load, 0, sizeof(*load));
	load->options = *options;
	signal(SIGPIPE, SIG_IGN);
	clock_init(&load->clock);
	load->initialised_at = clock_now(&load->clock);
	init_events(load);
	load_report_init(&load->report, options->timeline > 0);
	load_pool_init(&load->pool, load->base, options->connections,
		       (int)options->timeout_ms);
	ret = load_callers_init(&load->callers, &load->pool, &load->clock,
				options->addresses, options->data_centre,
				options->callers);
	load->callers.fixed = options->fixed || options->direct;
	if (!ret && options->direct)
		ret = load_direct_init(&load->direct, &load->pool,
				       options->addresses);
	if (!ret)
		ret = read_queries(load);
	if (!ret)
		ret = init_requests(load);
	return ret;
}

static void load_finish(struct load *load)
{
	if (load->requests.history)
		fclose(load->requests.history);
	load_samples_finish(&load->requests.lateness);
	load_pool_finish(&load->pool);
	load_direct_finish(&load->direct);
	load_callers_finish(&load->callers);
	load_queries_finish(&load->queries);
	load_report_finish(&load->report);
	event_free(load->arrival);
	event_free(load->tick);
	event_free(load->interval);
	event_free(load->sigterm);
	event_base_free(load->base);
}

int main(int argc, char **argv)
{
	struct load_options options;
	struct load load;
	int ret;

	if (load_options_parse(&options, argc, argv))
		return 2;
	ret = load_init(&load, &options);
	if (ret) {
		fprintf(stderr, "%s\n", error_text(ret));
		return 1;
	}
	event_base_dispatch(load.base);
	ret = load.started_at ? 0 : 1;
	print_summary(&load);
	load_finish(&load);
	return ret;
}
