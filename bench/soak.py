"""The soak: real instances before backend servers as processes, with proxies
between them and between instances; callers, some with requests that crash
servers; troubles drawn from a seed, in series that overlap. Checked are all
rules of BUDGET, by what callers have sent and servers have seen, and that no
other search is banned.

usage: soak.py BUILD --deployment one-service --mix held --seeds 1-50 --jobs 3

Prints a JSON line for each run, and for each broken rule the lines of all
instances that name the request. The exit status is 1 if a run broke a rule, or
if nothing was sent again beside servers that refuse.
"""

import argparse
import asyncio
import concurrent.futures
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

import experiment
import soak_host
import soak_link
import soak_plan
import soak_rules
import soak_seeds
import soak_stalls
from soak_caller import Caller, CrashingCaller, Results, Route
from soak_troubles import Troubles

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, Store, config_document, free_port, route,
)

# Of a sanitizer's report, more than its stack traces take.
SANITIZER_LINES = 120
READY_S = 30
# Processes have started by then.
START_S = 4
# An instance takes part in the slack once it has run for a window.
WARM_UP_S = soak_plan.WINDOW_S + 2
TROUBLE_S = 22
CALM_S = 3
INSTANCES_MAX = 8
RUNS_MAX = 30
FIRST_OCTET = 10
LOAD_CONTROL = ["priorities", "returns", "turns", "left_out", "pace"]
SECOND_SEND_SHARE_MIN = 0.01
# Of the searches beside those that crash servers.
POPULAR_SHARE = 0.3
# Troubles under which requests reach servers later than they were sent.
HOLDING = ("hold_all", "hold_some", "hold_one", "links_cut", "links_delayed",
           "links_one_way", "peers_cut", "peers_one_way", "peers_delayed",
           "pause", "busy")
# What was held up by a stall has been read by then.
AFTER_STALL_S = 0.2
LOG_LINES_MAX = 30


def plan_routes(deployment, popular):
    """Routes as callers and as the configuration see them. `popular`: the share
    of the searches that are one and the same."""
    callers = []
    routes = []
    for plain in deployment.plain:
        prefix = f"/{plain.name}/"
        callers.append(Route(prefix, [plain.name], plain.timeout_ms / 1000,
                             plain.weight, 0, plain.servers_max))
        routes.append(route(prefix, service=plain.name, servers_max=plain.servers_max,
                            timeout_ms=plain.timeout_ms,
                            goal_ms=plain.goal_ms))
    if deployment.shards:
        services = deployment.shard_services()
        callers.append(Route("/shards/", services,
                             deployment.shard_timeout_ms / 1000,
                             deployment.shard_weight, popular))
        routes.append(route("/shards/", shards=services, records_max=20,
                            coverage_min=0.75, servers_max=3,
                            timeout_ms=deployment.shard_timeout_ms,
                            goal_ms=deployment.shard_goal_ms))
    return callers, routes


