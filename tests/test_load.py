"""Tests the load tool against a stub of the callers' HTTP protocol."""

import http.server
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

PROGRAM = None
SNAPSHOT = 41
TRUE_COUNT = 7
TRUE_TOTAL = 100


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body, content_length=None):
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(content_length or len(text)))
        self.end_headers()
        self.wfile.write(text)
        if content_length:
            self.close_connection = True

    def do_GET(self):
        self.reply(200, self.server.stub.addresses())

    def do_POST(self):
        length = int(self.headers["Content-Length"])
        body = json.loads(self.rfile.read(length))
        with self.server.stub.lock:
            self.server.stub.seen.append((self.path, body))
            number = len(self.server.stub.seen)
        self.server.stub.answer(self, body, number)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


class Stub:
    """Stands in for an instance. Tests replace `answer` to inject faults."""

    def __init__(self, fleet=None):
        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.stub = self
        self.lock = threading.Lock()
        self.seen = []
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        self.fleet = fleet
        self.lookups = 0
        self.lifetime_ms = 60000
        self.used = {}
        threading.Thread(target=self.server.serve_forever, args=(0.01,),
                         daemon=True).start()

    def addresses(self):
        self.lookups += 1
        rows = self.fleet or [(self.address, "be1")]
        return {
            "lifetime_ms": self.lifetime_ms,
            "addresses": [
                {"address": address, "instance": address, "data_centre": dc}
                for address, dc in rows
            ],
        }

    def answer(self, handler, body, _number):
        if handler.path == "/v1/search":
            handler.reply(200, done(body))
        elif handler.path == "/v1/tickets":
            with self.lock:
                ticket = f"t{len(self.used)}"
                self.used[ticket] = 0
            handler.reply(200, {"ticket": ticket, "expires_in_ms": 60000})
        else:
            handler.reply(200, {"request_id": "r", "outcome": "done",
                                "result": body["ticket"]})

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def done(body, **changes):
    return {
        "request_id": body["request_id"],
        "outcome": "done",
        "snapshot": SNAPSHOT,
        "count": TRUE_COUNT,
        "records": [{}] * min(TRUE_COUNT, body.get("limit", 20)),
        "coverage": {"covered": TRUE_TOTAL, "total": TRUE_TOTAL, "ratio": 1.0,
                     "sufficient": True, "missing": []},
        "work": {"homes": 2, "requests": 10, "hedges": 1, "retries": 0,
                 "restarts": 0},
        "table": {"revision": 7, "age_ms": 1},
        "elapsed_us": 10,
        **changes,
    }


def refusal(body, outcome, error, **more):
    return {"request_id": body["request_id"], "outcome": outcome,
            "error": error, "text": error, **more}


class Load(unittest.TestCase):
    def stub(self, **options):
        stub = Stub(**options)
        self.addCleanup(stub.close)
        return stub

    def run_load(self, addresses, *options):
        args = [PROGRAM, "--addresses", ",".join(addresses), "--rate", "400",
                "--seconds", "0.1", *options]
        result = subprocess.run(args, capture_output=True, check=False)
        self.assertEqual(result.stderr.decode(), "")
        self.assertEqual(result.returncode, 0)
        lines = [json.loads(line) for line in result.stdout.splitlines()]
        self.assertTrue(lines[-1]["summary"])
        self.lines = lines[:-1]
        return lines[-1]

    def search(self, stub, *options):
        return self.run_load([stub.address], "--service", "desk", *options)


