"""Searches while servers restart, switch versions and repartition.

Runs instances against simulated backend servers. Each answer is compared with
an independent scan of the data files, for the snapshot that it names and the
shards that it covers.
"""

import itertools
import json
import pathlib
import sys
import tempfile
import threading
import unittest

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "bench"))

import demo  # noqa: E402
import experiment  # noqa: E402
import scan  # noqa: E402

BUILD = None
SERVICE = "fanout"
SHARDS = 8
SERVERS = 2 * SHARDS
QUERIES = 200
SEARCH_THREADS = 6
LIMIT = 5
FILTERS = [{}, {"urgency": "leak"}, {"market": "belgium", "state": "open"}]
REFUSALS = {"not_run", "too_late", "unknown"}


class ExpectedAnswers:
    """Expected answers, from scans that are cached as searches repeat."""

    def __init__(self, directory):
        self.data = scan.Data(directory, SERVICE)
        self.scans = {}
        self.lock = threading.Lock()

    def scan(self, version, where, ranges):
        key = json.dumps([version, where, ranges])
        with self.lock:
            if key not in self.scans:
                self.scans[key] = self.data.scan(version, where, LIMIT, ranges)
            return self.scans[key]


class Snapshots(unittest.TestCase):
    def setUp(self):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        self.bench = experiment.Bench("snapshots", BUILD, out.name)
        self.addCleanup(self.bench.finish)
        platform = self.bench.platform()
        self.deployment = self.bench.deployment(
            "--fanout", SHARDS, "--replicas", 2, "--data-centres", 2,
            "--deadline-ms", 2000, "--mode", "coverage",
            "--connect-cost-us", 0, "--service-us", 500,
            "--tunable", "address_lifetime_ms=100",
            "--tunable", "holdings_poll_ms=50",
        )
        platform.publish(self.deployment.table)
        self.expected_answers = ExpectedAnswers(self.deployment.directory)
        self.instances = self.bench.instances(
            platform, [("i1", "be1"), ("i2", "be2")]
        )
        for instance in self.instances:
            self.addCleanup(self.check_stop, instance)
        self.wait_full_coverage(1)

    def check_stop(self, instance):
        status = instance.stop()
        log = instance.log_path.read_text()
        self.assertEqual(status, 0, log[-4000:])
        for report in ("Sanitizer", "runtime error"):
            self.assertNotIn(report, log)

    def search(self, instance, number):
        where = FILTERS[number % len(FILTERS)]
        status, answer = instance.search(
            {"service": SERVICE, "where": where, "limit": LIMIT}
        )
        return status, answer, where

    def wait_full_coverage(self, version):
        """Wait until each instance fully covers a version or a newer one."""

        def has_full_coverage(instance):
            status, answer, _ = self.search(instance, 0)
            return (status == 200 and answer["coverage"]["ratio"] == 1
                    and answer["snapshot"] >= version)

        for instance in self.instances:
            experiment.wait_until(
                f"full coverage of version {version}",
                lambda: has_full_coverage(instance),
            )

    def check_answer(self, status, answer, where):
        """Compare an answer with scans; return its snapshot or None."""
        if status != 200:
            self.assertIn(answer["outcome"], REFUSALS, answer)
            return None
        coverage = answer["coverage"]
        missing = [(m["lo"], m["hi"]) for m in coverage["missing"]]
        expected = self.expected_answers.scan(answer["snapshot"], where,
                                              demo.covered_ranges(missing))
        full = self.expected_answers.scan(answer["snapshot"], where, None)
        self.assertEqual(answer["count"], expected["count"], answer)
        self.assertEqual(answer["records"], expected["records"], answer)
        self.assertEqual(coverage["covered"], expected["total"], answer)
        self.assertEqual(coverage["total"], full["total"], answer)
        return answer["snapshot"]

    def run_queries(self, change):
        """Search from several threads until change() has returned and at least
        QUERIES searches were sent. Return the snapshots of the answers."""
        numbers = itertools.count()
        changed = threading.Event()
        outcomes = []
        failures = []

        def run_searches():
            try:
                while True:
                    number = next(numbers)
                    if number >= QUERIES and changed.is_set():
                        return
                    instance = self.instances[number % 2]
                    outcomes.append(
                        self.check_answer(*self.search(instance, number))
                    )
            except Exception as failure:  # pylint: disable=broad-except
                failures.append(failure)

        threads = [threading.Thread(target=run_searches)
                   for _ in range(SEARCH_THREADS)]
        for thread in threads:
            thread.start()
        try:
            change()
        finally:
            changed.set()
            for thread in threads:
                thread.join()
        if failures:
            raise failures[0]
        answered = [s for s in outcomes if s is not None]
        self.assertGreaterEqual(len(outcomes), QUERIES)
        self.assertGreater(len(answered), len(outcomes) // 2)
        return set(answered)

    def servers(self):
        return [f"{SERVICE}-{i + 1}" for i in range(SERVERS)]

    def command(self, server, **command):
        self.assertEqual(self.deployment.control(server=server, **command), 1)

    def switch_version(self, version, **options):
        """Switch servers one after the other, then wait for the instances."""
        for server in self.servers():
            self.wait_for_searches()
            self.command(server, fault="version", version=version, **options)
        self.wait_full_coverage(version)
        self.wait_for_searches(4 * SERVERS)

    def wait_for_searches(self, queries=5):
        """Wait until the servers have received more searches."""
        done = self.deployment.total("received", "search") + queries
        experiment.wait_until(
            "more searches",
            lambda: self.deployment.total("received", "search") >= done,
        )

    def test_servers_restart_between_requests(self):
        """Guards against wrong answers after a server restarts: its home
        instance still has old connections and may send on them just when they
        close. Less coverage or a retry is allowed."""

        def change():
            for server in self.servers():
                self.command(server, fault="crash", restart_ms=30)
                self.wait_for_searches()

        self.assertEqual(self.run_queries(change), {1})
        self.wait_full_coverage(1)

    def test_connections_are_reset_between_requests(self):
        """Guards against wrong answers when the network repeatedly resets all
        connections between a home instance and its servers, also in the middle
        of answers."""

        def change():
            for _ in range(2):
                for server in self.servers():
                    self.command(server, fault="reset")
                    self.wait_for_searches()

        self.assertEqual(self.run_queries(change), {1})
        self.wait_full_coverage(1)

    def test_version_switch(self):
        """Guards against wrong answers when servers switch to the next snapshot
        one by one and drop the old one at once, in the middle of searches of
        it."""

        def change():
            for version in (2, 3):
                self.switch_version(version, shards=SHARDS)

        self.assertEqual(self.run_queries(change), {1, 2, 3})

    def test_repartition(self):
        """Guards against counting a record in both an old and a new shard:
        servers switch one by one to a snapshot with other shards, and keep the
        old one for a short time."""

        def change():
            for version, shards in ((2, 3 * SHARDS), (3, SHARDS // 2 + 1),
                                    (4, SHARDS)):
                self.switch_version(version, shards=shards, keep_ms=50)

        self.assertEqual(self.run_queries(change), {1, 2, 3, 4})

    def test_answers_of_another_version_or_request(self):
        """Guards against accepting answers of a version that was not requested,
        of another request, or that are truncated."""

        def change():
            for fault in ("wrong_version", "foreign", "truncate"):
                for server in self.servers()[::3]:
                    self.command(server, fault=fault, probability=0.3)
                    self.wait_for_searches()
            for fault in ("wrong_version", "foreign", "truncate"):
                for server in self.servers()[::3]:
                    self.command(server, fault=fault, probability=0)

        self.assertEqual(self.run_queries(change), {1})
        self.wait_full_coverage(1)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
