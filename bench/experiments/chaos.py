#!/usr/bin/env python3
"""Injects random faults into real processes under load and checks histories.

    bench/experiments/chaos.py [--seed N] [--seconds N] [--build DIR]
        [--out DIR] [--deployment belgium|fanout]

belgium: 12 services with 2 servers each, which hold all shards. fanout: one
service with 24 servers and 2 replicas of each shard, so that answers can be
partial.

The same seed schedules the same faults at the same times; their effects differ
between runs. Exit status: that of bench/history-check, or 1 if an instance
exited unexpectedly.
"""

import argparse
import heapq
import http.client
import json
import os
import pathlib
import random
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "bench"))

import experiment  # noqa: E402
import history_check  # noqa: E402

TITLE = "random faults under load, histories checked against the guarantees"

DATA_CENTRES = ("be1", "be2", "be3", "be4")
BACKEND_PROCESSES = 2
RATE = 60
MIN_COVERAGE = 0.9
# No faults are injected in this time at the end, so that all can recover.
RECOVERY_SECONDS = 10
MAX_DISTURBED_INSTANCES = 3
STOP_SECONDS = 40
POLL_INTERVAL_SECONDS = 0.15
LOOP_INTERVAL_SECONDS = 0.05
POISON_MARKER = "poison-order"
VERSIONS = 4
TUNABLES = ("address_lifetime_ms=1500", "stop_max_ms=20000",
            "ticket_lifetime_ms=20000")
DEPLOYMENTS = {
    "belgium": ("--scale", 0.2),
    "fanout": ("--fanout", 12, "--replicas", 2, "--data-centres", 4,
               "--records", 360),
}
RUN_SERVICES = {"belgium": "be-registry", "fanout": "fanout"}
MEAN_FAULT_INTERVAL_SECONDS = 0.5
REPLICA_SET_RATIO = 0.3

SEARCHES = [
    {"service": "be-desk-01", "limit": 5},
    {"service": "be-desk-01", "where": {"urgency": "leak"}, "limit": 10},
    {"service": "be-desk-02", "where": {"state": "open"}, "mode": "count"},
    {"service": "be-desk-03", "where": {"workspace": "ws-07"}},
    {"service": "be-portal-01", "mode": "count"},
    {"service": "be-portal-02", "where": {"urgency": "heating"}, "limit": 3},
    {"service": "be-registry", "where": {"municipality": "Namur"}},
    {"service": "be-reporting", "mode": "count"},
    {"service": "be-desk-04", "where": {"workspace": POISON_MARKER}},
]


def searches(deployment):
    if deployment == "fanout":
        return [{**body, "service": "fanout"} for body in SEARCHES]
    return SEARCHES


def now_us():
    return time.monotonic_ns() // 1000


class Events:
    """Writes events.jsonl; safe to use from several threads."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, event, **fields):
        line = {"event": event, "time_us": now_us(), **fields}
        with self.lock:
            self.file.write(json.dumps(line) + "\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


class ManagedInstance:
    """An instance that keeps its name and addresses across restarts."""

    def __init__(self, bench, events, initial):
        self.bench = bench
        self.events = events
        self.initial = initial
        self.process = initial
        self.name = initial.instance
        self.state = "live"
        self.stopping_since = None
        events.write("start", instance=self.name, address=initial.address)

    def log_event(self, event, **fields):
        self.events.write(event, instance=self.name,
                          address=self.initial.address, **fields)

    def start(self):
        settings = self.bench.out / f"{self.name}.settings.json"
        binary = self.bench.build / "garnetreach"
        self.log_event("start")
        self.process = self.bench.track(
            experiment.Process(self.name, [binary, "serve", settings],
                               self.bench.out))
        self.state = "live"

    def kill(self):
        self.log_event("kill")
        self.process.kill()
        self.state = "down"

    def pause(self):
        self.log_event("pause")
        self.process.pause()
        self.state = "paused"

    def resume(self):
        self.process.resume()
        self.log_event("resume")
        self.state = "live"

    def ask_to_stop(self):
        self.log_event("term")
        self.process.ask_to_stop()
        self.state = "stopping"
        self.stopping_since = time.monotonic()

    def poll_exit(self):
        """Records an exit; returns whether it was unexpected."""
        status = self.process.child.poll()
        if self.state in ("down", "died", "starting") or status is None:
            return False
        expected = self.state == "stopping"
        self.log_event("exit" if expected else "died", status=status)
        self.state = "down" if expected else "died"
        return not expected


class Poller(threading.Thread):
    """Records the table revision on an instance's status page."""

    def __init__(self, events, member):
        super().__init__(daemon=True)
        self.events = events
        self.member = member
        self.stop_event = threading.Event()

    def run(self):
        while not self.stop_event.wait(POLL_INTERVAL_SECONDS):
            requested_at = now_us()
            try:
                page = self.read()
            except (OSError, ValueError, http.client.HTTPException):
                continue
            table = page.get("table") or {}
            self.events.write(
                "status", asked_us=requested_at, instance=self.member.name,
                incarnation=page["incarnation"], lifecycle=page["lifecycle"],
                revision=table.get("revision"), digest=table.get("digest"))

    def read(self):
        status, _, text = experiment.request(
            self.member.initial.port, "GET", "/v1/status", timeout=1)
        if status != 200:
            raise ValueError(status)
        return json.loads(text)


