/*
 * Views of instances that are killed, restarted and cut off at random, against
 * the store's list of servers.
 *
 * VIEW_SEEDS=FIRST-LAST in the environment: other seeds than those of CI.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "rng.h"
#include "unit.h"
#include "view_cluster.h"

#define SEED_FIRST 1
#define SEED_LAST 40
#define SETTLE_MS 5000
#define PLAY_MS 60000
#define STEP_MS 100
#define INSTANCES_MIN 3
#define INSTANCES_MAX 7
/* How long an instance may send to a server that has left (docs/PROTOCOL.md).
 */
#define BOUND MSEC(3000)
/* An instance that has run for less is not held to it. */
#define STABLE MSEC(4000)
#define DOWN_MIN_MS 200
#define DOWN_MAX_MS 1500
/* Until others notice that an instance ended, and that one has started. */
#define DETECT_MAX_MS 1500
#define JOIN_MAX_MS 500

/**
 * struct play - one seed
 * @started_at: of each instance, microseconds
 * @restart_at: of those that are down, microseconds
 * @members_at: when the members are announced, microseconds
 */
struct play {
	struct cluster cluster;
	struct rng rng;
	uint64_t seed;
	int64_t started_at[INSTANCES_MAX];
	int64_t restart_at[INSTANCES_MAX];
	int64_t members_at;
	int n_kept;
	int n_missed;
};

static int draw(struct play *play, int n)
{
	return (int)(rng_uniform(&play->rng) * n);
}

static int64_t now_of(const struct play *play)
{
	return clock_now(&play->cluster.clock);
}

static void announce_members(struct play *play, int max_ms)
{
	int64_t at = now_of(play) + MSEC(draw(play, max_ms));

	if (at > play->members_at)
		play->members_at = at;
}

static void kill_node(struct play *play, int i)
{
	struct node *node = &play->cluster.nodes[i];

	if (node->dead)
		return;
	node->dead = true;
	play->restart_at[i] =
		now_of(play) +
		MSEC(DOWN_MIN_MS + draw(play, DOWN_MAX_MS - DOWN_MIN_MS));
	announce_members(play, DETECT_MAX_MS);
}

static void restart_due(struct play *play)
{
	int i;

	for (i = 0; i < play->cluster.n_nodes; i++) {
		struct node *node = &play->cluster.nodes[i];

		if (!node->dead || now_of(play) < play->restart_at[i])
			continue;
		node_stop(node);
		node_start(&play->cluster, i);
		play->started_at[i] = now_of(play);
		announce_members(play, JOIN_MAX_MS);
	}
	if (play->members_at && now_of(play) >= play->members_at) {
		cluster_update_members(&play->cluster);
		play->members_at = 0;
	}
}

/* One instance, most often the one that reads, or many. */
static void kill_some(struct play *play)
{
	struct cluster *cluster = &play->cluster;
	int i;

	if (draw(play, 2)) {
		kill_node(play, draw(play, 3) ? cluster_reader(cluster)
					      : draw(play, cluster->n_nodes));
		return;
	}
	for (i = 0; i < cluster->n_nodes; i++) {
		if (draw(play, 2))
			kill_node(play, i);
	}
}

static void change_servers(struct play *play)
{
	struct cluster *cluster = &play->cluster;
	int i = draw(play, cluster->n_stored + 1);

	if (cluster->n_stored < STORED_SERVERS_MAX && draw(play, 2))
		cluster_add_server(cluster);
	else if (i < cluster->n_stored && !cluster->stored[i].removed)
		cluster_remove_server(cluster, i);
}

static void check_node(struct play *play, const struct node *node)
{
	const struct cluster *cluster = &play->cluster;
	int i;

	for (i = 0; i < cluster->n_stored; i++) {
		const struct stored_server *stored = &cluster->stored[i];
		bool known =
			registry_find(&node->registry, str_from(stored->name));

		if (now_of(play) - stored->time <= BOUND ||
		    known != stored->removed)
			continue;
		play->n_kept += known;
		play->n_missed += !known;
	}
}

static void check_nodes(struct play *play)
{
	int i;

	for (i = 0; i < play->cluster.n_nodes; i++) {
		const struct node *node = &play->cluster.nodes[i];

		if (!node->dead && now_of(play) - play->started_at[i] > STABLE)
			check_node(play, node);
	}
}

static void play_seed(uint64_t seed, bool late_messages)
{
	struct play play = {.seed = seed};
	int64_t ms;

	play.rng.state = seed;
	cluster_init(&play.cluster,
		     INSTANCES_MIN +
			     draw(&play, INSTANCES_MAX - INSTANCES_MIN + 1));
	play.cluster.rng_state = seed;
	cluster_advance(&play.cluster, SETTLE_MS);
	if (late_messages)
		play.cluster.delay_max_ms = 20 + draw(&play, 200);
	for (ms = 0; ms < PLAY_MS; ms += STEP_MS) {
		if (!draw(&play, 25))
			kill_some(&play);
		if (!draw(&play, 6))
			change_servers(&play);
		restart_due(&play);
		cluster_advance(&play.cluster, STEP_MS);
		check_nodes(&play);
	}
	if (play.n_kept || play.n_missed)
		printf("\nseed %d, late messages %d: kept %d, missed %d",
		       (int)seed, late_messages, play.n_kept, play.n_missed);
	CU_ASSERT_EQUAL(play.n_kept, 0);
	CU_ASSERT_EQUAL(play.n_missed, 0);
	cluster_finish(&play.cluster);
}

static void play_seeds(bool late_messages)
{
	const char *seeds = getenv("VIEW_SEEDS");
	unsigned long first = SEED_FIRST;
	unsigned long last = SEED_LAST;
	unsigned long seed;
	char *end;

	if (seeds) {
		first = strtoul(seeds, &end, 10);
		last = *end == '-' ? strtoul(end + 1, NULL, 10) : first;
	}
	log_init(LOG_LEVEL_ERROR, "test");
	for (seed = first; seed <= last; seed++)
		play_seed(seed, late_messages);
}

/*
 * Guards against an instance that goes on using a removed server, or does not
 * learn of a new one, while others are killed and restarted.
 */
static void test_views_follow_store(void)
{
	play_seeds(false);
}

/* Guards against the same if messages overtake each other. */
static void test_views_follow_store_with_late_messages(void)
{
	play_seeds(true);
}

static const struct unit_test tests[] = {
	{"views follow the store", test_views_follow_store},
	{"views follow the store with late messages",
	 test_views_follow_store_with_late_messages},
};

UNIT_MAIN("view bounds", tests)
