#define LOG_MODULE "server_pace"
#include "server_timing.h"

#include "clock.h"
#include "log.h"

/*
 * A server becomes slow above the first multiple of its service's baseline, and
 * recovers below the second.
 */
#define SLOW_FACTOR 3.0
#define RECOVERED_FACTOR 1.5
/* At most one log line per server in this period. */
#define LOG_PERIOD MSEC(1000)

static bool is_slow(const struct registry_server *server,
		    double processing_time)
{
	return processing_time >
	       server->service->baseline_latency *
		       (server->is_slow ? RECOVERED_FACTOR : SLOW_FACTOR);
}

/* @age: of the previous estimate, microseconds */
static void update_slow(struct registry_server *server, const char *source,
			int64_t age, int64_t now)
{
	double baseline_latency = server->service->baseline_latency;
	double processing_time =
		server_estimate_processing_time(&server->estimate,
						baseline_latency, now);
	bool slow = is_slow(server, processing_time);

	if (!server->service->registry->use_shared_estimates ||
	    !server->service->n_answers || slow == server->is_slow)
		return;
	if (server->slow_changed_at &&
	    now - server->slow_changed_at < LOG_PERIOD)
		return;
	server->is_slow = slow;
	server->slow_changed_at = now;
	LOG_INFO("server_pace", LOG_TEXT("server", server->entry.id),
		 LOG_TEXT("service", server->service->name),
		 LOG_I64("slow", slow), LOG_F64("pace_us", processing_time),
		 LOG_F64("usual_us", baseline_latency),
		 LOG_TEXT("told_by", source), LOG_I64("age_us", age));
}

static int64_t age_of(const struct registry_server *server, int64_t now)
{
	return server->estimate.processing_time_at
		       ? now - server->estimate.processing_time_at
		       : 0;
}

void server_timing_add_sample(struct registry_server *server, int64_t took,
			      int64_t now)
{
	int64_t age = age_of(server, now);

	server_estimate_add_sample(&server->estimate, took,
				   server->service->latency, now);
	update_slow(server, "own", age, now);
}

void server_timing_add_report(struct registry_server *server,
			      double processing_time, const char *source,
			      int64_t now)
{
	int64_t age = age_of(server, now);

	server_estimate_add_report(&server->estimate, processing_time, now);
	update_slow(server, source, age, now);
}

void server_timing_result(struct registry_server *server,
			  enum server_result result, int64_t took, int64_t now)
{
	server_score_result(&server->score, result, took, now);
	if (result != SERVER_ANSWERED)
		return;
	registry_record_latency(server->service, took);
	server_timing_add_sample(server, took, now);
}
