/*
 * Simulates many instances' table modules in one process: a paused clock, a
 * seeded queue of messages with delay, loss and partitions, and a model of the
 * platform. No sockets.
 */
#ifndef TABLE_SIM_H
#define TABLE_SIM_H

#include "clock.h"
#include "table_gen.h"
#include "table_sync.h"

#define SIM_VERSIONS_MAX 2048
#define SIM_PARTS_MAX 256
#define SIM_PLATFORM (-1)

struct sim;

/**
 * struct sim_policy - operations of the module that chooses the table in force
 * @start: create the module's state for a node
 * @finish: free the state
 * @set_members: the running instances changed
 * @tick: called every 100 ms
 * @answered: the platform answered a call
 * @part: the platform answered the fetch of a part of a table
 * @heartbeat: a heartbeat or its answer arrived from a peer
 * @digest: a peer sent the digest of its table
 * @request: a peer requested a table
 * @update: a peer sent a table
 * @in_force: the table in force, owned by the module; NULL if there is none
 * @age_ms: age of the table in force, milliseconds
 *
 * Either the table_sync module or a baseline to compare it with.
 */
struct sim_policy {
	void *(*start)(struct sim *sim, int node);
	void (*finish)(void *state);
	void (*set_members)(void *state, const struct table_member *members,
			    int n);
	void (*tick)(void *state);
	void (*answered)(void *state, enum reader_key key, uint64_t id,
			 const struct platform_answer *answer);
	void (*part)(void *state, uint64_t id,
		     const struct platform_answer *answer);
	void (*heartbeat)(void *state, const char *peer, uint64_t revision,
			  uint64_t digest, uint32_t age_ms);
	void (*digest)(void *state, const char *peer,
		       const Peer__TableDigest *message);
	void (*request)(void *state, const char *peer,
			const Peer__TableRequest *message);
	void (*update)(void *state, const char *peer,
		       const Peer__TableUpdate *message);
	const struct table *(*in_force)(const void *state);
	uint32_t (*age_ms)(const void *state);
};

extern const struct sim_policy sim_table_sync;

/**
 * struct sim_node - one instance
 * @sim: that it belongs to
 * @index: among the nodes of @sim
 * @name: "node-" and the index
 * @data_centre: "dc-" and a number
 * @group: messages pass only between nodes of the same group
 * @is_platform_unreachable: its calls to the platform are lost
 * @alive: whether the process runs
 * @incarnation: changes when the process starts or stops
 * @state: of the policy
 * @table: in force, as table_sync handed it over; owned by the node
 * @paused_until: time until which the process is stopped
 * @next_tick: time of the next tick
 * @seen_revision: revision in force at the last check
 * @reached_at: when a check first saw that revision
 * @sent_bytes: sent to other instances, lost messages included
 * @sent_messages: number of messages sent, lost ones included
 */
struct sim_node {
	struct sim *sim;
	int index;
	char name[32];
	char data_centre[16];
	int group;
	bool is_platform_unreachable;
	bool alive;
	uint32_t incarnation;
	void *state;
	struct table *table;
	int64_t paused_until;
	int64_t next_tick;
	uint64_t seen_revision;
	int64_t reached_at;
	uint64_t sent_bytes;
	uint64_t sent_messages;
};

/**
 * struct sim_version - a version of the table on the platform
 * @revision: of the table
 * @text: of the table or of the manifest of its parts; owned
 * @len: of @text
 * @digest: of the canonical table, 0 if the table is invalid
 */
struct sim_version {
	uint64_t revision;
	char *text;
	size_t len;
	uint64_t digest;
};

/**
 * struct sim_part - a part of a table on the platform
 * @key: under which it is fetched
 * @text: owned
 * @len: of @text
 * @hidden: fetches fail as if the key did not exist
 */
struct sim_part {
	char key[TABLE_PARTS_KEY_SIZE];
	char *text;
	size_t len;
	bool hidden;
};

/**
 * struct sim_platform - the configuration service
 * @versions: all published versions
 * @n_versions: number of @versions
 * @shown: index of the version served, -1 if none
 * @alternate: index of a version served instead at random to half of the calls,
 *	       -1 if none
 * @parts: of tables published in parts; the oldest one is overwritten first
 * @n_parts: number of parts published
 * @down: calls fail with ERR_UNAVAILABLE
 * @retry_after_ms: if above 0, calls fail with ERR_BUDGET, as on HTTP status
 *		    429, and this delay; milliseconds
 * @group: messages pass only to and from nodes of this group
 * @calls: number of calls, fetches of parts excluded
 * @part_calls: number of fetches of parts
 * @bytes: total size of the answers' texts
 * @on_part: called before each fetch of a part; NULL for none
 */
