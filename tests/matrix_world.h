/*
 * The world of the fault matrix: entries and homes of the real modules, model
 * backend servers that hold known records, a queue of messages with delays,
 * and the paused clock. No sockets.
 */
#ifndef MATRIX_WORLD_H
#define MATRIX_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include "blackboard.h"
#include "home.h"
#include "search.h"
#include "step.h"

#define WORLD_INSTANCES 3
#define WORLD_SERVERS 4
#define WORLD_HOMES_OF_SERVER 2
#define WORLD_DEADLINE_MS 400
#define WORLD_SEARCHES_MAX 64
#define WORLD_OLD_VERSION 1
#define WORLD_NEW_VERSION 2
/* As the old one in all but the records that match: nobody holds it. */
#define WORLD_TWIN_VERSION 3

struct world;
struct world_event;

/**
 * struct world_server - a model backend server
 * @versions: bit (1 << v) for each snapshot version held
 * @latency: of an answer, microseconds
 * @slow_factor: of the next answers
 * @crash_on_target: it crashes when it runs the target request
 * @leaving_at: told to leave then; 0: not leaving
 * @running: requests in a slot
 * @most_running: the most at a time
 * @runs_of_target: times it ran the target request
 * @late_starts: requests that began more than the allowed time after
 *		 @leaving_at
 */
struct world_server {
	struct world *world;
	int index;
	char name[16];
	bool is_alive;
	uint32_t life;
	unsigned versions;
	int64_t latency;
	int slow_factor;
	bool sheds;
	bool is_draining;
	bool answers_wrong_version;
	bool answers_wrong_held;
	bool crash_on_target;
	int64_t paused_until;
	int64_t leaving_at;
	int running;
	int most_running;
	int runs_of_target;
	int late_starts;
};

/**
 * struct world_instance - one instance: entry and home
 * @is_unnoticed: gone, and the others do not know
 * @cut_from: bit for each instance that messages do not pass to or from
 */
struct world_instance {
	struct world *world;
	int index;
	char name[16];
	struct settings settings;
	struct blackboard board;
	struct searches searches;
	struct home home;
	bool is_alive;
	bool is_leaving;
	bool is_unnoticed;
	uint32_t life;
	unsigned cut_from;
	int64_t paused_until;
	bool flush_wanted;
	int links[WORLD_INSTANCES]; /* what home queries hold as their link */
};

/**
 * struct world_outcome - what a caller was told
 * @n: outcomes given to this request; more than one is a fault
 */
struct world_outcome {
	int n;
	int entry;
	int code;
	bool maybe_ran;
	uint64_t version;
	uint64_t count;
	uint64_t covered;
	uint64_t total;
	int answered;
	int n_shards;
	int64_t started_at;
	int64_t at;
	int n_requests;
};

/**
 * struct world - everything
 * @on_step: called when the target request (the first search) reaches a step,
 *	     the first time only
 * @reached: which steps were
 */
struct world {
	struct clock clock;
	uint64_t random;
	struct world_instance instances[WORLD_INSTANCES];
	struct world_server servers[WORLD_SERVERS];
	struct world_event *events;
	int n_events;
	int cap_events;
	uint64_t sequence;
	struct world_outcome outcomes[WORLD_SEARCHES_MAX];
	int n_searches;
	bool reached[REQUEST_STEPS];
	void (*on_step)(struct world *world, enum request_step step, void *arg);
	void *arg;
	int late_sends;	   /* to servers, after the deadline */
	int above_share;   /* sent by a home without a slot for it */
	int target_server; /* that the step concerns, -1 if none yet */
	int target_home;
	bool is_table_changed;
	int table_leaves; /* the server that the change takes away */
};

void world_init(struct world *world, uint64_t seed);
void world_finish(struct world *world);

/**
 * world_search() - a caller asks an instance; the first one is the target
 *
 * Return: index of its outcome, or -1 if the instance is gone.
 */
int world_search(struct world *world, int instance);

/**
 * world_run() - let time pass
 */
void world_run(struct world *world, int64_t usec);

uint64_t world_random(struct world *world, uint64_t below);

/* What can happen, at any time. */
void world_kill_server(struct world *world, int server);
void world_restart_server(struct world *world, int server);
void world_silence_server(struct world *world, int server);
void world_slow_server(struct world *world, int server, int factor);
void world_switch_versions(struct world *world, bool keep_old);
void world_drain_server(struct world *world, int server);
void world_kill_instance(struct world *world, int instance);
void world_lose_instance_silently(struct world *world, int instance);
void world_restart_instance(struct world *world, int instance);
void world_leave_instance(struct world *world, int instance);
void world_cut(struct world *world, int a, int b, bool is_cut);
void world_change_table(struct world *world);
void world_pause_instance(struct world *world, int instance, int64_t usec);

/* What a version holds, the truth that answers are checked against. */
int world_shards(uint64_t version);
uint64_t world_held(uint64_t version);
uint64_t world_count(uint64_t version);

#endif
