"""Backend servers that are slow: what they must not cost callers.

usage: test_slow_servers.py BUILD [--seeds FIRST-LAST] [unittest options]

Delays are drawn from the seed and the name of the case. CI plays the default
seeds; more are played by hand.
"""

import argparse
import json
import pathlib
import random
import sys
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import experiment  # noqa: E402
import test_bad_input as bad_input  # noqa: E402
from fake_server import FakeServer  # noqa: E402

DEFAULT_SEEDS = (9,)
SEEDS = DEFAULT_SEEDS
SERVICE = bad_input.SERVICE

HOLDINGS_DELAY_MAX_S = 0.12
SEARCH_DELAYS_S = (0, 0.02, 0.7)
# Longer ones are upper limits.
FIXED_DELAY_MAX_S = 0.1
SEARCH_DEADLINE_MS = 600

LONGER_THAN_DEADLINE_S = 0.7
SLOW_SEARCH_S = 0.25
SEARCHES_WITHOUT_SERVERS = 400
SUSPECTS = 2
SEARCHES_IN_A_ROW = 3
CANARIES = 4
CALLERS = 4
INSTANCES = 3
CALLER_GAP_S = 0.03


class Delays:
    """Delays of one server in one case, the same for the same seed."""

    def __init__(self, seed, case):
        self.random = random.Random(f"{seed}/{case}")
        self.lock = threading.Lock()

    def sleep_before_holdings(self):
        with self.lock:
            slow = self.random.random() < 0.5
            delay = self.random.uniform(0, HOLDINGS_DELAY_MAX_S)
        if slow:
            time.sleep(delay)

    def sleep_before_search(self):
        with self.lock:
            most = self.random.choice(SEARCH_DELAYS_S)
            delay = most
            if most > FIXED_DELAY_MAX_S:
                delay = self.random.uniform(0, most)
        time.sleep(delay)

    def wrap_holdings(self, server, body):
        self.sleep_before_holdings()
        return FakeServer.valid_holdings(server, body)

    def wrap_search(self, search):
        def delayed(server, body):
            self.sleep_before_search()
            return search(server, body)

        return delayed


def new_searches(per_seed):
    """Searches that no server has seen before."""
    for seed in SEEDS:
        for i in range(per_seed):
            yield {
                "service": SERVICE,
                "where": {"n": 1000 * seed + i},
                "deadline_ms": SEARCH_DEADLINE_MS,
            }


def too_slow(server, body):
    """Answer a search after the deadline of its caller."""
    time.sleep(LONGER_THAN_DEADLINE_S)
    return server.valid_search(body)


def slow(server, body):
    """Answer a search well before the deadline of its caller."""
    time.sleep(SLOW_SEARCH_S)
    return server.valid_search(body)


