"""The soak of planned stops: real gateways are stopped by SIGTERM in series,
overlapping and all at once, before servers that are slow, silent, shedding or
don't read, and callers that use connections and addresses until the end.

usage: soak_stops.py BUILD --seeds 1-50 --jobs 2 [--instances N] [--extremes]
           [--crowd]

With --extremes some stops have 1 s or 30 s, some instances are stopped as soon
as they listen, and some uploads are left half sent. With --crowd there are
clients that don't behave, and the memory of each process is checked, too.

Checked is, by what callers and servers saw, that no whole request is cut by a
stop without an answer, that no request is refused which a server ran, and none
run twice, where it may run only once, and that processes end by themselves in
time with exit status 0. Prints a JSON line for each run. The exit status is 1
if one failed.
"""

import asyncio
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import experiment
import soak_crowd
import soak_seeds
import soak_stop_caller
from soak import LOAD_CONTROL
from soak_stop_caller import StopCaller
from soak_stop_judge import Judge, Stopped
from soak_stop_plan import GRACE_MAX_S, GRACES_S, Stop
from soak_stop_server import Records, Server

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, Store, config_document, free_port, route,
)

STOPPER = str(pathlib.Path(__file__).with_name("soak_stopper.py"))
INSTANCES = 7
DATA_CENTRES = ("dc-0", "dc-1")
DESKS = 8
SHARDS = 3
CALLERS = 42
CALLER_INTERVAL_S = 0.06
PLAY_S = 40
READY_S = 30
# Uploads come in pieces, and whole in less.
HEADER_TIMEOUT_MS = 3000
POLL_S = 0.01
LAG_MIN_S = 0.03
CROWD = 24
CROWD_MEMORY_MB = 160
MEMORY_PERIOD_S = 0.2
# Without it, the sanitizer keeps freed memory, up to 256 MB.
CROWD_ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1"}


