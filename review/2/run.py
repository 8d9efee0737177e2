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
# The first two are the seeds, and are killed.
NAMES = ["front-a-4", "front-a-1", "front-a-2", "front-a-3"]
IPS = [f"127.0.0.{41 + i}" for i in range(len(NAMES))]
BUDGET_MS = 5000
STABLE_S = 4
# How long the server that left goes on serving, see "Service discovery".
SERVES_ON_S = 8
N_SERVERS = 4
N_ROUNDS = 6
# After the loss: when a server leaves, and when the processes start again.
LEAVE_S = 0.2
RESTART_S = 0.35
WORK_S = 0.12
PAUSE_S = 0.05


class Leaver(standins.Server):
    """Notes what reaches it after it has left."""

    def __init__(self, *args, **members):
        self.left_at = None
        self.late = []
        super().__init__(*args, **members)

    def on_arrival(self, connection, method, request_id):
        if self.left_at:
            after_ms = (time.monotonic() - self.left_at) * 1000
            if after_ms > standins.DRAIN_MS:
                self.late.append((request_id, after_ms))
        return False


class Requester(threading.Thread):
    """Sends one request after the other to one machine."""

    def __init__(self, gateway, number):
        super().__init__(daemon=True)
        self.gateway, self.number = gateway, number
        self.results = {}
        self.stop = False
        self.start()

    def run(self):
        caller = None
        n = 0
        while not self.stop:
            n += 1
            request_id = f"{self.gateway.name}-{self.number}-{n:04d}"
            try:
                caller = caller or standins.Caller(self.gateway.front)
            except OSError:
                self.results[request_id] = "no connection"
                time.sleep(PAUSE_S)
                continue
            status, headers, _ = caller.ask("POST", f"/record/{n}",
                                            request_id, BUDGET_MS, b"order")
            self.results[request_id] = status
            if status <= 0 or headers.get("connection") == "close":
                caller.close()
                caller = None
            time.sleep(PAUSE_S)


def main():
    record = standins.Record(HERE / "record.txt")
    store = standins.Store()
    servers = [Leaver(store, f"i-records-{n}", "records", ZONE,
                      work_s=WORK_S) for n in range(N_SERVERS)]
    for server in servers:
        server.publish()
    store.put("op/config", standins.config(3, [{
        "name": "record", "host": standins.HOST, "prefix": "/record/",
        "repeat": "once", "timeout_ms": BUDGET_MS, "goal_ms": 500,
        "priority": 2, "service": "records", "servers_max": 2}], ["records"]))
    ports = standins.free_ports(6, IPS)
    with standins.temporary_folder() as folder:
        gateways = [standins.Gateway(record, pathlib.Path(folder), name, ip,
                                     ZONE, ports + ports[-1:], IPS[:2], store,
                                     [ZONE]) for name, ip in zip(NAMES, IPS)]
        try:
            for gateway in gateways:
                gateway.start()
            if not all(g.wait_ready() for g in gateways):
                record("not ready")
                return 2
            return play(record, store, gateways, servers)
        finally:
            for gateway in gateways:
                gateway.end()
            if len(sys.argv) > 1:
                for gateway in gateways:
                    pathlib.Path(sys.argv[1], gateway.name + ".log"
                                 ).write_bytes(gateway.log_path.read_bytes())


def play_round(record, store, killed, servers, n):
    """Two machines restart, and a server leaves meanwhile. Return: it."""
    leaver = servers[n]
    if standins.TROUBLE:
        for gateway in killed:
            gateway.kill()
    time.sleep(LEAVE_S)
    store.remove(f"servers/{leaver.name}")
    leaver.left_at = time.monotonic()
    record(f"{leaver.name} left: its entry is removed, acknowledged by the "
           f"store; it serves on for {SERVES_ON_S} s")
    time.sleep(RESTART_S - LEAVE_S)
    if standins.TROUBLE:
        for gateway in killed:
            gateway.start()
    time.sleep(1)
    added = Leaver(store, f"i-records-{n + N_SERVERS}", "records", ZONE,
                   work_s=WORK_S)
    added.publish()
    servers.append(added)
    time.sleep(max(0, leaver.left_at + SERVES_ON_S - time.monotonic()))
    leaver.close()
    record(f"{leaver.name} ended")
    time.sleep(2)
    return leaver


def play(record, store, gateways, servers):
    killed, survivors = gateways[:2], gateways[2:]
    requesters = [Requester(g, n) for g in survivors for n in range(3)]
    time.sleep(STABLE_S + 1)
    leavers = [play_round(record, store, killed, servers, n)
               for n in range(N_ROUNDS)]
    for requester in requesters:
        requester.stop = True
    results = {}
    for requester in requesters:
        requester.join(BUDGET_MS / 1000 + 1)
        results.update(requester.results)
    late = [(leaver, *arrival) for leaver in leavers
            for arrival in leaver.late]
    for leaver, request_id, after_ms in late:
        record(f"{request_id} reached {leaver.name} {after_ms:.0f} ms after "
               f"the ack (bound {standins.DRAIN_MS} ms): answered "
               f"{results.get(request_id) or 'not'}")
    unserved = [i for _, i, _ in late if results.get(i) != 200]
    statuses = list(results.values())
    counts = {s: statuses.count(s) for s in set(statuses)}
    record(f"answers: {counts}; requests that reached a server too late: "
           f"{len(late)}, of them ended by its end: {len(unserved)}")
    if statuses.count(200) < len(statuses) / 2:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    standins.run(main)
