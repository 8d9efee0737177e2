#include <stdio.h>
#include <string.h>

#include "error.h"
#include "member_sim.h"
#include "peer.pb-c.h"
#include "unit.h"

#define NODES 8
#define SETTLE MSEC(60000)

static void start_fleet(struct sim *sim, int n)
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
 * All instances start together. Each learns of all others from the list and
 * from peers, and none is suspected although 1% of the datagrams are lost.
 */
static void test_start(void)
{
	struct sim sim;
	int i;

	start_fleet(&sim, 40);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT(sim_all_agree(&sim));
	for (i = 0; i < sim.n; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].members.present, 39);
	sim_finish(&sim);
}

/*
 * A process crashes. The next member that pings it gets its connection refused,
 * and within seconds all consider it gone, although it is still listed.
 */
static void test_crash(void)
{
	struct sim sim;

	start_fleet(&sim, NODES);
	sim_crash(&sim, 3);
	sim_run(&sim, MSEC(5000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_GONE), NODES - 1);
	CU_ASSERT(seen_by(&sim, 0, 3)->proven);
	CU_ASSERT(member_released(seen_by(&sim, 0, 3), clock_now(&sim.clock)));
	sim_finish(&sim);
}

/*
 * A host is unreachable, and connections to it aren't refused. While the list
 * has it, it is suspected and remains a member. Its shares are free only after
 * the list has dropped it, the others have learned of it, and its lease has
 * expired.
 */
