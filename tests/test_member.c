#include <stdio.h>
#include <string.h>

#include "error.h"
#include "member_sim.h"
#include "peer.pb-c.h"
#include "unit.h"

#define NODES 8
#define SETTLE MSEC(60000)

static void begin(struct sim *sim, int n)
{
	sim_init(sim, 1, n, 2, 0, 0, 0, &share_settled);
	sim->loss = 0.01;
	sim_start_all(sim);
	CU_ASSERT(sim_run_until(sim, sim_all_agree, SETTLE) >= 0);
}

static const struct member *seen_by(const struct sim *sim, int by, int of)
{
	return member_table_find(&sim->nodes[by].members, sim->nodes[of].name);
}

static int count_status(const struct sim *sim, int of,
			enum member_status status)
{
	int n = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		const struct member *member;

		if (i == of || !sim->nodes[i].up)
			continue;
		member = seen_by(sim, i, of);
		n += member && member->status == status;
	}
	return n;
}

/*
 * A fleet starts at once. Everybody finds everybody by the list and by what
 * peers tell, and nobody is suspected though 1% of the datagrams are lost.
 */
static void test_start(void)
{
	struct sim sim;
	int i;

	begin(&sim, 40);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT(sim_all_agree(&sim));
	for (i = 0; i < sim.n; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].members.present, 39);
	sim_finish(&sim);
}

/*
 * A process dies. The next one that pings it finds that nobody listens there,
 * and within seconds all hold it for ended, while the list still names it.
 */
static void test_crash(void)
{
	struct sim sim;

	begin(&sim, NODES);
	sim_crash(&sim, 3);
	sim_run(&sim, MSEC(5000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_GONE), NODES - 1);
	CU_ASSERT(seen_by(&sim, 0, 3)->proven);
	CU_ASSERT(member_released(seen_by(&sim, 0, 3), clock_now(&sim.clock)));
	sim_finish(&sim);
}

/*
 * A host is cut off: silent, but nobody refuses. While the list names it, it is
 * suspected and keeps its place; only when the list drops it, and its lease
 * and the news have had their time, its shares are free.
 */
static void test_silence(void)
{
	const struct member *member;
	struct sim sim;

	begin(&sim, NODES);
	sim_cut(&sim, 3, SIM_SIDE_B);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_SUSPECT), NODES - 1);
	sim_list(&sim, 3, false);
	sim_run(&sim, MSEC(3000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_GONE), NODES - 1);
	member = seen_by(&sim, 0, 3);
	CU_ASSERT(!member->proven);
	CU_ASSERT(!member_released(member, clock_now(&sim.clock)));
	CU_ASSERT(member->released_at - member->since >= sim.lease);
	sim_run(&sim, MSEC(10000));
	CU_ASSERT(member_released(member, clock_now(&sim.clock)));
	sim_finish(&sim);
}

/*
 * The same host comes back with the same process. It is told that it is gone,
 * takes a new incarnation and is a member again everywhere.
 */
static void test_told_gone(void)
{
	struct sim sim;
	uint64_t before;

	begin(&sim, NODES);
	before = sim.nodes[3].members.self.incarnation;
	sim_cut(&sim, 3, SIM_SIDE_B);
	sim_list(&sim, 3, false);
	sim_run(&sim, MSEC(20000));
	sim_list(&sim, 3, true);
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	CU_ASSERT(sim.nodes[3].members.self.incarnation != before);
	CU_ASSERT_EQUAL(sim.nodes[3].members.self.replaces, before);
	sim_finish(&sim);
}

/*
 * Two halves of the fleet lose each other and the list drops all of them for a
 * while: each half holds the other for gone. After the heal somebody has to
 * ask those that are gone, or the halves would stay apart for good.
 */
