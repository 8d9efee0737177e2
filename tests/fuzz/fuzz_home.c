/*
 * Fuzzes the frames that an entry sends to a home: queries, runs and
 * cancellations. Jobs end in order, with the input's own bytes as the answer.
 */
#include "fuzz.h"

#include <string.h>

#include <event2/buffer.h>

#include "frame.h"
#include "home.h"

#define SLOTS 2
#define RUNNING_MAX 16

struct fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct home home;
	struct home_job *running[RUNNING_MAX];
	int n_running;
	struct str answer;
};

static void on_start(void *arg, struct home_job *job)
{
	struct fixture *fixture = arg;

	if (job->server->in_flight > SLOTS ||
	    clock_now(&fixture->clock) >= job->query->deadline_at)
		__builtin_trap();
	fixture->running[fixture->n_running++] = job;
}

static void on_cancel(void *arg, struct home_job *job)
{
	(void)arg;
	(void)job;
}

static void on_reply(void *arg, void *link, const Peer__QueryResult *result)
{
	struct evbuffer *out = evbuffer_new();

	(void)arg;
	(void)link;
	if (frame_write(out, FRAME_QUERY_RESULT, &result->base))
		__builtin_trap();
	evbuffer_free(out);
}

static void on_reply_run(void *arg, void *link, const Peer__RunResult *result)
{
	(void)arg;
	(void)link;
	(void)result;
}

static void on_want_flush(void *arg)
{
	(void)arg;
}

static const struct home_ops ops = {
	.start = on_start,
	.cancel = on_cancel,
	.reply = on_reply,
	.reply_run = on_reply_run,
	.want_flush = on_want_flush,
};

static void end_job(struct fixture *fixture, int code)
{
	struct home_job *job = fixture->running[0];

	fixture->n_running--;
	memmove(fixture->running, fixture->running + 1,
		(size_t)fixture->n_running * sizeof(*fixture->running));
	home_job_done(&fixture->home, job, code, true, 0,
		      code ? STR("") : fixture->answer);
}

static void process_frame(struct fixture *fixture, struct frame *frame)
{
	static char link;

	switch (frame->type) {
	case FRAME_QUERY:
		home_query(&fixture->home, &link,
			   (Peer__Query *)frame->message);
		return;
	case FRAME_RUN:
		home_run(&fixture->home, &link, (Peer__Run *)frame->message);
		return;
	case FRAME_CANCEL:
		home_cancel(&fixture->home, &link,
			    (Peer__Cancel *)frame->message);
		break;
	case FRAME_FAILURE:
		home_link_lost(&fixture->home, &link);
		break;
	default:
		break;
	}
	frame_finish(frame);
}

static void advance_clock(struct fixture *fixture)
{
	clock_advance(&fixture->clock, MSEC(1));
	home_tick(&fixture->home);
	home_flush(&fixture->home);
}

static void fixture_init(struct fixture *fixture)
{
	static const char *const names[] = {"b1", "b2"};
	int i;

	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, USEC_PER_SEC);
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			NULL, 1);
	home_init(&fixture->home, &fixture->board, &ops, fixture);
	for (i = 0; i < 2; i++)
		home_set_share(&fixture->home,
			       home_find_or_add_server(&fixture->home,
						       str_from(names[i])),
			       SLOTS, SLOTS);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct evbuffer *in = evbuffer_new();
	struct fixture fixture;
	struct frame frame;

	fixture_init(&fixture);
	fixture.answer = (struct str){(const char *)data, size};
	evbuffer_add(in, data, size);
	while (frame_read(in, &frame) > 0) {
		process_frame(&fixture, &frame);
		advance_clock(&fixture);
		if (fixture.n_running > SLOTS)
			end_job(&fixture, 0);
	}
	while (fixture.n_running)
		end_job(&fixture, fixture.n_running % 2 ? ERR_LOST : 0);
	home_flush(&fixture.home);
	if (!home_is_idle(&fixture.home))
		__builtin_trap();
	home_finish(&fixture.home);
	blackboard_finish(&fixture.board);
	evbuffer_free(in);
	return 0;
}
