/*
 * Simulates many instances in one process with the real membership and share
 * modules: a queue of messages with delay, loss and partitions, an instance
 * list as the platform serves it, and one paused clock.
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
/* Sides of a network partition, as bits: an instance may reach both. */
#define SIM_SIDE_A 1 /* initial side of every instance */
#define SIM_SIDE_B 2
#define SIM_SIDES 3

enum sim_list_mode {
	SIM_LIST_GOOD,
	SIM_LIST_DOWN,	  /* cannot be read */
	SIM_LIST_STALE,	  /* as it was when the mode was set */
	SIM_LIST_FLAPPING /* each read omits instances at random */
};

struct sim;
struct sim_message;

/**
 * struct sim_usage - an instance's usage of one backend server
 * @usable: slots and connections that its share allows
 * @used: slots and connections in use
 * @drain_at: when @used is reduced to @usable; 0 if it is not above it
 */
struct sim_usage {
	struct quota usable;
	struct quota used;
	int64_t drain_at;
};

/**
 * struct sim_node - one instance
 * @sim: that it belongs to
 * @index: among the nodes of @sim
 * @name: "n" and the index
 * @data_centre: "dc" and a number
 * @peer_address: address for messages from other instances
 * @caller_address: the same as @peer_address
 * @up: whether its process exists, running or paused
 * @paused: whether its process is stopped by a signal
 * @listed: whether the platform's list contains it
 * @listed_leaving: whether the list marks it as leaving
 * @stale_listed: @listed as it was when the list mode was last set
 * @side: bits SIM_SIDE_*; messages pass between instances with a common bit
 * @members: the membership module
 * @share: the share module; unused without backend servers
 * @use: usage of each backend server
 * @inbox: messages that arrived while it was paused, newest first
 * @next_list_at: when it reads the list again
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
	struct sim_usage *use;
	struct sim_message *inbox;
	int64_t next_list_at;
};

/**
 * struct sim - simulated instances, network and platform list
 * @clock: paused, advanced by sim_run()
 * @seed: state of the random number generator
 * @rule: passed to each share module
 * @nodes: all instances
 * @n: number of @nodes
 * @table: with the backend servers; NULL if there are none
 * @heap: binary heap of pending messages, earliest first
 * @n_heap: number of messages in @heap
 * @cap_heap: capacity of @heap
 * @sequence: of the latest message; orders messages due at the same time
 * @delay: longest delay of a message, microseconds
 * @list_period: between an instance's reads of the list, microseconds
 * @request_time: how long a request runs, microseconds
 * @loss: ratio of datagrams lost
 * @list_mode: state of the platform's list
 * @probe_period: passed to each membership module, microseconds
 * @lease: passed to the modules, microseconds
 * @usable_sum: sum of usable capacity over all instances, for each server
 * @used_sum: sum of used capacity over all instances, for each server
 * @slots_overshoot: most slots by which @usable_sum exceeded a server's limit
 * @connections_overshoot: the same for connections
 * @used_overshoot: most slots by which @used_sum, which includes slots still
 *		    draining, exceeded a server's limit
 * @skip_accounting: do not track usage, so that only the modules are measured
 * @steps: messages and ticks handled
 * @datagrams: sent, lost ones included
 * @cross_dc_datagrams: those of @datagrams sent to another data centre
 * @datagram_bytes: total size of @datagrams
 * @frames: messages sent over connections
 * @frame_bytes: total size of @frames
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
	uint64_t sequence;
	int64_t delay;
	int64_t list_period;
	int64_t request_time;
	double loss;
	enum sim_list_mode list_mode;
	int64_t probe_period;
	int64_t lease;
	struct quota *usable_sum;
	struct quota *used_sum;
	int slots_overshoot;
	int connections_overshoot;
	int used_overshoot;
	bool skip_accounting;
	uint64_t steps;
	uint64_t datagrams;
	uint64_t cross_dc_datagrams;
	uint64_t datagram_bytes;
	uint64_t frames;
	uint64_t frame_bytes;
};

/**
 * sim_init() - create instances without starting them
 * @sim: to initialise; release with sim_finish()
 * @seed: of the random number generator
 * @n: number of instances
 * @data_centres: number of data centres "dc0", "dc1", ..., assigned to the
 *		  instances in turn
 * @servers: backend servers per data centre; 0 to run without share modules
 * @slots: slots of each backend server
 * @connections: connections of each backend server
 * @rule: passed to each share module
 */
void sim_init(struct sim *sim, uint64_t seed, int n, int data_centres,
	      int servers, int slots, int connections,
	      const struct share_rule *rule);
void sim_finish(struct sim *sim);

void sim_start(struct sim *sim, int node);
void sim_start_all(struct sim *sim);

/* Ends the process; connections to its address are then refused. */
void sim_crash(struct sim *sim, int node);
void sim_pause(struct sim *sim, int node);
void sim_resume(struct sim *sim, int node);
void sim_leave(struct sim *sim, int node);

/* Ends a process after sim_leave(); it first releases its shares. */
void sim_exit(struct sim *sim, int node);
void sim_set_listed(struct sim *sim, int node, bool listed);
void sim_set_list_mode(struct sim *sim, enum sim_list_mode mode);
void sim_set_side(struct sim *sim, int node, int side);
void sim_heal(struct sim *sim);

/* Changes the limits of all backend servers in every instance's table. */
void sim_set_limits(struct sim *sim, int slots, int connections);
void sim_run(struct sim *sim, int64_t usec);

/**
 * sim_run_until() - run until a condition holds
 * @sim: to run
 * @done: the condition, checked every 10 ms
 * @timeout: microseconds
 *
 * Return: microseconds that it took, or -1 after @timeout.
 */
int64_t sim_run_until(struct sim *sim, bool (*done)(struct sim *sim),
		      int64_t timeout);

uint64_t sim_random(struct sim *sim);

/**
 * sim_usable_slots() - sum of a server's usable slots over running instances
 * @sim: the instances
 * @row: of the server in the table
 */
int sim_usable_slots(struct sim *sim, int row);

/* Whether the usable capacity of every server adds up to its limit. */
bool sim_all_shared(struct sim *sim);

/* The same, and the current share view is in force on every running instance.
 */
bool sim_all_settled(struct sim *sim);

/* Resets the overshoot counters. */
void sim_reset_overshoot(struct sim *sim);

/* Whether all instances agree on the members and suspect none of them. */
bool sim_all_agree(struct sim *sim);

#endif
