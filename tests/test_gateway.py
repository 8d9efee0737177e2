"""Tests of gateway processes with a fake store and fake backend servers.

Each test ends with a graceful stop of its instances, whose exit status must be
0 and whose logs must hold JSON lines only.
"""

import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import experiment  # noqa: E402
import json  # noqa: E402
import wire  # noqa: E402
from gateway_fixtures import (  # noqa: E402
    HOST, Gateway, OpaqueServer, Store, answer, config_document, free_port,
    route,
)

BUILD = None
WAIT_MAX_S = 20  # upper limit of each wait, reached only on failure

SERVICES = ["one", "two", "s0", "s1", "s2", "s3"]
ROUTES = [
    route("/any/", service="one"),
    route("/once/", service="one", repeat="once"),
    # Hedging starts after a quarter of the goal: too late for any test here.
    route("/patient/", service="one", timeout_ms=90000, goal_ms=80000),
    route("/slow/", service="two", timeout_ms=400, goal_ms=300),
    route("/shards/", shards=["s0", "s1", "s2", "s3"], records_max=3,
          coverage_min=0.75, timeout_ms=2000, goal_ms=500),
]


# docs/PROTOCOL.md: frames between instances.
HELLO = 1
PART_REQUEST = 21


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Caller:
    """A client connection to a gateway."""

    def __init__(self, gateway):
        self.sock = socket.create_connection((gateway.ip, gateway.port),
                                             timeout=WAIT_MAX_S)
        self.stream = self.sock.makefile("rb")

    def send(self, data):
        self.sock.sendall(data)

    def request(self, target, method="GET", headers=(), body=b"",
                request_id="r1"):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return self.read()

    def read(self):
        """Read one response; None if the connection is closed first."""
        line = self.stream.readline()
        if not line:
            return None
        headers = {}
        for header in iter(self.stream.readline, b"\r\n"):
            if not header:
                return None
            name, _, value = header.decode().partition(":")
            headers[name.lower()] = value.strip()
        body = self.stream.read(int(headers["content-length"]))
        return Answer(int(line.split()[1]), headers, body)

    def close(self):
        self.stream.close()
        self.sock.close()


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.servers = []
        self.gateways = []
        self.callers = []
        self.peer_port = free_port()

    def tearDown(self):
        for caller in self.callers:
            caller.close()
        for gateway in self.gateways:
            self.assertEqual(gateway.stop(), 0)
            bad = [line for line in gateway.log()
                   if line["event"] == "no JSON"]
            self.assertEqual(bad, [])
        for server in self.servers:
            server.close()
        self.store.shutdown()
        self.store.server_close()
        self.directory.cleanup()

    def wait(self, what, check):
        return experiment.wait_until(what, check, WAIT_MAX_S)

    def server(self, name, service, **members):
        server = OpaqueServer(self.store, name, service, **members)
        self.servers.append(server)
        return server

    def publish(self, version=1, routes=None, **members):
        self.store.put("op/config", config_document(version, routes or ROUTES,
                                                    SERVICES, **members))

    def gateway(self, **members):
        gateway = Gateway(BUILD, pathlib.Path(self.directory.name), self.store,
                          len(self.gateways), self.peer_port, **members)
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def ready_gateway(self, **members):
        gateway = self.gateway(**members)
        self.wait("ready", gateway.is_ready)
        return gateway

    def metric(self, gateway, name):
        _, body = gateway.page("control_address", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith(f"garnetreach_{name} "):
                return float(line.split()[1])
        return None

    def caller(self, gateway):
        caller = Caller(gateway)
        self.callers.append(caller)
        return caller

    def start_one(self, respond=None):
        """Start a gateway with a single server, of the service "one"."""
        server = self.server("one-1", "one")
        if respond:
            server.respond = respond
        self.publish()
        gateway = self.ready_gateway()
        return server, gateway, self.caller(gateway)

    def warm_up_budget(self, caller, target):
        """Send requests until the budget allows a retry. It is empty in a new
        process, and each request adds at most 0.2 tokens."""
        for i in range(8):
            got = caller.request(target, request_id=f"earn{i}")
            self.assertEqual(got.status, 200)
        for server in self.servers:
            server.seen.clear()
            server.ran.clear()


class Forwarding(GatewayTest):
    def test_request_and_answer_pass_unchanged(self):
        server, _, caller = self.start_one()
        got = caller.request(
            "/any/a%20b?x=1&y", method="POST", body=b"\x00body\r\n",
            headers=[("X-Deadline-Ms", "2000"), ("X-Other", "kept"),
                     ("Connection", "X-Hop"), ("X-Hop", "dropped"),
                     ("X-Expect-Instance", "forged")])
        self.assertEqual(got.status, 200)
        self.assertEqual(got.body, b"one-1 /any/a%20b?x=1&y \x00body\r\n")
        self.assertEqual(got.headers["x-server-stamp"], "one-1.r1")
        seen = server.ran[0]
        self.assertEqual((seen.method, seen.target), ("POST",
                                                      "/any/a%20b?x=1&y"))
        self.assertEqual(seen.body, b"\x00body\r\n")
        self.assertEqual(seen.headers["x-request-id"], "r1")
        self.assertEqual(seen.headers["x-expect-instance"], "one-1")
        self.assertEqual(seen.headers["x-other"], "kept")
        self.assertEqual(seen.headers["host"], HOST)
        self.assertNotIn("x-hop", seen.headers)
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 2000)

    def test_chunked_body(self):
        server, _, caller = self.start_one()
        caller.send(b"POST /any/ HTTP/1.1\r\nHost: " + HOST.encode() +
                    b"\r\nX-Request-Id: c\r\nTransfer-Encoding: chunked\r\n"
                    b"\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(caller.read().status, 200)
        self.assertEqual(server.ran[0].body, b"abcde")

    def test_requests_on_one_connection(self):
        _, _, caller = self.start_one()
        for i in range(5):
            got = caller.request(f"/any/{i}", request_id=f"k{i}")
            self.assertEqual(got.body, f"one-1 /any/{i} ".encode())

    def test_two_requests_in_one_write(self):
        _, _, caller = self.start_one()
        caller.send(b"".join(
            f"GET /any/{i} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p{i}"
            "\r\n\r\n".encode() for i in range(2)))
        self.assertEqual(caller.read().body, b"one-1 /any/0 ")
        self.assertEqual(caller.read().body, b"one-1 /any/1 ")

    def test_answers_of_the_service_pass(self):
        for status in ("404 Not Found", "302 Found"):
            with self.subTest(status):
                self.setUp()
                _, _, caller = self.start_one(lambda s, r, st=status: answer(
                    b"own", st, s.headers(r)))
                got = caller.request("/any/x")
                self.assertEqual(got.status, int(status[:3]))
                self.assertEqual(got.body, b"own")
                self.assertEqual(got.headers["x-server-stamp"], "one-1.r1")
                self.tearDown()
        self.setUp()

    def test_split_by_weight(self):
        one = self.server("one-1", "one")
        two = self.server("two-1", "two")
        self.publish(routes=[route("/w/", split=[
            {"service": "one", "weight": 3}, {"service": "two",
                                              "weight": 1}])])
        caller = self.caller(self.ready_gateway())
        for i in range(40):
            caller.request("/w/", request_id=f"w{i}")
        self.assertEqual((len(one.ran), len(two.ran)), (30, 10))


class WrongAnswers(GatewayTest):
    """A faulty server's output must not be delivered as an answer."""

    def test_bytes_behind_the_answer(self):
        """Guards against reuse of a connection with unread bytes: a server
        sends a second response right after the first, and the next caller would
        receive it."""
        def respond(server, request):
            good = server.echo(request)
            if request.id == "first":
                good += answer(b"extra", headers=server.headers(request))
            return good

        _, _, caller = self.start_one(respond)
        self.assertEqual(caller.request("/any/1", request_id="first").body,
                         b"one-1 /any/1 ")
        self.assertEqual(caller.request("/any/2", request_id="second").body,
                         b"one-1 /any/2 ")

    def test_late_second_answer(self):
        """Guards against taking a delayed second response to an earlier request
        for that of the next request; the request ids differ."""
        last = []

        def respond(server, request):
            data = server.echo(request)
            if last:
                data = last.pop() + data
            elif request.id == "first":
                last.append(answer(b"late", headers=server.headers(request)))
            return data

        _, _, caller = self.start_one(respond)
        caller.request("/any/1", request_id="first")
        self.assertEqual(caller.request("/any/2", request_id="second").body,
                         b"one-1 /any/2 ")

    def test_cut_answer(self):
        def respond(server, request):
            server.ran.append(request)
            server.close_after = True
            return answer(b"half", headers=server.headers(request), length=9)

        server, _, caller = self.start_one(respond)
        got = caller.request("/once/x", method="POST", body=b"b")
        self.assertEqual(got.status, 502)
        self.assertEqual(len(server.ran), 1)
        self.assertNotIn("x-server-stamp", got.headers)

    def test_answer_without_length(self):
        def respond(server, request):
            server.close_after = True
            return answer(b"all of it", headers=server.headers(request),
                          length=-1)

        _, _, caller = self.start_one(respond)
        got = caller.request("/any/x")
        self.assertEqual((got.status, got.body), (200, b"all of it"))

    def test_no_http(self):
        _, _, caller = self.start_one(lambda s, r: b"\x00garbage\r\n\r\n")
        self.assertEqual(caller.request("/any/x").status, 502)

    def test_success_without_stamp(self):
        _, _, caller = self.start_one(lambda s, r: answer(b"who?"))
        self.assertEqual(caller.request("/any/x").status, 502)

    def test_encoded_body(self):
        _, _, caller = self.start_one(lambda s, r: answer(
            b"zip", headers=s.headers(r) + [("Content-Encoding", "gzip")]))
        self.assertEqual(caller.request("/any/x").status, 502)

    def test_early_answer(self):
        """Guards against reuse of a connection on which the body was not sent
        in full: a server responds before it has read the body and keeps the
        connection open, and would read the next request as body."""
        server, _, caller = self.start_one()
        server.early_response = lambda r: answer(b"no", "413 Too Large",
                                                 server.headers(r))
        body = b"x" * 90000
        got = caller.request("/any/x", method="POST", body=body)
        self.assertEqual(got.status, 413)
        del server.early_response
        got = caller.request("/any/y", request_id="r2")
        self.assertEqual(got.body, b"one-1 /any/y ")
        self.assertEqual(len(server.ran), 1)


class NotRun(GatewayTest):
    """The status must say correctly whether the request was executed."""

    def test_refused_by_all(self):
        server, _, caller = self.start_one(OpaqueServer.refuse)
        got = caller.request("/once/x", method="POST", body=b"b")
        self.assertEqual(got.status, 503)
        self.assertGreater(float(got.headers["retry-after"]), 0)
        self.assertEqual(server.ran, [])

    def test_refused_by_one(self):
        first, _, caller = self.start_one(OpaqueServer.refuse)
        second = self.server("one-2", "one")
        self.wait("both known", lambda: caller.request(
            "/once/x", method="POST", body=b"b").status == 200)
        self.assertEqual(first.ran, [])
        self.assertEqual(len(second.ran), 1)

    def test_unmarked_refusal_may_have_run(self):
        """Guards against a 503, which promises that the request did not run,
        after a server refused it without the X-Not-Executed header."""
        for status in ("503 Busy", "429 Slow", "408 Late"):
            with self.subTest(status):
                self.setUp()
                _, _, caller = self.start_one(lambda s, r, st=status: answer(
                    b"?", st, s.headers(r)))
                got = caller.request("/once/x", method="POST", body=b"b")
                self.assertEqual(got.status, 502)
                self.tearDown()
        self.setUp()

    def test_lost_answer_is_not_repeated(self):
        """Guards against double execution: a server runs a request, its
        response is lost, and the request is sent to another server."""
        def drop_answer(server, request):
            server.ran.append(request)

        first = self.server("one-1", "one")
        second = self.server("one-2", "one")
        first.respond = drop_answer
        second.respond = drop_answer
        self.publish()
        caller = self.caller(self.ready_gateway())
        got = caller.request("/once/x", method="POST", body=b"b")
        self.assertEqual(got.status, 502)
        self.assertEqual(len(first.ran) + len(second.ran), 1)

    def test_lost_answer_is_repeated_if_it_may(self):
        """A repeatable request is retried after its response is lost. The goal
        of this route is so long that no hedge is sent: on a busy machine it
        could be answered before the first server records the request."""
        def drop_answer(server, request):
            server.ran.append(request)

        first = self.server("one-1", "one")
        second = self.server("one-2", "one", data_centre="dc-1")
        self.publish()
        caller = self.caller(self.ready_gateway())
        self.warm_up_budget(caller, "/patient/x")
        first.respond = drop_answer
        self.assertEqual(caller.request("/patient/x").status, 200)
        self.assertEqual((len(first.ran), len(second.ran)), (1, 1))

    def test_other_server_at_the_address(self):
        """Guards against a stale server entry: the address now belongs to
        another service, which responds 421. The request did not run and is
        retried elsewhere, and the address gets no further requests."""
        first = self.server("one-1", "one")
        second = self.server("one-2", "one", data_centre="dc-1")
        self.publish()
        caller = self.caller(self.ready_gateway())
        self.warm_up_budget(caller, "/once/x")
        first.respond = lambda s, r: answer(
            status="421 Misdirected Request",
            headers=[("X-Instance-Id", "other")])
        for i in range(3):
            got = caller.request("/once/x", method="POST", body=b"b",
                                 request_id=f"m{i}")
            self.assertEqual(got.status, 200)
        self.assertEqual(len(first.seen), 1)
        self.assertEqual(len(second.ran), 3)

    def test_timeout_of_the_route(self):
        server = self.server("two-1", "two")
        release = threading.Event()

        def hang(server, request):
            server.ran.append(request)
            release.wait(WAIT_MAX_S)
            return server.echo(request)

        server.respond = hang
        self.publish()
        caller = self.caller(self.ready_gateway())
        got = caller.request("/slow/x")
        release.set()
        self.assertEqual(got.status, 504)

    def test_connection_given_up_is_reset(self):
        """Guards against a kernel that goes on to repeat a request after its
        connection was given up, so that the server gets it much later."""
        server, _, caller = self.start_one()
        ends = []

        def read_end(connection, stream):
            for line in iter(stream.readline, b"\r\n"):
                if not line:
                    return False
            try:
                ends.append(connection.recv(1))
            except ConnectionResetError:
                ends.append("reset")
            return False

        server.serve_one = read_end
        self.assertEqual(caller.request("/any/x", headers=[
            ("X-Deadline-Ms", "300")]).status, 504)
        self.wait("connection given up", lambda: ends)
        self.assertEqual(ends, ["reset"])

    def test_request_that_crashes_servers(self):
        """Guards against a request that crashes every server that runs it, and
        that its caller keeps repeating. It is banned after three servers."""
        servers = [self.server(f"one-{i}", "one") for i in range(6)]

        def crash(server, request):
            if "bad" not in request.target:
                return server.echo(request)
            server.ran.append(request)
            server.stop_listening()
            return None

        for server in servers:
            server.respond = crash
        self.publish()
        gateway = self.ready_gateway()

        def send_bad(i):
            caller = Caller(gateway)
            got = caller.request("/any/bad", request_id=f"b{i}")
            caller.close()
            return got

        self.wait("request banned", lambda: b"crashes" in send_bad(0).body)
        lost = sum(len(s.ran) for s in servers)
        self.assertLessEqual(lost, 4)
        self.assertEqual(send_bad(1).status, 503)
        caller = self.caller(gateway)
        self.assertEqual(caller.request("/any/good").status, 200)
        self.assertEqual(sum(len(s.ran) for s in servers), lost + 1)


class Shards(GatewayTest):
    def start_shards(self):
        servers = [self.server(f"s{i}-{i}", f"s{i}") for i in range(4)]
        for server in servers:
            server.respond = OpaqueServer.send_records
        self.publish()
        return servers, self.caller(self.ready_gateway())

    def part_stamps(self, got):
        return sorted(got.headers["x-part-stamps"].split(", "))

    def test_all_parts(self):
        servers, caller = self.start_shards()
        got = caller.request("/shards/q")
        self.assertEqual(got.status, 200)
        self.assertEqual(self.part_stamps(got),
                         [f"s{i}-{i}.r1" for i in range(4)])
        self.assertEqual(got.headers["x-missing-parts"], "0")
        self.assertEqual(got.body, b"".join(
            b"\xc9" + b"-" * 14 + bytes([tail]) for tail in (3, 2, 1)))
        self.assertTrue(all(len(s.ran) == 1 for s in servers))

    def test_one_part_missing(self):
        servers, caller = self.start_shards()
        servers[2].respond = lambda s, r: answer(
            b"fault", "500 Fault", s.headers(r))
        got = caller.request("/shards/q")
        self.assertEqual(got.status, 200)
        self.assertEqual(self.part_stamps(got),
                         ["s0-0.r1", "s1-1.r1", "s3-3.r1"])
        self.assertEqual(got.headers["x-missing-parts"], "1")

    def test_too_few_parts(self):
        servers, caller = self.start_shards()
        for server in servers[:2]:
            server.respond = lambda s, r: answer(
                b"fault", "500 Fault", s.headers(r))
        self.assertEqual(caller.request("/shards/q").status, 502)

    def test_versions_do_not_mix(self):
        """Guards against answers that mix shards of two versions while the
        index is repartitioned."""
        servers, caller = self.start_shards()
        old = [s.name for s in servers[:2]]
        new = [s.name for s in servers[2:]]
        for version in range(2, 20):
            shards = ["s0", "s1"] if version % 2 else ["s2", "s3"]
            self.publish(version, [route("/shards/", shards=shards,
                                         records_max=3, coverage_min=1)])
            for i in range(10):
                got = caller.request("/shards/q", request_id=f"v{i}")
                names = [s.rpartition(".")[0] for s in self.part_stamps(got)]
                self.assertIn(len(names), (2, 4))
                if len(names) == 2:
                    self.assertIn(names, (old, new))


class Relays(GatewayTest):
    """Shards are in another data centre than the instance that is called."""

    def start_shards(self):
        servers = [self.server(f"s{i}-{i}", f"s{i}", data_centre="dc-1")
                   for i in range(4)]
        for server in servers:
            server.respond = OpaqueServer.send_records
        self.publish(routes=[route(
            "/shards/", shards=["s0", "s1", "s2", "s3"], records_max=3,
            coverage_min=0.75, timeout_ms=4000, goal_ms=2000)])
        seed = f"127.0.0.10:{self.peer_port}"
        entry = self.ready_gateway(seeds=[seed])
        relay = self.ready_gateway(seeds=[seed], data_centre="dc-1")
        caller = self.caller(entry)
        self.wait("request relayed", lambda: caller.request(
            "/shards/w").status == 200 and self.relay_jobs(entry))
        return servers, entry, relay, caller

    def relay_jobs(self, gateway):
        return self.metric(gateway, "relay_jobs")

    def check_whole(self, got):
        self.assertEqual(got.status, 200)
        self.assertEqual(got.headers["x-missing-parts"], "0")
        self.assertEqual(len(got.headers["x-part-stamps"].split(", ")), 4)
        self.assertEqual(got.body, b"".join(
            b"\xc9" + b"-" * 14 + bytes([tail]) for tail in (3, 2, 1)))

    def test_one_message_for_all_parts(self):
        servers, entry, _, caller = self.start_shards()
        before = self.relay_jobs(entry)
        for i in range(5):
            self.check_whole(caller.request("/shards/q", request_id=f"q{i}"))
        self.assertEqual(self.relay_jobs(entry) - before, 5)
        seen = servers[0].ran[-1]
        self.assertEqual(seen.headers["x-request-id"], "q4")
        self.assertEqual(seen.headers["x-expect-instance"], "s0-0")
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 4000)

    def test_late_part_does_not_hold_the_others(self):
        """Guards against a relay that delays all parts because one server is
        late. The late part is requested from another server of the shard."""
        servers, _, _, caller = self.start_shards()
        release = threading.Event()

        def late(server, request):
            release.wait(WAIT_MAX_S)
            return server.send_records(request)

        servers[3].respond = late
        second = self.server("s3x-3", "s3", data_centre="dc-1")
        second.respond = OpaqueServer.send_records
        self.wait("second server known", lambda: (caller.request("/shards/w"),
                                                  second.ran)[1])
        self.check_whole(caller.request("/shards/q"))
        release.set()

    def test_relay_is_killed(self):
        """Guards against sending to a relay that was killed with parts in
        progress. Afterwards the servers are called directly."""
        _, entry, relay, caller = self.start_shards()
        relay.process.kill()
        relay.process.wait()
        self.wait("direct calls", lambda: caller.request(
            "/shards/w").headers.get("x-missing-parts") == "0")
        before = self.relay_jobs(entry)
        self.check_whole(caller.request("/shards/q"))
        self.assertEqual(self.relay_jobs(entry), before)
        relay.start()

    def test_relay_hangs(self):
        """Guards against waiting for an unresponsive relay, stopped by SIGSTOP,
        on every request."""
        _, entry, relay, caller = self.start_shards()
        relay.process.send_signal(signal.SIGSTOP)
        try:
            self.wait("direct calls", lambda: caller.request(
                "/shards/w").headers.get("x-missing-parts") == "0")
            before = self.relay_jobs(entry)
            for i in range(3):
                self.check_whole(caller.request("/shards/q",
                                                request_id=f"h{i}"))
            self.assertLessEqual(self.relay_jobs(entry) - before, 1)
        finally:
            relay.process.send_signal(signal.SIGCONT)