static void test_halves_gone(void)
{
	struct sim sim;
	int i;

	begin(&sim, NODES);
	for (i = 0; i < NODES / 2; i++)
		sim_cut(&sim, i, SIM_SIDE_B);
	for (i = 1; i < NODES; i++)
		sim_list(&sim, i, false);
	sim_run(&sim, MSEC(30000));
	for (i = 0; i < NODES; i++)
		sim_list(&sim, i, true);
	sim_run(&sim, MSEC(5000));
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	sim_finish(&sim);
}

/*
 * A process is restarted at the same address at once. The others take the new
 * incarnation as proof that the old one ended; a ping of the old one that was
 * on its way comes late and must not bring it back.
 */
static void test_restart(void)
{
	struct sim sim;
	uint64_t before;

	begin(&sim, NODES);
	before = sim.nodes[3].members.self.incarnation;
	sim_crash(&sim, 3);
	sim.delay = MSEC(300);
	sim_start(&sim, 3);
	sim_run(&sim, MSEC(10000));
	sim.delay = MSEC(3);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	CU_ASSERT(seen_by(&sim, 0, 3)->incarnation != before);
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->replaces, before);
	sim_finish(&sim);
}

/* A ping of an incarnation, as it would have sent it while it lived. */
static void ping_from(struct sim *sim, int to, const struct sim_node *node,
		      uint64_t incarnation)
{
	char address[ADDRESS_TEXT_SIZE];
	uint8_t data[MEMBER_DATAGRAM_MAX];
	Peer__Member record = PEER__MEMBER__INIT;
	Peer__Member *updates = &record;
	Peer__Ping ping = PEER__PING__INIT;
	size_t len;

	address_format(&node->peer_address, address, sizeof(address));
	record.instance = (char *)node->name;
	record.data_centre = (char *)node->data_centre;
	record.peer_address = address;
	record.caller_address = address;
	record.incarnation = incarnation;
	ping.sequence = 1;
	ping.from = (char *)node->name;
	ping.incarnation = incarnation;
	ping.updates = &updates;
	ping.n_updates = 1;
	data[0] = 1;
	len = 1 + peer__ping__pack(&ping, data + 1);
	CU_ASSERT_EQUAL(member_table_receive_datagram(&sim->nodes[to].members,
						      &node->peer_address, data,
						      len),
			0);
}

/*
 * A process has died and all know it. A ping of it, held up on the way, comes
 * now, and once more when its successor has died too: it must not put the dead
 * back into the fleet.
 */
static void test_late_ping(void)
{
	struct sim sim;
	uint64_t before;

	begin(&sim, NODES);
	before = sim.nodes[3].members.self.incarnation;
	sim_crash(&sim, 3);
	sim_run(&sim, MSEC(5000));
	ping_from(&sim, 0, &sim.nodes[3], before);
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->status, MEMBER_GONE);
	sim_start(&sim, 3);
	sim_run(&sim, MSEC(5000));
	sim_crash(&sim, 3);
	sim_run(&sim, MSEC(5000));
	ping_from(&sim, 0, &sim.nodes[3], before);
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->status, MEMBER_GONE);
	sim_finish(&sim);
}

/*
 * The same, when its successor is there already: a late ping must not pass for
 * proof that the successor has ended.
 */
static void test_late_ping_of_predecessor(void)
{
	struct sim sim;
	uint64_t now;

	begin(&sim, NODES);
	now = sim.nodes[3].members.self.incarnation;
	ping_from(&sim, 0, &sim.nodes[3], 12345);
	sim_run(&sim, MSEC(3000));
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->incarnation, now);
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->status, MEMBER_ALIVE);
	sim_finish(&sim);
}

/*
 * An instance is stopped for a second and a half again and again. When it runs
 * it finds its own pings unanswered; it must not take that for the silence of
 * others, who are well.
 */
