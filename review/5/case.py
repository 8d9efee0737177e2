"""The store does a write of a server late: its entry says `ready` once more,
with an earlier `Sequence`, after the server has announced that it drains. Which
requests reach the server later than DrainMs after the ack?"""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 3.0       # Bounds.DrainMs
STABLE_S = 4.0      # Bounds.StableMs
LATE_S = 6.0        # platform_lost, how late: done 1 to 6 s later
BEAT_S = 1.19       # about HeartbeatMs, 1200
SERVES_ON_S = 4.0   # beyond DrainMs: "at times many seconds"
REQUESTERS = 24
ZONES = {"hall-mechelen": "be-central", "hall-leuven": "be-central"}


class Draining(rig.Server):
    """Its beats are written by main()."""

    def beats(self):
        pass


def main(directory):
    record = rig.Record(HERE / "record.txt")
    store = rig.Store()
    gateways, servers = [], []
    try:
        store.put("op/config", rig.config(7, [
            rig.route("/timi402/", service="kafi81c"),
            rig.route("/orders/", service="kafi81c", repeat="once"),
        ], ["kafi81c"]))
        for n, zone in enumerate(ZONES):
            servers.append(rig.Server(store, record, f"i-02d9e6b{n}",
                                      "kafi81c", zone, 0.12))
        leaving = Draining(store, record, "i-7f3a91c2", "kafi81c",
                           "hall-mechelen", 0.12)
        servers.append(leaving)
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
                   for n in range(REQUESTERS)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        acked = play(store, record, leaving)
        ended = time.monotonic()
        leaving.close()
        store.remove("servers/i-7f3a91c2")
        record.write("server i-7f3a91c2 ends")
        time.sleep(1)
        stop.set()
        for thread in threads:
            thread.join()
        before = [r for r in leaving.got if r[0] <= acked]
        late = [r for r in leaving.got if acked + DRAIN_S < r[0] <= ended]
        record.write(f"answers: {dict(sorted(counts.items()))}")
        record.write(f"i-7f3a91c2 got {len(before)} requests before the ack, "
                     f"{len(late)} later than DrainMs after it")
        if late:
            record.write(f"DRAIN broken, first {late[0][0] - acked:.3f} s, "
                         f"last {late[-1][0] - acked:.3f} s after the ack")
        ok = sum(n for (_, status), n in counts.items() if status == 200)
        if ok < 100 or len(before) < 10:
            return 2
        return 1 if late else 0
    finally:
        for gateway in gateways:
            gateway.stop()
        for made in servers:
            made.close()


def play(store, record, leaving):
    """The beats of the server that leaves, by the time since the one whose
    write the store does late. Return the time of the ack."""
    start = time.monotonic()
    key = "servers/i-7f3a91c2"
    steps = [(n * BEAT_S, "beat") for n in range(1, 9)]
    steps.append((STABLE_S + 0.05, "drain"))
    if TROUBLE:
        steps.append((LATE_S - 0.01, "late"))
    end = STABLE_S + 0.05 + DRAIN_S + SERVES_ON_S
    acked = None
    leaving.sequence += 1
    old = entry(leaving)
    record.write(f"i-7f3a91c2 writes {old['state']}, Sequence "
                 f"{old['Sequence']}, "
                 + ("and gets no answer" if TROUBLE else "acknowledged"))
    if not TROUBLE:
        store.put(key, old)
    for at, step in sorted(steps):
        if at > end:
            break
        time.sleep(max(0, start + at - time.monotonic()))
        if step == "late":
            store.put(key, old)
            record.write(f"the store does the write of Sequence "
                         f"{old['Sequence']}, {at:.2f} s late")
            continue
        if step == "drain":
            leaving.state = "draining"
        leaving.sequence += 1
        now = store.put(key, entry(leaving))
        record.write(f"i-7f3a91c2 writes {leaving.state}, Sequence "
                     f"{leaving.sequence}, acknowledged")
        if step == "drain":
            acked = now
    time.sleep(max(0, start + end - time.monotonic()))
    return acked


def entry(server):
    return {"service": server.service,
            "address": f"{server.ip}:{server.port}",
            "data_centre": server.zone, "version": "v1", "slots": rig.SLOTS,
            "state": server.state, "cold_for_ms": 0,
            "Sequence": server.sequence}


def ask(gateway, number, stop, record, counts):
    """Sends some 3 requests a second on a kept connection, every other one on
    the route whose requests run once."""
    client = rig.Client(gateway)
    n = 0
    while not stop.is_set():
        n += 1
        request_id = f"c{number}n{n:05d}"
        once = n % 2
        target = f"/{'orders' if once else 'timi402'}/{request_id}"
        record.write(f"requester sends {request_id} to {gateway.name}")
        answer = client.request(request_id, target,
                                "POST" if once else "GET",
                                b"order" if once else b"")
        record.write(f"requester gets {answer.status} for {request_id}")
        key = ("once" if once else "any", answer.status)
        counts[key] = counts.get(key, 0) + 1
        time.sleep(0.2)
    client.close()


if __name__ == "__main__":
    rig.run(main)
