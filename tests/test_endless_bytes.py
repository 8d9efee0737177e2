"""Backend servers in trouble: they send bytes without end, in a head or a body,
until the gateway closes the connection.

usage: test_endless_bytes.py BUILD [unittest options]
"""

import pathlib
import socket
import sys
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import experiment  # noqa: E402
import test_gateway  # noqa: E402
from gateway_fixtures import (  # noqa: E402
    HOST, OpaqueServer, answer, config_document, route,
)

N_SHARDS = 30
SHARDS = [f"s{i}" for i in range(N_SHARDS)]
# The memory of an instance on the users' machines.
MEMORY_MAX_MB = 260
# The longest answer that is accepted.
ANSWER_MAX_BYTES = 8 * 1024 * 1024
# The longest stream of an answer that is read.
STREAM_MAX_BYTES = 2 * ANSWER_MAX_BYTES
TIMEOUT_MS = 5000
BLOCK = b"q" * 65536
N_SEARCHERS = 12
N_ORDINARY = 4
N_SINGLE = 10
N_SINGLE_CALLERS = 80
PLAY_S = 5
SMALL_MEMORY_MB = 64
N_SLOW_CALLERS = 250
SLOW_BODY_BYTES = 99000
# Without it, the sanitizer keeps freed memory, up to 256 MB.
ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1"}


def kernel_buffers_max():
    """Return how much the sockets of both sides may hold, bytes."""
    return sum(int(pathlib.Path(f"/proc/sys/net/ipv4/{name}").read_text(
        encoding="utf-8").split()[2]) for name in ("tcp_rmem", "tcp_wmem"))


def head(*fields):
    return "\r\n".join(("HTTP/1.1 200 OK",) + fields).encode() + b"\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def stamped(request):
    return f"X-Request-Id: {request.id}", f"X-Server-Stamp: s.{request.id}"


