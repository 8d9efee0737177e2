#define LOG_MODULE "server_pace"
#include "server_pace.h"

#include "clock.h"
#include "log.h"

/* Of what is usual for the service: it is slow above, and not so below. */
#define SLOW_TIMES 3.0
#define USUAL_TIMES 1.5
/* One line a server in so long. */
#define LOG_PERIOD MSEC(1000)

static bool is_slow(const struct registry_server *server, double pace)
{
	return pace > server->service->usual *
			      (server->is_slow ? USUAL_TIMES : SLOW_TIMES);
}

/* @age: of the word before, microseconds */
static void review(struct registry_server *server, const char *by, int64_t age,
		   int64_t now)
{
	double usual = server->service->usual;
	double pace =
		server_estimate_processing_time(&server->outlook, usual, now);
	bool slow = is_slow(server, pace);

	if (!server->service->registry->use_shared_estimates ||
	    !server->service->n_answers || slow == server->is_slow)
		return;
	if (server->slow_at && now - server->slow_at < LOG_PERIOD)
		return;
	server->is_slow = slow;
	server->slow_at = now;
	LOG_INFO("server_pace", LOG_TEXT("server", server->entry.id),
		 LOG_TEXT("service", server->service->name),
		 LOG_I64("slow", slow), LOG_F64("pace_us", pace),
		 LOG_F64("usual_us", usual), LOG_TEXT("told_by", by),
		 LOG_I64("age_us", age));
}

static int64_t age_of(const struct registry_server *server, int64_t now)
{
	return server->outlook.pace_at ? now - server->outlook.pace_at : 0;
}

void server_timing_add_sample(struct registry_server *server, int64_t took,
			      int64_t now)
{
	int64_t age = age_of(server, now);

	server_estimate_add_sample(&server->outlook, took,
				   server->service->latency, now);
	review(server, "own", age, now);
}

void server_timing_add_report(struct registry_server *server, double pace,
			      const char *by, int64_t now)
{
	int64_t age = age_of(server, now);

	server_estimate_add_report(&server->outlook, pace, now);
	review(server, by, age, now);
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
