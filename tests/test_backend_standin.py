#!/usr/bin/env python3
"""Tests bench-backend over its sockets: test_backend_standin.py PROGRAM."""

import collections
import contextlib
import http.client
import json
import os
import select
import socket
import subprocess
import sys
import tempfile
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
BENCH = os.path.join(HERE, "..", "bench")
sys.path.insert(0, HERE)
sys.path.insert(0, BENCH)

import scan  # noqa: E402
import wire  # noqa: E402

PROGRAM = None
LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20  # of every wait; only a failing test reaches it
MAX_POLLS = 20000
FOREVER_US = 600 * 1000 * 1000
LONG_SETUP_US = 60 * 1000 * 1000
DESK = "be-desk-01"
REGISTRY = "be-registry"
SHARDS = scan.shard_ranges(8)
SHARD_NOT_HELD = 1
LEAK = '{"urgency":"leak"}'


class Backend:
    """A bench-backend process and the ports of its servers."""

    def __init__(self, directory, *args):
        command = [PROGRAM, "--servers",
                   os.path.join(directory, "servers.json"), *args]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE,
                                        text=True)
        self.ports = {}
        self.control_port = None
        for line in self.process.stdout:
            item = json.loads(line)
            if "control_port" in item:
                self.control_port = item["control_port"]
                return
            self.ports[item["server"]] = item["port"]
        self.process.wait(TIMEOUT_S)
        self.process.stdout.close()
        raise RuntimeError("bench-backend did not start")

    def stop(self):
        self.process.terminate()
        code = self.process.wait(TIMEOUT_S)
        self.process.stdout.close()
        return code

    def connect(self, server):
        conn = http.client.HTTPConnection(LOOPBACK, self.ports[server],
                                          timeout=TIMEOUT_S)
        conn.connect()
        return conn

    def control(self, **command):
        with contextlib.closing(http.client.HTTPConnection(
                LOOPBACK, self.control_port, timeout=TIMEOUT_S)) as conn:
            conn.request("POST", "/control", json.dumps(command))
            response = conn.getresponse()
            return response.status, json.loads(response.read())

    def counters(self, server):
        with contextlib.closing(http.client.HTTPConnection(
                LOOPBACK, self.control_port, timeout=TIMEOUT_S)) as conn:
            conn.request("GET", "/control?tickets=1&server=" + server)
            return json.loads(conn.getresponse().read())["servers"][server]

    def wait(self, server, condition):
        """Polls the counters until they meet the condition."""
        for _ in range(MAX_POLLS):
            counters = self.counters(server)
            if condition(counters):
                return counters
        raise AssertionError("not reached: %r" % counters)


def send_search(conn, request_id="r", service=DESK, version=1, shards=SHARDS,
                mode="records", where="", limit=1000, deadline_ms=0):
    conn.request("POST", "/v1/search",
                 wire.search_request(request_id, service, version, shards,
                                     mode, where, limit, deadline_ms),
                 {"Content-Type": "application/x-protobuf"})


def receive(conn):
    response = conn.getresponse()
    return response, response.read()


def search(conn, **fields):
    send_search(conn, **fields)
    response, body = receive(conn)
    if response.status != 200:
        return response, None
    return response, wire.read_search_answer(body)


def run(conn, ticket, key, payload="{}", service=DESK, deadline_ms=0):
    conn.request("POST", "/v1/run",
                 wire.run_request("run-" + ticket, service, ticket, key,
                                  payload, deadline_ms))
    return receive(conn)


def holdings(conn, etag=None):
    headers = {"If-None-Match": etag} if etag else {}
    conn.request("GET", "/v1/holdings", headers=headers)
    response, body = receive(conn)
    return response, wire.read_holdings(body) if body else None


def cancel(conn, request_id):
    conn.request("POST", "/v1/cancel", wire.cancel_request(request_id))
    return receive(conn)[0].status