# Each form: a function that returns what comes first, and what follows without
# end.
BODIES = {
    "chunked": lambda r: (
        head("Transfer-Encoding: chunked", *stamped(r)), chunk(BLOCK)),
    "until_close": lambda r: (head(*stamped(r)), BLOCK),
    "with_length": lambda r: (
        head(f"Content-Length: {ANSWER_MAX_BYTES}", *stamped(r)), BLOCK),
}
OTHERS = {
    "junk": lambda r: (b"", BLOCK),
    "head": lambda r: (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 4096),
    "one_field": lambda r: (b"HTTP/1.1 200 OK\r\nX-Field: ", BLOCK),
    "status_line": lambda r: (b"HTTP/1.1 200 ", BLOCK),
    "chunk_extension": lambda r: (
        head("Transfer-Encoding: chunked", *stamped(r)) + b"10;a=", BLOCK),
    "trailers": lambda r: (
        head("Transfer-Encoding: chunked", *stamped(r)) + chunk(b"r" * 16)
        + b"0\r\n", b"X-Field: value\r\n" * 4096),
    "small_chunks": lambda r: (
        head("Transfer-Encoding: chunked", *stamped(r)), chunk(b"q") * 8192),
    "interim": lambda r: (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "after_answer": lambda r: (
        head("Content-Length: 16", *stamped(r)) + b"r" * 16, BLOCK),
    "length_too_large": lambda r: (
        head(f"Content-Length: {ANSWER_MAX_BYTES + 1}", *stamped(r)), BLOCK),
}


class EndlessServer(OpaqueServer):
    """Sends what its form says until the connection is closed, and counts the
    bytes that it could send for one request."""

    form = None
    most_sent = 0

    def serve_one(self, connection, stream):
        if not self.form:
            return super().serve_one(connection, stream)
        request = self.read_request(stream)
        if not request:
            return False
        first, more = self.form(request)
        sent = 0
        try:
            connection.sendall(first)
            while True:
                sent += connection.send(more)
                self.most_sent = max(self.most_sent, sent)
        except OSError:
            return False


class Searcher(threading.Thread):
    """Sends one search of all shards after the other."""

    def __init__(self, test, gateway, number, deadline):
        super().__init__(daemon=True)
        self.test, self.gateway, self.number = test, gateway, number
        self.deadline = deadline
        self.statuses = []

    def ask(self, n):
        caller = test_gateway.Caller(self.gateway)
        try:
            return caller.request("/shards/x", request_id=f"{self.number}-{n}")
        finally:
            caller.close()

    def run(self):
        while time.monotonic() < self.deadline:
            try:
                result = self.ask(len(self.statuses))
            except OSError:
                result = None
            self.statuses.append(result.status if result else None)


class Ordinary(Searcher):
    """Sends requests to a sound service that must not be repeated, on a kept
    connection."""

    caller = None

    def ask(self, n):
        self.caller = self.caller or test_gateway.Caller(self.gateway)
        return self.caller.request(f"/once/{n}", "POST", body=b"order",
                                   request_id=f"once-{self.number}-{n}")


class Single(Searcher):
    """Sends one request to a single server after the other."""

    def ask(self, n):
        caller = test_gateway.Caller(self.gateway)
        try:
            return caller.request(f"/large/{n}",
                                  request_id=f"single-{self.number}-{n}")
        finally:
            caller.close()


class EndlessBytesTest(test_gateway.GatewayTest):
    def server(self, name, service, **members):
        server = EndlessServer(self.store, name, service, **members)
        self.servers.append(server)
        return server

    def start(self):
        """Return (gateway, the first server of each shard)."""
        first = []
        for name in SHARDS:
            for n in range(2):
                server = self.server(f"{name}-{n}", name)
                server.respond = OpaqueServer.send_records
                if not n:
                    first.append(server)
        self.server("one-1", "one")
        self.server("two-1", "two")
        routes = [
            route("/shards/", shards=SHARDS, records_max=3, coverage_min=0.75,
                  timeout_ms=TIMEOUT_MS, goal_ms=500),
            route("/once/", service="one", repeat="once"),
            route("/large/", service="two", timeout_ms=20000, goal_ms=10000),
        ]
        self.store.put("op/config", config_document(
            1, routes, SHARDS + ["one", "two"]))
        gateway = self.gateway(memory_max_mb=MEMORY_MAX_MB)
        self.wait("ready", gateway.is_ready)
        return gateway, first

    def gateway(self, **members):
        gateway = test_gateway.Gateway(
            test_gateway.BUILD, pathlib.Path(self.directory.name), self.store,
            len(self.gateways), self.peer_port, **members)
        gateway.environment = ENVIRONMENT
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def play(self, gateway):
        """Return (statuses of searches, statuses of ordinary requests)."""
        deadline = time.monotonic() + PLAY_S
        searchers = [Searcher(self, gateway, n, deadline)
                     for n in range(N_SEARCHERS)]
        ordinary = [Ordinary(self, gateway, n, deadline)
                    for n in range(N_ORDINARY)]
        for thread in searchers + ordinary:
            thread.start()
        for thread in searchers + ordinary:
            thread.join()
        return ([s for t in searchers for s in t.statuses],
                [s for t in ordinary for s in t.statuses])

    def check(self, gateway, what):
        searches, once = self.play(gateway)
        peak = experiment.peak_mb(gateway.process.pid)
        print(f"{what}: peak memory {peak:.0f} MB, {len(searches)} searches, "
              f"{searches.count(200)} answered 200; {len(once)} ordinary")
        self.assertIsNone(gateway.process.poll())
        self.assertLess(peak, MEMORY_MAX_MB)
        self.assertNotIn(None, searches)
        self.assertEqual(set(once), {200})

    def check_bodies(self, form):
        gateway, first = self.start()
        for server in first:
            server.form = BODIES[form]
        self.check(gateway, form)

    def test_chunked_bodies(self):
        """Guards against a process that exceeds its memory while many servers
        send chunks without end."""
        self.check_bodies("chunked")

    def test_bodies_until_close(self):
        """Guards against the same with bodies without a length."""
        self.check_bodies("until_close")

    def test_bodies_with_length(self):
        """Guards against the same with the longest bodies that are allowed."""
        self.check_bodies("with_length")

    def test_heads_and_others(self):
        """Guards against heads and other bytes without end that are read for
        as long as they come."""
        gateway, first = self.start()
        forms = list(OTHERS)
        for n, server in enumerate(first):
            server.form = OTHERS[forms[n % len(forms)]]
        self.check(gateway, "heads and others")
        for n, server in enumerate(first):
            with self.subTest(form=forms[n % len(forms)]):
                self.assertLess(server.most_sent,
                                STREAM_MAX_BYTES + kernel_buffers_max())

    def test_single_server_bodies(self):
        """Guards against the same on a route to single servers, whose answers
        are kept whole."""
        gateway, _ = self.start()
        for n in range(2, 2 + N_SINGLE):
            server = self.server(f"two-{n}", "two")
            server.form = BODIES["chunked"]
        self.wait("servers", lambda: self.metric(gateway, "servers")
                  == N_SINGLE + 2 * N_SHARDS + 2)
        deadline = time.monotonic() + PLAY_S
        callers = [Single(self, gateway, n, deadline)
                   for n in range(N_SINGLE_CALLERS)]
        for caller in callers:
            caller.start()
        self.check(gateway, "single servers")
        for caller in callers:
            caller.join()

    def test_bodies_of_callers(self):
        """Guards against a process that exceeds its memory while many callers
        send long bodies and none ends."""
        self.server("one-1", "one")
        self.store.put("op/config", config_document(
            1, [route("/once/", service="one", repeat="once")], ["one"]))
        gateway = self.gateway(memory_max_mb=SMALL_MEMORY_MB)
        self.wait("ready", gateway.is_ready)
        callers = [self.caller(gateway) for _ in range(N_SLOW_CALLERS)]
        for n, caller in enumerate(callers):
            caller.send(f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"X-Request-Id: slow-{n}\r\n"
                        f"Content-Length: {SLOW_BODY_BYTES + 1}\r\n\r\n"
                        .encode() + b"q" * SLOW_BODY_BYTES)
        ordinary = self.caller(gateway).request("/once/1", "POST",
                                                body=b"order")
        self.assertEqual(ordinary.status, 200)
        self.assertLessEqual(
            self.metric(gateway, "caller_requests_bytes"),
            SMALL_MEMORY_MB * 1024 * 1024 / 4)
        refused = sum(self.is_refused(caller) for caller in callers)
        self.assertGreater(refused, 0)
        self.assertLess(refused, N_SLOW_CALLERS)

    def is_refused(self, caller):
        """Return whether it got a 503 at once, rather than 408 later."""
        return caller.read().status == 503

    def test_large_answers_pass(self):
        """Guards against a limit that cuts honest answers, alone or beside
        servers that send without end."""
        gateway, first = self.start()
        body = b"r" * ANSWER_MAX_BYTES
        self.servers[-1].respond = lambda server, request: answer(
            body, headers=server.headers(request))
        for endless in (False, True):
            for server in first:
                server.form = BODIES["chunked"] if endless else None
            threading.Thread(target=self.play, args=(gateway,)).start()
            time.sleep(0.5)
            caller = self.caller(gateway)
            result = caller.request("/large/x", request_id=f"large-{endless}")
            self.assertEqual(result.status, 200)
            self.assertEqual(result.body, body)
            time.sleep(PLAY_S)
        self.assertLess(experiment.peak_mb(gateway.process.pid), MEMORY_MAX_MB)


def load_tests(loader, tests, pattern):
    return loader.loadTestsFromTestCase(EndlessBytesTest)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
