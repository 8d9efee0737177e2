"""Demonstration: runs both example deployments against a simulated platform
and simulated backend servers.

Called by scripts/demo.sh. Prints each step, and exits 1 if an answer differs
from the data or a planned stop interrupts a request.
"""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import time

import experiment
import scan

READY_SECONDS = 30
PUBLISH_SECONDS = 10
LOAD_RATE = 100
LOAD_SECONDS = 12

FLEETS = {
    "belgium": [("be1", 2), ("be2", 2), ("be3", 2), ("be4", 2)],
    "costa-rica": [("cr1", 3), ("cr2", 2), ("cr3", 2)],
}


class Mismatch(Exception):
    """An observed result differs from the expected one."""


def echo(text):
    print(text, flush=True)


class Fleet:
    """A deployment with its platform, backend servers and instances."""

    def __init__(self, name, build_dir, out_dir, scale):
        self.name = name
        self.bench = experiment.Bench(name, build_dir,
                                      pathlib.Path(out_dir) / name)
        self.platform = self.bench.platform()
        self.data = self.bench.deployment(
            "--deployment", name, "--scale", scale, processes=2,
            backend_options=("--service-us", "300"))
        self.table = self.data.table
        self.revision = self.platform.publish(self.table)
        places = [(f"{dc}-{'abc'[i]}", dc)
                  for dc, n in FLEETS[name] for i in range(n)]
        self.instances = self.bench.instances(self.platform, places)
        self.binary = self.bench.build / "garnetreach"

    def servers(self):
        return self.column("servers", "name")

    def column(self, sheet, name):
        column_index = self.table[sheet]["columns"].index(name)
        return [row[column_index] for row in self.table[sheet]["rows"]]

    def wait_ready(self):
        n = len(self.servers())
        experiment.wait_until(
            f"{self.name}: all servers reachable",
            lambda: all(self.reachable(i) == n for i in self.instances),
            READY_SECONDS)

    @staticmethod
    def reachable(instance):
        return sum(
            any(home["reachable"] for home in server["homes"])
            for server in instance.status()["servers"])

    def addresses(self):
        return [i.address for i in self.instances]

    def query(self, service, where, mode="records", limit=3):
        """Runs a query on the command line and checks the answer."""
        args = [str(self.binary), "query", self.instances[0].address,
                "--service", service, "--where", json.dumps(where),
                "--mode", mode, "--limit", str(limit)]
        echo("$ garnetreach query " + " ".join(
            f"'{a}'" if "{" in a else a for a in args[2:]))
        subprocess.run(args, check=False, stdout=sys.stdout.buffer)
        sys.stdout.flush()
        answer = json.loads(subprocess.run(
            [*args, "--json"], check=False, capture_output=True).stdout)
        self.check(service, where, answer, limit if mode == "records" else 0)
        return answer

    def check(self, service, where, answer, limit):
        """Compares an answer with a scan of the covered shards' records."""
        missing = [(m["lo"], m["hi"]) for m in answer["coverage"]["missing"]]
        ranges = covered_ranges(missing)
        data = scan.Data(self.data.directory, service)
        expected = data.scan(answer["snapshot"], where, limit, ranges)
        everything = data.scan(answer["snapshot"], where)
        if (answer["count"] != expected["count"]
                or answer["coverage"]["covered"] != expected["total"]
                or answer["coverage"]["total"] != everything["total"]
                or answer.get("records", []) != expected["records"]):
            raise Mismatch(f"{service}: answer {answer}, expected {expected}")
        echo(f"  matches a scan of the data file ({expected['count']} of "
             f"{everything['count']} matching records are in the shards "
             "covered)")

    def publish(self):
        """Publishes the table; returns the seconds until all instances
        use it."""
        start = time.monotonic()
        self.revision = self.platform.publish(self.table)
        experiment.wait_until(
            f"{self.name}: revision {self.revision} in force everywhere",
            lambda: all(i.status()["table"]["revision"] >= self.revision
                        for i in self.instances), PUBLISH_SECONDS)
        return time.monotonic() - start


def covered_ranges(missing):
    """The hash ranges that remain when the missing ones are removed."""
    ranges = []
    next_point = 0
    for lo, hi in sorted(missing):
        if lo > next_point:
            ranges.append((next_point, lo - 1))
        next_point = hi + 1
    if next_point < scan.POINTS:
        ranges.append((next_point, scan.POINTS - 1))
    return ranges


def show_searches(belgium, costa_rica):
    echo("\n== Searches, checked against the data files")
    belgium.query("be-desk-01", {"urgency": "leak", "state": "open"})
    belgium.query("be-registry", {}, mode="count")
    service = costa_rica.column("services", "name")[0]
    costa_rica.query(service, {}, mode="count")


