/*
 * Many table modules in one process: a paused clock, a seeded queue of
 * messages with delay, loss and partitions, and a platform. No sockets.
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
 * struct sim_policy - what decides which table is in force
 *
 * The module under test, or a baseline to compare it with.
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
	void (*heard)(void *state, const char *peer, uint64_t revision,
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
 * @group: messages pass only within one group
 * @table: that the module under test handed over
 * @is_platform_unreachable: its calls on the platform are lost
 * @paused_until: the process is stopped until then
 * @seen: revision in force when last looked at
 * @reached_at: when that came into force
 */
struct sim_node {
	struct sim *sim;
	int index;
	char name[32];
	char data_centre[16];
	int group;
	bool is_platform_unreachable;
	bool alive;
	uint32_t life;
	void *state;
	struct table *table;
	int64_t paused_until;
	int64_t next_tick;
	uint64_t seen;
	int64_t reached_at;
	uint64_t sent_bytes;
	uint64_t sent_messages;
};

struct sim_version {
	uint64_t revision;
	char *text;
	size_t len;
	uint64_t digest; /* canonical; 0 if the table is invalid */
};

struct sim_part {
	char key[TABLE_PARTS_KEY_SIZE];
	char *text;
	size_t len;
	bool hidden;
};

/**
 * struct sim_platform - the configuration service
 * @shown: version that is answered
 * @other: version that every second call sees instead; -1: none
 * @retry_after_ms: above 0: calls are answered 429
 */
struct sim_platform {
	struct sim_version versions[SIM_VERSIONS_MAX];
	int n_versions;
	int shown;
	int other;
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
 * struct sim - the instances, the platform and what is under way
 * @loss: part of the heartbeats that is lost
 * @push_loss: part of the other messages between instances that is lost
 * @peer_delay: added to each message between instances, microseconds
 * @reverts: times a revision in force went down
 * @mixed: times a content came into force that was never published under its
 *         revision
 * @busy_ns: time spent in the modules, if @timed
 */
struct sim {
	struct clock clock;
	const struct sim_policy *policy;
	struct sim_node *nodes;
	int n;
	int n_dc;
	uint64_t random;
	double loss;
	double push_loss;
	int64_t peer_delay;
	bool heartbeats_off;
	struct sim_platform platform;
	struct sim_event *events;
	int n_events;
	int events_cap;
	struct sim_event *waiting; /* calls at the platform */
	int n_waiting;
	int waiting_cap;
	uint64_t sequence;
	uint64_t reverts;
	uint64_t mixed;
	bool timed;
	uint64_t busy_ns;
	uint64_t longest_ns;
};

void sim_init(struct sim *sim, const struct sim_policy *policy, int n, int n_dc,
	      uint64_t seed);
void sim_finish(struct sim *sim);

/**
 * sim_start() - start an instance that knows the living ones
 */
void sim_start(struct sim *sim, int node);
void sim_start_all(struct sim *sim);
void sim_stop(struct sim *sim, int node);

/**
 * sim_set_members() - tell all living instances who lives
 */
void sim_set_members(struct sim *sim);

/**
 * sim_publish() - a new version on the platform, visible at once
 * @text: taken over
 *
 * Return: its index among the versions.
 */
int sim_publish(struct sim *sim, char *text, size_t len, uint64_t revision);
int sim_publish_sheets(struct sim *sim, const struct table_gen *sheets,
		       uint64_t revision);

/**
 * sim_publish_parts() - the same in parts under a manifest
 */
int sim_publish_parts(struct sim *sim, const struct table_gen *sheets,
		      uint64_t revision, int n);

/**
 * sim_show_version() - let the platform answer a version
 * @other: what every second call sees; -1: the same
 */
void sim_show_version(struct sim *sim, int version, int other);
void sim_run(struct sim *sim, int64_t ms);

/**
 * sim_run_until() - run until a revision is in force everywhere
 *
 * Return: how long it took, microseconds; -1 if it took longer than @ms.
 */
int64_t sim_run_until(struct sim *sim, uint64_t revision, int64_t ms);

/**
 * sim_count_in_force() - living instances with that revision in force
 */
int sim_count_in_force(const struct sim *sim, uint64_t revision);
struct table_sync *sim_node_sync(struct sim *sim, int node);
int64_t sim_random(struct sim *sim, int64_t n);

/* For baselines: what their actions do. */
void sim_call(struct sim *sim, int node, const struct reader_call *call);
void sim_send_digest(struct sim *sim, int node, const char *peer,
		     const Peer__TableDigest *message);
void sim_send_request(struct sim *sim, int node, const char *peer,
		      const Peer__TableRequest *message);
void sim_send_update(struct sim *sim, int node, const char *peer,
		     const Peer__TableUpdate *message);

#endif
