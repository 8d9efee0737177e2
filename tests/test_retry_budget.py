"""Tests of the fleet-wide retry budget with gateway processes and servers that
refuse requests."""

import collections
import pathlib
import random
import sys
import threading
import time
import unittest

import test_gateway
from gateway_fixtures import OpaqueServer, free_port, route
from retry_rule import RetryRule
from test_gateway import Caller, GatewayTest

RATIO = 0.2
SLACK_RETRIES = 24
WINDOW_S = 10
CALL_INTERVAL_S = 0.4
SERVERS = 6
SEED = 3201


def repeated_arrivals(servers):
    """Return the times at which a service received a request again."""
    arrivals = collections.defaultdict(list)
    for server in servers:
        for request in list(server.seen):
            arrivals[server.service, request.id].append(request.arrived_at)
    return sorted(at for times in arrivals.values()
                  for at in sorted(times)[1:])


class CallersTest(GatewayTest):
    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)
        self.sent_at = []
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def random_sample(self):
        with self.lock:
            return self.random.random()

    def run_caller(self, caller_id, target, gateways):
        """Send requests to random gateways, each on a new connection."""
        rng = random.Random(SEED + caller_id)
        for i in range(1 << 30):
            if self.stopped.wait(CALL_INTERVAL_S):
                return
            try:
                caller = Caller(rng.choice(gateways))
            except OSError:
                continue
            try:
                with self.lock:
                    self.sent_at.append(time.monotonic())
                caller.request(target, request_id=f"c{caller_id}-{i}")
            except (OSError, AttributeError, KeyError, ValueError):
                pass  # the instance was killed during the request
            caller.close()

    def start_callers(self, n, target, gateways):
        threads = [threading.Thread(target=self.run_caller,
                                    args=(i, target, gateways))
                   for i in range(n)]
        for thread in threads:
            thread.start()
        return threads

    def stop_callers(self, threads):
        self.stopped.set()
        for thread in threads:
            thread.join()

    def restart(self, gateway):
        gateway.process.kill()
        gateway.process.wait()
        gateway.start()
        self.wait("ready", gateway.is_ready)


class RetryBudget(CallersTest):
    def setUp(self):
        super().setUp()
        self.refuse_ratio = 0.0
        for i in range(SERVERS):
            self.server(f"one-{i}", "one").respond = self.answer
        self.publish(routes=[route("/any/", service="one", timeout_ms=400,
                                   goal_ms=200, servers_max=SERVERS)])

    def answer(self, server, request):
        if self.random_sample() < self.refuse_ratio:
            return server.refuse(request)
        return OpaqueServer.echo(server, request)

    def start_fleet(self, cpu_quotas):
        self.peer_port = free_port()
        seed = f"127.0.0.10:{self.peer_port}"
        return [self.ready_gateway(seeds=[seed], cpu_quota=quota,
                                   retry_ratio=RATIO, retry_slack=SLACK_RETRIES,
                                   retry_window_s=WINDOW_S)
                for quota in cpu_quotas]

    def check_budget(self):
        repeated = repeated_arrivals(self.servers)
        sent_at = sorted(self.sent_at)
        rule = RetryRule(RATIO, SLACK_RETRIES, WINDOW_S)
        n, allowed, _ = rule.worst_window(repeated, sent_at) or (0, 0, 0)
        print(f"{len(sent_at)} requests, {len(repeated)} arrivals beyond the"
              f" first; worst window: {n} where {allowed:.1f} are allowed",
              file=sys.stderr)
        self.assertGreater(len(repeated), len(sent_at) / 20)
        self.assertLessEqual(n, allowed)

    def test_rolling_restarts(self):
        """Guards against granting a full share of the slack at each restart."""
        gateways = self.start_fleet([1] * 5)
        threads = self.start_callers(24, "/any/x", gateways)
        self.refuse_ratio = 0.9
        for i in range(20):
            time.sleep(0.3)
            self.restart(gateways[i % len(gateways)])
        self.stop_callers(threads)
        self.check_budget()

    def test_uncounted_instances(self):
        """Guards against retries by small instances that the divisor of the
        slack does not count."""
        gateways = self.start_fleet([1] + [0.1] * 11)
        threads = self.start_callers(10, "/any/x", gateways)
        time.sleep(4)
        self.refuse_ratio = 0.9
        time.sleep(8)
        self.stop_callers(threads)
        self.check_budget()


class ChargedSends(CallersTest):
    def answer(self, server, request):
        sample = self.random_sample()
        if sample < 0.15:
            return server.refuse(request)
        if sample < 0.3:
            return None
        if sample < 0.45:
            time.sleep(0.1)
        return OpaqueServer.send_records(server, request)

    def charged_sends(self, gateway):
        return sum(line.get("charged", 0) for line in gateway.log()
                   if line["event"] == "sent_again")

    def test_every_second_arrival_is_charged(self):
        """Guards against retries that are not charged although a server
        received the first attempt: refused, reset, answered late, or sent by a
        relay that was killed."""
        for i in range(4):
            for j, data_centre in enumerate(("dc-0", "dc-1", "dc-1")):
                self.server(f"s{i}-{j}", f"s{i}",
                            data_centre=data_centre).respond = self.answer
        self.publish()
        seed = f"127.0.0.10:{self.peer_port}"
        settings = {"seeds": [seed], "retry_ratio": 1, "retry_slack": 1000,
                    "load_control": ["priorities", "returns", "turns",
                                     "left_out", "pace"]}
        entry = self.ready_gateway(**settings)
        relays = [self.ready_gateway(data_centre="dc-1", **settings)
                  for _ in range(2)]
        threads = self.start_callers(12, "/shards/x", [entry])
        for i in range(6):
            time.sleep(1)
            self.restart(relays[i % 2])
        self.stop_callers(threads)
        time.sleep(1)  # requests in flight arrive and are logged
        repeated = len(repeated_arrivals(self.servers))
        print(f"{len(self.sent_at)} requests, {repeated} arrivals beyond the"
              f" first, {self.charged_sends(entry)} charged", file=sys.stderr)
        self.assertGreater(repeated, len(self.sent_at) / 5)
        self.assertLessEqual(repeated, self.charged_sends(entry))


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
