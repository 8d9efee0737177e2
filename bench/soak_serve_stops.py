"""The soak of planned stops of `garnetreach serve`: instances are stopped by
SIGTERM in series, overlapping and all at once, before slow and very slow
servers with few slots, and started again; callers search, and order under
tickets, over connections that they use until the process is gone.

Checked is that no whole request ends without a complete answer, that nothing
that was answered as not run has run, that no ticket ran twice, and that each
process ends by itself with exit status 0 within stop_max_ms. Prints a JSON line
for each run. The exit status is 1 if one failed.
"""

import asyncio
import random
import shutil
import signal
import sys
import tempfile
import time
import types

import experiment
import soak_seeds
from soak_serve_caller import DEADLINES_MS, SERVICE, Caller
from soak_serve_judge import Judge
from soak_stop_judge import overlap_s
from soak_stops import LAG_MIN_S, POLL_S

INSTANCES = 5
SERVERS = 6
SERVICE_US = 20000
CALLERS = 32
PLAY_S = 25
STOP_GAP_S = 1.6
ALL_AT_ONCE_SHARE = 0.08
SERIES_SHARE = 0.4
SECOND_SIGNALS = (signal.SIGTERM, signal.SIGINT)
AILING = 3
ALL_AIL_SHARE = 0.1
# Within most deadlines, and beyond all.
SLOW_US = (300000, 1000000, 2500000, 8000000)
# A process that has not ended by then never does.
KILL_S = 10


class Stop:
    """What is drawn for one planned stop; `order`: instances by preference."""

    def __init__(self, rng, instances):
        self.gap_s = rng.expovariate(1 / STOP_GAP_S)
        self.order = rng.sample(range(instances), instances)
        self.all = rng.random() < ALL_AT_ONCE_SHARE
        self.series = rng.random() < SERIES_SHARE
        self.down_s = rng.uniform(0, 1)
        self.second = [(rng.uniform(0, 1), rng.choice(SECOND_SIGNALS))
                       for _ in range(rng.choice((0, 0, 1, 3)))]
        self.ailing = [
            ("*" if rng.random() < ALL_AIL_SHARE
             else f"{SERVICE}-{rng.randint(1, SERVERS)}",
             rng.choice(SLOW_US), rng.uniform(0, 2), rng.uniform(0.3, 3))
            for _ in range(AILING)]


class Run:
    """One seed: all processes and the stops."""

    def __init__(self, bench, seed, instances):
        self.rng = random.Random(seed)
        self.seed = seed
        self.bench = bench
        self.stop_max_ms = self.rng.randint(1000, 6000)
        self.deployment = bench.deployment(
            "--fanout", SERVERS // 2, "--replicas", 2, "--data-centres", 1,
            "--service-us", SERVICE_US, "--connect-cost-us", 0,
            "--slots", self.rng.randint(2, 4), "--records", 600,
            "--record-bytes", 2000, "--deadline-ms", DEADLINES_MS[1],
            "--tunable", f"address_lifetime_ms={self.rng.randint(100, 800)}",
            "--tunable", f"leave_spread_ms={self.rng.randint(0, 400)}",
            "--tunable", f"stop_max_ms={self.stop_max_ms}", histories=True)
        platform = bench.platform()
        platform.publish(self.deployment.table)
        self.instances = bench.instances(
            platform, [(f"be1-{i}", "be1") for i in range(instances)])
        for instance in self.instances:
            experiment.wait_until("full coverage", lambda: instance.search(
                {"service": SERVICE})[1].get("coverage", {}).get("ratio") == 1)
        self.processes = list(self.instances)
        self.may_stop = set(range(instances))
        self.attempts = []
        self.stops = []
        self.lags = []

    async def watch_lags(self):
        """Note when this process was held up, and its callers with it."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(POLL_S)
            if time.monotonic() > before + POLL_S + LAG_MIN_S:
                self.lags.append((before, time.monotonic()))

    async def ail(self, server, service_us, after_s, for_s):
        for us, wait_s in ((service_us, after_s), (SERVICE_US, for_s)):
            await asyncio.sleep(wait_s)
            await asyncio.to_thread(self.deployment.control, server=server,
                                    fault="service_time", service_us=us)

    async def stop(self, i, drawn):
        process = self.processes[i]
        self.may_stop.discard(i)
        stopped = types.SimpleNamespace(
            instance=process.name, max_s=self.stop_max_ms / 1000,
            at=time.monotonic())
        further = [(stopped.at + share * stopped.max_s, number)
                   for share, number in sorted(drawn.second, reverse=True)]
        process.ask_to_stop()
        while process.child.poll() is None:
            while further and time.monotonic() > further[-1][0]:
                process.child.send_signal(further.pop()[1])
            if time.monotonic() > stopped.at + KILL_S:
                process.child.kill()
            await asyncio.sleep(POLL_S)
        stopped.exited = time.monotonic()
        stopped.took_s = (stopped.exited - stopped.at - overlap_s(
            self.lags, stopped.at, stopped.exited))
        stopped.status = process.stop()
        self.stops.append(stopped)
        self.group.create_task(self.start_again(i, drawn.down_s))

    async def start_again(self, i, after_s):
        await asyncio.sleep(after_s)
        name = self.instances[i].name
        self.processes[i] = self.bench.track(experiment.Process(
            name, [self.bench.build / "garnetreach", "serve",
                   self.bench.out / f"{name}.settings.json"], self.bench.out))
        await asyncio.to_thread(experiment.wait_until, "a start",
                                self.instances[i].status)
        self.may_stop.add(i)

    async def play(self):
        until = time.monotonic() + PLAY_S
        ports = {i.name: i.port for i in self.instances}
        stopping = []
        async with asyncio.TaskGroup() as self.group:
            endless = [self.group.create_task(job) for job in (
                self.watch_lags(),
                *(Caller(i, self.seed, ports, self.attempts).run()
                  for i in range(CALLERS)))]
            while time.monotonic() < until:
                drawn = Stop(self.rng, len(self.instances))
                if drawn.series:
                    await asyncio.gather(*stopping)
                await asyncio.sleep(drawn.gap_s)
                chosen = [i for i in drawn.order if i in self.may_stop]
                stopping += [self.group.create_task(self.stop(i, drawn))
                             for i in (chosen if drawn.all else chosen[:1])]
                for ailing in drawn.ailing:
                    self.group.create_task(self.ail(*ailing))
            await asyncio.gather(*stopping)
            for task in endless:
                task.cancel()


def play_seed(options, seed):
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        bench = experiment.Bench("soak", options.build, directory)
        try:
            run = Run(bench, seed, options.instances)
            asyncio.run(run.play())
        finally:
            bench.finish()
        report = {"seed": seed, "stop_max_ms": run.stop_max_ms, **Judge(
            bench.out, run.attempts, run.stops, run.lags).report()}
        if report["failed"] and options.keep_logs:
            shutil.copytree(directory, f"serve-stops-{seed}")
    return report


if __name__ == "__main__":
    sys.exit(soak_seeds.main(__doc__, play_seed, "--instances", INSTANCES))
