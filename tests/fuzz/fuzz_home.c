/*
 * Frames of an entry to a home: queries, runs and cancellations of any shape.
 * Jobs end one after the other, with the input's own bytes as answers.
 */
#include "fuzz.h"

#include <string.h>

#include <event2/buffer.h>

#include "frame.h"
#include "home.h"

#define SLOTS 2
#define RUNNING_MAX 16

struct world {
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
	struct world *world = arg;

	if (job->server->in_flight > SLOTS ||
	    clock_now(&world->clock) >= job->query->deadline_at)
		__builtin_trap();
	world->running[world->n_running++] = job;
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

static void end_job(struct world *world, int code)
{
	struct home_job *job = world->running[0];

	world->n_running--;
	memmove(world->running, world->running + 1,
		(size_t)world->n_running * sizeof(*world->running));
	home_job_done(&world->home, job, code, true, 0,
		      code ? STR("") : world->answer);
}

static void take_frame(struct world *world, struct frame *frame)
{
	static char link;

	switch (frame->type) {
	case FRAME_QUERY:
		home_query(&world->home, &link, (Peer__Query *)frame->message);
		return;
	case FRAME_RUN:
		home_run(&world->home, &link, (Peer__Run *)frame->message);
		return;
	case FRAME_CANCEL:
		home_cancel(&world->home, &link,
			    (Peer__Cancel *)frame->message);
		break;
	case FRAME_FAILURE:
		home_link_lost(&world->home, &link);
		break;
	default:
		break;
	}
	frame_finish(frame);
}

static void pass_time(struct world *world)
{
	clock_advance(&world->clock, MSEC(1));
	home_tick(&world->home);
	home_flush(&world->home);
}

static void set_up(struct world *world)
{
	static const char *const names[] = {"b1", "b2"};
	int i;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, USEC_PER_SEC);
	blackboard_init(&world->board, &world->clock, &world->settings, NULL,
			1);
	home_init(&world->home, &world->board, &ops, world);
	for (i = 0; i < 2; i++)
		home_set_share(&world->home,
			       home_find_or_add_server(&world->home,
						       str_from(names[i])),
			       SLOTS, SLOTS);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct evbuffer *in = evbuffer_new();
	struct world world;
	struct frame frame;

	set_up(&world);
	world.answer = (struct str){(const char *)data, size};
	evbuffer_add(in, data, size);
	while (frame_read(in, &frame) > 0) {
		take_frame(&world, &frame);
		pass_time(&world);
		if (world.n_running > SLOTS)
			end_job(&world, 0);
	}
	while (world.n_running)
		end_job(&world, world.n_running % 2 ? ERR_LOST : 0);
	home_flush(&world.home);
	if (!home_is_idle(&world.home))
		__builtin_trap();
	home_finish(&world.home);
	blackboard_finish(&world.board);
	evbuffer_free(in);
	return 0;
}