static void test_slow_does_not_accuse(void)
{
	struct sim sim;
	int accused = 0;
	int round;
	int i;

	begin(&sim, NODES);
	for (round = 0; round < 30; round++) {
		sim_pause(&sim, 3);
		sim_run(&sim, MSEC(1500));
		sim_wake(&sim, 3);
		sim_run(&sim, MSEC(700));
		for (i = 0; i < NODES; i++) {
			if (i != 3)
				accused += count_status(&sim, i,
							MEMBER_SUSPECT) > 0;
		}
	}
	CU_ASSERT_EQUAL(accused, 0);
	sim_finish(&sim);
}

/*
 * An instance announces its stop; all know within seconds, so that callers are
 * given other addresses. Its last word frees its shares without any wait.
 */
static void test_leave(void)
{
	struct sim sim;

	begin(&sim, NODES);
	sim_leave(&sim, 3);
	sim_run(&sim, MSEC(2000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_LEAVING), NODES - 1);
	sim_exit(&sim, 3);
	sim_run(&sim, MSEC(2000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_GONE), NODES - 1);
	CU_ASSERT(seen_by(&sim, 0, 3)->proven);
	sim_finish(&sim);
}

/*
 * The list leaves out half of the instances at each reading, in turn others.
 * They answer, so nobody goes.
 */
static void test_flapping(void)
{
	struct sim sim;
	int i;

	begin(&sim, NODES);
	sim_list_mode(&sim, SIM_LIST_FLAPPING);
	sim_run(&sim, MSEC(120000));
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(count_status(&sim, i, MEMBER_GONE), 0);
	sim_finish(&sim);
}

/*
 * A region is cut off for an hour and heals. Its members were suspected, none
 * is gone, and all are back without new incarnations.
 */
static void test_hour_apart(void)
{
	uint64_t before[NODES];
	struct sim sim;
	int i;

	begin(&sim, NODES);
	for (i = 0; i < NODES; i++) {
		before[i] = sim.nodes[i].members.self.incarnation;
		sim_cut(&sim, i, 1 + i % 2);
	}
	sim_run(&sim, MSEC(3600000));
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].members.self.incarnation,
				before[i]);
	sim_finish(&sim);
}

/* Bytes a second and instance of a fleet at rest. */
static double bytes_at_rest(int n)
{
	struct sim sim;
	uint64_t bytes;

	begin(&sim, n);
	sim_run(&sim, MSEC(60000));
	bytes = sim.datagram_bytes;
	sim_run(&sim, MSEC(60000));
	bytes = sim.datagram_bytes - bytes;
	sim_finish(&sim);
	return (double)bytes / 60 / n;
}

/*
 * The fleet grows tenfold: what an instance sends does not, or the fleet would
 * end where its own heartbeats fill the network.
 */
static void test_cost_is_flat(void)
{
	double small = bytes_at_rest(6);
	double large = bytes_at_rest(60);

	CU_ASSERT(large < small * 1.5);
	CU_ASSERT(large < 1500);
}

/* Anybody can send a datagram; it is refused, whatever is in it. */
static void test_malformed(void)
{
	static const char junk[] = "\x01\xff\xff\xff\xff\xff";
	struct address from = {"127.0.0.1", 9};
	struct sim sim;

	begin(&sim, 2);
	CU_ASSERT_EQUAL(member_table_receive_datagram(&sim.nodes[0].members,
						      &from, junk,
						      sizeof(junk) - 1),
			ERR_FRAME);
	CU_ASSERT_EQUAL(member_table_receive_datagram(&sim.nodes[0].members,
						      &from, "", 0),
			ERR_FRAME);
	CU_ASSERT_EQUAL(member_table_receive_datagram(&sim.nodes[0].members,
						      &from, "\x07", 1),
			ERR_FRAME);
	sim_finish(&sim);
}

static bool all_doubt_dc0(struct sim *sim)
{
	int i;
	int j;

	for (i = 0; i < sim->n; i++) {
		if (sim->nodes[i].paused)
			continue;
		for (j = 0; j < sim->n; j += 4) {
			const struct member *member =
				member_table_find(&sim->nodes[i].members,
						  sim->nodes[j].name);

			if (member && member->status == MEMBER_ALIVE)
				return false;
		}
	}
	return true;
}

