/*
 * Many instances' decision modules in one process: a queue of messages with
 * delay, loss and cuts, a list as the platform gives it, and one paused clock.
 */
#ifndef MEMBER_SIM_H
#define MEMBER_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "member.h"
#include "share.h"
#include "table.h"

#define SIM_TICK MSEC(50)
#define SIM_SIDE_A 1 /* where all are */
#define SIM_SIDE_B 2
#define SIM_SIDES 3 /* reaches both */

enum sim_list_mode {
	SIM_LIST_GOOD,
	SIM_LIST_DOWN,	  /* cannot be read */
	SIM_LIST_STALE,	  /* as it was when the mode was set */
	SIM_LIST_FLAPPING /* each reading leaves out some at random */
};

struct sim;
struct sim_message;

/* What an instance uses of one backend server. */
struct sim_use {
	struct quota usable;
	struct quota used;
	int64_t drain_at;
};

/**
 * struct sim_node - one instance
 * @up: its process runs, or is stopped by a signal
 * @paused: stopped by a signal
 * @side: messages pass between instances that share a bit of it
 */
struct sim_node {
	struct sim *sim;
	int index;
	char name[16];
	char data_centre[16];
	struct address peer_address;
	struct address caller_address;
	bool up;
	bool paused;
	bool listed;
	bool listed_leaving;
	bool stale_listed;
	int side;
	struct member_table members;
	struct share share;
	struct sim_use *use;
	struct sim_message *inbox; /* while paused, newest first */
	int64_t next_list;
};

/**
 * struct sim - all of them
 * @delay: of a message, up to this, microseconds
 * @loss: of datagrams, ratio
 * @drain: how long a request runs, microseconds
 * @slots_overshoot: most slots by which the sum of shares was above a limit
 * @over_used: the same of slots in use, those still draining included
 * @skip_accounting: do not use or sum up shares, to measure the modules alone
 * @steps: events until now
 */
struct sim {
	struct clock clock;
	uint64_t seed;
	const struct share_rule *rule;
	struct sim_node *nodes;
	int n;
	struct table *table;
	struct sim_message **heap;
	int n_heap;
	int cap_heap;
	uint64_t order;
	int64_t delay;
	int64_t list_period;
	int64_t drain;
	double loss;
	enum sim_list_mode list_mode;
	int64_t probe_period;
	int64_t lease;
	struct quota *sum;
	struct quota *sum_used;
	int slots_overshoot;
	int connections_overshoot;
	int over_used;
	bool skip_accounting;
	uint64_t steps;
	uint64_t datagrams;
	uint64_t cross_dc_datagrams; /* to another data centre */
	uint64_t datagram_bytes;
	uint64_t frames;
	uint64_t frame_bytes;
};

/**
 * sim_init() - instances, none of them started
 * @n: how many
 * @data_centres: they are spread over "dc0", "dc1", ... in turn
 * @servers: backend servers a data centre, with @slots and @connections each;
 *	0: no shares are kept at all
 */
void sim_init(struct sim *sim, uint64_t seed, int n, int data_centres,
	      int servers, int slots, int connections,
	      const struct share_rule *rule);
void sim_finish(struct sim *sim);

void sim_start(struct sim *sim, int node);
void sim_start_all(struct sim *sim);

/* The process dies; connections to its address are refused. */
void sim_crash(struct sim *sim, int node);
void sim_pause(struct sim *sim, int node);
void sim_resume(struct sim *sim, int node);
void sim_leave(struct sim *sim, int node);

/* Ends a process that left: its last word, then its end. */
void sim_exit(struct sim *sim, int node);
void sim_set_listed(struct sim *sim, int node, bool listed);
void sim_list_mode(struct sim *sim, enum sim_list_mode mode);
void sim_set_side(struct sim *sim, int node, int side);
void sim_heal(struct sim *sim);

/* The service reads its table anew, with other limits. */
void sim_set_limits(struct sim *sim, int slots, int connections);
void sim_run(struct sim *sim, int64_t usec);

/**
 * sim_run_until() - run until the condition holds
 *
 * Return: microseconds that it took, or -1.
 */
int64_t sim_run_until(struct sim *sim, bool (*done)(struct sim *sim),
		      int64_t most);

uint64_t sim_random(struct sim *sim);

/**
 * sim_usable_slots() - sum of usable slots of a server over all that run
 */
int sim_usable_slots(struct sim *sim, int row);

/* Whether every server's limit is shared out in full. */
bool sim_all_shared(struct sim *sim);

/* The same, and every instance that runs has its part in force. */
bool sim_all_settled(struct sim *sim);

/* Start counting overshoot anew. */
void sim_reset_overshoot(struct sim *sim);

/* Whether all that run agree on who is present, and nobody is suspected. */
bool sim_all_agree(struct sim *sim);

#endif