class SlowServers(bad_input.InstanceTest):
    def start_halves(self, **options):
        """Start a server for each half of the data, and an instance."""
        bad = self.server("b1", shard_indexes=[0])
        good = self.server("b2", shard_indexes=[1])
        instance = self.start(bad, good, **options)
        self.wait_full_coverage(instance)
        return bad, good, instance

    def check_other_half(self, status, answer):
        """Check that the answer has the half of b2, and lists that of b1."""
        self.assertEqual(status, 200, answer)
        self.assertEqual(answer["count"], 1, answer)
        self.assertEqual(answer["coverage"]["covered"], 10, answer)
        missing = answer["coverage"]["missing"]
        self.assertEqual([m["lo"] for m in missing], [0])
        self.assertTrue(missing[0]["reason"])

    def play_slow_wrong_answers(self, seed):
        bad, _, instance = self.start_halves()
        for name, search in bad_input.WRONG_ANSWERS.items():
            with self.subTest(name, seed=seed):
                delays = Delays(seed, name)
                bad.close_after = name in bad_input.ENDED_BY_CLOSE
                bad.holdings = delays.wrap_holdings
                bad.search = delays.wrap_search(search)
                self.check_other_half(*instance.search(
                    {"service": SERVICE, "deadline_ms": SEARCH_DEADLINE_MS}
                ))
            bad.holdings = FakeServer.valid_holdings
            bad.search = FakeServer.valid_search
            bad.close_after = False

    def test_slow_is_not_crashed(self):
        """Guards against a slow server being taken for a crashed one, which
        costs callers the half of the data that is whole."""
        for seed in SEEDS:
            self.play_slow_wrong_answers(seed)

    def crash_on(self, bad, instance, search):
        """Let b1 crash by a search, so that this becomes a suspect, and
        restart it."""

        def crash(server, _):
            server.close()

        bad.search = crash
        self.check_other_half(*instance.search(search))
        bad.search = FakeServer.valid_search
        bad.listen()
        self.wait_full_coverage(instance)

    def test_full_accept_queue_is_not_crashed(self):
        """Guards against a server that accepts no connection for a moment
        being held for crashed."""
        bad = self.server("b1", shard_indexes=[0], backlog=1)
        good = self.server("b2", shard_indexes=[1])
        instance = self.start(bad, good)
        self.wait_full_coverage(instance)
        filling = []

        def close_all(server, _):
            filling.extend(server.fill_accept_queue())
            server.close_connections()

        bad.search = close_all
        self.check_other_half(*instance.search(
            {"service": SERVICE, "deadline_ms": SEARCH_DEADLINE_MS}))
        bad.may_accept.set()
        for sock in filling:
            sock.close()
        self.assertNotIn("fingerprint_changed",
                         instance.log_path.read_text())

    def test_suspect_keeps_the_other_half(self):
        """Guards against a suspect that gets nothing, since the server that it
        is tried on first does not answer."""
        bad, _, instance = self.start_halves()
        for search in new_searches(SUSPECTS):
            self.crash_on(bad, instance, search)
            bad.search = too_slow
            for again in range(SEARCHES_IN_A_ROW):
                with self.subTest(search["where"], again=again):
                    self.check_other_half(*instance.search(search))
            bad.search = FakeServer.valid_search

    def test_canary_keeps_the_other_half(self):
        """Guards against a new search that gets nothing, since the server that
        it runs on first does not answer."""
        bad, _, instance = self.start_halves(canary="on")
        bad.search = too_slow
        for search in new_searches(CANARIES):
            with self.subTest(search["where"]):
                self.check_other_half(*instance.search(search))

    def name_replica_sets(self, *servers):
        """Publish a table in which each server is a replica set of its own, so
        that an answer of one does not clear what crashed another."""
        table = bad_input.table(servers)
        table["servers"]["columns"].append("replica_set")
        for row in table["servers"]["rows"]:
            row.append(f"set-{row[0]}")
        self.platform.publish(table)

    def test_suspect_of_many_callers_keeps_the_other_half(self):
        """Guards against callers of one suspect search keeping each other from
        the half that is whole."""
        bad, good, instance = self.start_halves()
        self.name_replica_sets(bad, good)
        self.wait_full_coverage(instance)
        for search in new_searches(SUSPECTS):
            self.crash_on(bad, instance, search)
            bad.search = too_slow
            with self.subTest(search["where"]):
                for status, answer in self.search_at_once(
                        [instance] * CALLERS, search):
                    self.check_other_half(status, answer)
            bad.search = FakeServer.valid_search

    def test_service_without_servers_is_not_overloaded(self):
        """Guards against callers being refused for overload when the servers
        of a service come, as searches had failed without them."""
        instance = self.start()
        for _ in range(SEARCHES_WITHOUT_SERVERS):
            self.assertNotEqual(self.count(instance)[0], 200)
        servers = [self.server("b1", shard_indexes=[0]),
                   self.server("b2", shard_indexes=[1])]
        self.platform.publish(bad_input.table(servers))
        self.wait_full_coverage(instance)
        for server in servers:
            server.search = slow
        for status, answer in self.search_at_once(
                [instance] * CALLERS,
                {"service": SERVICE, "deadline_ms": SEARCH_DEADLINE_MS}):
            self.assertEqual(status, 200, answer)

    def search_at_once(self, instances, search):
        """Send a search to each of the instances, from a caller each, several
        times in a row; returns all answers."""
        answers = []

        def call(instance, delay):
            time.sleep(delay)
            for _ in range(SEARCHES_IN_A_ROW):
                answers.append(instance.search(search))

        callers = [
            threading.Thread(target=call, args=(instance, i * CALLER_GAP_S))
            for i, instance in enumerate(instances)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return answers

    def run_request(self, instance, payload):
        """Send a request that must not be repeated, under a new ticket."""
        ticket = experiment.request_json(
            instance.port, "POST", "/v1/tickets", {"service": SERVICE}
        )["ticket"]
        status, _, text = experiment.request(
            instance.port, "POST", "/v1/run",
            json.dumps({"ticket": ticket, "service": SERVICE, "key": "k",
                        "payload": payload,
                        "deadline_ms": SEARCH_DEADLINE_MS}),
        )
        return status, json.loads(text)

    def play_slow_replicas(self, seed, canary):
        """Let both replicas be slow and close connections; returns the
        errors of all answers, and the logs."""
        servers = [self.server("b1"), self.server("b2")]
        instances = self.start(*servers, n=INSTANCES, canary=canary)
        for instance in instances:
            self.wait_full_coverage(instance)
        for server in servers:
            delays = Delays(seed, f"{server.name}/{canary}")
            server.holdings = delays.wrap_holdings
            server.search = delays.wrap_search(lambda _server, _body: None)
            server.run = server.search
        errors = set()
        for number in range(SEARCHES_IN_A_ROW):
            payload = {"n": number % 2}
            answers = self.search_at_once(instances, {
                "service": SERVICE, "where": payload,
                "deadline_ms": SEARCH_DEADLINE_MS})
            answers += [self.run_request(i, payload) for i in instances]
            errors.update(a.get("error") for _, a in answers)
        return errors, [i.log_path.read_text() for i in instances]

    def test_slow_replicas_ban_nobody(self):
        """Guards against an innocent request that is refused on all instances,
        since all servers that it ran on were slow."""
        for seed in SEEDS:
            for canary in "off", "on":
                with self.subTest(seed=seed, canary=canary):
                    errors, logs = self.play_slow_replicas(seed, canary)
                    self.assertNotIn("banned", errors)
                    self.assertNotIn("no_slot", errors)
                    for log in logs:
                        self.assertNotIn("fingerprint_changed", log)
                self.doCleanups()
                self.setUp()


def main():
    global SEEDS
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seeds", help="FIRST-LAST")
    options, rest = parser.parse_known_args()
    if options.seeds:
        first, _, last = options.seeds.partition("-")
        SEEDS = range(int(first), int(last or first) + 1)
    bad_input.BUILD = options.build
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)


if __name__ == "__main__":
    main()