class Answers(Load):
    def test_all_done(self):
        stub = self.stub()
        out = self.search(stub, "--limit", "3", "--where", '{"a":1}',
                          "--deadline-ms", "250")
        sent = out["sent"]
        self.assertGreater(sent, 0)
        self.assertEqual(out["outcomes"], {"done": sent})
        self.assertEqual(out["status"], {"200": sent})
        self.assertEqual(out["latency_us"]["n"], sent)
        self.assertEqual(out["work"]["requests"], 10 * sent)
        self.assertEqual(out["work"]["hedges"], sent)
        self.assertEqual(out["wrong"], 0)
        self.assertEqual(out["coverage"]["mean"], 1)
        body = dict(stub.seen[0][1])
        body.pop("request_id")
        self.assertEqual(body, {"service": "desk", "where": {"a": 1},
                                "limit": 3, "deadline_ms": 250})
        ids = [body["request_id"] for _, body in stub.seen]
        self.assertEqual(len(set(ids)), sent)

    def test_outcomes_by_status(self):
        stub = self.stub()
        answers = [
            (400, "bad_request", {}),
            (503, "not_run", {"retry_after_ms": 1}),
            (504, "too_late", {}),
            (502, "unknown", {}),
            (200, "not_run", {}),
        ]

        def answer(handler, body, number):
            status, outcome, more = answers[number % len(answers)]
            handler.reply(status, refusal(body, outcome, "x", **more))

        stub.answer = answer
        out = self.search(stub)
        for outcome in "bad_request", "not_run", "too_late", "unknown":
            self.assertGreater(out["outcomes"][outcome], 0)
        self.assertGreater(out["outcomes"]["malformed"], 0)
        self.assertEqual(sum(out["outcomes"].values()), out["sent"])
        self.assertEqual(out["latency_us"]["n"], 0)

    def test_a_short_body_is_no_answer(self):
        """A body shorter than its Content-Length must count as cut off.

        This happens when an instance crashes while it writes an answer. The
        records at the end of the list would be missing.
        """
        stub = self.stub()
        stub.answer = lambda handler, body, _: handler.reply(
            200, done(body), content_length=100000
        )
        out = self.search(stub)
        self.assertEqual(out["outcomes"], {"cut_off": out["sent"]})
        self.assertEqual(out["addresses"][stub.address]["cut_off"],
                         out["sent"])

    def test_a_silent_instance(self):
        stub = self.stub()
        release = threading.Event()
        self.addCleanup(release.set)
        stub.answer = lambda handler, body, _: release.wait()
        out = self.search(stub, "--timeout-ms", "100")
        self.assertEqual(out["outcomes"], {"silent": out["sent"]})

    def test_arrivals_wait_for_no_answer(self):
        """Arrivals must not wait for answers (open-loop load).

        With a stalled instance as many requests must start as with a fast
        one; closed-loop load would stall as well.
        """
        fast = self.search(self.stub())
        stub = self.stub()
        release = threading.Event()
        self.addCleanup(release.set)

        def answer(handler, body, number):
            if number >= fast["sent"] // 2:
                release.set()
            release.wait()
            handler.reply(200, done(body))

        stub.answer = answer
        out = self.search(stub)
        self.assertEqual(out["sent"], fast["sent"])
        self.assertEqual(out["outcomes"], {"done": out["sent"]})


class Truth(Load):
    def check(self, expect, **changes):
        stub = self.stub()
        stub.answer = lambda handler, body, _: handler.reply(
            200, done(body, **changes)
        )
        with tempfile.NamedTemporaryFile("w", suffix=".jsonl") as file:
            file.write(json.dumps({"service": "desk", "expect": expect}))
            file.flush()
            out = self.run_load([stub.address], "--queries", file.name)
        self.assertNotIn("expect", stub.seen[0][1])
        if out["wrong"]:
            self.assertEqual(out["wrong"], out["sent"])
        return out.get("first_wrong")

    def test_right(self):
        truth = {"count": TRUE_COUNT, "total": TRUE_TOTAL}
        self.assertIsNone(self.check(truth))
        self.assertIsNone(self.check({"by_snapshot": {str(SNAPSHOT): truth}}))
        part = {"covered": 90, "total": TRUE_TOTAL, "sufficient": False}
        self.assertIsNone(self.check({**truth, "count": 8}, coverage=part))

    def test_wrong(self):
        truth = {"count": TRUE_COUNT, "total": TRUE_TOTAL}
        part = {"covered": 90, "total": TRUE_TOTAL, "sufficient": False}
        over = {"covered": 101, "total": TRUE_TOTAL, "sufficient": True}
        cases = [
            ({**truth, "count": 8}, {}, "count_below_truth"),
            ({**truth, "count": 6}, {}, "count_above_truth"),
            ({**truth, "count": 6}, {"coverage": part}, "count_above_truth"),
            ({**truth, "total": 99}, {}, "total"),
            ({"by_snapshot": {"40": truth}}, {}, "snapshot_unknown"),
            (truth, {"coverage": over}, "covered_above_total"),
            (truth, {"records": [{}]}, "records_missing"),
            (truth, {"records": [{}] * 21}, "records_above_limit"),
            (truth, {"request_id": "another"}, "request_id"),
        ]
        for expect, changes, wrong in cases:
            self.assertEqual(self.check(expect, **changes), wrong)

    def test_coverage(self):
        stub = self.stub()

        def answer(handler, body, number):
            part = {"covered": 50, "total": 100, "sufficient": False}
            changes = {"coverage": part} if number == 1 else {}
            handler.reply(200, done(body, **changes))

        stub.answer = answer
        coverage = self.search(stub)["coverage"]
        self.assertEqual(coverage["insufficient"], 1)
        self.assertEqual(coverage["min"], 0.5)
        self.assertLess(coverage["mean"], 1)