class HeldBack(GatewayTest):
    DEADLINE_MS = 2000

    def part_request(self, number, sent_at_s):
        """A frame of an entry with a request to one server."""
        head = f"GET /shards/x HTTP/1.1\r\nX-Request-Id: r{number}\r\n"
        return wire.frame(PART_REQUEST, wire.encode(
            (1, number), (2, f"r{number}"), (3, head),
            (5, self.DEADLINE_MS), (7, 3), (9, 64),
            (10, wire.encode((2, "s0-0"))), (14, int(sent_at_s * 1e6))))

    def test_part_request_held_back_by_a_link(self):
        """Guards against a relay that sends what a link has held back until
        its entry gave it up, with the time that was left then."""
        server = self.server("s0-0", "s0")
        server.respond = OpaqueServer.send_records
        self.publish()
        relay = self.ready_gateway()
        entry = socket.create_connection((relay.ip, self.peer_port))
        entry.sendall(wire.frame(HELLO, wire.encode(
            (1, "entry"), (2, 5), (3, "dc-1"), (4, "127.0.0.1:1"),
            (5, "127.0.0.1:1"))))
        now = 1000
        for number, sent_at_s in [(1, now), (2, now - 5), (3, now)]:
            entry.sendall(self.part_request(number, sent_at_s))
            time.sleep(0.1)
        self.wait("requests", lambda: len(server.seen) >= 2)
        time.sleep(0.2)
        self.assertEqual([r.id for r in server.seen], ["r1", "r3"])
        entry.close()