def merge_shards(answer, limit):
    """Merges a server's shards as for a caller: sums and sorted records."""
    records = sorted((r for s in answer["shards"] for r in s["records"]),
                     key=lambda r: (r[0].encode(), r[1].encode()))
    return {"total": sum(s["held"] for s in answer["shards"]),
            "count": sum(s["count"] for s in answer["shards"]),
            "records": [json.loads(r[2]) for r in records[:limit]]}


def is_readable(conn):
    return bool(select.select([conn.sock], [], [], 0)[0])


class StandInTest(unittest.TestCase):
    """Starts one process per test, so that injected faults stay separate."""

    arguments = ()

    @classmethod
    def setUpClass(cls):
        cls.temporary = tempfile.TemporaryDirectory()
        cls.directory = cls.temporary.name
        subprocess.run([sys.executable, os.path.join(BENCH, "generate.py"),
                        "--deployment", "belgium", "--scale", "0.05",
                        "--out", cls.directory, "--service-us", "0"],
                       check=True)
        cls.desk = scan.Data(cls.directory, DESK)

    @classmethod
    def tearDownClass(cls):
        cls.temporary.cleanup()

    def start(self, *args):
        backend = Backend(self.directory, *args)

        def stop():
            self.assertEqual(backend.stop(), 0)

        self.addCleanup(stop)
        return backend

    def connect(self, backend, server=DESK + "-1"):
        conn = backend.connect(server)
        self.addCleanup(conn.close)
        return conn

    def command(self, backend, **command):
        command.setdefault("server", DESK + "-1")
        status, answer = backend.control(**command)
        self.assertEqual((status, answer.get("servers")), (200, 1), answer)


class GenerateTest(unittest.TestCase):
    def generate(self, *args):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        subprocess.run([sys.executable, os.path.join(BENCH, "generate.py"),
                        "--out", directory.name, *args], check=True)
        return directory.name

    def read(self, directory, name):
        with open(os.path.join(directory, name), encoding="utf-8") as file:
            return json.load(file)

    def test_seed_decides(self):
        texts = []
        for seed in ("3", "3", "4"):
            directory = self.generate("--fanout", "2", "--seed", seed)
            path = os.path.join(directory, "fanout.jsonl")
            with open(path, encoding="utf-8") as file:
                texts.append(file.read())
        self.assertEqual(texts[0], texts[1])
        self.assertNotEqual(texts[0], texts[2])

    def test_sizes_of_the_deployments(self):
        for deployment, services, servers in (("belgium", 52, 111),
                                              ("costa-rica", 52, 106)):
            table = self.read(self.generate("--deployment", deployment,
                                            "--records", "1"), "table.json")
            self.assertEqual(len(table["services"]["rows"]), services)
            self.assertEqual(len(table["servers"]["rows"]), servers)

    def test_versions_differ(self):
        data = scan.Data(self.generate("--fanout", "2"), "fanout")
        seen = set()
        for version in (1, 2, 3, 4):
            records = data.snapshot(version)
            keys = [r["key"] for r in records]
            self.assertEqual(len(keys), len(set(keys)))
            seen.add(json.dumps(records, sort_keys=True))
        self.assertEqual(len(seen), 4)

    def test_ports_of_a_running_backend(self):
        directory = self.generate("--fanout", "2", "--replicas", "2")
        backend = Backend(directory)
        self.addCleanup(backend.stop)
        ports = os.path.join(directory, "ports")
        with open(ports, "w", encoding="utf-8") as file:
            for server, port in backend.ports.items():
                json.dump({"server": server, "port": port}, file)
                file.write("\n")
        subprocess.run([sys.executable, os.path.join(BENCH, "generate.py"),
                        "--out", directory, "--fanout", "2", "--replicas",
                        "2", "--ports", ports, "--table-only"], check=True)
        rows = self.read(directory, "table.json")["servers"]["rows"]
        self.assertEqual({row[0]: row[3] for row in rows},
                         {server: "%s:%d" % (LOOPBACK, port)
                          for server, port in backend.ports.items()})


