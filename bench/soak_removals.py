"""The soak of removals: real gateways that are killed or fall silent, one after
the other or many at once, while servers leave, some gateways run by fits and
starts, and the store takes its time.

usage: soak_removals.py BUILD --seeds 1-50 --jobs 2 [--instances N]

Checked is that no gateway that was left alone sends to a server later than
DRAIN_S after the store removed its entry, and that none ends by itself.
Prints a JSON line for each run. The exit status is 1 if one failed.
"""

import http.client
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

import experiment
import soak_seeds

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, OpaqueServer, Store, config_document, route,
)

INSTANCES = 7
SERVICE = "desk"
SERVERS = 12
REPLACED = 3
ROUNDS = 5
ROUND_S = 6
HEARTBEAT_S = 1.2
DRAIN_S = 3.0
# A gateway that was disturbed more recently is not held to DRAIN_S.
STABLE_S = 4.0
STORE_DELAYS_S = (0.004, 0.004, 0.24)
STALL_MAX_S = 0.4
# These are stopped for moments, as on a slow processor.
STALLED_GATEWAYS = (0, 2, 4)
CALLERS = 8
CALLER_INTERVAL_S = 0.02
READY_S = 30
WATCH_INTERVAL_S = 0.1


class Trouble:
    """The gateways that one round loses, and when its servers leave."""

    def __init__(self, rng, instances):
        n = rng.choice((1, 2, (instances + 1) // 2, (instances + 1) // 2))
        self.lost = rng.sample(range(instances), n)
        self.gap_s = rng.choice((0, 0, 0.3))
        self.silent = rng.random() < 0.6
        self.down_s = rng.uniform(0.5, 2.5)
        self.leave_after_s = rng.uniform(-0.3, 0.4)


class Caller(threading.Thread):
    """Keeps a connection until it breaks, then goes to another gateway."""

    def __init__(self, run, number):
        super().__init__(daemon=True)
        self.run_state = run
        self.rng = random.Random(f"{run.seed}-{number}")
        self.number = number

    def call(self, connection, gateway, n):
        connection.request("GET", f"/{SERVICE}/x", headers={
            "Host": HOST, "X-Deadline-Ms": "800", "X-Gateway": str(gateway),
            "X-Request-Id": f"{self.number:x}{gateway:x}{n:06x}"})
        return connection.getresponse().read()

    def run(self):
        n = 0
        while not self.run_state.over:
            gateway = self.rng.randrange(len(self.run_state.gateways))
            at = self.run_state.gateways[gateway]
            connection = http.client.HTTPConnection(at.ip, at.port, timeout=1)
            try:
                while not self.run_state.over:
                    n += 1
                    self.call(connection, gateway, n)
                    time.sleep(CALLER_INTERVAL_S)
            except (OSError, http.client.HTTPException):
                time.sleep(CALLER_INTERVAL_S)
            connection.close()


class Run:
    """One seed: all processes, the troubles and the check."""

    def __init__(self, options, seed, directory):
        self.rng = random.Random(seed)
        self.seed = seed
        self.over = False
        self.store = Store()
        self.servers = []
        self.present = []
        self.removed_at = {}
        # Begin and end of each disturbance of a gateway.
        self.disturbed = [[] for _ in range(options.instances)]
        self.away = set()
        self.store_took = []
        self.ended = []
        self.lock = threading.Lock()
        peer_port = experiment.free_ports(1)[0]
        seeds = [f"127.0.0.{10 + i}:{peer_port}" for i in range(3)]
        self.gateways = [
            Gateway(pathlib.Path(options.build), pathlib.Path(directory),
                    self.store, i, peer_port, seeds=seeds, log_level="info")
            for i in range(options.instances)]

    def add_server(self):
        server = OpaqueServer(self.store, f"s{len(self.servers)}", SERVICE)
        self.servers.append(server)
        self.present.append(server)

    def remove_server(self):
        with self.lock:
            server = self.present.pop(self.rng.randrange(len(self.present)))
            self.removed_at[server] = time.monotonic()
            self.store.remove(f"servers/{server.name}")

    def beat(self):
        while not self.over:
            with self.lock:
                for server in self.present:
                    server.publish()
            time.sleep(HEARTBEAT_S)

    def watch_store(self):
        """Note how long the store takes, which runs beside servers and callers
        in this process."""
        ip, _, port = self.store.address.partition(":")
        while not self.over:
            began = time.monotonic()
            try:
                connection = http.client.HTTPConnection(ip, int(port),
                                                        timeout=READY_S)
                connection.request("GET", "/kv-range?prefix=op/")
                connection.getresponse().read()
                connection.close()
            except (OSError, http.client.HTTPException):
                pass
            took_s = time.monotonic() - began
            self.store_took.append([round(began, 2), round(took_s, 2)])
            time.sleep(WATCH_INTERVAL_S)

    def stall(self):
        """Stop some gateways for moments, as slow processors do."""
        rng = random.Random(f"stall-{self.seed}")
        while not self.over:
            i = rng.choice(STALLED_GATEWAYS)
            with self.lock:
                stalled = i not in self.away
                if stalled:
                    self.gateways[i].process.send_signal(signal.SIGSTOP)
            time.sleep(rng.uniform(0.05, STALL_MAX_S))
            with self.lock:
                if stalled and i not in self.away:
                    self.gateways[i].process.send_signal(signal.SIGCONT)
            time.sleep(rng.uniform(0.05, STALL_MAX_S))

    def lose(self, i, silent):
        """A silent gateway keeps its connections open and answers nothing."""
        with self.lock:
            self.away.add(i)
            self.disturbed[i].append([time.monotonic(), float("inf")])
            self.gateways[i].process.send_signal(
                signal.SIGSTOP if silent else signal.SIGKILL)

    def restart(self, i):
        process = self.gateways[i].process
        process.kill()
        process.wait()
        with self.lock:
            self.gateways[i].start()
            self.away.discard(i)
            self.disturbed[i][-1][1] = time.monotonic()

    def leave(self, after_s):
        time.sleep(max(0, after_s))
        for _ in range(REPLACED):
            self.remove_server()

    def play_round(self, trouble):
        begin = time.monotonic()
        for _ in range(REPLACED):
            self.add_server()
        if trouble.leave_after_s < 0:
            self.leave(0)
            time.sleep(-trouble.leave_after_s)
        for i in trouble.lost:
            self.lose(i, trouble.silent)
            time.sleep(trouble.gap_s)
        if trouble.leave_after_s >= 0:
            self.leave(trouble.leave_after_s)
        time.sleep(trouble.down_s)
        for i in trouble.lost:
            self.restart(i)
        time.sleep(max(0, begin + ROUND_S - time.monotonic()))

    def start(self):
        self.store.put("op/config", config_document(
            1, [route(f"/{SERVICE}/", service=SERVICE)], [SERVICE]))
        for _ in range(SERVERS):
            self.add_server()
        for gateway in self.gateways:
            gateway.start()
        self.until_ready()
        self.store.delay_s = self.rng.choice(STORE_DELAYS_S)
        for target in (self.beat, self.stall, self.watch_store):
            threading.Thread(target=target, daemon=True).start()
        for number in range(CALLERS):
            Caller(self, number).start()

    def until_ready(self):
        try:
            experiment.wait_until("ready", lambda: all(
                gateway.is_ready() for gateway in self.gateways), READY_S)
        except experiment.Failed as error:
            raise experiment.Failed(f"{error}: " + "; ".join(
                gateway.describe() for gateway in self.gateways
                if not gateway.is_ready())) from error

    def is_in_touch(self, gateway, at):
        return not any(begin < at and end > at - STABLE_S
                       for begin, end in self.disturbed[gateway])

    def late(self):
        """Each late request: its id, its gateway, how late it was, and which
        server had left when."""
        found = []
        for server, removed_at in self.removed_at.items():
            for request in server.seen:
                late_s = request.arrived_at - removed_at - DRAIN_S
                gateway = request.headers.get("x-gateway")
                if (late_s > 0 and gateway is not None
                        and self.is_in_touch(int(gateway), request.arrived_at)):
                    found.append([request.id, int(gateway), round(late_s, 3),
                              server.name, round(removed_at, 2)])
        return found

    def play(self):
        self.start()
        for _ in range(ROUNDS):
            self.play_round(Trouble(self.rng, len(self.gateways)))
        time.sleep(DRAIN_S)
        self.over = True
        self.ended = [gateway.describe() for gateway in self.gateways
                      if gateway.process.poll() is not None]

    def finish(self):
        self.over = True
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.kill()
                gateway.process.wait()
        for server in self.servers:
            server.close()
        self.store.shutdown()
        self.store.server_close()


def play_seed(options, seed):
    with tempfile.TemporaryDirectory() as directory:
        run = Run(options, seed, directory)
        try:
            run.play()
        finally:
            run.finish()
        held = [line for gateway in run.gateways for line in gateway.log()
                if line["event"] == "removals_held"]
    late = run.late()
    return {
        "seed": seed,
        "store_delay_s": run.store.delay_s,
        "requests": sum(len(server.seen) for server in run.servers),
        "removals": len(run.removed_at),
        "store_slowest": sorted(run.store_took, key=lambda t: -t[1])[:3],
        "removals_held": [[line["instance"], line["silence_ms"]]
                          for line in held],
        "late": len(late),
        "failed": late[:5] + run.ended,
    }


if __name__ == "__main__":
    sys.exit(soak_seeds.main(__doc__, play_seed, "--instances", INSTANCES))