class Addresses(Load):
    def fleet(self):
        """Returns two instances of be1 and one of be2."""
        rows = []
        stubs = [self.stub(fleet=rows) for _ in range(3)]
        rows += zip([s.address for s in stubs], ["be1", "be1", "be2"])
        return stubs

    def test_own_data_centre_first(self):
        stubs = self.fleet()
        self.run_load([stubs[2].address], "--service", "desk",
                      "--data-centre", "be1")
        self.assertGreater(len(stubs[0].seen), 0)
        self.assertGreater(len(stubs[1].seen), 0)
        self.assertEqual(len(stubs[2].seen), 0)
        self.assertEqual(stubs[0].lookups + stubs[1].lookups, 0)

    def test_the_next_address_when_none_connects(self):
        """Requests must move to the next address if a connection fails.

        An instance stops while callers still have it in their address list.
        Nothing was sent to it, so every request must succeed at another one,
        and the address list must be fetched again.
        """
        stubs = self.fleet()
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            closed = "127.0.0.1:%d" % unused.getsockname()[1]
            stubs[0].fleet[:] = [(closed, "be1")] + stubs[0].fleet[1:]
            out = self.run_load([stubs[2].address], "--service", "desk",
                                "--data-centre", "be1")
        self.assertEqual(out["outcomes"], {"done": out["sent"]})
        self.assertGreater(out["addresses"][closed]["connect_failures"], 0)
        self.assertEqual(len(stubs[2].seen), 0)
        self.assertGreater(out["address_refreshes"], 16)

    def test_nobody_is_there(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            closed = "127.0.0.1:%d" % unused.getsockname()[1]
            out = self.run_load([closed], "--service", "desk", "--fixed")
        self.assertEqual(out["outcomes"], {"unreachable": out["sent"]})

    def test_the_answer_is_kept_for_its_lifetime(self):
        stub = self.stub()
        out = self.search(stub, "--callers", "3")
        self.assertEqual(stub.lookups, 3)
        stub.lifetime_ms = 1
        out = self.search(stub, "--callers", "3")
        self.assertGreater(stub.lookups, 6)
        self.assertEqual(out["outcomes"], {"done": out["sent"]})


class Resends(Load):
    def test_not_run_is_sent_again(self):
        stub = self.stub()
        refused = set()

        def answer(handler, body, _number):
            with stub.lock:
                first = body["request_id"] not in refused
                refused.add(body["request_id"])
            if first:
                handler.reply(503, refusal(body, "not_run", "overload",
                                           retry_after_ms=1))
            else:
                handler.reply(200, done(body))

        stub.answer = answer
        out = self.search(stub, "--resend-not-run")
        self.assertEqual(out["outcomes"], {"done": out["sent"]})
        self.assertEqual(out["attempts"], 2 * out["sent"])
        refused.clear()
        out = self.search(stub)
        self.assertEqual(out["outcomes"], {"not_run": out["sent"]})


class Runs(Load):
    def run_runs(self, addresses, *options):
        return self.run_load(addresses, "--run-service", "link", "--runs", "1",
                             *options)

    def test_a_ticket_then_a_run(self):
        stub = self.stub()
        out = self.run_runs([stub.address])
        self.assertEqual(out["runs"], {"done": out["sent"]})
        runs = [body for path, body in stub.seen if path == "/v1/run"]
        self.assertEqual(len({body["ticket"] for body in runs}), out["sent"])
        self.assertEqual(set(runs[0]), {"ticket", "service", "key", "payload"})

    def test_the_same_ticket_elsewhere(self):
        rows = []
        stubs = [self.stub(fleet=rows) for _ in range(2)]
        rows += [(s.address, "be1") for s in stubs]
        stubs[1].used = stubs[0].used
        stubs[1].lock = stubs[0].lock
        out = self.run_runs([s.address for s in stubs], "--repeat-runs", "1")
        self.assertEqual(out["wrong"], 0)
        self.assertEqual(out["runs"], {"done": out["sent"]})
        seen = [
            {body["ticket"] for path, body in s.seen if path == "/v1/run"}
            for s in stubs
        ]
        self.assertEqual(seen[0], seen[1])
        self.assertEqual(len(seen[0]), out["sent"])

    def resend(self, first, second):
        """Returns the fault reported for a ticket's two answers, or None."""
        stub = self.stub()
        default_answer = stub.answer
        seen = set()

        def answer(handler, body, number):
            if handler.path == "/v1/tickets":
                default_answer(handler, body, number)
                return
            with stub.lock:
                again = body["ticket"] in seen
                seen.add(body["ticket"])
            status, outcome, result = second if again else first
            handler.reply(status, {"request_id": "r", "outcome": outcome,
                                   "result": result})

        stub.answer = answer
        out = self.run_runs([stub.address], "--repeat-runs", "1")
        return out.get("first_wrong")

    def test_answers_that_contradict_each_other(self):
        """Contradicting answers to one ticket must be reported.

        A caller sends its ticket again. What ran is then reported as not run,
        or runs again with another result.
        """
        ran = (200, "done", 1)
        refused = (503, "not_run", None)
        unknown = (502, "unknown", None)
        self.assertIsNone(self.resend(ran, ran))
        self.assertIsNone(self.resend(ran, unknown))
        self.assertIsNone(self.resend(unknown, ran))
        self.assertEqual(self.resend(ran, refused), "not_run_after_done")
        self.assertEqual(self.resend(refused, ran), "done_after_not_run")
        self.assertEqual(self.resend(ran, (200, "done", 2)), "results_differ")


class Records(Load):
    def test_history(self):
        stub = self.stub()
        with tempfile.NamedTemporaryFile() as file:
            out = self.search(stub, "--history", file.name)
            lines = [json.loads(line) for line in file]
        self.assertEqual(len(lines), out["sent"])
        line = lines[0]
        self.assertLessEqual(line["intended"], line["invoke"])
        self.assertLessEqual(line["invoke"], line["return"])
        expected = {"path": "/v1/search", "outcome": "done", "status": 200,
                    "address": stub.address, "snapshot": SNAPSHOT,
                    "count": TRUE_COUNT, "covered": TRUE_TOTAL,
                    "total": TRUE_TOTAL, "revision": 7, "attempt": 1,
                    "query": 0}
        self.assertLessEqual(expected.items(), line.items())
        self.assertNotIn("answer", line)

    def test_answers_in_the_history(self):
        stub = self.stub()
        with tempfile.NamedTemporaryFile() as file:
            self.search(stub, "--history", file.name, "--history-answers")
            lines = [json.loads(line) for line in file]
        self.assertGreater(len(lines), 0)
        for line in lines:
            self.assertEqual(line["answer"],
                             done({"request_id": line["id"]}))

    def test_timeline(self):
        out = self.search(self.stub(), "--timeline", "0.02")
        self.assertGreater(len(self.lines), 0)
        self.assertLessEqual(sum(line["sent"] for line in self.lines),
                             out["sent"])

    def test_arrivals_follow_the_seed(self):
        sent = {self.search(self.stub())["sent"] for _ in range(2)}
        self.assertEqual(len(sent), 1)


class Usage(unittest.TestCase):
    def test_wrong_usage(self):
        for options in [], ["--addresses", "127.0.0.1:1"], [
            "--addresses", "host:1", "--service", "desk"
        ]:
            result = subprocess.run([PROGRAM, *options], capture_output=True,
                                    check=False)
            self.assertNotEqual(result.returncode, 0)
            self.assertNotEqual(result.stderr, b"")


if __name__ == "__main__":
    PROGRAM = pathlib.Path(sys.argv.pop(1)).resolve()
    unittest.main(verbosity=2)