class HoldingsTest(StandInTest):
    def test_map_and_etag(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        response, held = holdings(conn)
        self.assertEqual(response.status, 200)
        self.assertEqual(held["server"], DESK + "-1")
        self.assertEqual(held["service"], DESK)
        truth = self.desk.shards(1, {}, 8)
        self.assertEqual(held["snapshots"][1]["map"],
                         [((t["lo"], t["hi"]), t["held"]) for t in truth])
        self.assertEqual(held["snapshots"][1]["here"], list(range(8)))
        response, _ = holdings(conn, response.headers["ETag"])
        self.assertEqual(response.status, 304)
        self.command(backend, fault="drain")
        response, held = holdings(conn, response.headers["ETag"])
        self.assertEqual(response.status, 200)
        self.assertTrue(held["draining"])

    def test_registry_shards_on_two_servers(self):
        backend = self.start("--set", "slots=7")
        replicas = collections.Counter()
        servers = [s for s in backend.ports if s.startswith(REGISTRY)]
        for server in servers:
            _, held = holdings(self.connect(backend, server))
            replicas.update(held["snapshots"][1]["here"])
            shards = len(held["snapshots"][1]["map"])
        self.assertEqual(replicas, {shard: 2 for shard in range(shards)})

    def test_parts_share_the_servers(self):
        names = [set(self.start("--part", "%d/3" % i).ports)
                 for i in (1, 2, 3)]
        with open(os.path.join(self.directory, "servers.json"),
                  encoding="utf-8") as file:
            servers = [s["server"] for s in json.load(file)["servers"]]
        self.assertEqual(sorted(n for part in names for n in part),
                         sorted(servers))

    def test_no_such_server(self):
        with self.assertRaises(RuntimeError):
            Backend(self.directory, "--only", "no-such-server")

    def test_keys_of_every_length(self):
        """The hash in scan.py must equal the library's at each key length."""
        with tempfile.TemporaryDirectory() as directory:
            with open(os.path.join(directory, "k.jsonl"), "w",
                      encoding="utf-8") as file:
                for size in range(1, 241):
                    key = (("%d/" % size) * size)[:size]
                    json.dump({"key": key, "from": 1, "to": None, "sort": "",
                               "body": {"size": size}}, file)
                    file.write("\n")
            with open(os.path.join(directory, "servers.json"), "w",
                      encoding="utf-8") as file:
                json.dump({"servers": [{"server": "k-1", "service": "k",
                                        "data": "k.jsonl",
                                        "shards": 4096}]}, file)
            backend = Backend(directory)
            self.addCleanup(backend.stop)
            _, held = holdings(self.connect(backend, "k-1"))
            truth = scan.Data(directory, "k").shards(1, {}, 4096)
        self.assertEqual([h for _, h in held["snapshots"][1]["map"]],
                         [t["held"] for t in truth])


class SearchTest(StandInTest):
    def test_answers_of_the_scan(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        filters = ['', '{}', LEAK, '{"workspace":"ws-03"}',
                   '{"urgency":"heating","state":"open"}',
                   '{"tenant_at_home":true}', '{"technician":null}',
                   '{"order":7}', '{"order":7.0}', '{"order":"7"}',
                   '{"order":true}', '{"no_such_field":1}',
                   '{"urgency":"no such value"}']
        for where in filters:
            for limit in (1, 20, 1000):
                with self.subTest(where=where, limit=limit):
                    response, answer = search(conn, where=where, limit=limit)
                    self.assertEqual(response.status, 200)
                    self.assertEqual((answer["request_id"],
                                      answer["version"]), ("r", 1))
                    self.assertEqual(
                        merge_shards(answer, limit),
                        self.desk.scan(1, json.loads(where or "{}"), limit))

    def test_count_has_no_records(self):
        backend = self.start("--only", DESK + "-1")
        _, answer = search(self.connect(backend), mode="count", where=LEAK,
                           limit=0)
        self.assertEqual(merge_shards(answer, 10),
                         self.desk.scan(1, json.loads(LEAK), 0))

    def test_refusals(self):
        backend = self.start("--only", REGISTRY + "-1," + DESK + "-1")
        conn = self.connect(backend)
        for fields, status in (({"version": 9}, 409), ({"where": "["}, 400),
                               ({"where": "3"}, 400),
                               ({"service": "another"}, 400)):
            self.assertEqual(search(conn, **fields)[0].status, status, fields)
        conn.request("POST", "/v1/search", b"\xff\xff")
        self.assertEqual(receive(conn)[0].status, 400)

    def test_shards_not_held(self):
        backend = self.start("--only", DESK + "-1", "--set", "servers=4")
        _, answer = search(self.connect(backend),
                           shards=[SHARDS[0], SHARDS[1], (1, 8191), (0, 3)])
        self.assertEqual([s["status"] for s in answer["shards"]],
                         [0] + 3 * [SHARD_NOT_HELD])
        self.assertEqual(sum(s["held"] for s in answer["shards"][1:]), 0)


class LimitTest(StandInTest):
    def start_occupied(self, *args):
        """Starts a server with both slots in use until cancelled."""
        backend = self.start("--only", DESK + "-1", "--service-us",
                             str(FOREVER_US), *args)
        conns = [self.connect(backend) for _ in range(2)]
        for i, conn in enumerate(conns):
            send_search(conn, request_id="slot-%d" % i)
        backend.wait(DESK + "-1", lambda c: c["running"] == 2)
        return backend, conns

    def test_no_slot(self):
        backend, _ = self.start_occupied()
        response, _ = search(self.connect(backend))
        self.assertEqual(response.status, 429)
        self.assertGreaterEqual(int(response.headers["Retry-After-Ms"]), 1)
        counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["answers"]["no_slot"], 1)
        self.assertEqual(counters["slots_peak"], 2)

    def test_cancel_frees_the_slot(self):
        backend, conns = self.start_occupied()
        other = self.connect(backend)
        self.assertEqual(cancel(other, "slot-0"), 204)
        self.assertEqual(receive(conns[0])[0].status, 499)
        send_search(conns[0], request_id="slot-2")
        counters = backend.wait(DESK + "-1", lambda c: c["running"] == 2)
        self.assertEqual(counters["answers"]["cancelled"], 1)
        self.assertEqual(cancel(other, "no such request"), 204)

    def test_queue(self):
        backend, conns = self.start_occupied("--set", "queue=1")
        waiting = self.connect(backend)
        send_search(waiting, request_id="waits")
        backend.wait(DESK + "-1", lambda c: c["queued_peak"] == 1)
        self.assertEqual(search(self.connect(backend))[0].status, 429)
        self.assertEqual(cancel(self.connect(backend), "slot-0"), 204)
        self.assertEqual(receive(conns[0])[0].status, 499)
        self.assertEqual(backend.counters(DESK + "-1")["running"], 2)
        self.assertEqual(cancel(self.connect(backend), "waits"), 204)
        self.assertEqual(receive(waiting)[0].status, 499)

    def test_deadline(self):
        backend = self.start("--only", DESK + "-1", "--service-us",
                             str(FOREVER_US))
        response, _ = search(self.connect(backend), deadline_ms=5)
        self.assertEqual(response.status, 504)
        self.assertEqual(backend.counters(DESK + "-1")["running"], 0)

    def test_connections(self):
        backend = self.start("--only", DESK + "-1", "--set", "connections=3")
        conns = [self.connect(backend) for _ in range(3)]
        for conn in conns:
            self.assertEqual(holdings(conn)[0].status, 200)
        extra = self.connect(backend)
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            holdings(extra)
        conns[0].close()
        backend.wait(DESK + "-1", lambda c: c["connections_open"] == 2)
        self.assertEqual(holdings(self.connect(backend))[0].status, 200)
        counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["connections_peak"], 3)
        self.assertEqual(counters["connections_refused"], 1)

    def test_closing_while_worked_on(self):
        """A closed connection is not counted, although its request runs."""
        backend, conns = self.start_occupied()
        conns[0].close()
        counters = backend.wait(DESK + "-1",
                                lambda c: c["connections_open"] == 1)
        self.assertEqual(counters["running"], 2)


