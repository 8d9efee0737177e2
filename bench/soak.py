"""The soak: real instances before backend servers as processes, with proxies
between them; callers; troubles drawn from a seed, in series that overlap.
Checked is the fleet's budget of second sends, by what the servers have read.

usage: soak.py BUILD --deployment one-service --mix held --seeds 1-50 --jobs 3

Prints a JSON line for each run. The exit status is 1 if one broke the budget,
or if nothing was sent again.
"""

import argparse
import asyncio
import collections
import concurrent.futures
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import experiment
import soak_plan
from retry_rule import RetryRule
from soak_caller import Caller, Results, Route

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, Store, config_document, free_port, route,
)

SHARDS_PER_PROCESS = 5
READY_S = 30
# Processes have started by then.
START_S = 4
# An instance takes part in the slack once it has run for a window.
WARM_UP_S = soak_plan.WINDOW_S + 2
TROUBLE_S = 22
CALM_S = 3
RESTART_S = 0.2
INSTANCES_MAX = 8
RUNS_MAX = 30
# An instance and its successor run beside each other for so long.
BESIDE_S = 2
SPEEDS = (0.8, 1.0, 1.3)
LOAD_CONTROL = ["priorities", "returns", "turns", "left_out", "pace"]
SECOND_SEND_SHARE_MIN = 0.01


def process(name, *args):
    """Start a program of the soak. Return it and the ports it listens on."""
    path = pathlib.Path(__file__).with_name(name)
    child = subprocess.Popen([sys.executable, str(path), *map(str, args)],
                             stdout=subprocess.PIPE, text=True)
    ports = child.stdout.readline()
    if not ports:
        raise experiment.Failed(f"{name} did not start")
    return child, json.loads(ports)


class Host:
    """A process of servers behind a proxy."""

    def __init__(self, directory, number, servers, deployment):
        self.directory = directory
        self.number = number
        self.servers = servers
        self.deployment = deployment
        self.ports = []
        self.child = None
        self.proxy = None

    @property
    def arrivals(self):
        return self.directory / f"arrivals-{self.number}"

    @property
    def services(self):
        return {server["service"] for server in self.servers}

    def start(self, troubles, seed):
        path = self.directory / f"servers-{self.number}.json"
        path.write_text(json.dumps({
            "servers": self.servers,
            "pause_ms": self.deployment.pause_ms,
            "pause_every_ms": self.deployment.pause_every_ms,
            "troubles": troubles,
            "arrivals": str(self.arrivals),
            "seed": seed * 1000 + self.number,
        }), encoding="utf-8")
        self.child, ports = process("soak_server.py", path)
        self.proxy, self.ports = process("soak_proxy.py", *ports)

    def stop(self):
        for child in (self.proxy, self.child):
            if child:
                child.send_signal(signal.SIGCONT)
                child.terminate()
                child.wait()
                child.stdout.close()


def describe_server(name, service, data_centre, slots, queue, work_ms, speed):
    return {"name": name, "service": service, "data_centre": data_centre,
            "slots": slots, "queue": queue, "work_ms": work_ms, "speed": speed}


def plan_hosts(deployment, directory):
    """One process for each plain server and for a few shards of a data
    centre."""
    groups = []
    for plain in deployment.plain:
        for i, data_centre in enumerate(plain.data_centres):
            groups.append([describe_server(
                f"{plain.name}-{i}", plain.name, data_centre, plain.slots,
                plain.queue, plain.work_ms, 1)])
    for data_centre in deployment.shard_centres:
        servers = [describe_server(
            f"{service}-{data_centre}", service, data_centre, 2, 12,
            deployment.shard_work_ms, SPEEDS[i % len(SPEEDS)])
            for i, service in enumerate(deployment.shard_services())]
        groups += [servers[i:i + SHARDS_PER_PROCESS]
                   for i in range(0, len(servers), SHARDS_PER_PROCESS)]
    return [Host(directory, i, servers, deployment)
            for i, servers in enumerate(groups)]


def plan_routes(deployment):
    """Routes as callers and as the configuration see them."""
    callers = []
    routes = []
    for plain in deployment.plain:
        prefix = f"/{plain.name}/"
        callers.append(Route(prefix, [plain.name], plain.timeout_ms / 1000,
                             plain.weight))
        routes.append(route(prefix, service=plain.name, servers_max=plain.servers_max,
                            timeout_ms=plain.timeout_ms,
                            goal_ms=plain.goal_ms))
    if deployment.shards:
        services = deployment.shard_services()
        callers.append(Route("/shards/", services,
                             deployment.shard_timeout_ms / 1000,
                             deployment.shard_weight))
        routes.append(route("/shards/", shards=services, records_max=20,
                            coverage_min=0.75, servers_max=3,
                            timeout_ms=deployment.shard_timeout_ms,
                            goal_ms=deployment.shard_goal_ms))
    return callers, routes


