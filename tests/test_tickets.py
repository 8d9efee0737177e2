"""Tests of tickets with several instances and simulated servers that count how
often each ticket was run."""

import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "bench")
)

import experiment  # noqa: E402

BUILD = None
SERVICE = "fanout"
PLACEMENTS = [(f"be1-{name}", "be1") for name in "abc"]


class Tickets(unittest.TestCase):
    def setUp(self):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        bench = experiment.Bench("test", BUILD, out.name)
        self.addCleanup(bench.finish)
        self.deployment = bench.deployment(
            "--fanout", 2, "--replicas", 2, "--data-centres", 1,
            "--service-us", 0, "--connect-cost-us", 0, "--slots", 6,
            "--tunable", "address_lifetime_ms=100",
        )
        platform = bench.platform()
        platform.publish(self.deployment.table)
        self.a, self.b, self.c = bench.instances(platform, PLACEMENTS)
        for instance in (self.a, self.b, self.c):
            experiment.wait_until(
                "full coverage",
                lambda: instance.search({"service": SERVICE})[1]
                .get("coverage", {}).get("ratio") == 1,
            )
        # Orders are forwarded to the issuer over links between instances.
        for receiver in (self.a, self.b, self.c):
            for issuer in (self.a, self.b, self.c):
                experiment.wait_until(
                    "a forwarded order",
                    lambda: self.run_order(
                        receiver, self.ticket(issuer)
                    )[0] == 200,
                )

    def post(self, instance, path, body):
        status, _, text = experiment.request(
            instance.port, "POST", path, json.dumps(body)
        )
        return status, json.loads(text)

    def ticket(self, instance):
        status, answer = self.post(instance, "/v1/tickets",
                                   {"service": SERVICE})
        self.assertEqual(status, 200, answer)
        return answer["ticket"]

    def run_order(self, instance, ticket, key="order", **fields):
        return self.post(instance, "/v1/run", {
            "ticket": ticket, "service": SERVICE, "key": key,
            "payload": {"van": 1}, "deadline_ms": 800, **fields,
        })

    def count_runs(self, ticket):
        runs = 0
        for backend in self.deployment.backends:
            report = experiment.request_json(
                backend.control_port, "GET", "/control?tickets=1"
            )
            for server in report["servers"].values():
                runs += server["tickets"].get(ticket, 0)
        return runs

    def test_repeats_at_every_instance(self):
        """Guards against running an order twice when a caller loses its answer
        and repeats the order at other instances. They get the same answer from
        the issuer."""
        ticket = self.ticket(self.a)
        answers = [self.run_order(i, ticket) for i in (self.b, self.c, self.a)]
        self.assertEqual([s for s, _ in answers], [200] * 3, answers)
        self.assertEqual(len({json.dumps(a["result"]) for _, a in answers}), 1)
        self.assertEqual(self.count_runs(ticket), 1)

    def test_issuer_is_gone(self):
        """Guards against a second run after the issuer was killed. No other
        instance knows whether the order ran, so the outcome is unknown."""
        ticket = self.ticket(self.a)
        self.assertEqual(self.run_order(self.b, ticket)[0], 200)
        self.a.kill()
        status, answer = self.run_order(self.b, ticket)
        self.assertEqual((status, answer["outcome"]), (502, "unknown"), answer)
        self.assertEqual(self.count_runs(ticket), 1)

    def test_servers_that_refuse(self):
        """Guards against a late duplicate of an order that all servers shed. It
        did not run, and the ticket is closed; otherwise the duplicate could
        run in addition to the order that the caller sends again."""
        ticket = self.ticket(self.a)
        self.deployment.control(fault="shed", server="*", ratio=1)
        status, answer = self.run_order(self.b, ticket)
        self.assertEqual((status, answer["outcome"]), (503, "not_run"), answer)
        self.assertGreater(answer["retry_after_ms"], 0)
        self.deployment.control(fault="shed", server="*", ratio=0)
        status, answer = self.run_order(self.c, ticket)
        self.assertEqual((status, answer["outcome"]), (503, "not_run"), answer)
        self.assertEqual(self.count_runs(ticket), 0)

    def test_server_dies_of_it(self):
        """Guards against a second run after a server crashed during the first:
        the outcome is unknown, and the order isn't sent to another server."""
        ticket = self.ticket(self.a)
        self.deployment.control(fault="crash_on", server="*", marker="boom",
                                restart_ms=100)
        status, answer = self.run_order(self.b, ticket, payload="boom")
        self.assertEqual((status, answer["outcome"]), (502, "unknown"), answer)
        self.assertEqual(self.count_runs(ticket), 1)

    def test_refused_tickets(self):
        ticket = self.ticket(self.a)
        parts = ticket.split("-")
        nonce = parts[3]
        parts[3] = ("0" if nonce[0] != "0" else "1") + nonce[1:]
        for bad in ("x", "-".join(parts)):
            status, answer = self.run_order(self.b, bad)
            self.assertEqual((status, answer["error"]), (400, "ticket"), answer)
        self.assertEqual(self.run_order(self.a, ticket)[0], 200)
        status, answer = self.run_order(self.c, ticket, key="another")
        self.assertEqual((status, answer["outcome"]), (400, "bad_request"))
        self.assertEqual(self.count_runs(ticket), 1)


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1)).resolve()
    unittest.main(verbosity=2)
