"""history_check.py must accept a valid history and name each violation."""

import copy
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import history_check as hc  # noqa: E402
import scan  # noqa: E402

S = hc.USEC_PER_SEC
SERVICE = "desk"
HALVES = [[0, 32767], [32768, 65535]]
ADDRESS = "127.0.0.1:1"
OTHER = "127.0.0.1:2"


def record(serial, since, until, state):
    return {"key": f"{SERVICE}/{serial:07}", "from": since, "to": until,
            "sort": f"{serial:03}", "body": {"order": serial, "state": state}}


def records():
    """Returns 40 orders. Version 2 closes every third one and adds two."""
    out = []
    for i in range(40):
        changed = i % 3 == 0
        out.append(record(i, 1, 2 if changed else None, "open"))
        if changed:
            out.append(record(i, 2, None, "done"))
    return out + [record(40, 2, None, "open"), record(41, 2, None, "open")]


class History:
    """Writes a small history without violations; each test alters it."""

    QUERIES = [{"service": SERVICE, "where": {"state": "open"}, "limit": 3},
               {"service": SERVICE, "mode": "count"}]

    def __init__(self, directory):
        self.directory = pathlib.Path(directory)
        (self.directory / "data").mkdir(exist_ok=True)
        self.write("data/desk.jsonl", records())
        self.data = scan.Data(self.directory / "data", SERVICE)
        self.load = []
        self.backend = []
        self.events = []
        self.last_no = 0
        self.build()

    def write(self, name, lines):
        (self.directory / name).write_text(
            "".join(json.dumps(line) + "\n" for line in lines))

    def build(self):
        self.event("run", 0, version=1, min_coverage=0.9,
                   addresses={ADDRESS: "a", OTHER: "b"})
        for name, address in (("a", ADDRESS), ("b", OTHER)):
            self.event("start", 0, instance=name, address=address)
        self.event("publish", 1 * S, revision=1, valid=True, leaving=[])
        self.fault(2 * S, "desk-1", fault="version", version=2, shards=2)
        self.first = self.search(3 * S)
        self.partial = self.search(4 * S, version=2, ranges=HALVES[:1])
        self.counted = self.search(5 * S, version=2, query=1)
        self.refused = self.add_attempt(5 * S, "not_run", 503)
        self.done = self.run_request(6 * S, "t1")
        self.refused_run = self.run_request(6 * S, "t2", "not_run", 503)
        self.fault(10 * S, "desk-1", fault="drain")
        self.search(11 * S, version=2)
        self.stopping = self.search(20 * S, version=2, address=OTHER,
                                    server="desk-2")
        self.event("term", 20 * S, instance="b", address=OTHER)
        self.event("exit", 22 * S, instance="b", address=OTHER, status=0)
        self.event("start", 23 * S, instance="b", address=OTHER)
        self.event("publish", 25 * S, revision=5, valid=True, leaving=[])
        for name in "a", "b":
            self.status(24 * S, name, 1)
            self.status(30 * S, name, 1)
            self.status(40 * S, name, 5)

    def event(self, event, at, **fields):
        line = {"event": event, "time_us": at, **fields}
        self.events.append(line)
        return line

    def status(self, at, name, revision, lifecycle="serving", digest=None):
        return self.event("status", at, asked_us=at - 1000, instance=name,
                          incarnation="1", lifecycle=lifecycle,
                          revision=revision, digest=digest or f"d{revision}")

    def fault(self, at, server, **command):
        line = {"event": "fault", "time_us": at, "server": server,
                "command": {**command, "server": server}}
        self.backend.append(line)
        return line

    def add_work(self, at, kind, request_id, server="desk-1", answer="done",
                 ran=True, **fields):
        self.last_no += 1
        common = {"server": server, "connection": self.last_no, "kind": kind,
                  "request_id": f"{request_id}/a.1.{self.last_no}.0"}
        lines = [{"event": "start", "time_us": at, **common, **fields},
                 {"event": "end", "time_us": at + 1000, **common,
                  "answer": answer, "ran": ran, "spoilt": False}]
        self.backend += lines
        return lines

    def add_attempt(self, at, outcome, status, path="/v1/search", query=0,
                    address=ADDRESS, **fields):
        self.last_no += 1
        request_id = f"q{self.last_no}"
        line = {"id": request_id, "path": path, "attempt": 1,
                "intended": at, "invoke": at, "return": at + 10000,
                "address": address, "outcome": outcome, "status": status,
                "answer": {"request_id": request_id, "outcome": outcome},
                **fields}
        if path == "/v1/search":
            line["query"] = query
        self.load.append(line)
        return line

    def search(self, at, version=1, ranges=HALVES, query=0, address=ADDRESS,
               server="desk-1"):
        """Adds a correct answer and the server's record of the search."""
        body = self.QUERIES[query]
        limit = 0 if body.get("mode") == "count" else body["limit"]
        found = self.data.scan(version, body.get("where", {}), limit, ranges)
        total = len(self.data.snapshot(version))
        line = self.add_attempt(at, "done", 200, query=query, address=address)
        missing = [{"lo": lo, "hi": hi, "reason": "too_late"}
                   for lo, hi in HALVES if [lo, hi] not in ranges]
        ratio = found["total"] / total
        line["answer"].update({
            "snapshot": version, "count": found["count"],
            "records": found["records"],
            "coverage": {"covered": found["total"], "total": total,
                         "ratio": round(ratio, 6), "sufficient": ratio >= 0.9,
                         "missing": missing, "missing_shards": len(missing)},
            "table": {"revision": 1, "age_ms": 1}})
        self.add_work(at + 1000, "search", line["id"], server,
                      version=version, shards=ranges)
        return line

    def run_request(self, at, ticket, outcome="done", status=200):
        line = self.add_attempt(at, outcome, status, "/v1/run", ticket=ticket)
        if outcome == "done":
            line["answer"]["result"] = {"ran": True}
            self.add_work(at + 1000, "run", line["id"], ticket=ticket)
        return line

    def server_lines(self, line):
        """Returns the server's start and end lines of a search."""
        return [x for x in self.backend
                if x.get("request_id", "").startswith(line["id"] + "/")]

    def check(self):
        self.write("load0.history.jsonl", self.load)
        self.write("backend1.history.jsonl", self.backend)
        self.write("events.jsonl", self.events)
        self.write("queries.jsonl", self.QUERIES)
        return hc.Check(self.directory).run()