class Places(GatewayTest):
    """Cordoned data centres, cold servers, and regions."""

    def test_cordoned_data_centre(self):
        """Servers of a cordoned data centre get no requests until the cordon is
        lifted."""
        near = self.server("one-1", "one")
        far = self.server("one-2", "one", data_centre="dc-1")
        self.publish()
        gateway = self.ready_gateway()
        caller = self.caller(gateway)
        self.assertEqual(caller.request("/patient/a").status, 200)
        self.assertEqual((len(near.ran), len(far.ran)), (1, 0))
        self.store.put("op/evacuate/dc-0", {})
        self.wait("data centre cordoned",
                  lambda: self.metric(gateway, "cordons") == 1)
        for i in range(5):
            got = caller.request("/patient/b", request_id=f"c{i}")
            self.assertEqual(got.status, 200)
        self.assertEqual((len(near.ran), len(far.ran)), (1, 5))
        self.store.remove("op/evacuate/dc-0")
        self.wait("cordon lifted", lambda: self.metric(gateway, "cordons") == 0)
        self.wait("used again", lambda: caller.request(
            "/patient/c").status == 200 and len(near.ran) > 1)

    def test_only_server_is_cordoned(self):
        """If the only server is cordoned, the caller gets 503 at once: the
        request did not run."""
        server = self.server("one-1", "one")
        self.publish()
        self.store.put("op/evacuate/dc-0", {})
        gateway = self.ready_gateway()
        got = self.caller(gateway).request("/patient/x")
        self.assertEqual(got.status, 503)
        self.assertIn("retry-after", got.headers)
        self.assertEqual(server.seen, [])

    def test_history_is_gone_when_a_cordon_is_lifted(self):
        """Guards against a cordon that stays because the store compacted away
        its removal. Only a full listing shows that it was lifted."""
        server = self.server("one-1", "one")
        self.publish()
        self.store.put("op/evacuate/dc-0", {})
        gateway = self.ready_gateway()
        self.assertEqual(self.metric(gateway, "cordons"), 1)
        self.store.unavailable = True
        self.store.remove("op/evacuate/dc-0")
        self.store.compact()
        self.store.unavailable = False
        self.wait("cordon lifted", lambda: self.metric(gateway, "cordons") == 0)
        got = self.caller(gateway).request("/patient/x")
        self.assertEqual(got.status, 200)
        self.assertEqual(len(server.ran), 1)

    def test_cold_server(self):
        """Guards against overloading a server that has just started: it handles
        few requests per second and would crash at more, so it is used only if
        there is no other server."""
        cold = self.server("one-1", "one")
        warm = self.server("one-2", "one", data_centre="dc-1")
        cold.cold_for_ms = 600000
        cold.publish()
        self.publish(cold_per_s=6)
        gateway = self.ready_gateway(cold_overrun=1.5, cold_slack=5)
        caller = self.caller(gateway)
        for i in range(30):
            got = caller.request("/patient/x", request_id=f"c{i}")
            self.assertEqual(got.status, 200)
        self.assertEqual((len(cold.seen), len(warm.ran)), (0, 30))

    def test_all_servers_cold(self):
        """If all servers of a service are cold, requests beyond their limit are
        refused at once, and the one instance that sends to a server sends it
        at most half the limit."""
        server = self.server("one-1", "one")
        server.cold_for_ms = 600000
        server.publish()
        self.publish(cold_per_s=6)
        gateway = self.ready_gateway(cold_overrun=1.5, cold_slack=5)
        caller = self.caller(gateway)
        self.wait("first request served",
                  lambda: caller.request("/patient/w").status == 200)
        got = [caller.request("/patient/x", request_id=f"c{i}").status
               for i in range(40)]
        # 40 requests take longer than 1.3 s only on a stopped machine.
        self.assertIn(503, got)
        self.assertEqual(len(server.seen), 1 + got.count(200))

    def test_regions(self):
        """Guards against requests that leave the allowed regions of their
        route: a nearer server in another region gets none, even if it is the
        only one."""
        near = self.server("one-1", "one")
        home = self.server("one-2", "one", data_centre="dc-1")
        self.server("two-1", "two")
        regions = {"dc-0": "north", "dc-1": "south"}
        self.publish(routes=[
            route("/any/", service="one", allowed_regions=["south"]),
            route("/none/", service="two", allowed_regions=["south"]),
        ])
        caller = self.caller(self.ready_gateway(regions=regions))
        for i in range(5):
            got = caller.request("/any/x", request_id=f"r{i}")
            self.assertEqual(got.status, 200)
        self.assertEqual((len(near.seen), len(home.ran)), (0, 5))
        self.assertEqual(caller.request("/none/x").status, 503)

    def test_small_instance_keeps_requests_in_their_regions(self):
        """Guards against a relay outside the allowed regions: a small instance
        relays through a larger one nearby, here in a region that the request
        must not enter."""
        servers = [self.server(f"s{i}-{i}", f"s{i}", data_centre="dc-1")
                   for i in range(4)]
        for server in servers:
            server.respond = OpaqueServer.send_records
        self.publish(routes=[route(
            "/shards/", shards=["s0", "s1", "s2", "s3"], records_max=3,
            coverage_min=0.75, allowed_regions=["south"])])
        seed = f"127.0.0.10:{self.peer_port}"
        regions = {"dc-0": "north", "dc-1": "south"}
        large = self.ready_gateway(seeds=[seed], cpu_quota=1, regions=regions)
        small = self.ready_gateway(seeds=[seed], cpu_quota=0.1,
                                   regions=regions)
        self.wait("peer link up", lambda: self.metric(small, "gateway_links"))
        caller = self.caller(small)
        for i in range(30):
            got = caller.request("/shards/q", request_id=f"q{i}")
            self.assertEqual(got.status, 200)
        self.assertEqual(self.metric(small, "relay_jobs"), 0)
        self.assertEqual(self.metric(large, "server_connections_opened"), 0)

    def test_relayed_parts_leave_a_cordoned_data_centre(self):
        """Guards against a relay that still sends to servers of a cordoned data
        centre."""
        near = [self.server(f"s{i}-{i}", f"s{i}") for i in range(4)]
        far = [self.server(f"s{i}-{4 + i}", f"s{i}", data_centre="dc-1")
               for i in range(4)]
        for server in near + far:
            server.respond = OpaqueServer.send_records
        self.publish()
        seed = f"127.0.0.10:{self.peer_port}"
        entry = self.ready_gateway(seeds=[seed])
        relay = self.ready_gateway(seeds=[seed], data_centre="dc-1")
        caller = self.caller(entry)
        self.store.put("op/evacuate/dc-0", {})
        for gateway in entry, relay:
            self.wait("cordoned",
                      lambda g=gateway: self.metric(g, "cordons") == 1)
        got = caller.request("/shards/a", request_id="a")
        self.assertEqual(got.status, 200)
        self.assertEqual(sum(len(s.seen) for s in near), 0)
        self.store.put("op/evacuate/dc-1", {})
        for gateway in entry, relay:
            self.wait("cordoned",
                      lambda g=gateway: self.metric(g, "cordons") == 2)
        seen = sum(len(s.seen) for s in far)
        got = caller.request("/shards/b", request_id="b")
        self.assertEqual(got.status, 503)
        self.assertEqual(sum(len(s.seen) for s in near + far), seen)


    def test_small_instances_share_connections(self):
        """Guards against small instances exceeding a server's connection limit.
        With a connection or two to each server from each of many instances
        that rarely get a request, servers reset the excess, including other
        instances' connections."""
        servers = [self.server(f"s{i}-{i}", f"s{i}",
                               data_centre=f"dc-{i % 2}") for i in range(4)]
        for server in servers:
            server.respond = OpaqueServer.send_records
        self.publish()
        seed = f"127.0.0.10:{self.peer_port}"
        large = self.ready_gateway(seeds=[seed], cpu_quota=1)
        small = self.ready_gateway(seeds=[seed], cpu_quota=0.1)
        caller = self.caller(small)
        self.wait("relayed", lambda: caller.request(
            "/shards/w").status == 200 and self.metric(small, "relay_jobs"))
        before = self.metric(small, "server_connections_opened")
        for i in range(20):
            got = caller.request("/shards/q", request_id=f"q{i}")
            self.assertEqual(got.status, 200)
            self.assertEqual(got.headers["x-missing-parts"], "0")
        self.assertEqual(self.metric(small, "server_connections_opened"),
                         before)
        self.assertGreater(self.metric(large, "server_connections_opened"), 0)


