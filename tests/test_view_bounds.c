/*
 * Views of instances that are killed, restarted, slow, paused and cut off at
 * random, against the store's list of servers.
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
/* Slow instances run nothing for less than this, again and again. */
#define STALL_MAX_MS 600
#define PAUSE_MIN_MS 1000
#define PAUSE_MAX_MS 5000
/* Until others notice that an instance ended, and that one has started. */
#define DETECT_MAX_MS 1500
#define JOIN_MAX_MS 500

/* What is played beside losses of instances and changes of servers. */
enum play_kind {
	PLAY_PLAIN,
	PLAY_LATE_MESSAGES,
	PLAY_SLOW_INSTANCES,
	PLAY_PAUSES_AND_CUTS,
	PLAY_KINDS,
};

static const char *const kind_names[PLAY_KINDS] = {"plain", "late messages",
						   "slow instances",
						   "pauses and cuts"};

/**
 * struct play - one seed
 * @disturbed_until: of each instance: it started, went on after a pause, or
 *		     reached the store again, microseconds
 * @reconnect_at: of those that can't reach the store, microseconds
 * @restart_at: of those that are down, microseconds
 * @members_at: when the members are announced, microseconds
 */
struct play {
	struct cluster cluster;
	struct rng rng;
	int64_t disturbed_until[INSTANCES_MAX];
	int64_t reconnect_at[INSTANCES_MAX];
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
		play->disturbed_until[i] = now_of(play);
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

		if (!node->dead && !node->cut_off &&
		    now_of(play) - play->disturbed_until[i] > STABLE)
			check_node(play, node);
	}
}

/* Half of the instances are slow. */
static void stall_some(struct play *play)
{
	struct cluster *cluster = &play->cluster;
	int i;

	for (i = 0; i < cluster->n_nodes; i += 2) {
		struct node *node = &cluster->nodes[i];

		if (now_of(play) >= node->paused_until && !draw(play, 4))
			node->paused_until =
				now_of(play) + MSEC(draw(play, STALL_MAX_MS));
	}
}

static int64_t draw_pause(struct play *play)
{
	return MSEC(PAUSE_MIN_MS + draw(play, PAUSE_MAX_MS - PAUSE_MIN_MS));
}

static void pause_or_cut_one(struct play *play)
{
	struct cluster *cluster = &play->cluster;
	int i = draw(play, 2) ? cluster_reader(cluster)
			      : draw(play, cluster->n_nodes);
	struct node *node = &cluster->nodes[i];

	if (node->dead || node->cut_off || now_of(play) < node->paused_until)
		return;
	play->disturbed_until[i] = now_of(play) + draw_pause(play);
	if (draw(play, 2)) {
		node->paused_until = play->disturbed_until[i];
		return;
	}
	node->cut_off = true;
	play->reconnect_at[i] = play->disturbed_until[i];
}

static void reconnect_due(struct play *play)
{
	int i;

	for (i = 0; i < play->cluster.n_nodes; i++) {
		struct node *node = &play->cluster.nodes[i];

		if (node->cut_off && now_of(play) >= play->reconnect_at[i])
			node->cut_off = false;
	}
}

static void disturb(struct play *play, enum play_kind kind)
{
	if (kind == PLAY_SLOW_INSTANCES)
		stall_some(play);
	if (kind != PLAY_PAUSES_AND_CUTS)
		return;
	if (!draw(play, 30))
		pause_or_cut_one(play);
	reconnect_due(play);
}

static void play_seed(uint64_t seed, enum play_kind kind)
{
	struct play play = {.n_kept = 0};
	int64_t ms;

	play.rng.state = seed;
	cluster_init(&play.cluster,
		     INSTANCES_MIN +
			     draw(&play, INSTANCES_MAX - INSTANCES_MIN + 1));
	play.cluster.rng_state = seed;
	cluster_advance(&play.cluster, SETTLE_MS);
	if (kind == PLAY_LATE_MESSAGES)
		play.cluster.delay_max_ms = 20 + draw(&play, 200);
	for (ms = 0; ms < PLAY_MS; ms += STEP_MS) {
		if (!draw(&play, 25))
			kill_some(&play);
		if (!draw(&play, 6))
			change_servers(&play);
		restart_due(&play);
		disturb(&play, kind);
		cluster_advance(&play.cluster, STEP_MS);
		check_nodes(&play);
	}
	if (play.n_kept || play.n_missed)
		printf("\nseed %d, %s: kept %d, missed %d", (int)seed,
		       kind_names[kind], play.n_kept, play.n_missed);
	CU_ASSERT_EQUAL(play.n_kept, 0);
	CU_ASSERT_EQUAL(play.n_missed, 0);
	cluster_finish(&play.cluster);
}

static void play_seeds(enum play_kind kind)
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
		play_seed(seed, kind);
}

/*
 * Guards against an instance that goes on using a removed server, or does not
 * learn of a new one, while others are killed and restarted.
 */
static void test_views_follow_store(void)
{
	play_seeds(PLAY_PLAIN);
}

/* Guards against the same if messages overtake each other. */
static void test_views_follow_store_with_late_messages(void)
{
	play_seeds(PLAY_LATE_MESSAGES);
}

/* Guards against the same where processors are slow. */
static void test_views_follow_store_on_slow_instances(void)
{
	play_seeds(PLAY_SLOW_INSTANCES);
}

/* Guards against the same while instances stand still or lose the store. */
static void test_views_follow_store_beside_pauses_and_cuts(void)
{
	play_seeds(PLAY_PAUSES_AND_CUTS);
}

static const struct unit_test tests[] = {
	{"views follow the store", test_views_follow_store},
	{"views follow the store with late messages",
	 test_views_follow_store_with_late_messages},
	{"views follow the store on slow instances",
	 test_views_follow_store_on_slow_instances},
	{"views follow the store beside pauses and cuts",
	 test_views_follow_store_beside_pauses_and_cuts},
};

UNIT_MAIN("view bounds", tests)
