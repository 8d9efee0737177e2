"""Tests bench/experiment.py with stand-in servers and direct load."""

import pathlib
import socket
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "bench"))

import experiment  # noqa: E402

BUILD = None
SEARCHES = [
    {"service": "fanout"},
    {"service": "fanout", "mode": "count"},
    {"service": "fanout", "where": {"urgency": "leak"}, "limit": 5},
]


class Direct(unittest.TestCase):
    def setUp(self):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        self.bench = experiment.Bench("test", BUILD, out.name)
        self.addCleanup(self.bench.finish)

    def deployment(self, *options):
        return self.bench.deployment("--fanout", 6, "--replicas", 2,
                                     "--service-us", 0, "--connect-cost-us",
                                     0, *options, processes=2)

    def load(self, deployment, *options):
        queries = deployment.write_queries("queries.jsonl", SEARCHES)
        return self.bench.load(deployment.addresses(), "--direct", "--queries",
                               queries, "--rate", "100", "--seconds", "0.3",
                               "--connections", "4", *options)

    def test_all_shards_are_found(self):
        deployment = self.deployment()
        self.assertEqual(len(deployment.ports), 12)
        self.assertEqual(len(deployment.table["servers"]["rows"]), 12)
        out = self.load(deployment)
        self.assertEqual(out["outcomes"], {"done": out["sent"]})
        self.assertEqual((out["wrong"], out["coverage"]["min"]), (0, 1), out)
        self.assertEqual(out["work"]["requests"], 6 * out["sent"])
        self.assertEqual(deployment.total("received", "search"),
                         6 * out["sent"])

    def test_a_shard_that_answers_nothing_is_not_covered(self):
        """A server that sheds every request leaves its shard uncovered.

        The answers must report the missing shard, and their counts must not
        exceed the correct ones.
        """
        deployment = self.deployment("--replicas", 1)
        deployment.control(fault="shed", server="fanout-1", ratio=1)
        out = self.load(deployment)
        self.assertEqual(out["outcomes"], {"done": out["sent"]})
        self.assertEqual(out["wrong"], 0)
        self.assertEqual(out["coverage"]["insufficient"], out["sent"])
        self.assertLess(out["coverage"]["mean"], 1)

    def test_processor_time_is_read(self):
        deployment = self.deployment()
        with experiment.CpuMeter(*deployment.backends) as meter:
            self.load(deployment)
        self.assertGreaterEqual(meter.total(), 0)
        self.assertGreater(deployment.backends[0].rss_bytes(), 0)


class Ports(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        """Two instances must not be given the same port.

        The second is given its port before the first one listens. With the
        same port it fails to start, and the test waits until its timeout.
        """
        ports = [experiment.free_ports(1)[0] for _ in range(2000)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_no_port_of_the_ephemeral_range(self):
        """An ephemeral port can be taken before the instance binds it.

        The kernel may give a port that was free when it was chosen to another
        process's connection. The instance then exits: address in use.
        """
        first, _ = experiment.ephemeral_ports()
        ports = experiment.free_ports(50)
        self.assertEqual(len(set(ports)), 50)
        self.assertLess(max(ports), first)


    def test_no_port_in_use_at_another_address(self):
        """A port in use at any loopback address must not count as free.

        Instances listen at several loopback addresses. A port in use at one
        of them looked free at another, and an instance of a concurrent test
        exited with status 1 before it was ready.
        """
        with socket.socket() as sock:
            sock.bind(("127.0.0.10", 0))
            self.assertFalse(experiment.is_free(sock.getsockname()[1]))


class Names(unittest.TestCase):
    def test_every_experiment_can_be_read(self):
        for name in experiment.experiment_names():
            module = experiment.load_experiment(name.replace("-", "_"))
            self.assertTrue(module.TITLE)
            self.assertTrue(callable(module.run))


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1)).resolve().parent.parent
    unittest.main(verbosity=2)