class Run:
    """One seed: all processes, the stops and the checks."""

    def __init__(self, options, seed, directory):
        self.rng = random.Random(seed)
        self.seed = seed
        self.extremes = (random.Random(f"extremes-{seed}")
                         if options.extremes else None)
        self.store = Store()
        self.records = Records(random.Random(f"work-{seed}"))
        names = ["desk"] * DESKS + [f"s{i}" for i in range(SHARDS)] * 2
        self.servers = [
            Server(f"{name}-{i}", name, DATA_CENTRES[i % 2], self.records)
            for i, name in enumerate(names)]
        self.config_version = 0
        peer_port = free_port()
        load_control = self.rng.choice(([], LOAD_CONTROL))
        self.gateways = [
            Gateway(pathlib.Path(options.build), directory, self.store, i,
                    peer_port, [f"127.0.0.{10 + n}:{peer_port}"
                                for n in range(3)],
                    DATA_CENTRES[i % 2], self.rng.choice(GRACES_S),
                    log_level="info", load_control=load_control)
            for i in range(options.instances)]
        self.crowd = []
        self.peak_mb = 0
        self.memory_max_mb = CROWD_MEMORY_MB if options.crowd else None
        if options.crowd:
            self.draw_crowd(seed)
        self.may_stop = set()
        self.attempts = []
        self.callers = []
        self.stops = []
        self.starting = []
        self.lags = []
        self.tasks = set()

    def draw_crowd(self, seed):
        self.crowd = [soak_crowd.Client(i, seed, self.gateways, HOST)
                      for i in range(CROWD)]
        for gateway in self.gateways:
            gateway.settings["memory_max_mb"] = CROWD_MEMORY_MB
            gateway.environment = CROWD_ENVIRONMENT
            gateway.write_settings()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def configure(self):
        """Each version has a route more, and other goals."""
        self.config_version += 1
        members = {"goal_ms": 500 + self.config_version}
        shards = [f"s{i}" for i in range(SHARDS)]
        routes = [
            route("/look/", service="desk", timeout_ms=5000, **members),
            route("/once/", service="desk", timeout_ms=5000, repeat="once",
                  **members),
            route("/shards/", shards=shards, records_max=4, coverage_min=0.6,
                  timeout_ms=2000, **members),
            route(f"/more-{self.config_version}/", service="desk", **members)]
        document = config_document(self.config_version, routes,
                                   ["desk", *shards])
        document["limits"]["header_timeout_ms"] = HEADER_TIMEOUT_MS
        self.store.put("op/config", document)

    async def watch_lags(self):
        """Note when this process was held up, and its callers with it."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(POLL_S)
            now = time.monotonic()
            if now - before > POLL_S + LAG_MIN_S:
                self.lags.append((before, now))
            before = now

    def read_memory(self):
        for gateway in self.gateways:
            try:
                peak_mb = experiment.peak_mb(gateway.process.pid)
            except OSError:
                # Between a stop and the next start.
                continue
            self.peak_mb = max(self.peak_mb, peak_mb)

    async def watch_memory(self):
        while True:
            self.read_memory()
            await asyncio.sleep(MEMORY_PERIOD_S)

    async def until_page(self, gateway, is_expected):
        """Wait until the status of its readiness is as expected."""
        until = time.monotonic() + READY_S
        while not is_expected((await asyncio.to_thread(
                gateway.page, "ready_address", "/v1/ready"))[0]):
            if time.monotonic() > until:
                raise experiment.Failed(f"not ready: {gateway.describe()}")
            await asyncio.sleep(0.05)

    async def until_ready(self, gateway):
        await self.until_page(gateway, lambda status: status == 200)

    async def start(self):
        self.configure()
        for server in self.servers:
            await server.listen()
            self.store.put(f"servers/{server.id}", server.entry())
        for gateway in self.gateways:
            gateway.start()
        await asyncio.gather(*map(self.until_ready, self.gateways))
        self.may_stop = set(range(len(self.gateways)))
        self.spawn(self.watch_lags())
        self.spawn(self.watch_memory())
        settings = {
            "directories": [gateway.settings["directory_address"]
                            for gateway in self.gateways],
            "host": HOST, "data_centres": DATA_CENTRES,
            "routes": soak_stop_caller.ROUTES,
            "interval_s": CALLER_INTERVAL_S, "is_in_touch": lambda _: True,
            "leaves_uploads": bool(self.extremes)}
        self.callers = [StopCaller(i, self.seed, settings, self.attempts)
                        for i in range(CALLERS)]

    async def ail(self, number, ailment, after_s, for_s):
        await asyncio.sleep(max(0, after_s))
        server = self.servers[int(number * len(self.servers))]
        await server.ail(ailment, for_s)

    async def take_store_away(self, for_s):
        self.store.set_unavailable(True)
        await asyncio.sleep(for_s)
        self.store.set_unavailable(False)

    async def configure_later(self, after_s):
        await asyncio.sleep(after_s)
        self.configure()

    async def signal_again(self, gateway, stopped, after_s, number):
        await asyncio.sleep(max(0, stopped.at + after_s - time.monotonic()))
        if stopped.exited:
            return
        if number == signal.SIGHUP:
            gateway.settings["retry_slack"] += 1
            gateway.write_settings()
        gateway.process.send_signal(number)

    async def stop(self, i, drawn, soon=False):
        gateway = self.gateways[i]
        self.may_stop.discard(i)
        stopped = Stopped(gateway, soon)
        self.stops.append(stopped)
        grace_s = stopped.grace_s
        hold_s, before_s = drawn.hold_s(grace_s)
        stopper = await asyncio.create_subprocess_exec(
            sys.executable, STOPPER, str(gateway.process.pid), str(grace_s),
            str(hold_s), str(before_s), stdout=asyncio.subprocess.PIPE)
        stopped.at = json.loads(await stopper.stdout.readline())["at"]
        for share, number in drawn.second:
            self.spawn(self.signal_again(gateway, stopped, share * grace_s,
                                         number))
        stopped.note(json.loads(await stopper.stdout.readline()), gateway)
        await stopper.wait()
        self.starting.append(self.spawn(self.start_again(i, drawn)))

    async def start_again(self, i, drawn):
        await asyncio.sleep(drawn.down_s)
        gateway = self.gateways[i]
        gateway.settings["stop_max_s"] = drawn.next_grace_s
        gateway.write_settings()
        gateway.start()
        soon_s, drawn.soon_s = drawn.soon_s, None
        if soon_s is not None:
            await self.until_page(gateway, bool)
            await asyncio.sleep(soon_s)
            await self.stop(i, drawn, soon=True)
            return
        await self.until_ready(gateway)
        self.may_stop.add(i)

    def begin_stop(self, drawn):
        chosen = [i for i in drawn.order if i in self.may_stop]
        for ailing in drawn.ailing:
            self.spawn(self.ail(*ailing))
        if drawn.configure_after_s is not None:
            self.spawn(self.configure_later(drawn.configure_after_s))
        if drawn.store_away_s:
            self.spawn(self.take_store_away(drawn.store_away_s))
        return [self.spawn(self.stop(i, drawn))
                for i in (chosen if drawn.all else chosen[:1])]

    async def play(self):
        await self.start()
        until = time.monotonic() + PLAY_S
        calling = [self.spawn(caller.run(until + GRACE_MAX_S))
                   for caller in self.callers]
        calling += [self.spawn(client.run()) for client in self.crowd]
        stopping = []
        while time.monotonic() < until:
            drawn = Stop(self.rng, len(self.gateways))
            if self.extremes:
                drawn.draw_extremes(self.extremes)
            if drawn.series:
                await asyncio.gather(*stopping)
            await asyncio.sleep(drawn.gap_s)
            stopping += self.begin_stop(drawn)
        await asyncio.gather(*stopping)
        for starting in self.starting:
            await starting
        for task in calling:
            task.cancel()
        await asyncio.gather(*calling, return_exceptions=True)
        for caller in self.callers:
            caller.disconnect()
        for server in self.servers:
            server.listener.close()
            server.close_connections()
        await asyncio.sleep(POLL_S)

    def finish(self):
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.kill()
                gateway.process.wait()
        self.store.shutdown()
        self.store.server_close()


def play_seed(options, seed):
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        run = Run(options, seed, pathlib.Path(directory))
        try:
            asyncio.run(run.play())
            report = Judge(run).report()
        except experiment.Failed as error:
            report = {"seed": seed, "failed": [["not played", str(error)]]}
        finally:
            run.finish()
        if report["failed"] and options.keep_logs:
            shutil.copytree(directory, f"stops-{seed}", dirs_exist_ok=True)
    return report


if __name__ == "__main__":
    sys.exit(soak_seeds.main(__doc__, play_seed, "--instances", INSTANCES,
                             ["--extremes", "--crowd"]))
