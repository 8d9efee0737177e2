"""A request crashes each server that runs it, and comes again after all
processes were killed, twice. How often does it reach a server later than
StableMs after it has crashed the third?"""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = 4.0      # Bounds.StableMs
RETRIES_MAX = 3     # of BUDGET
DOWN_S = 3.0        # a crashed server is back "after some seconds"
EXPIRES_S = 3.6     # its entry goes after three ping intervals of silence
KILLS = 2           # herd_kill with on = "core": all of them are killed
ZONES = {"hall-mechelen": "be-central", "hall-leuven": "be-central"}
SERVERS = 7         # of contractor-registry
CRASHING = "/timi402/3ad1"


class Servers:
    def __init__(self, store, record):
        self.store, self.record = store, record
        self.lock = threading.Lock()
        self.up = {}
        self.starts = 0
        self.reached = []   # (time, request id, server) of the crashing one
        self.orders_lost = 0

    def start(self, slot):
        self.starts += 1
        name = f"i-{self.starts:04d}"
        server = rig.Server(self.store, self.record, name, "kafi81c",
                            list(ZONES)[slot % 2], 0.12, self.behave)
        with self.lock:
            self.up[slot] = server

    def behave(self, server, conn, method, target, headers, body):
        request_id = headers.get("x-request-id", "")
        if target != CRASHING:
            return server.work(conn, request_id, target, body)
        with self.lock:
            slots = [s for s, up in self.up.items() if up is server]
            self.reached.append((time.monotonic(), request_id, server.name))
        server.run(request_id, target)
        time.sleep(0.03)
        self.record.write(f"server {server.name} crashes, running "
                          f"{server.held} other requests")
        server.close()
        threading.Timer(EXPIRES_S, self.store.remove,
                        (f"servers/{server.name}",)).start()
        for slot in slots:
            threading.Timer(DOWN_S, self.start, (slot,)).start()
        return False

    def close(self):
        with self.lock:
            for server in self.up.values():
                server.close()


def main(directory):
    record = rig.Record(HERE / "record.txt")
    store = rig.Store()
    gateways = []
    servers = Servers(store, record)
    try:
        store.put("op/config", rig.config(7, [
            rig.route("/timi402/", service="kafi81c"),
            rig.route("/orders/", service="kafi81c", repeat="once"),
        ], ["kafi81c"]))
        for slot in range(SERVERS):
            servers.start(slot)
        peer_port = min(rig.free_ports(1)[0], 60000)
        for i, zone in enumerate(list(ZONES) * 2):
            gateway = rig.Gateway(directory, record, store.address, i,
                                  peer_port, ["127.0.0.20:1"], zone, ZONES)
            gateways.append(gateway)
            gateway.start()
        if not all(rig.wait_until(g.is_ready) for g in gateways):
            return 2
        stop = threading.Event()
        counts = {}
        threads = [threading.Thread(target=ask, daemon=True, args=(
            gateways[n % 4], n, stop, record, counts))
                   for n in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(STABLE_S + 1)
        sent = {}
        send_crashing(gateways, record, sent, "a")
        with servers.lock:
            if len(servers.reached) < 3:
                record.write("it did not crash three servers")
                return 2
            third = servers.reached[2][0]
        record.write("three servers have crashed")
        for kill in range(KILLS):
            time.sleep(STABLE_S + 1)
            if TROUBLE:
                for gateway in gateways:
                    gateway.process.kill()
                for gateway in gateways:
                    gateway.process.wait()
                record.write("all gateways are killed")
                time.sleep(0.5)
                for gateway in gateways:
                    gateway.start()
                if not all(rig.wait_until(g.is_ready) for g in gateways):
                    return 2
            time.sleep(STABLE_S + 1)
            send_crashing(gateways, record, sent, "bc"[kill])
        stop.set()
        for thread in threads:
            thread.join()
        late = sorted({r[1] for r in servers.reached
                       if sent[r[1]] > third + STABLE_S})
        lost = len([r for r in servers.reached if sent[r[1]] > third + STABLE_S])
        record.write(f"answers to others: {dict(sorted(counts.items()))}")
        record.write(f"sent later than StableMs after the third crash: "
                     f"{len([t for t in sent.values() if t > third + STABLE_S])}"
                     f", reached servers: {len(late)} {late}, which crashed "
                     f"{lost}")
        if len(late) > RETRIES_MAX:
            record.write("BUDGET broken")
        return 1 if len(late) > RETRIES_MAX else 0
    finally:
        for gateway in gateways:
            gateway.stop()
        servers.close()


def send_crashing(gateways, record, sent, label):
    """The requester repeats it six times, each 0.7 s and at another machine."""
    for n in range(6):
        request_id = f"crash-{label}{n}"
        sent[request_id] = time.monotonic()
        record.write(f"requester sends {request_id}")
        answer = rig.Client(gateways[n % 4]).request(request_id, CRASHING)
        record.write(f"requester gets {answer.status} for {request_id}")
        time.sleep(0.7)


def ask(gateway, number, stop, record, counts):
    """Other requesters: some 4 requests a second each, every other one on the
    route whose requests run once."""
    client = rig.Client(gateway)
    n = 0
    while not stop.is_set():
        n += 1
        request_id = f"c{number}n{n:05d}"
        once = n % 2
        target = f"/{'orders' if once else 'timi402'}/{request_id}"
        answer = client.request(request_id, target,
                                "POST" if once else "GET",
                                b"order" if once else b"")
        if answer.status != 200:
            record.write(f"requester gets {answer.status} for {request_id} "
                         f"({'once' if once else 'any'})")
        key = ("once" if once else "any", answer.status)
        counts[key] = counts.get(key, 0) + 1
        time.sleep(0.15)
    client.close()


if __name__ == "__main__":
    rig.run(main)
