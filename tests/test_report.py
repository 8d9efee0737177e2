"""Tests `garnetreach report` and `garnetreach explain` on a small fleet."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest
import xml.etree.ElementTree

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "bench"))

import experiment  # noqa: E402

BUILD = None
INSTANCES = [("i1", "dc-1"), ("i2", "dc-1"), ("i3", "dc-2")]
EXIT_FAILED = 1
EXIT_NO_TRACE = 5
EXIT_EVICTED = 6
EXIT_PARTIAL = 7
TRACE_MAX = 8
IDLE_SERVICE = "idle"
RESERVED_CHARS_ID = "mine/1?&%25+"
UNKNOWN_ID = "no/such?&%"


class Report(unittest.TestCase):
    def setUp(self):
        out = tempfile.TemporaryDirectory()
        self.addCleanup(out.cleanup)
        self.out = pathlib.Path(out.name)
        self.bench = experiment.Bench("report", BUILD, self.out)
        self.addCleanup(self.bench.finish)
        self.platform = self.bench.platform()
        self.data = self.bench.deployment(
            "--fanout", "4", "--replicas", "1", "--data-centres", "2",
            "--tunable", f"trace_max={TRACE_MAX}", processes=2)
        self.service, *columns = self.data.table["services"]["rows"][0]
        self.data.table["services"]["rows"].append([IDLE_SERVICE, *columns])
        self.platform.publish(self.data.table)
        self.instances = self.bench.instances(self.platform, INSTANCES)
        experiment.wait_until("the fleet is ready", self.is_ready)

    def is_ready(self):
        n = len(self.data.table["servers"]["rows"])
        for instance in self.instances:
            status = instance.status()
            reachable = sum(
                any(home["reachable"] for home in server["homes"])
                and bool(server["versions"])
                for server in status["servers"])
            if len(status["members"]) < len(INSTANCES) or reachable < n:
                return False
        return True

    def run_command(self, name, *args):
        """Returns (exit status, standard output, standard error)."""
        done = subprocess.run(
            [self.bench.build / "garnetreach", name, *args],
            capture_output=True, text=True, timeout=60)
        return done.returncode, done.stdout, done.stderr

    def search(self, instance, request_id, service=None):
        status, answer = instance.search({
            "service": service or self.service, "mode": "count",
            "request_id": request_id})
        return status, answer

    def report(self, *args):
        return self.run_command("report", self.instances[0].address, *args)

    def report_json(self):
        status, out, err = self.report("--json")
        self.assertTrue(out, err)
        return status, json.loads(out)

    def explain(self, instance, request_id, *args):
        return self.run_command("explain", instance.address, request_id, *args)

    def check_page(self):
        """The page must be well-formed and load nothing from the network."""
        path = self.out / "burn.html"
        status, out, _ = self.report("--html", path)
        self.assertEqual(out, "")
        page = path.read_text(encoding="utf-8")
        self.assertTrue(page.startswith("<!DOCTYPE html>"))
        root = xml.etree.ElementTree.fromstring(page.split("\n", 1)[1])
        self.assertTrue(list(root.iter("svg")))
        self.assertFalse(
            re.findall(r"\b(?:src|href|url\(|@import|https?:)", page))
        return status, page

    def test_explain(self):
        """Any instance must find the trace of a request by its id alone."""
        status, answer = self.search(self.instances[0], RESERVED_CHARS_ID)
        self.assertEqual(status, 200, answer)
        request_id = answer["request_id"]
        for asked in self.instances:
            status, out, err = self.explain(asked, request_id, "--json")
            self.assertEqual(status, 0, err)
            [found] = json.loads(out)["answers"]
            self.assertEqual(found["instance"], "i1")
            [trace] = found["traces"]
            self.assertEqual(trace["outcome"], "done")
            self.assertEqual(trace["snapshot"], answer["snapshot"])
            self.assertEqual(trace["coverage"]["covered"],
                             answer["coverage"]["covered"])
            self.assertEqual(trace["work"], answer["work"])
            self.assertEqual(len(trace["parts"]), answer["work"]["requests"])
            for part in trace["parts"]:
                self.assertEqual(part["outcome"], "ok")
                self.assertLessEqual(part["sent_us"], part["back_us"])
                self.assertLessEqual(part["back_us"], trace["elapsed_us"])
        status, out, _ = self.explain(self.instances[1], request_id)
        self.assertEqual(status, 0)
        self.assertIn(f"search {request_id} of {self.service}, taken by i1",
                      out)
        self.assertIn(trace["parts"][0]["server"], out)
        self.assertIn("sufficient", out)

    def test_explain_run(self):
        """The trace of a run is kept by the instance that received it."""
        port = self.instances[0].port
        ticket = experiment.request_json(
            port, "POST", "/v1/tickets", {"service": self.service})["ticket"]
        answer = experiment.request_json(port, "POST", "/v1/run", {
            "ticket": ticket, "service": self.service, "key": "k",
            "payload": {"van": 1}, "request_id": "order-1"})
        self.assertEqual(answer["outcome"], "done")
        status, out, err = self.explain(self.instances[2], "order-1", "--json")
        self.assertEqual(status, 0, err)
        [found] = json.loads(out)["answers"]
        [trace] = found["traces"]
        self.assertEqual((found["instance"], trace["kind"], trace["outcome"]),
                         ("i1", "run", "done"))
        status, out, _ = self.explain(self.instances[2], "order-1")
        self.assertIn("run order-1 of", out)

    def test_explain_unknown_and_evicted(self):
        status, out, err = self.explain(self.instances[0], UNKNOWN_ID)
        self.assertEqual((status, out), (EXIT_NO_TRACE, ""))
        self.assertIn("[no_trace]", err)
        for i in range(TRACE_MAX + 1):
            self.search(self.instances[0], f"r-{i}")
        status, out, err = self.explain(self.instances[1], "r-0")
        self.assertEqual((status, out), (EXIT_EVICTED, ""))
        self.assertIn("[trace_evicted]", err)
        status, out, _ = self.explain(self.instances[1], "r-0", "--json")
        self.assertEqual(status, EXIT_EVICTED)
        self.assertEqual(json.loads(out)["error"], "trace_evicted")
        status, _, _ = experiment.request(
            self.instances[0].port, "GET", "/v1/explain?request_id=r-0")
        self.assertEqual(status, 410)
        status, _, _ = experiment.request(
            self.instances[0].port, "GET", "/v1/explain?request_id=other")
        self.assertEqual(status, 404)
        status, _, _ = experiment.request(
            self.instances[0].port, "GET", "/v1/explain")
        self.assertEqual(status, 400)

    def test_report(self):
        """Sums the searches of all instances; one service gets none."""
        for instance in self.instances:
            for i in range(4):
                status, answer = self.search(instance, f"r-{i}")
                self.assertEqual(status, 200, answer)
        status, report = self.report_json()
        self.assertEqual(status, 0)
        self.assertFalse(report["partial"])
        self.assertEqual((report["asked"], report["answered"]), (3, 3))
        rows = {row["service"]: row for row in report["services"]}
        windows = {w["window"]: w for w in rows[self.service]["windows"]}
        self.assertEqual(windows["5m"]["total"], 12)
        self.assertEqual(windows["3d"]["total"], 12)
        self.assertEqual(windows["3d"]["refused"], 0)
        self.assertEqual(windows["3d"]["state"], "short")
        self.assertEqual({w["state"] for w in rows[IDLE_SERVICE]["windows"]},
                         {"empty"})
        markets = {m["market"]: m for m in report["markets"]}
        market = markets[rows[self.service]["market"]]
        self.assertEqual(market["windows"][0]["total"], 12)
        status, out, _ = self.report()
        self.assertEqual(status, 0)
        self.assertNotIn("PARTIAL", out)
        self.assertIn("services without any request: 1", out)
        self.assertIn("short windows:", out)
        status, page = self.check_page()
        self.assertEqual(status, 0)
        self.assertNotIn("PARTIAL", page)
        self.assertIn("is short", page)

    def test_an_instance_is_down(self):
        """The report must name failed shards and unreachable instances.

        Half of the servers are killed, so that answers lack shards, then an
        instance, whose counters are lost with it.
        """
        self.data.backends[0].kill()
        status, answer = self.search(self.instances[0], "gap")
        self.assertEqual(status, 200, answer)
        self.assertTrue(answer["coverage"]["missing"])
        status, out, _ = self.explain(self.instances[0], "gap", "--json")
        [trace] = json.loads(out)["answers"][0]["traces"]
        coverage = trace["coverage"]
        self.assertEqual(coverage["missing_shards"],
                         answer["coverage"]["missing_shards"])
        self.assertEqual({r["reason"] for r in coverage["reasons"]},
                         {m["reason"] for m in answer["coverage"]["missing"]})
        self.assertEqual(sum(r["records"] for r in coverage["reasons"]),
                         coverage["total"] - coverage["covered"])
        self.instances[2].kill()
        status, report = self.report_json()
        self.assertEqual(status, EXIT_PARTIAL, report["instances"])
        self.assertTrue(report["partial"])
        self.assertEqual((report["asked"], report["answered"]), (3, 2))
        [silent] = [i for i in report["instances"] if not i["answered"]]
        self.assertEqual((silent["instance"], silent["error"]),
                         ("i3", "connect"))
        row = next(r for r in report["services"]
                   if r["service"] == self.service)
        self.assertEqual(row["windows"][0]["partial"], 1)
        self.assertEqual(
            {(f"{m['lo']}-{m['hi']}", m["reason"])
             for m in answer["coverage"]["missing"]},
            {(c["name"], c["reason"]) for c in row["causes"]["shards"]})
        status, out, _ = self.report()
        self.assertEqual(status, EXIT_PARTIAL)
        self.assertRegex(out, r"PARTIAL.*\n +i3 ")
        status, page = self.check_page()
        self.assertEqual(status, EXIT_PARTIAL)
        self.assertRegex(page, r"PARTIAL.*i3")
        status, _, err = self.explain(self.instances[0], UNKNOWN_ID)
        self.assertEqual(status, EXIT_PARTIAL)
        self.assertIn("1 of 3 instances did not answer", err)
        status, _, err = self.run_command("report", self.instances[2].address)
        self.assertEqual(status, EXIT_FAILED)


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