class Limits(GatewayTest):
    def test_refused_messages(self):
        _, gateway, _ = self.start_one()
        cases = [
            (b"\x16\x03\x01\x02\r\n\r\n", 400),
            (b"GET /any/ HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 5000, 431),
            (b"POST /any/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
             b"Content-Length: 100001\r\n\r\n", 413),
            (b"POST /any/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
             b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
            (b"GET /any/ HTTP/1.1\r\nHost: h\r\nX-Requ", 408),
        ]
        for data, status in cases:
            with self.subTest(status):
                caller = self.caller(gateway)
                caller.send(data)
                self.assertEqual(caller.read().status, status)
                self.assertIsNone(caller.read())

    def test_odd_bytes(self):
        """Guards against a request line that a server reads as another, and
        against log lines that are no JSON."""
        server, gateway, _ = self.start_one()
        cases = [
            (b"/any/a\tb", b"r1", 400),
            (b"/any/a\fb", b"r1", 400),
            (b"/any/a", b"r\x01", 400),
            (b"/any/a", b"r\0", 400),
            (b"/none/\xe9", b"r1", 404),
            (b"/none/a", b"\xff\xfe", 404),
            (b"/none/" + b"\xe9" * 3500, b"r1", 404),
        ]
        for target, request_id, status in cases:
            with self.subTest(target=target[:20], request_id=request_id):
                caller = self.caller(gateway)
                caller.send(b"GET " + target + b" HTTP/1.1\r\nHost: "
                            + HOST.encode() + b"\r\nX-Request-Id: "
                            + request_id + b"\r\n\r\n")
                self.assertEqual(caller.read().status, status)
        self.assertEqual(server.seen, [])

    def test_no_request_id(self):
        server, _, caller = self.start_one()
        self.assertEqual(caller.request("/any/x", request_id="").status, 400)
        self.assertEqual(server.seen, [])

    def test_no_route(self):
        _, _, caller = self.start_one()
        self.assertEqual(caller.request("/none/x").status, 404)

    def test_starting(self):
        """Guards against a 404 before the routes are known."""
        self.server("one-1", "one")
        gateway = self.gateway()
        self.wait("readiness page up", lambda: gateway.page(
            "ready_address", "/v1/ready")[0] == 503)
        got = self.caller(gateway).request("/any/x")
        self.assertEqual(got.status, 503)
        self.assertIn("retry-after", got.headers)

    def test_old_routes_do_not_deny(self):
        """Guards against a 404 from stale routes: an operator may add a route
        while the store is unavailable."""
        _, gateway, caller = self.start_one()
        self.store.unavailable = True
        self.wait("routes stale",
                  lambda: caller.request("/new/x").status == 503)
        self.store.unavailable = False
        self.publish(2, ROUTES + [route("/new/", service="one")])
        self.wait("served",
                  lambda: caller.request("/new/x").status == 200)
        self.assertTrue(gateway.is_ready())


class Lifecycle(GatewayTest):
    def test_planned_stop_cuts_nothing(self):
        """Guards against a graceful stop that aborts requests: the instance
        turns unready at once, answers the request in progress, and closes the
        connection after it."""
        server = self.server("one-1", "one")
        release = threading.Event()

        def hang(server, request):
            release.wait(WAIT_MAX_S)
            return server.echo(request)

        server.respond = hang
        self.publish()
        gateway = self.ready_gateway(stop_max_s=8)
        caller = self.caller(gateway)
        idle = self.caller(gateway)
        got = []
        thread = threading.Thread(
            target=lambda: got.append(caller.request("/any/x")))
        thread.start()
        self.wait("request received", lambda: server.seen)
        gateway.process.send_signal(signal.SIGTERM)
        self.wait("unready", lambda: not gateway.is_ready())
        release.set()
        thread.join()
        self.assertEqual(got[0].status, 200)
        self.assertEqual(got[0].headers["connection"], "close")
        self.assertEqual(idle.request("/any/y").status, 200)
        self.assertEqual(gateway.process.wait(timeout=WAIT_MAX_S), 0)

    def test_caller_leaves(self):
        """Guards against a server working on after its caller has disconnected:
        the connection to it must be closed, the only way to cancel there."""
        server = self.server("one-1", "one")
        ended = threading.Event()

        def watch(server, request):
            server.ran.append(request)
            conn = list(server.connections)[0]
            conn.settimeout(WAIT_MAX_S)
            try:
                closed = not conn.recv(1, socket.MSG_PEEK)
            except ConnectionResetError:
                closed = True
            if closed:
                ended.set()

        server.respond = watch
        self.publish()
        caller = Caller(self.ready_gateway())
        caller.send(f"GET /any/x HTTP/1.1\r\nHost: {HOST}\r\n"
                    "X-Request-Id: g\r\n\r\n".encode())
        self.wait("request running", lambda: server.ran)
        caller.close()
        self.wait("server connection closed", ended.is_set)

    def test_connections_of_a_server_are_shared(self):
        """Guards against exceeding a server's limit of four connections for all
        callers: an instance in another data centre opens only its share, and
        waiting requests are served one after the other."""
        server = self.server("one-1", "one", data_centre="dc-1")
        most = []

        def respond(server, request):
            most.append(len(server.connections))
            return server.echo(request)

        server.respond = respond
        self.publish(connections_max=4)
        gateway = self.ready_gateway()
        callers = [self.caller(gateway) for _ in range(5)]
        for i, caller in enumerate(callers):
            caller.send(f"GET /any/{i} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"X-Request-Id: c{i}\r\n\r\n".encode())
        for caller in callers:
            self.assertEqual(caller.read().status, 200)
        self.assertEqual(max(most), 1)

    def test_server_drains(self):
        first, _, caller = self.start_one()
        second = self.server("one-2", "one", data_centre="dc-1")
        self.wait("both known", lambda: (first.publish("draining"),
                                         caller.request("/any/x"),
                                         second.ran)[2])
        n = len(first.ran)
        for i in range(5):
            caller.request("/any/y", request_id=f"d{i}")
        self.assertEqual(len(first.ran), n)

    def test_history_of_the_store_is_gone(self):
        first, _, caller = self.start_one()
        second = self.server("one-2", "one", data_centre="dc-1")
        self.store.compact()
        self.store.remove("servers/one-1")
        self.store.compact()
        self.wait("server removed", lambda: caller.request(
            "/any/x").body.startswith(b"one-2"))
        n = len(first.ran)
        caller.request("/any/y")
        self.assertEqual(len(first.ran), n)
        self.assertTrue(second.ran)


class Fleet(GatewayTest):
    def addresses(self, gateway):
        status, body = gateway.page("directory_address",
                                    "/v1/directory?data_centre=dc-0")
        return set(json.loads(body)["addrs"]) if status == 200 else set()

    def start_fleet(self, n):
        self.server("one-1", "one")
        self.publish()
        seed = f"127.0.0.10:{self.peer_port}"
        return [self.ready_gateway(seeds=[seed]) for _ in range(n)]

    def test_directory(self):
        """Instances discover each other through one seed. A killed instance is
        removed from the directory, and listed again after its restart."""
        gateways = self.start_fleet(3)
        all_addresses = {f"{g.ip}:{g.port}" for g in gateways}
        for gateway in gateways:
            self.wait("listed", lambda g=gateway: self.addresses(g) ==
                      all_addresses)
        gateways[2].process.kill()
        gateways[2].process.wait()
        self.wait("removed from the directory",
                  lambda: self.addresses(gateways[1]) ==
                  {f"{g.ip}:{g.port}" for g in gateways[:2]})
        gateways[2].start()
        for gateway in gateways:
            self.wait("listed again", lambda g=gateway: self.addresses(g) ==
                      all_addresses)

    def test_seed_is_down(self):
        """Guards against an instance that stays isolated because it restarts
        while its only seed is down. The other instances contact it."""
        gateways = self.start_fleet(3)
        for gateway in gateways:
            self.wait("listed", lambda g=gateway: len(self.addresses(g)) == 3)
        gateways[0].stop()
        gateways[2].process.kill()
        gateways[2].process.wait()
        gateways[2].start()
        for gateway in gateways[1:]:
            self.wait("listed", lambda g=gateway: len(self.addresses(g)) == 2)

    def test_routes_by_peers(self):
        """Routes also reach an instance that does not read them from the store:
        its peers send them."""
        gateways = self.start_fleet(2)
        for gateway in gateways:
            self.wait("listed", lambda g=gateway: len(self.addresses(g)) == 2)
        # The store can't refuse a single instance here, as all calls come from
        # one address. The instance that did not read the change from the store
        # must have got it from its peer.
        caller = self.caller(gateways[1])
        self.publish(2, ROUTES + [route("/new/", service="one")])
        self.wait("served",
                  lambda: caller.request("/new/x").status == 200)
        calls = self.store.call_count
        self.wait("more store calls", lambda: self.store.call_count > calls + 4)
        by_peers = [line for g in gateways for line in g.log()
                    if line["event"] == "routes_in_force" and
                    line["version"] == 2 and line["from"] == "peer"]
        self.assertEqual(len(by_peers), 1)

    def test_store_goes_back(self):
        """Guards against ignoring changes after the store was restored from a
        backup: it assigns lower revisions again. What was in force stays in
        force meanwhile."""
        self.store.era = 1
        gateways = self.start_fleet(2)
        callers = [self.caller(gateway) for gateway in gateways]
        copy = self.store.copy()
        second = self.server("one-2", "one")
        for version in range(2, 30):
            self.publish(version, ROUTES + [route("/new/", service="one")])
        for caller in callers:
            self.wait("served", lambda c=caller:
                      c.request("/new/x").status == 200)
        for _ in range(2):
            before = self.store.era
            self.store.restore(copy)
            for gateway in gateways:
                self.wait("era change logged", lambda g=gateway: any(
                    line["event"] == "store_era_changed"
                    and line["era_before"] == before for line in g.log()))
            for caller in callers:
                self.assertEqual(caller.request("/new/x").status, 200)
            second.publish()
            self.publish(29, ROUTES + [route("/new/", service="one")])
        for gateway in gateways:
            self.wait("both servers known", lambda g=gateway: self.metric(
                g, "servers") == 2)
        self.store.remove("servers/one-1")
        for gateway in gateways:
            self.wait("server removed", lambda g=gateway: self.metric(
                g, "servers") == 1)
        n = len(self.servers[0].ran)
        for caller in callers:
            for _ in range(5):
                self.assertEqual(caller.request("/new/y").status, 200)
        self.assertEqual(len(self.servers[0].ran), n)

    def test_settings_change(self):
        """New seeds are loaded without a signal, and a malformed settings file
        changes nothing."""
        gateways = self.start_fleet(1)
        alone = self.ready_gateway()
        self.assertEqual(self.addresses(alone), {f"{alone.ip}:{alone.port}"})
        alone.path.write_text("{", encoding="utf-8")
        self.wait("reload refused", lambda: any(
            line["event"] == "reload_refused" for line in alone.log()
        ))
        alone.settings["seeds"] = [f"{gateways[0].ip}:1"]
        alone.write_settings()
        self.wait("peer discovered", lambda: len(self.addresses(alone)) == 2)


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main()
