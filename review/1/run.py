"""See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
case could not run."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

ZONE = "zone-a"
IP = "127.0.0.31"
SHARDS = [f"shard-{i:02d}" for i in range(30)]
# As of the classes tenant-order-lookup and contractor-record of rhh-search,
# after the index was cut into 30 shards.
TIME_BUDGET_MS = 600
GOAL_MS = 60
RECORD_BUDGET_MS = 5000
RECORD_GOAL_MS = 500
# What is left to the requester that repeats its request once more.
LEFT_MS = 2 if standins.TROUBLE else TIME_BUDGET_MS
# Below MaxBodyBytes of the configuration, 262144.
BODY = b"q" * 250000
N_CALLERS = 8
STABLE_S = 4
# Requests without a body, then some with one.
PLAIN_S = 60
N_WITH_BODY = 8
ENDS_MAX = 8
RESTART_S = 0.3
LOST_MAX = 3


class Caller(threading.Thread):
    """An ordinary requester: one unsafe request after the other on a kept
    connection."""

    def __init__(self, gateway, number):
        super().__init__(daemon=True)
        self.gateway, self.number = gateway, number
        self.statuses = []
        self.unanswered = []
        self.stop = False
        self.start()

    def run(self):
        caller, used, n = None, 0, 0
        while not self.stop:
            n += 1
            request_id = f"ordinary-{self.number}-{n:04d}"
            try:
                if not caller:
                    caller, used = standins.Caller(self.gateway.front), 0
            except OSError:
                time.sleep(0.05)
                continue
            status, headers, _ = caller.ask("POST", f"/record/{n}",
                                            request_id, RECORD_BUDGET_MS,
                                            b"order")
            self.statuses.append(status)
            if not status and used:
                self.unanswered.append(request_id)
            used += 1
            if status <= 0 or headers.get("connection") == "close":
                caller.close()
                caller = None
            time.sleep(0.02)


class Play:
    def __init__(self, record, gateway, servers):
        self.record, self.gateway, self.servers = record, gateway, servers
        self.callers = []
        self.n_ends = 0
        self.n_sent = 0

    def look_up(self, left_ms, method="GET", body=b""):
        """A request for all parts, on a new connection. Return: its status."""
        self.n_sent += 1
        request_id = f"lookup-{self.n_sent:05d}"
        try:
            caller = standins.Caller(self.gateway.front)
        except OSError:
            return 0
        status, _, _ = caller.ask(method, f"/lookup/{request_id}", request_id,
                                  left_ms, body)
        caller.close()
        return status

    def restart_if_ended(self, what):
        """Return: whether the process had ended by itself."""
        time.sleep(0.001)
        if self.gateway.process.poll() is None:
            return False
        self.n_ends += 1
        self.record(f"{self.gateway.name} ended by itself, status "
                    f"{self.gateway.process.returncode}, on {what} with "
                    f"X-Deadline-Ms {LEFT_MS}")
        time.sleep(RESTART_S)
        self.gateway.start()
        self.gateway.wait_ready()
        for _ in range(5):
            self.look_up(TIME_BUDGET_MS)
        return True

    def phase(self, what, seconds, count, *request):
        until = time.monotonic() + seconds
        before, n = self.n_ends, 0
        while (time.monotonic() < until and n < count
               and self.n_ends - before < ENDS_MAX):
            n += 1
            self.look_up(TIME_BUDGET_MS)
            self.look_up(LEFT_MS, *request)
            self.restart_if_ended(what)
        self.record(f"{n} requests {what} with X-Deadline-Ms {LEFT_MS}: the "
                    f"process ended {self.n_ends - before} times")

    def run(self):
        until = time.monotonic() + STABLE_S + 1
        self.callers = [Caller(self.gateway, n) for n in range(N_CALLERS)]
        statuses = []
        while time.monotonic() < until:
            statuses.append(self.look_up(TIME_BUDGET_MS))
            time.sleep(0.1)
        self.record(f"calm for {STABLE_S + 1} s: {statuses.count(200)} of "
                    f"{len(statuses)} look-ups answered 200")
        if statuses.count(200) < len(statuses) * 0.9:
            return 2
        self.phase("without a body", PLAIN_S, 100000)
        self.phase("with a body", 20, N_WITH_BODY, "POST", BODY)
        for caller in self.callers:
            caller.stop = True
        for caller in self.callers:
            caller.join(RECORD_BUDGET_MS / 1000 + 1)
        return self.judge()

    def judge(self):
        ran = {r for s in self.servers for _, r in list(s.seen)}
        lost = [r for c in self.callers for r in c.unanswered if r in ran]
        statuses = [s for c in self.callers for s in c.statuses]
        for request_id in lost:
            self.record(f"{request_id}: passed on to a sound server, its "
                        f"connection ended without an answer")
        counts = {s: statuses.count(s) for s in set(statuses)}
        self.record(f"ordinary requests by answer: {counts}; the process "
                    f"ended {self.n_ends} times; requests of kept connections "
                    f"that were passed on to a sound server and lost: "
                    f"{len(lost)}, {LOST_MAX} are borne")
        return 1 if len(lost) > LOST_MAX else 0


def main():
    record = standins.Record(HERE / "record.txt")
    store = standins.Store()
    servers = [standins.Server(store, f"i-{s}-{n}", s, ZONE, True,
                               work_s=0.005)
               for s in SHARDS for n in range(2)]
    servers += [standins.Server(store, f"i-records-{n}", "records", ZONE,
                                work_s=0.12) for n in range(7)]
    for server in servers:
        server.publish()
    store.put("op/config", standins.config(3, [{
        "name": "lookup", "host": standins.HOST, "prefix": "/lookup/",
        "repeat": "any", "timeout_ms": TIME_BUDGET_MS, "goal_ms": GOAL_MS,
        "priority": 2, "shards": SHARDS, "servers_max": 2,
        "records_max": 5, "coverage_min": 0.75}, {
        "name": "record", "host": standins.HOST, "prefix": "/record/",
        "repeat": "once", "timeout_ms": RECORD_BUDGET_MS,
        "goal_ms": RECORD_GOAL_MS, "priority": 2, "service": "records",
        "servers_max": 2}], SHARDS + ["records"]))
    ports = standins.free_ports(6, [IP])
    with standins.temporary_folder() as folder:
        gateway = standins.Gateway(record, pathlib.Path(folder), "front-a-1",
                                   IP, ZONE, ports + ports[-1:], [IP], store,
                                   [ZONE])
        try:
            gateway.start()
            if not gateway.wait_ready():
                record("not ready")
                return 2
            return Play(record, gateway, servers).run()
        finally:
            gateway.end()


if __name__ == "__main__":
    standins.run(main)