class Planted(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.history = History(directory.name)

    def assert_violated(self, promise, text, count=1):
        """Checks that only this promise is violated and its lines are given."""
        verdicts = self.history.check()
        found = {name: [v[0] for v in verdict.violations]
                 for name, verdict in verdicts.items() if verdict.violations}
        self.assertEqual(list(found), [promise], found)
        self.assertEqual(len(found[promise]), count, found)
        self.assertIn(text, found[promise][0])
        self.assertTrue(all(lines and lines[0]["at"] for _, lines in
                            verdicts[promise].violations))
        self.assertEqual(hc.status_of(verdicts), 1)

    def assert_held(self):
        verdicts = self.history.check()
        out = io.StringIO()
        hc.report(verdicts, 9, out)
        self.assertEqual({v.result() for v in verdicts.values()}, {"held"},
                         out.getvalue())
        self.assertEqual(hc.status_of(verdicts), 0)


class Clean(Planted):
    def test_clean_history(self):
        self.assert_held()

    def test_nothing_is_said_of_what_was_not_seen(self):
        """Without a planned stop in the history, that promise is unchecked."""
        self.history.events = [e for e in self.history.events
                               if e["event"] not in ("term", "exit")]
        verdicts = self.history.check()
        self.assertEqual(verdicts[hc.PLANNED_STOP].result(), "not checked")
        self.assertEqual(hc.status_of(verdicts), 3)

    def test_command(self):
        self.history.check()
        args = [ROOT / "bench" / "history-check", self.history.directory]
        result = subprocess.run(args, capture_output=True, check=False)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertEqual(result.stdout.count(b"\nheld"), 7, result.stdout)
        self.history.first["answer"]["count"] += 1
        self.history.check()
        result = subprocess.run(args, capture_output=True, check=False)
        self.assertEqual(result.returncode, 1)
        self.assertIn(b"load0.history.jsonl:1 ", result.stdout)

    def test_no_histories(self):
        with tempfile.TemporaryDirectory() as empty:
            args = [ROOT / "bench" / "history-check", empty]
            result = subprocess.run(args, capture_output=True, check=False)
        self.assertEqual(result.returncode, 2)


class Snapshot(Planted):
    def test_count_of_another_version(self):
        answer = self.history.first["answer"]
        found = self.history.data.scan(2, {"state": "open"}, 3)
        self.assertNotEqual(found["count"], answer["count"])
        answer["count"] = found["count"]
        self.assert_violated(hc.SNAPSHOT, "count")

    def test_records_of_two_versions(self):
        """An answer merges one shard's records of the next version."""
        answer = self.history.first["answer"]
        first = [r["order"] for r in answer["records"]]
        other = self.history.data.scan(2, {"state": "open"}, 9)["records"]
        answer["records"][-1] = next(r for r in other
                                     if r["order"] not in first)
        self.assert_violated(hc.SNAPSHOT, "records differ")

    def test_version_that_no_server_had_yet(self):
        for line in self.history.backend:
            if line["event"] == "fault" and "version" in line["command"]:
                line["time_us"] = 4500000
        self.assert_violated(hc.SNAPSHOT, "snapshot 2 was at no server")


class Coverage(Planted):
    def test_more_claimed_than_answered(self):
        """An answer with a shard missing claims more than was answered."""
        coverage = self.history.partial["answer"]["coverage"]
        coverage["covered"] += 1
        self.assert_violated(hc.COVERAGE, "covered")

    def test_wrong_total(self):
        self.history.first["answer"]["coverage"]["total"] += 1
        self.assert_violated(hc.COVERAGE, "total")

    def test_wrong_ratio(self):
        self.history.partial["answer"]["coverage"]["ratio"] = 0.95
        self.assert_violated(hc.COVERAGE, "ratio")

    def test_insufficient_is_said_to_suffice(self):
        self.history.partial["answer"]["coverage"]["sufficient"] = True
        self.assert_violated(hc.COVERAGE, "sufficient")

    def test_shard_that_no_server_answered(self):
        start = self.history.server_lines(self.history.first)[0]
        start["shards"] = HALVES[:1]
        self.assert_violated(hc.COVERAGE, "answered usably by no server")

    def test_shard_answered_in_another_version(self):
        self.history.server_lines(self.history.first)[0]["version"] = 2
        self.assert_violated(hc.COVERAGE, "answered usably by no server")

    def test_truncated_answer_was_taken(self):
        self.history.server_lines(self.history.first)[1]["spoilt"] = True
        self.assert_violated(hc.COVERAGE, "answered usably by no server")

    def test_answer_that_came_after_the_callers(self):
        end = self.history.server_lines(self.history.first)[1]
        end["time_us"] = self.history.first["return"] + 1
        self.assert_violated(hc.COVERAGE, "answered usably by no server")


class Whole(Planted):
    def test_answer_of_another_caller(self):
        answer = self.history.first["answer"]
        answer["request_id"] = self.history.partial["id"]
        self.assert_violated(hc.INTEGRITY, "was given to")

    def test_records_missing(self):
        self.history.first["answer"]["records"].pop()
        self.history.counted["answer"]["records"] = []
        verdicts = self.history.check()
        self.assertIn("2 records instead of 3",
                      verdicts[hc.INTEGRITY].violations[0][0])

    def test_record_that_was_not_asked_for(self):
        self.history.first["answer"]["records"][0]["state"] = "done"
        verdicts = self.history.check()
        self.assertIn("not asked for", verdicts[hc.INTEGRITY].violations[0][0])

    def test_malformed_answer(self):
        self.history.refused["outcome"] = "malformed"
        self.assert_violated(hc.INTEGRITY, "breaks the protocol")

    def test_cut_off_by_a_well_instance(self):
        self.history.add_attempt(7 * S, "cut_off", 0)
        self.assert_violated(hc.INTEGRITY, "the instance was well")

    def test_cut_off_by_a_crash(self):
        self.history.add_attempt(7 * S, "cut_off", 0)
        for event, at in (("kill", 7 * S + 5000), ("start", 8 * S)):
            self.history.event(event, at, instance="a", address=ADDRESS)
        self.assert_held()

    def test_done_but_nowhere_run(self):
        self.history.backend = [x for x in self.history.backend
                                if x.get("ticket") != "t1"]
        self.history.run_request(7 * S, "t3")
        self.assert_violated(hc.INTEGRITY, "no server ran it")

    def test_two_answers_to_a_ticket(self):
        again = copy.deepcopy(self.history.done)
        again["answer"]["result"] = {"ran": "again"}
        self.history.load.append(again)
        self.assert_violated(hc.INTEGRITY, "two answers")


class NotRun(Planted):
    def test_refused_search_ran(self):
        self.history.add_work(5 * S + 1000, "search",
                              self.history.refused["id"],
                              version=1, shards=HALVES)
        self.assert_violated(hc.NOT_RUN, "a server ran it")

    def test_refused_search_was_refused_by_servers(self):
        self.history.add_work(5 * S + 1000, "search",
                              self.history.refused["id"], version=1,
                              shards=HALVES, answer="shed", ran=False)
        self.assert_held()

    def test_search_that_ran_when_sent_again(self):
        """A refused search may run when the caller sends it again."""
        line = self.history.search(8 * S)
        first = copy.deepcopy(self.history.refused)
        first["id"] = first["answer"]["request_id"] = line["id"]
        first["invoke"] = 7 * S
        line["attempt"] = 2
        self.history.load.append(first)
        self.assert_held()

    def test_refused_run_ran(self):
        """A run reported as not_run must not have run on any server."""
        self.history.add_work(9 * S, "run", "x", ticket="t2")
        self.assert_violated(hc.NOT_RUN, "but it ran")


class AtMostOnce(Planted):
    def test_ticket_ran_on_two_servers(self):
        self.history.add_work(6 * S + 3000, "run", "x", "desk-2", ticket="t1")
        self.assert_violated(hc.AT_MOST_ONCE, "ran 2 times")

    def test_second_ticket_of_a_request_ran_too(self):
        """The caller lost the first answer and took a second ticket."""
        first = self.history.run_request(7 * S, "t4")
        second = self.history.run_request(8 * S, "t5")
        second["id"] = second["answer"]["request_id"] = first["id"]
        self.assert_violated(hc.AT_MOST_ONCE, "ran 2 times")

    def test_ran_but_lost_the_answer(self):
        self.history.done["outcome"] = "unknown"
        self.assert_held()


class Leaving(Planted):
    def test_work_after_the_grace(self):
        self.history.search(14 * S, version=2)
        self.assert_violated(hc.LEAVING, "4.0 s after it began to leave")

    def test_run_after_the_grace(self):
        self.history.run_request(14 * S, "t6")
        self.assert_violated(hc.LEAVING, "4.0 s after it began to leave")

    def test_work_after_it_came_back(self):
        self.history.fault(14 * S, "desk-1", fault="drain", on=0)
        self.history.search(15 * S, version=2)
        self.assert_held()

    def test_sent_before_to_a_paused_server(self):
        self.history.fault(11 * S, "desk-1", fault="pause", ms=3000)
        self.history.search(14 * S, version=2)
        self.assert_held()

    def test_server_that_the_table_lets_go(self):
        self.history.event("publish", 35 * S, revision=6, valid=True,
                           leaving=["desk-2"])
        for name in "a", "b":
            self.history.status(41 * S, name, 6)
        self.history.search(46 * S, version=2, server="desk-2")
        self.assert_violated(hc.LEAVING, "11.0 s after it began to leave")


class PlannedStop(Planted):
    def test_request_cut_off(self):
        self.history.stopping.update(outcome="cut_off", status=0, answer=None)
        self.assert_violated(hc.PLANNED_STOP, "cut_off by a planned stop")

    def test_begun_before_the_stop(self):
        self.history.stopping.update(outcome="silent", status=0, answer=None,
                                     invoke=19 * S)
        self.history.stopping["return"] = 21 * S
        self.assert_violated(hc.PLANNED_STOP, "silent by a planned stop")

    def test_killed_while_stopping(self):
        self.history.stopping.update(outcome="cut_off", status=0, answer=None)
        self.history.add_attempt(19 * S + 999000, "bad_request", 400,
                                 address=OTHER)
        for event in self.history.events:
            if event["event"] == "exit":
                event["event"] = "kill"
        self.assert_held()

    def test_ended_with_an_error(self):
        for event in self.history.events:
            if event["event"] == "exit":
                event["status"] = 1
        self.assert_violated(hc.PLANNED_STOP, "ended with 1")


class Revision(Planted):
    def test_status_goes_back(self):
        self.history.status(41 * S, "a", 1)
        verdicts = self.history.check()
        texts = [v[0] for v in verdicts[hc.REVISION].violations]
        self.assertEqual(texts, ["revision 1 after 5",
                                 "revision 5 is not in force after 7 s"])

    def test_goes_back_over_a_restart(self):
        for event, at in (("kill", 41 * S), ("start", 42 * S)):
            self.history.event(event, at, instance="a", address=ADDRESS)
        self.history.status(43 * S, "a", 1)
        self.assert_violated(hc.REVISION, "revision 1 after 5")

    def test_answers_go_back(self):
        late = self.history.search(31 * S, version=2, server="desk-2")
        late["answer"]["table"]["revision"] = 5
        self.history.search(32 * S, version=2, server="desk-2")
        self.assert_violated(hc.REVISION, "revision 1 after 5")

    def test_answers_that_crossed(self):
        """Of two overlapping requests, either may have the older revision."""
        late = self.history.search(31 * S, version=2, server="desk-2")
        late["answer"]["table"]["revision"] = 5
        crossed = self.history.search(32 * S, version=2, server="desk-2")
        crossed["invoke"] = 31 * S
        self.assert_held()

    def test_not_in_force_in_time(self):
        self.history.status(33 * S, "a", 1)
        self.history.events[-2:] = [self.history.events[-1]]
        self.history.events = [
            e for e in self.history.events
            if not (e["event"] == "status" and e["instance"] == "a" and
                    e["time_us"] == 40 * S)]
        self.assert_violated(hc.REVISION, "not in force after 7 s")

    def test_late_while_it_could_not_be_reached(self):
        self.history.event("platform", 24 * S, healthy=False)
        self.history.event("platform", 30 * S, healthy=True)
        self.history.status(33 * S, "a", 1)
        self.assert_held()

    def test_late_after_it_was_reachable_again(self):
        self.history.event("platform", 24 * S, healthy=False)
        self.history.event("platform", 26 * S, healthy=True)
        self.history.status(34 * S, "a", 1)
        self.assert_violated(hc.REVISION, "not in force after 7 s")

    def test_refused_table_in_force(self):
        self.history.event("publish", 26 * S, revision=6, valid=False)
        self.history.status(41 * S, "a", 6)
        self.assert_violated(hc.REVISION, "invalid revision 6")

    def test_two_tables_of_one_revision(self):
        self.history.status(41 * S, "a", 5, digest="other")
        self.assert_violated(hc.REVISION, "two tables of revision 5")


if __name__ == "__main__":
    unittest.main(verbosity=2)