static void test_silence(void)
{
	const struct member *member;
	struct sim sim;

	start_fleet(&sim, NODES);
	sim_set_side(&sim, 3, SIM_SIDE_B);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT_EQUAL(count_status(&sim, 3, MEMBER_SUSPECT), NODES - 1);
	sim_set_listed(&sim, 3, false);
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
 * A host that was considered gone becomes reachable again with the same
 * process. It is told so, takes a new incarnation, and is a member again on all
 * instances.
 */
static void test_told_gone(void)
{
	struct sim sim;
	uint64_t before;

	start_fleet(&sim, NODES);
	before = sim.nodes[3].members.self.incarnation;
	sim_set_side(&sim, 3, SIM_SIDE_B);
	sim_set_listed(&sim, 3, false);
	sim_run(&sim, MSEC(20000));
	sim_set_listed(&sim, 3, true);
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	CU_ASSERT(sim.nodes[3].members.self.incarnation != before);
	CU_ASSERT_EQUAL(sim.nodes[3].members.self.replaces, before);
	sim_finish(&sim);
}

/*
 * During a network partition the list has almost no instances for a while, so
 * that each half of the fleet considers the other one gone. Unless gone members
 * are pinged as well, the halves stay separate for ever after it has healed.
 */
static void test_halves_gone(void)
{
	struct sim sim;
	int i;

	start_fleet(&sim, NODES);
	for (i = 0; i < NODES / 2; i++)
		sim_set_side(&sim, i, SIM_SIDE_B);
	for (i = 1; i < NODES; i++)
		sim_set_listed(&sim, i, false);
	sim_run(&sim, MSEC(30000));
	for (i = 0; i < NODES; i++)
		sim_set_listed(&sim, i, true);
	sim_run(&sim, MSEC(5000));
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	sim_finish(&sim);
}

/*
 * A process is restarted at the same address at once. Its new incarnation
 * proves to the others that the old one has ended. A delayed ping of the old
 * one must not make it a member again.
 */
static void test_restart(void)
{
	struct sim sim;
	uint64_t before;

	start_fleet(&sim, NODES);
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

/* Delivers a ping of @incarnation, as its process would have sent it. */
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
 * A ping arrives after all know that its sender has ended, and again after the
 * sender's successor has ended too. It must not make either a member again.
 */
static void test_late_ping(void)
{
	struct sim sim;
	uint64_t before;

	start_fleet(&sim, NODES);
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
 * A ping of a process arrives while its successor is running. It must not be
 * taken as proof that the successor has ended.
 */
static void test_late_ping_of_predecessor(void)
{
	struct sim sim;
	uint64_t now;

	start_fleet(&sim, NODES);
	now = sim.nodes[3].members.self.incarnation;
	ping_from(&sim, 0, &sim.nodes[3], 12345);
	sim_run(&sim, MSEC(3000));
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->incarnation, now);
	CU_ASSERT_EQUAL(seen_by(&sim, 0, 3)->status, MEMBER_ALIVE);
	sim_finish(&sim);
}

/*
 * An instance is suspended for 1.5 s repeatedly. When it resumes, its pings
 * have timed out, but it must not suspect the other members for that.
 */
static void test_suspended_does_not_suspect(void)
{
	struct sim sim;
	int suspected = 0;
	int round;
	int i;

	start_fleet(&sim, NODES);
	for (round = 0; round < 30; round++) {
		sim_pause(&sim, 3);
		sim_run(&sim, MSEC(1500));
		sim_resume(&sim, 3);
		sim_run(&sim, MSEC(700));
		for (i = 0; i < NODES; i++) {
			if (i != 3)
				suspected += count_status(&sim, i,
							  MEMBER_SUSPECT) > 0;
		}
	}
	CU_ASSERT_EQUAL(suspected, 0);
	sim_finish(&sim);
}

/*
 * An instance announces its stop. All others learn of it within seconds, so
 * that callers get other addresses. Its last message frees its shares at once.
 */
static void test_leave(void)
{
	struct sim sim;

	start_fleet(&sim, NODES);
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
 * Each time the list is read, it lacks another half of the instances. They keep
 * answering, so none of them is removed.
 */
static void test_flapping(void)
{
	struct sim sim;
	int i;

	start_fleet(&sim, NODES);
	sim_list_mode(&sim, SIM_LIST_FLAPPING);
	sim_run(&sim, MSEC(120000));
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(count_status(&sim, i, MEMBER_GONE), 0);
	sim_finish(&sim);
}

/*
 * A network partition lasts an hour and heals. Members were suspected, but none
 * was considered gone, so all keep their incarnations.
 */
static void test_hour_of_partition(void)
{
	uint64_t before[NODES];
	struct sim sim;
	int i;

	start_fleet(&sim, NODES);
	for (i = 0; i < NODES; i++) {
		before[i] = sim.nodes[i].members.self.incarnation;
		sim_set_side(&sim, i, 1 + i % 2);
	}
	sim_run(&sim, MSEC(3600000));
	sim_heal(&sim);
	CU_ASSERT(sim_run_until(&sim, sim_all_agree, SETTLE) >= 0);
	for (i = 0; i < NODES; i++)
		CU_ASSERT_EQUAL(sim.nodes[i].members.self.incarnation,
				before[i]);
	sim_finish(&sim);
}

/* Bytes per second and instance that an idle fleet sends. */
static double idle_bytes_per_second(int n)
{
	struct sim sim;
	uint64_t bytes;

	start_fleet(&sim, n);
	sim_run(&sim, MSEC(60000));
	bytes = sim.datagram_bytes;
	sim_run(&sim, MSEC(60000));
	bytes = sim.datagram_bytes - bytes;
	sim_finish(&sim);
	return (double)bytes / 60 / n;
}

/*
 * The traffic of an instance must not grow with the fleet, here tenfold,
 * because heartbeats would then limit the size of the fleet.
 */
static void test_traffic_is_constant(void)
{
	double small = idle_bytes_per_second(6);
	double large = idle_bytes_per_second(60);

	CU_ASSERT(large < small * 1.5);
	CU_ASSERT(large < 1500);
}

/* Anyone can send a datagram, so malformed ones must be rejected. */
static void test_malformed(void)
{
	static const char junk[] = "\x01\xff\xff\xff\xff\xff";
	struct address from = {"127.0.0.1", 9};
	struct sim sim;

	start_fleet(&sim, 2);
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

static bool is_dc0_suspected_by_all(struct sim *sim)
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
 * 40 instances with seeds in four data centres. Without a limit, eight of ten
 * heartbeats go to other data centres, where traffic costs most. With fewer of
 * them, an unreachable data centre must be noticed as soon as before.
 */
static void test_remote_pinged_less(void)
{
	struct sim sim;
	int64_t elapsed;
	int i;

	sim_init(&sim, 1, 40, 4, 0, 0, 0, &share_settled);
	sim_start_all(&sim);
	sim_run(&sim, MSEC(60000));
	CU_ASSERT(sim_all_agree(&sim));
	for (i = 0; i < sim.n; i++)
		sim.nodes[i].members.seeded = true;
	sim_run(&sim, MSEC(60000));
	sim.datagrams = 0;
	sim.cross_dc_datagrams = 0;
	sim_run(&sim, MSEC(60000));
	printf("\nto other data centres: %d of %d datagrams\n",
	       (int)sim.cross_dc_datagrams, (int)sim.datagrams);
	CU_ASSERT(sim.cross_dc_datagrams < sim.datagrams / 2);
	for (i = 0; i < sim.n; i += 4)
		sim_pause(&sim, i);
	elapsed = sim_run_until(&sim, is_dc0_suspected_by_all, MSEC(60000));
	printf("a silent data centre is noticed by all in %d ms\n",
	       (int)(elapsed / 1000));
	CU_ASSERT(elapsed >= 0);
	CU_ASSERT(elapsed <= 10 * sim.probe_period);
	sim_finish(&sim);
}

static bool is_restart_known_in_dc0(struct sim *sim)
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
 * One of 80 instances is killed and restarted. Its data centre must learn of
 * the new process soon, as it may be a hub. Records of instances that joined
 * were sent by everyone to everyone, which was most of the traffic between data
 * centres when 295 instances started.
 */
static void test_joins_are_sent_locally(void)
{
	struct sim sim;
	int64_t elapsed;
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
	elapsed = sim_run_until(&sim, is_restart_known_in_dc0, MSEC(60000));
	printf("\na new process is known in its data centre after %d ms\n",
	       (int)(elapsed / 1000));
	CU_ASSERT(elapsed >= 0);
	CU_ASSERT(elapsed <= 15 * sim.probe_period);
	/* The others learn of it from lists of all members. */
	sim_run(&sim, MSEC(180000));
	CU_ASSERT(sim_all_agree(&sim));
	sim_finish(&sim);
}

static const struct unit_test tests[] = {
	{"start", test_start},
	{"crash", test_crash},
	{"silence", test_silence},
	{"remote members pinged less", test_remote_pinged_less},
	{"told that it is gone", test_told_gone},
	{"two halves consider each other gone", test_halves_gone},
	{"restart", test_restart},
	{"late ping of an ended process", test_late_ping},
	{"late ping of a predecessor", test_late_ping_of_predecessor},
	{"suspended instance suspects none", test_suspended_does_not_suspect},
	{"graceful stop", test_leave},
	{"list flaps", test_flapping},
	{"partition of an hour", test_hour_of_partition},
	{"traffic is constant", test_traffic_is_constant},
	{"malformed datagrams", test_malformed},
	{"joins are sent locally", test_joins_are_sent_locally},
};

UNIT_MAIN("member", tests)
