"""Instances of two builds beside each other, under load, each restarted.

OLD names the build directory of the other build. Three fleets run in turn: of
the old build, of the new one, and with every other instance of each; once with
`serve` and once with `gateway`. The records count what callers got, and the
events that the instances logged as warnings or errors.

Then both builds read what the old one wrote: `check` its settings, table and
routes, `losses` its logs, `explain` and `report` what an old instance answers.
The last records say whether both print the same, with numbers that change by
themselves left out.
"""

import collections
import http.client
import json
import os
import pathlib
import subprocess
import sys
import threading
import time

import experiment

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, OpaqueServer, Store, config_document, free_port, route,
)

TITLE = "every other instance of another build (OLD), each restarted"

INSTANCES = 6
DATA_CENTRES = ("be1", "be2")
RATE = 150
LOAD_SECONDS_MAX = 60
ADDRESS_LIFETIME_MS = 300
LEAVE_SPREAD_MS = 700
CALLERS = 6
CALLER_PAUSE_S = 0.01
SETTLE_S = 1
SERVICES = ["one", "s0", "s1", "s2", "s3"]
ROUTES = [
    route("/any/", service="one"),
    route("/once/", service="one", repeat="once"),
    route("/shards/", shards=SERVICES[1:], records_max=3, coverage_min=0.75),
]
TARGETS = ["/any/1", "/once/1", "/shards/1"]


def logged(lines):
    """Warnings and errors by event."""
    return dict(collections.Counter(
        line["event"] for line in lines
        if line.get("level") in ("warn", "error") or line["event"] == "no JSON"
    ))


def log_lines(path):
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            yield json.loads(line)
        except ValueError:
            yield {"event": "no JSON"}


def output(build, *args):
    """Exit status and output of a command of a build."""
    done = subprocess.run([str(build / "garnetreach"), *map(str, args)],
                          capture_output=True, text=True, check=False)
    return done.returncode, done.stdout


def same(bench, old, *args):
    """Records whether a command of both builds prints the same."""
    results = [output(build, *args) for build in (old, bench.build)]
    bench.record(way="read", command=args[0], status=results[0][0],
                 bytes=len(results[0][1]), same=results[0] == results[1])


def without_age(value):
    """A JSON value less how long ago the oldest trace was."""
    if isinstance(value, list):
        return [without_age(item) for item in value]
    if isinstance(value, dict):
        return {key: without_age(item) for key, item in value.items()
                if key != "kept_ms"}
    return value


def explained(build, address, request_id):
    status, text = output(build, "explain", "--json", address, request_id)
    return status, [without_age(json.loads(line))
                    for line in text.splitlines()]


def read_by_both(bench, old, instance):
    """An old instance's settings, table and answers."""
    same(bench, old, "check", bench.out / f"{instance.instance}.settings.json")
    same(bench, old, "check", bench.out / "data" / "table.json")
    instance.search({"service": "be-desk-01", "mode": "count",
                     "request_id": "two-builds-1"})
    found = [explained(build, instance.address, "two-builds-1")
             for build in (old, bench.build)]
    bench.record(way="read", command="explain", status=found[0][0],
                 same=found[0] == found[1])
    reports = [output(build, "report", "--json", instance.address)
               for build in (old, bench.build)]
    keys = [sorted(json.loads(text)) for _, text in reports]
    bench.record(way="read", command="report", status=reports[0][0],
                 same=reports[0][0] == reports[1][0] and keys[0] == keys[1])


def serve_fleet(bench, way, builds):
    """Searches and runs, while each instance is replaced by a new one."""
    platform = bench.platform()
    data = bench.deployment(
        "--scale", "0.05", "--service-us", "500", "--data-centres",
        str(len(DATA_CENTRES)), "--tunable",
        f"address_lifetime_ms={ADDRESS_LIFETIME_MS}", "--tunable",
        f"leave_spread_ms={LEAVE_SPREAD_MS}")
    platform.publish(data.table)
    services = [row[0] for row in data.table["services"]["rows"]]
    queries = data.write_queries("queries.jsonl", [
        {"service": service, **more} for service in services
        for more in ({"mode": "count"}, {"limit": 1000})])

    def start(number):
        dc = DATA_CENTRES[number % len(DATA_CENTRES)]
        build = builds[number % INSTANCES]
        return bench.track(experiment.Instance(
            build / "garnetreach", f"{dc}-{number}", dc, platform, bench.out))

    def whole(instance):
        for service in services:
            _, found = instance.search({"service": service, "mode": "count"})
            if (found["outcome"] != "done" or found["coverage"]["covered"]
                    != found["coverage"]["total"]):
                return False
        return True

    instances = [start(i) for i in range(INSTANCES)]
    platform.instances([i.row() for i in instances])
    for instance in instances:
        experiment.wait_until("whole answers", lambda i=instance: whole(i))
    started = list(instances)
    if way == "old":
        read_by_both(bench, builds[0], instances[0])
    load = bench.load_start(
        [i.address for i in instances], "--queries", queries, "--rate",
        str(RATE), "--seconds", str(LOAD_SECONDS_MAX), "--data-centre", "be1",
        "--runs", "0.3", "--run-service", services[0], "--repeat-runs", "0.5",
        "--resend-not-run")
    statuses = []
    for number in range(INSTANCES):
        old = instances.pop(0)
        instances.append(start(INSTANCES + number))
        started.append(instances[-1])
        platform.instances([old.row()] + [i.row() for i in instances])
        experiment.wait_until("the new instance serves",
                              lambda: whole(instances[-1]))
        statuses.append(old.stop())
        platform.instances([i.row() for i in instances])
    load.ask_to_stop()
    out, _ = bench.load_end(load)
    bench.record(
        way=way, role="serve", restarts=len(statuses),
        exit_0=statuses.count(0), sent=out["sent"], outcomes=out["outcomes"],
        runs=out["runs"], wrong=out["wrong"],
        coverage_min=out["coverage"]["min"],
        cut_off=sum(r["cut_off"] for r in out["addresses"].values()),
        cut_off_reused=sum(
            r["cut_off_reused"] for r in out["addresses"].values()),
        logged=logged(line for i in started for line in log_lines(i.log_path)))


