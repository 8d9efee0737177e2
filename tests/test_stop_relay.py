"""Stops of an instance that relays parts of sharded requests for another.

usage: test_stop_relay.py BUILD [unittest options]
"""

import pathlib
import sys
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import OpaqueServer, route  # noqa: E402

SHARDS = ["s0", "s1", "s2", "s3"]
SLOTS = 2  # of each server
# A relay has as many requests at a server as it has slots, and one in transfer.
AT_WORK = SLOTS + 1
N_CALLS = AT_WORK + 2
# Time for a relay that thinks itself idle to end; stop_max_s 8 leaves 1 s.
AT_WORK_AFTER_CLOSE_S = 0.3
# From SIGTERM to the arrival of the news at the entry.
NEWS_MAX_S = 1.5


class Call(threading.Thread):
    """Sends one request on a connection of its own."""

    def __init__(self, gateway, number):
        super().__init__(daemon=True)
        self.caller = test_gateway.Caller(gateway)
        self.number = number
        self.answer = None

    def run(self):
        self.answer = self.caller.request("/shards/q",
                                          request_id=f"call-{self.number}")
        self.caller.close()


class StopRelay(test_gateway.GatewayTest):
    def start_shards(self, repeat, **settings):
        """Start servers of four shards in the data centre of the relay."""
        for i, shard in enumerate(SHARDS):
            server = self.server(f"{shard}-{i}", shard, data_centre="dc-1")
            server.respond = OpaqueServer.send_records
        self.publish(routes=[route(
            "/shards/", shards=SHARDS, records_max=3, coverage_min=0.75,
            repeat=repeat, timeout_ms=8000, goal_ms=7000)])
        seed = f"127.0.0.10:{self.peer_port}"
        entry = self.ready_gateway(seeds=[seed], **settings)
        relay = self.ready_gateway(seeds=[seed], data_centre="dc-1",
                                   **settings)
        caller = self.caller(entry)
        self.wait("request relayed", lambda: caller.request(
            "/shards/w").status == 200 and self.metric(entry, "relay_jobs"))
        return entry, relay

    def hold(self, server):
        """Let requests to a server wait for the returned event."""
        release = threading.Event()

        def respond(server, request):
            release.wait(test_gateway.WAIT_MAX_S)
            return server.send_records(request)

        server.respond = respond
        return release

    @staticmethod
    def listens(gateway):
        try:
            test_gateway.Caller(gateway).close()
        except ConnectionRefusedError:
            return False
        return True

    def failures(self, gateway):
        return [line for line in gateway.log()
                if line["event"] == "send_failed"
                and line["request"].startswith("call-")]

    def test_parts_that_wait_at_a_relay(self):
        """Guards against parts lost with a relay in whose queue they wait: a
        request that must not be repeated gets them all."""
        entry, relay = self.start_shards(
            "once", load_control=["turns"])
        release = self.hold(self.servers[-1])
        seen = len(self.servers[-1].seen)
        calls = [Call(entry, i) for i in range(N_CALLS)]
        for call in calls:
            call.start()
        self.wait("server full", lambda: len(self.servers[-1].seen)
                  == seen + AT_WORK)
        time.sleep(0.2)
        self.assertEqual(relay.stop(), 0)
        self.wait("news", lambda: len(self.failures(entry)) == N_CALLS)
        release.set()
        for call in calls:
            call.join()
        errors = [(line["error"], line["not_run"])
                  for line in self.failures(entry)]
        whole = [call for call in calls
                 if call.answer and call.answer.status == 200
                 and call.answer.headers["x-missing-parts"] == "0"]
        self.assertEqual(errors.count(("budget", 1)), N_CALLS - AT_WORK)
        self.assertEqual(errors.count(("leaving", 0)), AT_WORK)
        self.assertEqual(len(whole), N_CALLS - AT_WORK)

    def test_part_at_work_when_its_relay_stops(self):
        """Guards against a relay that has no callers and ends before the
        servers have answered what it sent for others."""
        entry, relay = self.start_shards("once", stop_max_s=8)
        release = self.hold(self.servers[-1])
        seen = len(self.servers[-1].seen)
        call = Call(entry, 0)
        call.start()
        self.wait("at work", lambda: len(self.servers[-1].seen) > seen)
        relay.process.terminate()
        self.wait("listening socket closed", lambda: not self.listens(relay))
        time.sleep(AT_WORK_AFTER_CLOSE_S)
        release.set()
        call.join()
        self.assertEqual(call.answer.status, 200)
        self.assertEqual(call.answer.headers["x-missing-parts"], "0")
        self.assertEqual(relay.process.wait(test_gateway.WAIT_MAX_S), 0)

    def test_leaving_relay_is_not_chosen(self):
        """Guards against new parts for a relay that leaves."""
        entry, relay = self.start_shards("any", stop_max_s=6)
        caller = self.caller(entry)
        kept = self.caller(relay)
        kept.send(b"GET ")
        relay.process.terminate()
        start = time.monotonic()
        last = start
        before = self.metric(entry, "relay_jobs")
        n = 0
        while time.monotonic() < start + 2.5:
            n += 1
            got = caller.request("/shards/q", request_id=f"call-{n}")
            self.assertEqual(got.headers["x-missing-parts"], "0")
            jobs = self.metric(entry, "relay_jobs")
            if jobs != before:
                last = time.monotonic()
            before = jobs
            time.sleep(0.02)
        print(f"last job {last - start:.2f} s after SIGTERM", file=sys.stderr)
        self.assertLess(last - start, NEWS_MAX_S)
        self.assertIsNone(relay.process.poll())
        kept.close()


def load_tests(loader, tests, pattern):
    return loader.loadTestsFromTestCase(StopRelay)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