def servers_by_replica_set(fleet, service):
    """Server names of a service by replica set."""
    sheet = fleet.table["servers"]
    name_index, service_index, set_index = (
        sheet["columns"].index(c) for c in ("name", "service", "replica_set"))
    sets = {}
    for row in sheet["rows"]:
        if row[service_index] == service:
            sets.setdefault(row[set_index], []).append(row[name_index])
    return sets


def show_loss(fleet):
    service = "be-registry"
    servers = [s for group in servers_by_replica_set(fleet, service).values()
               for s in group]
    echo(f"\n== A server of {service} crashes: replicas cover its shards")
    fleet.data.control(fault="crash", server=servers[0])
    answer = fleet.query(service, {}, mode="count")
    if answer["coverage"]["covered"] != answer["coverage"]["total"]:
        raise Mismatch("losing one server reduced the coverage")
    echo(f"\n== Two more crash: coverage falls, and the answer reports it")
    for server in servers[1:3]:
        fleet.data.control(fault="crash", server=server)
    time.sleep(1)
    answer = fleet.query(service, {}, mode="count")
    if answer["coverage"]["covered"] == answer["coverage"]["total"]:
        raise Mismatch("coverage is complete with three servers down")


def show_edit(fleet):
    echo("\n== The table is edited: be-desk-02-1 is set to leaving")
    sheet = fleet.table["servers"]
    if "state" not in sheet["columns"]:
        sheet["columns"].append("state")
        for row in sheet["rows"]:
            row.append("on")
    column_index = sheet["columns"].index("state")
    row = next(r for r in sheet["rows"] if r[0] == "be-desk-02-1")
    row[column_index] = "leaving"
    seconds = fleet.publish()
    echo(f"revision {fleet.revision} in force on all {len(fleet.instances)} "
         f"instances after {seconds * 1000:.0f} ms")
    fleet.query("be-desk-02", {"urgency": "heating"}, limit=1)


def show_stop(fleet):
    stopping = fleet.instances[0]
    echo(f"\n== A graceful stop under load: {LOAD_RATE} searches a second, "
         f"SIGTERM to {stopping.instance}")
    load = fleet.bench.load_start(
        fleet.addresses(), "--rate", str(LOAD_RATE), "--seconds",
        str(LOAD_SECONDS), "--service", "cr-kitchen-01", "--mode", "count")
    time.sleep(2)
    start = time.monotonic()
    status = stopping.stop()
    seconds = time.monotonic() - start
    summary, _ = fleet.bench.load_end(load)
    cut_off = sum(a["cut_off"] + a["silent"]
                  for a in summary["addresses"].values())
    echo(f"{stopping.instance} ended after {seconds:.1f} s with status "
         f"{status}; {summary['sent']} searches sent, outcomes "
         f"{summary['outcomes']}, {cut_off} cut off, p99 "
         f"{summary['latency_us']['p99'] / 1000:.1f} ms")
    if (status != 0 or cut_off
            or summary["outcomes"].get("done") != summary["sent"]):
        raise Mismatch("the graceful stop interrupted requests")


def run_demo(args, fleets):
    echo("== Starting both deployments")
    for name in FLEETS:
        fleets.append(Fleet(name, args.build, args.out, args.scale))
    belgium, costa_rica = fleets
    for fleet in fleets:
        fleet.wait_ready()
        echo(f"{fleet.name}: {len(fleet.instances)} instances in "
             f"{len(FLEETS[fleet.name])} data centres, "
             f"{len(fleet.column('services', 'name'))} services, "
             f"{len(fleet.servers())} backend servers")
    show_searches(belgium, costa_rica)
    show_loss(belgium)
    show_edit(belgium)
    show_stop(costa_rica)


def wait_for_interrupt(fleets):
    echo("\n== Left running. Try:")
    for fleet in fleets:
        address = fleet.instances[-1].address
        service = fleet.column("services", "name")[0]
        echo(f"  {fleet.binary} status {address}")
        echo(f"  {fleet.binary} query {address} --service {service}")
        echo(f"  curl -T table.json http://{fleet.platform.address}"
             f"/control/values/table   # from {fleet.data.directory}")
    echo("Press Ctrl-C to stop everything.")
    try:
        signal.pause()
    except KeyboardInterrupt:
        pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build-rel")
    parser.add_argument("--out", default="out/demo")
    parser.add_argument("--scale", default="1")
    parser.add_argument("--keep", action="store_true")
    args = parser.parse_args()
    fleets = []
    start = time.monotonic()
    try:
        run_demo(args, fleets)
        if args.keep:
            wait_for_interrupt(fleets)
    except (Mismatch, experiment.Failed) as err:
        echo(f"FAILED: {err}")
        return 1
    finally:
        for fleet in fleets:
            fleet.bench.finish()
    echo(f"\n== Done in {time.monotonic() - start:.0f} s; all "
         "processes stopped")
    return 0


if __name__ == "__main__":
    sys.exit(main())