class Run:
    """One seed: all processes, the troubles and the check."""

    def __init__(self, options, seed):
        self.options = options
        self.seed = seed
        self.deployment = soak_plan.DEPLOYMENTS[options.deployment]
        self.plan = soak_plan.draw_plan(seed, options.mix, TROUBLE_S)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.store = Store()
        self.hosts = plan_hosts(self.deployment, self.directory)
        self.routes, self.config_routes = plan_routes(self.deployment)
        self.config_version = 0
        # Runs beside each other, in processes of near ids, share no address.
        self.first_number = INSTANCES_MAX * (os.getpid() % RUNS_MAX)
        self.peer_port = free_port()
        self.gateways = []
        self.directories = []
        self.replaced = []
        self.results = Results()

    def services(self):
        return sorted(set().union(*(h.services for h in self.hosts)))

    def configure(self):
        self.config_version += 1
        self.store.put("op/config", config_document(
            self.config_version, self.config_routes, self.services()))

    def start_servers(self, trouble_at):
        """`trouble_at`: time of the first trouble, monotonic clock."""
        troubles = [{"from": trouble_at + t.at, "to": trouble_at + t.until,
                     "services": self.services(), **ails}
                    for t in self.plan
                    for ails in [self.ailment(t)] if ails]
        for host in self.hosts:
            host.start(troubles, self.seed)
            for server, port in zip(host.servers, host.ports):
                self.store.put(f"servers/{server['name']}", {
                    "service": server["service"],
                    "address": f"127.0.0.1:{port}",
                    "data_centre": server["data_centre"],
                    "version": "v1", "slots": server["slots"],
                    "state": "ready", "cold_for_ms": 0, "Sequence": 1})

    def ailment(self, trouble):
        """What a trouble does inside of servers; later ones replace it."""
        refuse = self.plan[0].amount
        return {"refuse": {"refuse": refuse},
                "slow": {"refuse": 0.3, "slow": 2 + 6 * trouble.amount},
                "reset": {"refuse": refuse / 2, "reset": 0.3},
                }.get(trouble.kind)

    def start_gateway(self, number):
        centres = [dc for dc, n in self.deployment.instances for _ in range(n)]
        gateway = Gateway(
            self.options.build, self.directory, self.store,
            self.first_number + number, self.peer_port,
            seeds=[f"127.0.0.{10 + self.first_number + i}:{self.peer_port}"
                   for i in (0, 1)],
            data_centre=centres[number], retry_ratio=soak_plan.RATIO,
            retry_slack=self.deployment.slack,
            retry_window_s=soak_plan.WINDOW_S, log_level="info",
            load_control=[] if self.options.plain else LOAD_CONTROL)
        gateway.start()
        return gateway

    def start_gateways(self):
        n = sum(n for _, n in self.deployment.instances)
        self.gateways = [self.start_gateway(i) for i in range(n)]
        self.directories = [g.settings["directory_address"]
                            for g in self.gateways]
        for gateway in self.gateways:
            experiment.wait_until("an instance is ready", gateway.is_ready,
                                  READY_S)

    # Troubles.

    def held(self, trouble):
        """Processes that a trouble holds: of all servers, of some or one."""
        hosts = self.hosts
        if trouble.kind == "hold_some":
            hosts = [hosts[i % len(hosts)] for i in trouble.targets]
        elif trouble.kind == "hold_one":
            hosts = [hosts[trouble.targets[0] % len(hosts)]]
        return [h.proxy if trouble.by_proxy else h.child for h in hosts]

    async def hold(self, trouble):
        children = self.held(trouble)
        for child in children:
            child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.until - trouble.at)
        for child in children:
            child.send_signal(signal.SIGCONT)

    def targets(self, trouble):
        return [self.gateways[i % len(self.gateways)]
                for i in trouble.targets]

    async def restart(self, gateways, how):
        """Another trouble may restart or replace the same instances."""
        ended = [(gateway, gateway.process) for gateway in gateways]
        for _, child in ended:
            if child.poll() is None:
                child.send_signal(how)
        for _, child in ended:
            await asyncio.to_thread(child.wait)
        await asyncio.sleep(RESTART_S)
        for gateway, child in ended:
            if gateway.process is child and gateway in self.gateways:
                gateway.start()

    async def pause(self, trouble):
        children = [g.process for g in self.targets(trouble)]
        for child in children:
            if child.poll() is None:
                child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.until - trouble.at)
        for child in children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)

    async def replace(self, trouble):
        """Start an instance under the name of one that stands still; that one
        goes on beside it before it is asked to end."""
        number = trouble.targets[0] % len(self.gateways)
        old = self.gateways[number].process
        self.replaced.append(old)
        if old.poll() is None:
            old.send_signal(signal.SIGSTOP)
        self.gateways[number] = self.start_gateway(number)
        self.directories.append(
            self.gateways[number].settings["directory_address"])
        await asyncio.sleep(trouble.until - trouble.at)
        if old.poll() is None:
            old.send_signal(signal.SIGCONT)
        await asyncio.sleep(BESIDE_S)
        if old.poll() is None:
            old.terminate()

    async def keep_busy(self, trouble):
        """Use all processors for a while."""
        script = f"import time\nt = time.time() + {trouble.until - trouble.at}"
        children = [subprocess.Popen(
            [sys.executable, "-c", f"{script}\nwhile time.time() < t: pass"])
            for _ in range(os.cpu_count())]
        for child in children:
            await asyncio.to_thread(child.wait)

    async def play(self, trouble, trouble_at):
        await asyncio.sleep(trouble_at + trouble.at - time.monotonic())
        if trouble.kind.startswith("hold_"):
            await self.hold(trouble)
        elif trouble.kind == "kill":
            await self.restart(self.targets(trouble), signal.SIGKILL)
        elif trouble.kind == "kill_all":
            await self.restart(self.gateways, signal.SIGKILL)
        elif trouble.kind == "terminate":
            await self.restart(self.targets(trouble), signal.SIGTERM)
        elif trouble.kind == "pause":
            await self.pause(trouble)
        elif trouble.kind == "replace":
            await self.replace(trouble)
        elif trouble.kind == "busy":
            await self.keep_busy(trouble)
        elif trouble.kind == "configure":
            self.configure()

    async def play_all(self, trouble_at):
        until = trouble_at + TROUBLE_S + CALM_S
        settings = {
            "directories": self.directories,
            "data_centres": [dc for dc, _ in self.deployment.instances],
            "host": HOST,
            "routes": self.routes,
            "interval_s": self.deployment.callers / self.deployment.rate,
        }
        callers = [Caller(i, self.seed, settings, self.results)
                   for i in range(self.deployment.callers)]
        await asyncio.gather(
            *(caller.run(until) for caller in callers),
            *(self.play(trouble, trouble_at) for trouble in self.plan))

    # The check.

    def repeated_arrivals(self):
        """Times of the arrivals beyond the first, by service."""
        arrivals = collections.defaultdict(list)
        for host in self.hosts:
            for line in host.arrivals.read_text("utf-8").splitlines():
                at, service, request_id = line.split()
                arrivals[service, request_id].append(float(at))
        repeated = collections.defaultdict(list)
        for (service, _), times in arrivals.items():
            repeated[service] += sorted(times)[1:]
        return {service: sorted(times) for service, times in repeated.items()}

    def worst_window(self, repeated, start):
        """Describe the worst window over all services."""
        rule = RetryRule(soak_plan.RATIO, self.deployment.slack,
                         soak_plan.WINDOW_S)
        worst = {"over": float("-inf")}
        for service, times in repeated.items():
            sent = sorted(at for at, services in self.results.sent
                          if service in services)
            n, allowed, at = rule.worst_window(times, sent) or (0, 0, start)
            if times and n - allowed > worst["over"]:
                worst = {"over": round(n - allowed, 1), "service": service,
                         "repeated": n, "allowed": round(allowed, 1),
                         "at_s": round(at - start, 1)}
        return worst

    def report(self, start):
        repeated = self.repeated_arrivals()
        results = self.results
        took = sorted(results.took) or [0]
        return {
            "deployment": self.deployment.name, "mix": self.options.mix,
            "load_control": not self.options.plain,
            "seed": self.seed, "asked": results.asked,
            "served": round(results.served / max(results.asked, 1), 4),
            "complete": round(results.complete / max(results.asked, 1), 4),
            "median_ms": round(took[len(took) // 2] * 1000),
            "p99_ms": round(took[len(took) * 99 // 100] * 1000),
            "sent_again": sum(map(len, repeated.values())),
            "worst": self.worst_window(repeated, start),
        }

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
        report["failed"] = is_failed(report)
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
        self.store.shutdown()
        self.store.server_close()


def is_failed(report):
    return (report["worst"]["over"] > 0 or report["sent_again"]
            < SECOND_SEND_SHARE_MIN * report["asked"])


def play_seed(options, seed):
    return Run(options, seed).play_run()


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def parse_options():
    parser = argparse.ArgumentParser()
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--deployment", default="one-service",
                        choices=sorted(soak_plan.DEPLOYMENTS))
    parser.add_argument("--mix", default="any",
                        choices=sorted(soak_plan.MIXES))
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 2))
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--plain", action="store_true",
                        help="without load control")
    parser.add_argument("--keep", action="store_true", help="keep the logs")
    return parser.parse_args()


def main():
    options = parse_options()
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(play_seed, options, seed)
                for seed in options.seeds]
        for run in concurrent.futures.as_completed(runs):
            report = run.result()
            failed += report["failed"]
            print(json.dumps(report), flush=True)
    print(f"{len(runs) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