class FaultTest(StandInTest):
    def test_crash_on_marker(self):
        backend = self.start("--only", DESK + "-1", "--set",
                             "cold_requests=2")
        self.command(backend, fault="crash_on", marker="poison",
                     restart_ms=1)
        other = self.connect(backend)
        conn = self.connect(backend)
        for _ in range(2):
            self.assertEqual(search(other)[0].status, 200)
        self.assertFalse(holdings(other)[1]["cold"])
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            search(conn, where='{"workspace":"poison"}')
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            search(other)
        counters = backend.wait(DESK + "-1", lambda c: not c["down"])
        self.assertEqual(counters["crashes"], 1)
        self.assertEqual(counters["running"], 0)
        again = self.connect(backend)
        self.assertTrue(holdings(again)[1]["cold"])
        self.assertEqual(search(again)[0].status, 200)

    def test_crash_for_good(self):
        backend = self.start("--only", DESK + "-1")
        self.command(backend, fault="crash")
        backend.wait(DESK + "-1", lambda c: c["down"])
        for _ in range(MAX_POLLS):
            try:
                backend.connect(DESK + "-1").close()
            except ConnectionRefusedError:
                return
        self.fail("still listening")

    def test_silent_connections(self):
        """Connections open at the fault get no answer; new ones do."""
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.assertEqual(search(conn)[0].status, 200)
        self.command(backend, fault="silent")
        send_search(conn)
        new = self.connect(backend)
        self.assertEqual(search(new)[0].status, 200)
        self.assertFalse(is_readable(conn))
        counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["received"]["search"], 2)
        self.assertEqual(counters["connections_open"], 2)
        conn.close()
        backend.wait(DESK + "-1", lambda c: c["connections_open"] == 1)

    def test_silent_connections_not_forgotten(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.assertEqual(search(conn)[0].status, 200)
        self.command(backend, fault="silent", forget_ms=600000)
        conn.close()
        for _ in range(20):
            self.assertEqual(search(self.connect(backend))[0].status, 200)
        counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["connections_open"], 21)
        self.command(backend, fault="silent", forget_ms=0)
        backend.wait(DESK + "-1", lambda c: c["connections_open"] == 0)

    def test_pause(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.assertEqual(search(conn)[0].status, 200)
        self.command(backend, fault="pause", ms=600000)
        send_search(conn)
        for _ in range(20):
            counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["received"]["search"], 1)
        self.assertFalse(is_readable(conn))
        self.command(backend, fault="pause", ms=0)
        self.assertEqual(receive(conn)[0].status, 200)

    def test_version_switch(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="version", version=2, shards=16,
                     keep_ms=600000)
        self.assertEqual(sorted(holdings(conn)[1]["snapshots"]), [1, 2])
        for version, ranges in ((1, SHARDS), (2, scan.shard_ranges(16))):
            _, answer = search(conn, version=version, shards=ranges)
            self.assertEqual(answer["version"], version)
            self.assertEqual(merge_shards(answer, 1000),
                             self.desk.scan(version, {}, 1000))
        _, answer = search(conn, version=1, shards=scan.shard_ranges(16))
        self.assertEqual({s["status"] for s in answer["shards"]},
                         {SHARD_NOT_HELD})
        self.command(backend, fault="version", version=3, shards=16)
        # Version 2 is dropped at once; keep_ms of version 1 has not passed.
        self.assertEqual(sorted(holdings(conn)[1]["snapshots"]), [1, 3])
        self.assertEqual(search(conn, version=2)[0].status, 409)

    def test_repartition_of_one_version(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="version", version=1, shards=3)
        _, held = holdings(conn)
        self.assertEqual([r for r, _ in held["snapshots"][1]["map"]],
                         scan.shard_ranges(3))

    def test_drain(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="drain")
        response, _ = search(conn)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["X-Draining"], "1")
        self.assertIn("Retry-After-Ms", response.headers)
        counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["received_after_drain"], 1)

    def test_drain_ends_no_request(self):
        backend = self.start("--only", DESK + "-1", "--service-us", "2000")
        conn = self.connect(backend)
        self.command(backend, fault="slow", factor=50)
        send_search(conn)
        backend.wait(DESK + "-1", lambda c: c["running"] == 1)
        self.command(backend, fault="drain")
        self.assertEqual(receive(conn)[0].status, 200)

    def test_slow_shard(self):
        backend = self.start("--only", DESK + "-1", "--service-us", "1000")
        self.command(backend, fault="slow", factor=600000, probability=1,
                     shard_lo=0, shard_hi=0)
        slow = self.connect(backend)
        send_search(slow, shards=SHARDS[:1])
        conn = self.connect(backend)
        self.assertEqual(search(conn, shards=SHARDS[1:])[0].status, 200)
        self.assertFalse(is_readable(slow))
        self.assertEqual(backend.counters(DESK + "-1")["running"], 1)

    def test_connection_cost(self):
        backend = self.start("--only", DESK + "-1", "--set",
                             "connect_cost_us=%d" % LONG_SETUP_US)
        conn = self.connect(backend)
        send_search(conn)
        counters = backend.wait(DESK + "-1",
                                lambda c: c["connections_open"] == 1)
        for _ in range(20):
            counters = backend.counters(DESK + "-1")
        self.assertEqual(counters["received"]["search"], 0)
        self.assertFalse(is_readable(conn))

    def test_crash_ends_a_pause(self):
        backend = self.start("--only", DESK + "-1")
        self.command(backend, fault="pause", ms=600000)
        self.command(backend, fault="crash", restart_ms=1)
        backend.wait(DESK + "-1",
                     lambda c: c["crashes"] == 1 and not c["down"])
        self.assertEqual(search(self.connect(backend))[0].status, 200)

    def test_shed(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="shed", ratio=1, retry_ms=70)
        response, _ = search(conn)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["Retry-After-Ms"], "70")
        self.assertIsNone(response.headers["X-Draining"])
        self.command(backend, fault="shed", ratio=0)
        self.assertEqual(search(conn)[0].status, 200)

    def test_false_answers(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="wrong_version")
        self.assertEqual(search(conn)[1]["version"], 2)
        self.command(backend, fault="wrong_version", probability=0)
        self.command(backend, fault="foreign")
        self.assertNotEqual(search(conn)[1]["request_id"], "r")
        self.command(backend, fault="foreign", probability=0)
        self.command(backend, fault="truncate")
        with self.assertRaises(http.client.IncompleteRead):
            search(conn)

    def test_lying_health(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)

        def health():
            conn.request("GET", "/v1/health")
            return json.loads(receive(conn)[1])

        self.assertEqual(health(), {"healthy": True, "load": 0})
        self.command(backend, fault="lie_health", healthy=0, load=0.9)
        self.assertEqual(health(), {"healthy": False, "load": 0.9})

    def test_reset(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.assertEqual(search(conn)[0].status, 200)
        self.command(backend, fault="reset")
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            search(conn)
        self.assertEqual(search(self.connect(backend))[0].status, 200)

    def test_unknown_command(self):
        backend = self.start("--only", DESK + "-1")
        self.assertEqual(backend.control(fault="no such", server="*")[0], 400)
        self.assertEqual(backend.control(fault="reset", server="other"),
                         (200, {"servers": 0}))


class RunTest(StandInTest):
    KEY = DESK + "/0000001"

    def test_counted_by_ticket(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.assertEqual(run(conn, "t-1", self.KEY)[0].status, 200)
        self.assertEqual(run(conn, "t-2", self.KEY)[0].status, 200)
        self.assertEqual(run(conn, "t-2", self.KEY)[0].status, 200)
        self.assertEqual(backend.counters(DESK + "-1")["tickets"],
                         {"t-1": 1, "t-2": 2})

    def test_refused_is_not_run(self):
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="shed", ratio=1)
        self.assertEqual(run(conn, "t-1", self.KEY)[0].status, 503)
        self.command(backend, fault="shed", ratio=0)
        self.command(backend, fault="drain")
        self.assertEqual(run(conn, "t-2", self.KEY)[0].status, 503)
        self.assertEqual(backend.counters(DESK + "-1")["tickets"], {})

    def test_late_in_the_queue_is_not_run(self):
        backend = self.start("--only", DESK + "-1", "--service-us",
                             str(FOREVER_US), "--set", "queue=1", "--set",
                             "slots=1")
        send_search(self.connect(backend))
        backend.wait(DESK + "-1", lambda c: c["running"] == 1)
        conn = self.connect(backend)
        self.assertEqual(run(conn, "t-1", self.KEY,
                             deadline_ms=5)[0].status, 503)
        self.assertEqual(backend.counters(DESK + "-1")["tickets"], {})

    def test_key_not_held(self):
        backend = self.start("--set", "replicas=1")
        statuses = [run(self.connect(backend, server), "t", self.KEY)[0].status
                    for server in (DESK + "-1", DESK + "-2")]
        self.assertEqual(sorted(statuses), [200, 404])

    def test_crash_after_running(self):
        """A crash after the run loses its answer; the run still counts once."""
        backend = self.start("--only", DESK + "-1")
        conn = self.connect(backend)
        self.command(backend, fault="crash_on", marker="poison", restart_ms=1)
        with self.assertRaises((ConnectionError, http.client.HTTPException)):
            run(conn, "t-1", self.KEY, '{"van":"poison"}')
        self.assertEqual(backend.counters(DESK + "-1")["tickets"], {"t-1": 1})

    def test_history(self):
        path = os.path.join(self.directory, "history.jsonl")
        backend = Backend(self.directory, "--only", DESK + "-1", "--history",
                          path)
        conn = self.connect(backend)
        search(conn, request_id='a "quoted" id', shards=SHARDS[:2])
        run(conn, "t-1", self.KEY)
        backend.control(fault="truncate", server="*")
        with self.assertRaises(http.client.IncompleteRead):
            search(conn, shards=SHARDS[:2])
        self.assertEqual(backend.stop(), 0)
        with open(path, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        self.assertEqual([(x["event"], x.get("kind"), x.get("connection"))
                          for x in lines],
                         [("start", "search", 1), ("end", "search", 1),
                          ("start", "run", 1), ("end", "run", 1),
                          ("fault", None, None),
                          ("start", "search", 1), ("end", "search", 1)])
        self.assertEqual(lines[0]["request_id"], 'a "quoted" id')
        self.assertEqual(lines[0]["shards"], [list(r) for r in SHARDS[:2]])
        self.assertEqual(lines[2]["ticket"], "t-1")
        self.assertEqual([x.get("ran") for x in lines],
                         [None, True, None, True, None, None, True])
        self.assertEqual([x["spoilt"] for x in lines if x["event"] == "end"],
                         [False, False, True])
        self.assertEqual(lines[4]["command"], {"fault": "truncate",
                                               "server": "*"})
        self.assertEqual(sorted(x["time_us"] for x in lines),
                         [x["time_us"] for x in lines])


if __name__ == "__main__":
    PROGRAM = os.path.abspath(sys.argv.pop(1))
    unittest.main()
