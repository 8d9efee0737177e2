"""Second sends of look-ups whose server is slow, counted at the servers.

usage: test_second_sends.py BUILD [unittest options]
"""

import pathlib
import sys
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import (  # noqa: E402
    OpaqueServer, answer, config_document, free_port, route,
)
from retry_rule import RetryRule  # noqa: E402
from test_retry_budget import CallersTest, repeated_arrivals  # noqa: E402

RATIO = 0.2
SLACK = 54
WINDOW_S = 10
HEALTH_PATH = "/health"
GATEWAYS = 7
SERVERS = 14
CALLERS = 60
WORK_S = 0.02
LONG_SHARE = 0.02
LONG_S = 1.4
# One server after the other is slow as a whole.
SLOW_SERVER_S = 1.5
SLOW_SERVER_PAUSE_S = 1
# An instance has no share of the slack before its first window is over.
START_S = 12
PLAY_S = 25
# Requests that take longer should be sent to a second server.
SLOW_S = 1
SECOND_SHARE_MIN = 0.95


class SlowRequests(CallersTest):
    def setUp(self):
        super().setUp()
        self.works = {}
        self.slow_server = None
        self.asked = 0
        for i in range(SERVERS):
            self.server(f"one-{i}", "one").respond = self.answer
        self.store.put("op/config", config_document(
            1, [route("/any/", service="one", timeout_ms=4000, goal_ms=300,
                      servers_max=3)], ["one"], health_path=HEALTH_PATH))
        self.peer_port = free_port()
        seed = f"127.0.0.10:{self.peer_port}"
        self.gateways = [
            self.ready_gateway(seeds=[seed], retry_ratio=RATIO,
                               retry_slack=SLACK, retry_window_s=WINDOW_S,
                               log_level="info")
            for _ in range(GATEWAYS)]

    def work_s(self, server):
        is_long = (server is self.slow_server
                   or self.random_sample() < LONG_SHARE)
        return LONG_S if is_long else WORK_S

    def slow_down_in_turn(self, for_s):
        until = time.monotonic() + for_s
        while time.monotonic() < until:
            self.slow_server = self.random.choice(self.servers)
            time.sleep(SLOW_SERVER_S)
            self.slow_server = None
            time.sleep(SLOW_SERVER_PAUSE_S)

    def answer(self, server, request):
        if request.target == HEALTH_PATH:
            server.seen.remove(request)
            self.asked += 1
            return answer(headers=[("X-Instance-Id", server.name)])
        work_s = self.work_s(server)
        with self.lock:
            self.works.setdefault(request.id, []).append(work_s)
        time.sleep(work_s)
        return OpaqueServer.echo(server, request)

    def play(self):
        threads = self.start_callers(CALLERS, "/any/x", self.gateways)
        time.sleep(START_S)
        with self.lock:
            early = set(self.works)
        self.slow_down_in_turn(PLAY_S)
        self.stop_callers(threads)
        slow = [works for request_id, works in self.works.items()
                if request_id not in early and works[0] > SLOW_S]
        return slow, sum(len(works) > 1 for works in slow)

    def check_budget(self):
        rule = RetryRule(RATIO, SLACK, WINDOW_S)
        n, allowed, _ = rule.worst_window(
            repeated_arrivals(self.servers), sorted(self.sent_at)) or (0, 0, 0)
        self.assertLessEqual(n, 0.8 * allowed)
        return n, allowed

    def test_slow_requests_are_sent_to_a_second_server(self):
        """Guards against second sends that stop because a server was slow."""
        slow, second = self.play()
        n, allowed = self.check_budget()
        print(f"{len(self.sent_at)} requests, {len(slow)} slow, {second} sent "
              f"to a second; worst window {n} of {allowed:.1f}; asked for "
              f"health {self.asked} times",
              file=sys.stderr)
        self.assertGreater(len(slow), 20)
        self.assertGreaterEqual(second, SECOND_SHARE_MIN * len(slow))


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