class Callers:
    """Threads that send requests to the gateways that are in the list."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.answers = collections.Counter()
        self.lock = threading.Lock()
        self.ended = False
        self.threads = [threading.Thread(target=self.run, args=(i,))
                        for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = number
        while not self.ended:
            count += 1
            with self.lock:
                gateway = self.gateways[count % len(self.gateways)]
            target = TARGETS[count % len(TARGETS)]
            conn = http.client.HTTPConnection(gateway.ip, gateway.port,
                                              timeout=10)
            try:
                conn.request("GET", target, headers={
                    "Host": HOST, "X-Request-Id": f"c{number}-{count}"})
                answer = conn.getresponse()
                answer.read()
                result = str(answer.status)
            except (OSError, http.client.HTTPException) as error:
                result = type(error).__name__
            finally:
                conn.close()
            with self.lock:
                self.answers[f"{target} {result}"] += 1
            time.sleep(CALLER_PAUSE_S)

    def stop(self):
        self.ended = True
        for thread in self.threads:
            thread.join()
        return dict(sorted(self.answers.items()))


def gateway_fleet(bench, way, builds):
    """Requests to gateways, each of which is stopped and started once."""
    store = Store()
    servers = [OpaqueServer(store, f"{service}-{n}", service, f"dc-{n}")
               for service in SERVICES for n in range(2)]
    for server in servers:
        if server.service != "one":
            server.respond = OpaqueServer.send_records
    store.put("op/config", config_document(1, ROUTES, SERVICES))
    peer_port = free_port()
    folder = bench.out / f"gateway-{way}"
    folder.mkdir(parents=True, exist_ok=True)
    gateways = [
        Gateway(build, folder, store, number, peer_port,
                data_centre=f"dc-{number // 2 % 2}",
                seeds=[f"127.0.0.10:{peer_port}",
                       f"127.0.0.11:{peer_port}"])
        for number, build in enumerate(builds)]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        experiment.wait_until("ready", gateway.is_ready)
    serving = list(gateways)
    callers = Callers(serving)
    statuses = []
    try:
        time.sleep(SETTLE_S)
        for gateway in gateways:
            with callers.lock:
                serving.remove(gateway)
            time.sleep(SETTLE_S)
            statuses.append(gateway.stop())
            gateway.start()
            experiment.wait_until("ready again", gateway.is_ready)
            with callers.lock:
                serving.append(gateway)
        time.sleep(SETTLE_S)
    finally:
        answers = callers.stop()
        last = [gateway.stop() for gateway in gateways]
    bench.record(
        way=way, role="gateway", restarts=len(statuses),
        exit_0=(statuses + last).count(0), answers=answers,
        logged=logged(line for g in gateways for line in g.log()))
    if way == "old":
        routes = folder / "routes.json"
        routes.write_text(json.dumps(config_document(1, ROUTES, SERVICES)))
        same(bench, builds[0], "check", routes)
        same(bench, builds[0], "check", gateways[0].path)
        same(bench, builds[0], "losses", "--json",
             *[g.log_path for g in gateways])
    for server in servers:
        server.close()
    store.shutdown()
    store.server_close()


def run(bench):
    old = pathlib.Path(os.environ["OLD"]).resolve()
    new = bench.build
    ways = {"old": [old], "new": [new], "mixed": [old, new]}
    for way, builds in ways.items():
        builds = [builds[i % len(builds)] for i in range(INSTANCES)]
        with bench.part(f"serve-{way}") as part:
            serve_fleet(part, way, builds)
        gateway_fleet(bench, way, builds)