struct sim_platform {
	struct sim_version versions[SIM_VERSIONS_MAX];
	int n_versions;
	int shown;
	int alternate;
	struct sim_part parts[SIM_PARTS_MAX];
	int n_parts;
	bool down;
	int64_t retry_after_ms;
	int group;
	uint64_t calls;
	uint64_t part_calls;
	uint64_t bytes;
	void (*on_part)(struct sim *sim, const char *key);
};

struct sim_event;

/**
 * struct sim - simulated instances, network and platform
 * @clock: paused, advanced by sim_run()
 * @policy: chooses the table in force on each node
 * @nodes: all instances
 * @n: number of @nodes
 * @n_data_centres: number of data centres, assigned to the nodes in turn
 * @random: state of the random number generator
 * @loss: ratio of heartbeats lost
 * @push_loss: ratio of other messages between instances lost
 * @peer_delay: added to the delay of messages between instances, microseconds
 * @heartbeats_off: send no heartbeats
 * @platform: the configuration service
 * @events: binary heap of pending events, earliest first
 * @n_events: number of @events
 * @events_cap: capacity of @events
 * @waiting_calls: long-polling calls that the platform has not answered yet
 * @n_waiting: number of @waiting_calls
 * @waiting_cap: capacity of @waiting_calls
 * @sequence: of the next event; orders events due at the same time
 * @reverts: times that the revision in force on a node decreased
 * @unpublished: times that a table came into force whose contents were never
 *		 published under its revision
 * @timed: measure the time spent in the policy
 * @busy_ns: total time spent in the policy if @timed, nanoseconds
 * @longest_ns: longest single call into the policy if @timed, nanoseconds
 */
struct sim {
	struct clock clock;
	const struct sim_policy *policy;
	struct sim_node *nodes;
	int n;
	int n_data_centres;
	uint64_t random;
	double loss;
	double push_loss;
	int64_t peer_delay;
	bool heartbeats_off;
	struct sim_platform platform;
	struct sim_event *events;
	int n_events;
	int events_cap;
	struct sim_event *waiting_calls;
	int n_waiting;
	int waiting_cap;
	uint64_t sequence;
	uint64_t reverts;
	uint64_t unpublished;
	bool timed;
	uint64_t busy_ns;
	uint64_t longest_ns;
};

void sim_init(struct sim *sim, const struct sim_policy *policy, int n,
	      int n_data_centres, uint64_t seed);
void sim_finish(struct sim *sim);

/**
 * sim_start() - start an instance and tell all instances the new members
 * @sim: the simulation
 * @node: index of the instance, which must not be running
 */
void sim_start(struct sim *sim, int node);
void sim_start_all(struct sim *sim);
void sim_stop(struct sim *sim, int node);

/**
 * sim_set_members() - tell all running instances which ones run
 * @sim: the simulation
 */
void sim_set_members(struct sim *sim);

/**
 * sim_publish() - publish a version on the platform and serve it at once
 * @sim: the simulation
 * @text: of the table; ownership passes to @sim
 * @len: of @text
 * @revision: of the table
 *
 * Return: its index among the versions.
 */
int sim_publish(struct sim *sim, char *text, size_t len, uint64_t revision);
int sim_publish_sheets(struct sim *sim, const struct table_gen *sheets,
		       uint64_t revision);

/**
 * sim_publish_parts() - publish a table in parts with a manifest
 * @sim: the simulation
 * @sheets: contents of the table
 * @revision: of the table
 * @n: number of parts
 *
 * Return: the index of the version.
 */
int sim_publish_parts(struct sim *sim, const struct table_gen *sheets,
		      uint64_t revision, int n);

/**
 * sim_show_version() - set the version that the platform serves
 * @sim: the simulation
 * @version: index of the version
 * @alternate: index of a version served instead at random to half of the calls,
 *	       -1 for none
 */
void sim_show_version(struct sim *sim, int version, int alternate);

/* Advances the clock in steps of 1 ms. */
void sim_run(struct sim *sim, int64_t ms);

/**
 * sim_run_until() - run until a revision is in force on all running instances
 * @sim: the simulation
 * @revision: to wait for
 * @ms: longest time to run, milliseconds
 *
 * Return: how long it took, microseconds; -1 if it took longer than @ms.
 */
int64_t sim_run_until(struct sim *sim, uint64_t revision, int64_t ms);

/**
 * sim_count_in_force() - number of running instances with a revision in force
 * @sim: the simulation
 * @revision: of the table
 */
int sim_count_in_force(const struct sim *sim, uint64_t revision);
struct table_sync *sim_node_sync(struct sim *sim, int node);
int64_t sim_random(struct sim *sim, int64_t n);

/* Calls and messages for baseline policies to send. */
void sim_call(struct sim *sim, int node, const struct reader_call *call);
void sim_send_digest(struct sim *sim, int node, const char *peer,
		     const Peer__TableDigest *message);
void sim_send_request(struct sim *sim, int node, const char *peer,
		      const Peer__TableRequest *message);
void sim_send_update(struct sim *sim, int node, const char *peer,
		     const Peer__TableUpdate *message);

#endif