class Run:
    """One seed: all processes, the troubles and the checks."""

    def __init__(self, options, seed):
        self.options = options
        self.seed = seed
        self.deployment = soak_plan.DEPLOYMENTS[options.deployment]
        self.plan = soak_plan.draw_plan(seed, options.mix, TROUBLE_S)
        self.bad, self.down = soak_plan.draw_bad(seed, options.mix)
        if options.down:
            self.down = dataclasses.replace(self.down, address=options.down)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = Store()
        self.hosts = soak_host.plan_hosts(self.deployment, self.directory)
        self.routes, self.config_routes = plan_routes(
            self.deployment, POPULAR_SHARE if self.bad else 0)
        self.config_version = 0
        # Runs beside each other, in processes of near ids, share no address.
        self.first_number = INSTANCES_MAX * (os.getpid() % RUNS_MAX)
        self.peer_port = free_port()
        self.peer_proxy = None
        self.peer_proxy_ports = []
        self.server_rules = soak_link.Rules(
            self.directory / "server-links",
            sum(len(host.servers) for host in self.hosts))
        self.peer_links = soak_link.PeerLinks(
            self.directory / "peer-links", self.n_gateways)
        self.gateways = []
        self.directories = []
        self.replaced = []
        self.disturbed_at = {}
        self.results = Results()
        self.bad_callers = []

    @property
    def n_gateways(self):
        return sum(n for _, n in self.deployment.instances)

    @property
    def bad_paths(self):
        return [bad.path for bad in self.bad]

    def services(self):
        return sorted(set().union(*(h.services for h in self.hosts)))

    def configure(self):
        self.config_version += 1
        self.store.put("op/config", config_document(
            self.config_version, self.config_routes, self.services(),
            health_path="/health"))

    def start_servers(self, trouble_at):
        """`trouble_at`: time of the first trouble, monotonic clock."""
        troubles = [{"from": trouble_at + t.at, "to": trouble_at + t.until,
                     "services": self.services(), **ails}
                    for t in self.plan
                    for ails in [self.ailment(t)] if ails]
        settings = {
            "pause_ms": self.deployment.pause_ms,
            "pause_every_ms": self.deployment.pause_every_ms,
            "troubles": troubles, "seed": self.seed,
            "crashing": {bad.path: bad.after_s for bad in self.bad},
        }
        for host in self.hosts:
            host.start(settings, self.server_rules.path, self.down,
                       self.on_server_report)
            for server, port in zip(host.servers, host.ports):
                self.store.put(f"servers/{host.ids[server['name']]}",
                               host.entry(server, port))

    def on_server_report(self, host, report):
        """A server is back: so is its entry, and the old one goes a while after
        the crash, as servers tell the store of themselves."""
        if "down" in report and self.down.new_id:
            threading.Timer(self.down.entry_for_s, self.store.remove,
                            [f"servers/{report['id']}"]).start()
        elif "up" in report:
            host.ids[report["up"]] = report["id"]
            self.store.put(f"servers/{report['id']}",
                           host.entry_of(report["up"]))

    def ailment(self, trouble):
        """What a trouble does inside of servers; later ones replace it."""
        refuse = self.plan[0].amount
        return {"refuse": {"refuse": refuse},
                "slow": {"refuse": 0.3, "slow": 2 + 6 * trouble.amount},
                "reset": {"refuse": refuse / 2, "reset": 0.3},
                }.get(trouble.kind)

    def ip(self, number):
        return f"127.0.0.{FIRST_OCTET + self.first_number + number}"

    def start_peer_proxy(self):
        """All that instances send to each other passes it, by the shim."""
        n = self.n_gateways
        links = [{"to": [self.ip(to), self.peer_port], "port": 0,
                  "rule": own * n + to} for own in range(n) for to in range(n)]
        first = experiment.free_port_range(len(links))
        for i, link in enumerate(links):
            link["port"] = first + i
        self.peer_proxy, self.peer_proxy_ports = soak_host.start_process(
            "soak_proxy.py",
            {"links": links, "rules": str(self.peer_links.rules.path),
             "stalls": str(self.directory / "stalls-peers"),
             "down": "breaks"}, self.directory / "peer-proxy.json")

    def shim_environment(self, number):
        """The shim is a library of the build that the soak belongs to."""
        n = self.n_gateways
        first = self.peer_proxy_ports[number * n]
        return {
            **os.environ, "LD_PRELOAD": str(self.options.shim),
            "ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "")
                            + ":verify_asan_link_order=0",
            "PEER_SHIM": f"{self.peer_port} {FIRST_OCTET + self.first_number}"
                         f" {n} {first} {self.peer_links.rules.path} {number}",
        }

    def start_gateway(self, number):
        centres = [dc for dc, n in self.deployment.instances for _ in range(n)]
        gateway = Gateway(
            self.options.build, self.directory, self.store,
            self.first_number + number, self.peer_port,
            seeds=[f"{self.ip(i)}:{self.peer_port}" for i in (0, 1)],
            data_centre=centres[number], retry_ratio=soak_plan.RATIO,
            retry_slack=self.deployment.slack,
            retry_window_s=soak_plan.WINDOW_S, log_level="info",
            load_control=[] if self.options.plain else LOAD_CONTROL)
        if self.options.shim:
            gateway.environment = self.shim_environment(number)
        gateway.start()
        return gateway

    def start_gateways(self):
        if self.options.shim:
            self.start_peer_proxy()
        self.gateways = [self.start_gateway(i) for i in range(self.n_gateways)]
        self.directories = [g.settings["directory_address"]
                            for g in self.gateways]
        for gateway in self.gateways:
            experiment.wait_until("an instance is ready", gateway.is_ready,
                                  READY_S)

    def disturb(self, gateways):
        now = time.monotonic()
        for gateway in gateways:
            self.disturbed_at[gateway.settings["caller_address"]] = now

    def is_in_touch(self, address):
        at = self.disturbed_at.get(address, float("-inf"))
        return time.monotonic() - at > soak_rules.STABLE_S

    async def play_all(self, trouble_at):
        until = trouble_at + TROUBLE_S + CALM_S
        settings = {
            "directories": self.directories,
            "data_centres": [dc for dc, _ in self.deployment.instances],
            "host": HOST,
            "routes": self.routes,
            "interval_s": self.deployment.callers / self.deployment.rate,
            "is_in_touch": self.is_in_touch,
            "bad_route": self.routes[-1],
            "caller_addresses": [g.settings["caller_address"]
                                 for g in self.gateways],
        }
        callers = [Caller(i, self.seed, settings, self.results)
                   for i in range(self.deployment.callers)]
        self.bad_callers = [
            CrashingCaller(dataclasses.replace(
                bad, at=trouble_at + bad.at - time.monotonic()),
                self.seed, settings, self.results) for bad in self.bad]
        watching = asyncio.create_task(
            soak_stalls.watch(self.directory / "stalls-callers"))
        await asyncio.gather(
            *(caller.run(until) for caller in callers + self.bad_callers),
            Troubles(self).play_all(trouble_at))
        watching.cancel()

    # The checks.

    def is_held_up(self, start):
        spans = [(start + t.at, start + t.until + soak_rules.STABLE_S)
                 for t in self.plan if t.kind in HOLDING]
        spans += [(a, b + AFTER_STALL_S) for a, b in
                  soak_stalls.read(self.directory.glob("stalls-*"))]
        return lambda at: any(a <= at <= b for a, b in spans)

    def check(self, start):
        """Return what is nearest to each rule's bound or furthest over it."""
        records = sorted((r for host in self.hosts for r in host.records()),
                         key=lambda r: r["at"])
        sent = self.results.sent
        return records, [
            soak_rules.check_window(records, sent, soak_plan.RATIO,
                                    self.deployment.slack, soak_plan.WINDOW_S),
            soak_rules.check_crashing(records, sent, self.bad_paths),
            soak_rules.check_servers(records, sent),
            soak_rules.check_deadlines(records, sent, self.is_held_up(start)),
        ]

    def count_events(self, *names):
        events = [line["event"] for g in self.gateways for line in g.log()]
        return [events.count(name) for name in names]

    def count_refused(self):
        """Refusals of good searches because of crashes."""
        refused = {"crashes_servers": 0, "suspect_on_trial": 0}
        for text, n in self.results.refused.items():
            for why in refused:
                refused[why] += n if why in text else 0
        return refused

    def report(self, start):
        records, findings = self.check(start)
        results = self.results
        took = sorted(results.took) or [0]
        arrivals = [r for r in records if r["what"] == "arrived"]
        report = {
            "deployment": self.deployment.name, "mix": self.options.mix,
            "load_control": not self.options.plain,
            "seed": self.seed, "asked": results.asked,
            "served": round(results.served / max(results.asked, 1), 4),
            "complete": round(results.complete / max(results.asked, 1), 4),
            "median_ms": round(took[len(took) // 2] * 1000),
            "p99_ms": round(took[len(took) * 99 // 100] * 1000),
            "sent_again": len(arrivals) - len(
                {(r["service"], r["request"]) for r in arrivals}),
            "over": {f.rule: f.over for f in findings},
            "worst": {f.rule: f.detail for f in findings if f.detail},
        }
        if self.bad:
            report.update(self.report_crashes(records))
        report["failed"] = self.failures(report)
        broken = [f for f in findings if f.over > 0]
        for finding in broken:
            self.print_log(finding)
        return report

    def report_crashes(self, records):
        names = ("server_crashed", "lost_run_judged", "suspect_tried")
        return {
            "down": dataclasses.asdict(self.down),
            "crashed": {path: sum(r["what"] == "crashed" and
                                  r["target"] == path for r in records)
                        for path in self.bad_paths},
            "events": dict(zip(names, self.count_events(*names))),
            "good_refused": self.count_refused(),
            "bad_statuses": [dict(sorted(c.statuses.items()))
                             for c in self.bad_callers],
        }

    def failures(self, report):
        failed = [rule for rule, over in report["over"].items() if over > 0]
        if self.has_memory_error():
            failed.append("memory error")
        if report.get("good_refused", {}).get("crashes_servers"):
            failed.append("good search banned")
        refusing = self.options.mix not in soak_plan.NOT_REFUSING
        if refusing and (report["sent_again"] < SECOND_SEND_SHARE_MIN
                         * report["asked"]):
            failed.append("nothing sent again")
        return failed

    def has_memory_error(self):
        """In a build with sanitizers, whose reports are printed."""
        found = False
        for gateway in self.gateways:
            texts = [line.get("text", "") for line in gateway.log()
                     if line["event"] == "no JSON"]
            if any("AddressSanitizer:" in text for text in texts):
                found = True
                print("\n".join(texts[:SANITIZER_LINES]), flush=True)
        return found

    def print_log(self, finding):
        """Print the lines of all instances that name the request."""
        print(f"broken: {finding}", flush=True)
        lines = [(line["ts"] if "ts" in line else "", text)
                 for path in sorted(self.directory.glob("gateway-*.log"))
                 for text in path.read_text("utf-8").splitlines()
                 if finding.request and f'"{finding.request}"' in text
                 for line in [json.loads(text)]]
        for _, text in sorted(lines)[:LOG_LINES_MAX]:
            print("  " + text, flush=True)

    def play_run(self):
        """Return the report of the run. Its logs are kept if it failed."""
        try:
            self.configure()
            trouble_at = time.monotonic() + START_S + WARM_UP_S
            self.start_servers(trouble_at)
            self.start_gateways()
            asyncio.run(self.play_all(trouble_at))
        finally:
            self.stop()
        report = self.report(trouble_at)
        if report["failed"] or self.options.keep:
            report["logs"] = str(self.directory)
        else:
            shutil.rmtree(self.directory)
        return report

    def stop(self):
        for child in [g.process for g in self.gateways] + self.replaced:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        for host in self.hosts:
            host.stop()
        if self.peer_proxy:
            soak_host.stop_process(self.peer_proxy)
        self.store.shutdown()
        self.store.server_close()


def play_seed(options, seed):
    # Forked workers would choose the same ports.
    random.seed()
    return Run(options, seed).play_run()


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--deployment", default="one-service",
                        choices=sorted(soak_plan.DEPLOYMENTS))
    parser.add_argument("--mix", default="any",
                        choices=sorted(soak_plan.MIXES))
    parser.add_argument("--seeds", type=soak_seeds.parse_seeds, default=range(1, 2))
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--down", choices=soak_plan.DOWN,
                        help="what a server that is down looks like, in place "
                        "of what the seed draws")
    parser.add_argument("--plain", action="store_true",
                        help="without load control")
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    parser.add_argument("--shim", type=pathlib.Path,
                        help="bench/libpeer-shim.so of a build: links between "
                        "instances pass a proxy, for mixes that harm them")
    return parser.parse_args()


def main():
    options = parse_options()
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(play_seed, options, seed)
                for seed in options.seeds]
        for run in concurrent.futures.as_completed(runs):
            report = run.result()
            failed += bool(report["failed"])
            print(json.dumps(report), flush=True)
    print(f"{len(runs) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