class Chaos:
    """The processes of a run and the schedule of faults."""

    def __init__(self, bench, seed, seconds, deployment):
        self.bench = bench
        self.deployment_name = deployment
        self.searches = searches(deployment)
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.events = Events(bench.out / "events.jsonl")
        self.timers = []
        self.timer_sequence = 0
        self.unexpected_exits = 0
        self.platform_faulty = False
        self.versions = {}
        self.counts = {}

    # Start

    def start(self):
        bench = self.bench
        self.platform = bench.platform()
        self.deployment = experiment.Deployment(
            bench, *DEPLOYMENTS[self.deployment_name], "--service-us", 1000,
            "--service-random-us", 3000,
            *(word for item in TUNABLES for word in ("--tunable", item)),
            processes=BACKEND_PROCESSES, histories=True)
        self.servers = json.loads(
            (self.deployment.directory / "servers.json").read_text()
        )["servers"]
        self.table = self.deployment.table
        self.publish()
        places = [(f"{dc}-{letter}", dc) for letter in "ab"
                  for dc in DATA_CENTRES]
        self.members = [ManagedInstance(bench, self.events, instance)
                        for instance in bench.instances(self.platform, places)]
        self.events.write(
            "run", version=1, min_coverage=MIN_COVERAGE,
            addresses={m.initial.address: m.name for m in self.members})
        self.wait_for_answers()
        self.pollers = [Poller(self.events, m) for m in self.members]
        for poller in self.pollers:
            poller.start()

    def wait_for_answers(self):
        for member in self.members:
            experiment.wait_until(
                f"full coverage at {member.name}",
                lambda m=member: self.covers_all(m.initial))

    def covers_all(self, instance):
        for body in self.searches:
            status, answer = instance.search({**body, "limit": 1})
            if status != 200 or answer["coverage"]["ratio"] < 1:
                return False
        return True

    def start_load(self):
        queries = self.bench.out / "queries.jsonl"
        queries.write_text(
            "".join(json.dumps(body) + "\n" for body in self.searches))
        addresses = [m.initial.address for m in self.members]
        return [
            self.bench.load_start(
                addresses, "--data-centre", dc, "--queries", queries,
                "--rate", str(RATE), "--seconds",
                str(self.seconds + RECOVERY_SECONDS), "--history",
                self.bench.out / f"load{i}.history.jsonl",
                "--history-answers", "--runs", "0.2", "--run-service",
                RUN_SERVICES[self.deployment_name], "--repeat-runs", "0.3",
                "--resend-not-run", "--patience-ms", "1000", "--timeout-ms",
                "5000", "--callers", "6", "--seed",
                str(self.rng.randrange(1 << 20)))
            for i, dc in enumerate(DATA_CENTRES[:2])
        ]

    # Schedule

    def schedule(self, seconds, action, *arguments):
        self.timer_sequence += 1
        heapq.heappush(self.timers, (time.monotonic() + seconds,
                                     self.timer_sequence, action, arguments))

    def run(self):
        self.start()
        loads = self.start_load()
        start = time.monotonic()
        next_fault = start
        while time.monotonic() < start + self.seconds + RECOVERY_SECONDS:
            now = time.monotonic()
            if now >= next_fault and now < start + self.seconds:
                self.inject_fault()
                next_fault += self.rng.expovariate(
                    1 / MEAN_FAULT_INTERVAL_SECONDS)
            while self.timers and self.timers[0][0] <= now:
                _, _, action, arguments = heapq.heappop(self.timers)
                action(*arguments)
            self.poll_members()
            time.sleep(LOOP_INTERVAL_SECONDS)
        summaries = [self.bench.load_end(load)[0] for load in loads]
        self.end()
        return summaries

    def end(self):
        for poller in self.pollers:
            poller.stop_event.set()
        for poller in self.pollers:
            poller.join()
        for backend in self.deployment.backends:
            backend.stop()
        self.events.close()

    def poll_members(self):
        for member in self.members:
            if member.poll_exit():
                self.unexpected_exits += 1
            late = (member.state == "stopping" and
                    time.monotonic() > member.stopping_since + STOP_SECONDS)
            if late:
                member.log_event("stop_too_long")
                member.kill()
            if member.state in ("down", "died"):
                member.state = "starting"
                self.schedule(self.rng.uniform(0.2, 2), self.restart, member)

    def restart(self, member):
        member.start()
        self.publish_instances()

    def inject_fault(self):
        name = self.rng.choices(list(FAULT_WEIGHTS),
                                list(FAULT_WEIGHTS.values()))[0]
        if getattr(self, name)():
            self.counts[name] = self.counts.get(name, 0) + 1

    # Instances

    def publish_instances(self):
        self.platform.instances(
            [m.initial.row("leaving" if m.state == "stopping" else "live")
             for m in self.members])

    def pick_live_member(self):
        live = [m for m in self.members if m.state == "live"]
        member = self.rng.choice(self.members)
        if len(self.members) - len(live) >= MAX_DISTURBED_INSTANCES:
            return None
        return member if member.state == "live" else None

    def kill_instance(self):
        member = self.pick_live_member()
        if member:
            member.kill()
        return member

    def pause_instance(self):
        member = self.pick_live_member()
        seconds = self.rng.uniform(0.1, 5)
        if member:
            member.pause()
            self.schedule(seconds, member.resume)
        return member

    def stop_instance(self):
        member = self.pick_live_member()
        if member:
            member.ask_to_stop()
            self.publish_instances()
        return member

    def list_lag(self):
        lag = self.rng.choice([0, 500, 4000])
        self.platform.state(list_lag_ms=lag)
        return True

    # Platform

    def platform_fault(self):
        names = ["down", "stale", "old", "flap"]
        name = self.rng.choice(names)
        seconds = self.rng.uniform(0.5, 6)
        if self.platform_faulty:
            return False
        newest = self.revisions[-1]
        older = self.revisions[max(0, len(self.revisions) - 3)]
        state = {"down": {"down": True}, "stale": {"stale": True},
                 "old": {"serve_old": older},
                 "flap": {"flap": [older, newest]}}[name]
        clear = {"down": {"down": False}, "stale": {"stale": False},
                 "old": {"serve_old": 0}, "flap": {"flap": None}}[name]
        self.platform_faulty = True
        self.events.write("platform", healthy=False, state=state)
        self.platform.state(**state)
        self.schedule(seconds, self.clear_platform_fault, clear)
        return True

    def clear_platform_fault(self, clear):
        self.platform.state(**clear)
        self.events.write("platform", healthy=True, state=clear)
        self.platform_faulty = False

    # Table

    revisions = ()

    def publish(self, table=None, valid=True):
        revision = self.platform.publish(table or self.table)
        if valid:
            self.revisions = [*self.revisions, revision]
        self.events.write("publish", revision=revision, valid=valid,
                          leaving=self.leaving())

    def column(self, sheet, name):
        """The index of a column, which is added if the sheet lacks it."""
        sheet = self.table[sheet]
        if name not in sheet["columns"]:
            sheet["columns"].append(name)
            for row in sheet["rows"]:
                row.append("on" if name == "state" else 100)
        return sheet["columns"].index(name)

    def leaving(self):
        if "state" not in self.table["servers"]["columns"]:
            return []
        column_index = self.column("servers", "state")
        return [row[0] for row in self.table["servers"]["rows"]
                if row[column_index] == "leaving"]

    def edit_weight(self):
        column_index = self.column("servers", "weight")
        row = self.rng.choice(self.table["servers"]["rows"])
        row[column_index] = self.rng.choice([1, 50, 100, 200])
        self.publish()
        return True

    def edit_state(self):
        column_index = self.column("servers", "state")
        row = self.rng.choice(self.table["servers"]["rows"])
        if row[column_index] == "leaving" or len(self.leaving()) >= 2:
            return False
        row[column_index] = "leaving"
        self.publish()
        self.schedule(self.rng.uniform(4, 14), self.reactivate_server, row,
                      column_index)
        return True

    def reactivate_server(self, row, column_index):
        row[column_index] = "on"
        self.publish()

    def edit_invalid(self):
        table = json.loads(json.dumps(self.table))
        table["services"]["rows"][0][1] = "no-such-market"
        self.publish(table, valid=False)
        self.schedule(self.rng.uniform(0.2, 2), self.publish)
        return True

    # Backend servers

    def control_servers(self, servers, seconds, fault, revert=None):
        for server in servers:
            self.deployment.control(server=server, **fault)
        if revert:
            self.schedule(seconds, self.control_servers, servers, 0, revert)
        return True

    def pick_servers(self):
        """A random server or, with probability REPLICA_SET_RATIO, its whole
        replica set."""
        picked = self.rng.choice(self.servers)
        if self.rng.random() >= REPLICA_SET_RATIO:
            return [picked["server"]]
        return [s["server"] for s in self.servers
                if s["service"] == picked["service"] and
                s["index"] // 2 == picked["index"] // 2]

    def backend_fault(self):
        rng = self.rng
        target = self.pick_servers()
        name, revert = rng.choice([
            ("slow", {"factor": 1}), ("crash", None), ("silent", None),
            ("pause", None), ("reset", None), ("shed", {"ratio": 0}),
            ("cold", {"factor": 1}), ("wrong_version", {"probability": 0}),
            ("foreign", {"probability": 0}), ("truncate", {"probability": 0}),
            ("lie_health", {"on": 0})])
        values = {
            "slow": {"factor": rng.choice([5, 50]),
                     "probability": rng.choice([0.1, 1])},
            "crash": {"restart_ms": rng.randint(100, 2000)},
            "silent": {"forget_ms": rng.choice([-1, 500])},
            "pause": {"ms": rng.randint(100, 3000)},
            "shed": {"ratio": rng.choice([0.3, 1]), "retry_ms": 50},
            "cold": {"ms": 2000, "requests": 20},
        }.get(name, {"probability": rng.choice([0.2, 1])})
        seconds = rng.uniform(0.5, 4)
        return self.control_servers(target, seconds, {"fault": name, **values},
                                    revert and {"fault": name, **revert})

    def drain(self):
        target = self.pick_servers()
        seconds = self.rng.uniform(3.5, 8)
        return self.control_servers(target, seconds, {"fault": "drain"},
                                    {"fault": "drain", "on": 0})

    def poison(self):
        return self.control_servers(
            ["*"], 4, {"fault": "crash_on", "marker": POISON_MARKER,
                       "restart_ms": 300}, {"fault": "crash_on"})

    def switch_version(self):
        """Switches all servers of a service, each after a random delay."""
        rng = self.rng
        service = rng.choice(self.searches)["service"]
        version = min(VERSIONS, self.versions.get(service, 1) +
                      rng.choice([0, 1, 1]))
        self.versions[service] = version
        command = {"fault": "version", "version": version,
                   "shards": rng.choice([4, 8, 8, 12, 16]),
                   "keep_ms": rng.choice([0, 300, 3000])}
        for server in self.servers:
            if server["service"] != service:
                continue
            delay = rng.uniform(0, 0.5)
            self.schedule(delay, lambda name=server["server"]:
                          self.deployment.control(server=name, **command))
        return True


# Relative frequency of each fault; the keys are names of Chaos methods.
FAULT_WEIGHTS = {
    "kill_instance": 3, "pause_instance": 4, "stop_instance": 4,
    "list_lag": 1, "platform_fault": 2, "edit_weight": 2, "edit_state": 2,
    "edit_invalid": 1, "backend_fault": 8, "drain": 3, "poison": 1,
    "switch_version": 3,
}


def sanitizer_reports(directory):
    """Names of logs that contain a sanitizer error."""
    out = []
    for path in sorted(directory.glob("*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        if "AddressSanitizer" in text or "runtime error:" in text:
            out.append(path.name)
    return out


def run(bench, seed=1, seconds=30, deployment="belgium"):
    """Runs the experiment; returns the exit status."""
    chaos = Chaos(bench, seed, seconds, deployment)
    summaries = chaos.run()
    for summary in summaries:
        print(json.dumps({k: summary[k] for k in
                          ("sent", "outcomes", "runs", "coverage")}))
    print(json.dumps({"seed": seed, "seconds": seconds,
                      "deployment": deployment,
                      "faults": chaos.counts, "died": chaos.unexpected_exits,
                      "sanitizers": sanitizer_reports(bench.out)}))
    verdicts = history_check.Check(bench.out).run()
    history_check.report(verdicts, max_shown=3)
    return (history_check.status_of(verdicts)
            or int(bool(chaos.unexpected_exits)))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=30)
    parser.add_argument("--deployment", choices=DEPLOYMENTS,
                        default="belgium")
    parser.add_argument("--build", default=str(ROOT / "build-rel"))
    parser.add_argument("--out", default=str(ROOT / "out" / "chaos"))
    args = parser.parse_args()
    out = pathlib.Path(args.out)
    for path in [*out.glob("*.jsonl"), *out.glob("*.log")]:
        path.unlink()
    bench = experiment.Bench("chaos", args.build, out)
    # The HTTP library leaks connections that are open at exit.
    os.environ.setdefault("ASAN_OPTIONS", "detect_leaks=0")
    try:
        return run(bench, args.seed, args.seconds, args.deployment)
    finally:
        bench.finish()


if __name__ == "__main__":
    sys.exit(main())