/*
 * 40 instances in four data centres, known from seeds. Of ten heartbeats eight
 * would go to other data centres, which costs most. Asked less often there,
 * a whole data centre that falls silent is noticed as soon as before.
 */
static void test_far_asked_less(void)
{
	struct sim sim;
	int64_t took;
	int i;

	sim_init(&sim, 1, 40, 4, 0, 0, 0, &share_settled);
	sim_start_all(&sim);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT(sim_all_agree(&sim));
	for (i = 0; i < sim.n; i++)
		sim.nodes[i].members.seeded = true;
	sim_run(&sim, MSEC(60000));
	sim.datagrams = 0;
	sim.far_datagrams = 0;
	sim_run(&sim, MSEC(60000));
	printf("\nto other data centres: %d of %d datagrams\n",
	       (int)sim.far_datagrams, (int)sim.datagrams);
	CU_ASSERT(sim.far_datagrams < sim.datagrams / 2);
	for (i = 0; i < sim.n; i += 4)
		sim_pause(&sim, i);
	took = sim_run_until(&sim, all_doubt_dc0, MSEC(60000));
	printf("a silent data centre is noticed by all in %d ms\n",
	       (int)(took / 1000));
	CU_ASSERT(took >= 0);
	CU_ASSERT(took <= 10 * sim.probe_period);
	sim_finish(&sim);
}

static bool dc0_knows_the_new_one(struct sim *sim)
{
	int i;

	for (i = 4; i < sim->n; i += 4) {
		const struct member *member =
			member_table_find(&sim->nodes[i].members,
					  sim->nodes[0].members.self.instance);

		if (!member || member->incarnation !=
				       sim->nodes[0].members.self.incarnation)
			return false;
	}
	return true;
}

/*
 * An instance of 80 is killed and starts again. All of its data centre must
 * know the new process soon, which may be a hub. That it joined was told by all
 * to all: most of what 295 instances sent between data centres at a start.
 */
static void test_joins_are_told_near(void)
{
	struct sim sim;
	int64_t took;
	int i;

	sim_init(&sim, 1, 80, 4, 0, 0, 0, &share_settled);
	sim_start_all(&sim);
	sim_run(&sim, MSEC(60000));
	for (i = 0; i < sim.n; i++)
		sim.nodes[i].members.seeded = true;
	sim_run(&sim, MSEC(60000));
	CU_ASSERT(sim_all_agree(&sim));
	sim_crash(&sim, 0);
	sim_run(&sim, MSEC(1000));
	sim_start(&sim, 0);
	sim.nodes[0].members.seeded = true;
	took = sim_run_until(&sim, dc0_knows_the_new_one, MSEC(60000));
	printf("\na new process is known in its data centre after %d ms\n",
	       (int)(took / 1000));
	CU_ASSERT(took >= 0);
	CU_ASSERT(took <= 15 * sim.probe_period);
	/* And everywhere, by lists, without more news. */
	sim_run(&sim, MSEC(180000));
	CU_ASSERT(sim_all_agree(&sim));
	sim_finish(&sim);
}

static const struct unit_test tests[] = {
	{"start", test_start},
	{"crash", test_crash},
	{"silence", test_silence},
	{"far ones asked less", test_far_asked_less},
	{"told that it is gone", test_told_gone},
	{"two halves hold each other for gone", test_halves_gone},
	{"restart", test_restart},
	{"late ping of the dead", test_late_ping},
	{"late ping of a predecessor", test_late_ping_of_predecessor},
	{"a slow instance accuses nobody", test_slow_does_not_accuse},
	{"graceful stop", test_leave},
	{"list flaps", test_flapping},
	{"an hour apart", test_hour_apart},
	{"cost is flat", test_cost_is_flat},
	{"malformed datagrams", test_malformed},
	{"joins are told near", test_joins_are_told_near},
};

UNIT_MAIN("member", tests)
