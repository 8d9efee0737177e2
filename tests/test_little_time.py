"""Callers whose requests have little time left, at a gateway in front of many
shards.

usage: test_little_time.py BUILD [unittest options]
"""

import pathlib
import sys
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import OpaqueServer, config_document, route  # noqa: E402

N_SHARDS = 30
SHARDS = [f"s{i}" for i in range(N_SHARDS)]
SERVERS_PER_SHARD = 2
LEFT_MS = (0, 1, 2, 3, 4)
ROUNDS = 40
# Just below the limit of the configuration, 100000 bytes.
LARGE_BODY = b"q" * 99000
N_ORDINARY = 4
WARM_UP = 5


class Ordinary(threading.Thread):
    """Sends one request after the other that must not be repeated, on a kept
    connection."""

    def __init__(self, gateway, number):
        super().__init__(daemon=True)
        self.caller = test_gateway.Caller(gateway)
        self.number = number
        self.stop = False
        self.statuses = []

    def run(self):
        while not self.stop:
            n = len(self.statuses)
            try:
                answer = self.caller.request(
                    f"/once/{n}", "POST", body=b"order",
                    request_id=f"ordinary-{self.number}-{n}")
            except OSError:
                answer = None
            self.statuses.append(answer.status if answer else None)
            if not answer:
                return
            time.sleep(0.01)
        self.caller.close()


class LittleTimeTest(test_gateway.GatewayTest):
    def look_up(self, gateway, request_id, left_ms, body=b""):
        """Return the status, None if there is no answer."""
        try:
            caller = test_gateway.Caller(gateway)
        except OSError:
            return None
        try:
            answer = caller.request(
                "/shards/x", "POST" if body else "GET",
                [("X-Deadline-Ms", left_ms)], body, request_id)
            return answer.status if answer else None
        except OSError:
            return None
        finally:
            caller.close()

    def start_servers(self):
        for name in SHARDS:
            for n in range(SERVERS_PER_SHARD):
                server = self.server(f"{name}-{n}", name)
                server.respond = OpaqueServer.send_records
        self.server("one-1", "one")
        routes = [
            route("/shards/", shards=SHARDS, records_max=3, coverage_min=0.75,
                  timeout_ms=2000, goal_ms=500),
            route("/once/", service="one", repeat="once"),
        ]
        self.store.put("op/config", config_document(1, routes,
                                                    SHARDS + ["one"]))

    def look_up_with_little_time(self, gateway):
        """Return how many look-ups got no answer."""
        unanswered = 0
        for n in range(ROUNDS):
            self.look_up(gateway, f"warm-{n}", 2000)
            body = LARGE_BODY if n % 4 == 3 else b""
            for left_ms in LEFT_MS:
                status = self.look_up(gateway, f"late-{n}-{left_ms}", left_ms,
                                      body)
                unanswered += status is None
        return unanswered

    def test_no_process_ends(self):
        """Guards against a process that crashes, and loses all its requests,
        when a deadline passes while a request is being sent."""
        self.start_servers()
        gateway = self.ready_gateway()
        for n in range(WARM_UP):
            self.look_up(gateway, f"first-{n}", 2000)
        ordinary = [Ordinary(gateway, n) for n in range(N_ORDINARY)]
        for caller in ordinary:
            caller.start()
        unanswered = self.look_up_with_little_time(gateway)
        for caller in ordinary:
            caller.stop = True
        for caller in ordinary:
            caller.join()
        self.assertIsNone(gateway.process.poll(), "the process ended")
        self.assertEqual(unanswered, 0)
        for caller in ordinary:
            self.assertEqual(set(caller.statuses), {200})


def load_tests(loader, tests, pattern):
    return loader.loadTestsFromTestCase(LittleTimeTest)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
