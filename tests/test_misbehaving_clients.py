"""Clients outside the limits of docs/PROTOCOL.md, beside an ordinary caller:
they send without reading, read slowly, send without end, or fill the
connections. Each test checks that the process lives, keeps its memory and
descriptors under a bound, and answers an ordinary request meanwhile.

usage: test_misbehaving_clients.py BUILD [unittest options]
"""

import os
import pathlib
import select
import signal
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
import wire  # noqa: E402
from gateway_fixtures import (  # noqa: E402
    HOST, OpaqueServer, answer, config_document, route,
)

MB = 1024 * 1024
MEMORY_MAX_MB = 128
DESCRIPTORS_MAX = 200
IDLE_TIMEOUT_MS = 1000
SHARDS = [f"s{i}" for i in range(6)]
# Without it, the sanitizer keeps freed memory, up to 256 MB.
ENVIRONMENT = {"ASAN_OPTIONS": "quarantine_size_mb=1"}
# Of clients, bytes. The kernel holds little for them.
SMALL_BUFFER = 4096
# A client that could send nothing for so long is held back by the process.
BLOCKED_S = 3
N_FLOODERS = 8
FLOOD_BYTES = 32 * MB
N_UPLOADERS = 4
UPLOAD_BYTES = 64 * MB
N_SLOW_READERS = 100
# Slow readers come in groups, as servers send few long answers at a time.
GROUP = 10
GROUP_PERIOD_S = 0.3
LONG_BYTES = 4 * MB
# The longest answer that is accepted.
LONGEST_BYTES = 8 * MB
SLOW_READ_BYTES = 512
SLOW_READ_PERIOD_S = 0.5
SIT_S = 8
ORDINARY_TRIES = 10
N_IDLERS = 220
N_PARTIAL = 1200
PARTIAL_BYTES = 30000
N_UPLOADED = 300
N_AHEAD = 400
AHEAD_BYTES = 2 * MB
BODY_BYTES = 262000
# docs/PROTOCOL.md: frames between instances.
HELLO = 1
FRAME_MAX_BYTES = 8 * MB
STRANGER_BYTES = 2 * MB
# Established, and closed by the client only, in /proc/net/tcp.
OPEN_STATES = ("01", "08")
LISTENING = "0A"
NO_ROUTE = (f"GET /x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: 1\r\n\r\n"
            .encode())
UNREAD_GET = "GET {} HTTP/1.1\r\nHost: a\r\n\r\n"


def tcp_sockets():
    """Return the fields of /proc/net/tcp: 1 is the local address, 3 the state,
    4 the bytes unsent and unread, 9 the inode."""
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
    return [line.split() for line in lines[1:]]


class WideServer(OpaqueServer):
    """Processes many requests at once."""

    def entry(self, state="ready"):
        return {**super().entry(state), "slots": 400}


class Crowd:
    """Connections of clients, served by one thread."""

    def __init__(self, test):
        self.socks = []
        test.addCleanup(self.close)

    def close(self):
        for sock in self.socks:
            sock.close()

    def connect(self, address):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.settimeout(BLOCKED_S)
        try:
            sock.connect(address)
        except OSError:
            # An end of the client's, as is a reset.
            pass
        sock.setblocking(False)
        self.socks.append(sock)
        return sock

    def flood(self, address, n, first, more, size):
        """Send on `n` connections what comes first, and then `more` again and
        again, until `size` bytes are sent or the process takes no more."""
        # A whole number of requests, long enough to cost few calls.
        block = more * (1 + 65536 // len(more))
        unsent = {}
        left = {}
        for _ in range(n):
            sock = self.connect(address)
            unsent[sock] = first
            left[sock] = size
        while unsent:
            _, writable, _ = select.select([], list(unsent), [], BLOCKED_S)
            if not writable:
                return
            for sock in writable:
                data = unsent[sock] or block
                try:
                    sent = sock.send(data)
                except OSError:
                    del unsent[sock]
                    continue
                unsent[sock] = data[sent:]
                left[sock] -= sent
                if left[sock] <= 0:
                    del unsent[sock]

    def send(self, address, n, data):
        """Send `data` on `n` connections, and read nothing."""
        for _ in range(n):
            sock = self.connect(address)
            try:
                sock.sendall(data)
            except OSError:
                pass

    def read_slowly(self, until):
        """Read some bytes of each connection, again and again."""
        while time.monotonic() < until:
            for sock in list(self.socks):
                try:
                    sock.recv(SLOW_READ_BYTES)
                except OSError:
                    pass
            time.sleep(SLOW_READ_PERIOD_S)


class ClientsTest(test_gateway.GatewayTest):
    def server(self, name, service, **members):
        server = WideServer(self.store, name, service, **members)
        self.servers.append(server)
        return server

    def start(self, idle_timeout_ms=IDLE_TIMEOUT_MS, **members):
        long_body = b"r" * LONG_BYTES
        self.server("one-1", "one")
        for n in range(2):
            long = self.server(f"two-{n}", "two")
            long.respond = lambda server, request: answer(
                long_body, headers=server.headers(request))
        for name in SHARDS:
            self.server(f"{name}-1", name).respond = OpaqueServer.send_records
        routes = [
            route("/any/", service="one", timeout_ms=10000),
            route("/once/", service="one", repeat="once", timeout_ms=10000),
            route("/long/", service="two", timeout_ms=20000, goal_ms=10000),
            route("/shards/", shards=SHARDS, records_max=3, coverage_min=0.75,
                  timeout_ms=10000),
        ]
        document = config_document(1, routes, SHARDS + ["one", "two"],
                                   connections_max=400)
        document["limits"].update(
            body_bytes_max=BODY_BYTES, header_bytes_max=16384,
            header_timeout_ms=max(10000, idle_timeout_ms),
            idle_timeout_ms=idle_timeout_ms)
        self.store.put("op/config", document)
        gateway = test_gateway.Gateway(
            test_gateway.BUILD, pathlib.Path(self.directory.name), self.store,
            len(self.gateways), self.peer_port, log_level="warn",
            **{"memory_max_mb": MEMORY_MAX_MB, **members})
        gateway.environment = ENVIRONMENT
        gateway.start()
        self.gateways.append(gateway)
        self.wait("ready", gateway.is_ready)
        self.front = (gateway.ip, gateway.port)
        self.crowd = Crowd(self)
        return gateway

    def address(self, gateway, key):
        ip, _, port = gateway.settings[key].partition(":")
        return ip, int(port)

    def unread_mb(self, gateway):
        """Return what the kernel holds for the process to read."""
        own = set()
        for path in self.descriptors(gateway):
            try:
                own.add(os.readlink(path))
            except OSError:
                # Closed meanwhile.
                pass
        return sum(
            int(row[4].partition(":")[2], 16) for row in tcp_sockets()
            if f"socket:[{row[9]}]" in own and row[3] != LISTENING) / MB

    def descriptors(self, gateway):
        return list(pathlib.Path(f"/proc/{gateway.process.pid}/fd").iterdir())

    def n_descriptors(self, gateway):
        return len(self.descriptors(gateway))

    def ask(self, path="/any/1", method="GET", body=b""):
        """Return the status of an ordinary request, None without one."""
        try:
            caller = test_gateway.Caller(self.gateways[0])
        except OSError:
            return None
        try:
            caller.sock.settimeout(3)
            got = caller.request(path, method, body=body)
            return got.status if got else None
        except OSError:
            return None
        finally:
            caller.close()

    def check_ordinary(self):
        """Ask as often as a patient caller does."""
        statuses = []
        for _ in range(ORDINARY_TRIES):
            statuses.append(self.ask())
            if statuses[-1] == 200:
                return
            time.sleep(0.1)
        self.fail(f"no ordinary request was answered: {statuses}")

    def check(self, gateway):
        self.assertIsNone(gateway.process.poll())
        peak = experiment.peak_mb(gateway.process.pid)
        unread = self.unread_mb(gateway)
        print(f"{self._testMethodName}: peak {peak:.0f} MB, unread "
              f"{unread:.0f} MB, descriptors {self.n_descriptors(gateway)}")
        self.assertLess(peak + unread, MEMORY_MAX_MB)

    def check_after(self, gateway):
        """Check while the crowd sits there, and once it is gone."""
        self.check_ordinary()
        self.check(gateway)
        self.crowd.close()
        self.check_ordinary()


class Answers(ClientsTest):
    def test_refusals_unread(self):
        """Guards against refusals that pile up for clients that send request
        after request and read nothing."""
        gateway = self.start()
        self.crowd.flood(self.front, N_FLOODERS, b"", NO_ROUTE, FLOOD_BYTES)
        self.check_after(gateway)

    def test_answers_unread(self):
        """Guards against answers of servers that pile up in the same way."""
        gateway = self.start()
        request = NO_ROUTE.replace(b"/x", b"/long/1")
        self.crowd.send(self.front, N_FLOODERS, request * 20)
        threading.Event().wait(SIT_S)
        self.check_after(gateway)

    def play_slow_readers(self):
        request = NO_ROUTE.replace(b"/x", b"/long/1")
        readers = threading.Thread(
            target=self.crowd.read_slowly, args=(time.monotonic() + SIT_S,),
            daemon=True)
        readers.start()
        for _ in range(N_SLOW_READERS // GROUP):
            self.crowd.send(self.front, GROUP, request)
            time.sleep(GROUP_PERIOD_S)
        self.check_ordinary()
        readers.join()

    def test_slow_readers(self):
        """Guards against long answers that many clients read slowly."""
        gateway = self.start(idle_timeout_ms=20000)
        self.play_slow_readers()
        self.check_after(gateway)

    def test_stop_beside_slow_readers(self):
        """Guards against a stop that slow readers hold up, and against
        memory that grows meanwhile."""
        gateway = self.start(idle_timeout_ms=20000)
        self.play_slow_readers()
        self.check(gateway)
        gateway.process.send_signal(signal.SIGTERM)
        self.assertEqual(gateway.process.wait(timeout=30), 0)

    def test_long_answers_asked_for_and_left(self):
        """Guards against answers that are kept for clients that left."""
        gateway = self.start()
        request = NO_ROUTE.replace(b"/x", b"/long/1")
        until = time.monotonic() + SIT_S
        while time.monotonic() < until:
            crowd = Crowd(self)
            crowd.send(self.front, 40, request)
            time.sleep(0.1)
            crowd.close()
        self.check_after(gateway)

    def check_released(self, gateway, what):
        """Check that the crowd's connections end, which it keeps open."""
        self.wait(what, lambda: self.n_connections(gateway) <= 2)
        self.check_after(gateway)

    def n_connections(self, gateway):
        """Return the number of the connections of callers that are open."""
        ip = socket.inet_aton(gateway.ip)[::-1].hex().upper()
        local = f"{ip}:{gateway.port:04X}"
        return sum(row[1] == local and row[3] in OPEN_STATES
                   for row in tcp_sockets())

    def test_unread_answer_before_close(self):
        """Guards against connections that are kept for ever, as the client
        does not read the last answer before a close."""
        gateway = self.start()
        request = NO_ROUTE.replace(b"/x", b"/long/1").replace(
            b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        self.crowd.send(self.front, 10, request)
        self.check_released(gateway, "connections closed after the answer")

    def test_unread_answer_of_an_idle_connection(self):
        """Guards against the same without a close."""
        gateway = self.start()
        request = NO_ROUTE.replace(b"/x", b"/long/1")
        self.crowd.send(self.front, 10, request)
        self.check_released(gateway, "idle connections closed")

    def test_answer_cut_looks_cut(self):
        """Guards against an answer that was given up and looks complete."""
        gateway = self.start()
        request = NO_ROUTE.replace(b"/x", b"/long/1")
        self.crowd.send(self.front, 4, request)
        self.wait("idle connections closed",
                  lambda: self.n_connections(gateway) == 0)
        for sock in self.crowd.socks:
            sock.settimeout(BLOCKED_S)
            got = 0
            try:
                while data := sock.recv(65536):
                    got += len(data)
            except OSError:
                pass
            self.assertLess(got, LONG_BYTES)

    def test_longest_answer_read_steadily(self):
        """Guards against a limit that cuts the longest answer of a caller
        that reads slowly, but steadily, in calm."""
        gateway = self.start()
        body = b"r" * LONGEST_BYTES
        for server in self.servers[1:3]:
            server.respond = lambda server, request: answer(
                body, headers=server.headers(request))
        caller = self.caller(gateway)
        caller.send(NO_ROUTE.replace(b"/x", b"/long/1"))
        got = b""
        while not got.endswith(b"\r\n\r\n"):
            got += caller.stream.read(1)
        self.assertIn(b" 200 ", got)
        left = LONGEST_BYTES
        while left:
            left -= len(caller.stream.read(min(left, 131072)))
            time.sleep(0.05)
        self.check_ordinary()

    def test_half_closed_and_reset(self):
        """Guards against memory and descriptors of clients that shut their
        sending side, or reset in the middle of an answer."""
        gateway = self.start()
        before = self.n_descriptors(gateway)
        for how in (socket.SHUT_WR, socket.SHUT_RD, None):
            crowd = Crowd(self)
            crowd.send(self.front, 40, NO_ROUTE.replace(b"/x", b"/long/1"))
            time.sleep(0.5)
            for sock in crowd.socks:
                try:
                    if how is None:
                        sock.close()
                    else:
                        sock.shutdown(how)
                except OSError:
                    pass
            self.check_ordinary()
            self.wait("connections closed",
                      lambda: self.n_connections(gateway) <= 2)
            crowd.close()
        self.check_after(gateway)
        # Of servers, connections are kept.
        self.assertLess(self.n_descriptors(gateway), before + 200)


class Honest(ClientsTest):
    """Clients within the limits, as far as they go."""

    def test_idle_connection_is_kept(self):
        """Guards against a limit that ends an idle connection within four
        fifths of the idle time-out, while there is place."""
        gateway = self.start(idle_timeout_ms=5000,
                             descriptors_max=DESCRIPTORS_MAX)
        caller = self.caller(gateway)
        self.assertEqual(caller.request("/any/1").status, 200)
        self.crowd.send(self.front, DESCRIPTORS_MAX // 4, NO_ROUTE[:-4])
        time.sleep(4)
        self.assertEqual(caller.request("/any/2").status, 200)

    def test_longest_body(self):
        """Guards against a limit on requests that refuses the longest body,
        and one that lets a longer one in."""
        gateway = self.start()
        for path in ("/any/1", "/once/1", "/shards/1"):
            self.assertEqual(
                self.ask(path, "POST", b"q" * BODY_BYTES), 200, path)
        self.assertEqual(self.ask("/any/1", "POST", b"q" * (BODY_BYTES + 1)),
                         413)
        self.check(gateway)


class Connections(ClientsTest):
    def check_full(self, gateway):
        self.check_ordinary()
        self.assertLess(self.n_descriptors(gateway), DESCRIPTORS_MAX)
        self.check_after(gateway)

    def test_connections_without_request(self):
        """Guards against clients that fill the connections, send nothing and
        keep ordinary callers out."""
        gateway = self.start(idle_timeout_ms=60000,
                             descriptors_max=DESCRIPTORS_MAX)
        self.crowd.send(self.front, N_IDLERS, b"")
        self.check_full(gateway)

    def test_connections_with_part_of_a_head(self):
        """Guards against the same by clients that send part of a head."""
        gateway = self.start(idle_timeout_ms=60000,
                             descriptors_max=DESCRIPTORS_MAX)
        self.crowd.send(self.front, N_IDLERS, NO_ROUTE[:-4])
        self.check_full(gateway)

    def test_connections_with_unread_answers(self):
        """Guards against the same by clients that do not read answers."""
        gateway = self.start(idle_timeout_ms=60000,
                             descriptors_max=DESCRIPTORS_MAX)
        self.crowd.send(self.front, N_IDLERS, NO_ROUTE * 2000)
        self.check_full(gateway)


class Requests(ClientsTest):
    def test_bodies_below_the_long_ones(self):
        """Guards against bodies that are each too short to be refused, and
        together exceed the memory of requests."""
        gateway = self.start()
        self.crowd.send(
            self.front, N_PARTIAL,
            f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p\r\n"
            f"Content-Length: {PARTIAL_BYTES + 1}\r\n\r\n".encode()
            + b"q" * PARTIAL_BYTES)
        self.check_ordinary()
        self.assertLessEqual(self.metric(gateway, "caller_requests_bytes"),
                             MEMORY_MAX_MB * MB / 4)
        self.check_after(gateway)

    def check_processed(self, path):
        """Upload bodies to servers that read none of them."""
        gateway = self.start()
        stuck = threading.Event()
        self.addCleanup(stuck.set)
        for server in self.servers:
            server.read_request_line = server.read_request
            server.read_request = (
                lambda stream, server=server: self.hold(server, stream, stuck))
            server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                       SMALL_BUFFER)
        self.crowd.send(
            self.front, N_UPLOADED,
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: p\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n".encode())
        for sock in self.crowd.socks:
            sock.settimeout(BLOCKED_S)
            try:
                sock.sendall(b"q" * BODY_BYTES)
            except OSError:
                pass
        time.sleep(1)
        self.check(gateway)
        stuck.set()
        self.crowd.close()
        self.check_ordinary()

    @staticmethod
    def hold(server, stream, stuck):
        request = server.read_request_line(stream)
        if request and "stuck" in request.target:
            stuck.wait(20)
        return request

    def test_bodies_to_shards_that_do_not_read(self):
        """Guards against a copy of each body for each shard."""
        self.check_processed("/shards/stuck")

    def test_bodies_to_a_server_that_does_not_read(self):
        """Guards against bodies that are held while they are processed."""
        self.check_processed("/any/stuck")

    def test_requests_sent_ahead(self):
        """Guards against requests that clients send while an earlier one is
        processed, and that are read or left unread without a bound."""
        gateway = self.start()
        hold = threading.Event()
        self.addCleanup(hold.set)

        def respond(server, request):
            hold.wait(SIT_S)
            return OpaqueServer.echo(server, request)

        self.servers[0].respond = respond
        first = NO_ROUTE.replace(b"/x", b"/any/1")
        self.crowd.flood(self.front, N_AHEAD, first, NO_ROUTE, AHEAD_BYTES)
        self.check(gateway)
        hold.set()
        self.crowd.close()
        self.check_ordinary()


class Peers(ClientsTest):
    def test_strangers_with_long_frames(self):
        """Guards against clients of the address for other instances that tell
        no name, and send frames of the greatest length, each unfinished."""
        gateway = self.start(descriptors_max=DESCRIPTORS_MAX)
        hello = wire.frame(HELLO, length=FRAME_MAX_BYTES)
        self.crowd.flood((gateway.ip, self.peer_port), N_IDLERS, hello,
                         b"q" * 65536, STRANGER_BYTES)
        self.assertLess(self.n_descriptors(gateway), DESCRIPTORS_MAX)
        self.check_after(gateway)


class Pages(ClientsTest):
    """The same clients on the other addresses, whose pages share the memory
    and the descriptors of the process."""

    keys = ("ready_address", "directory_address", "control_address",
            "metrics_address")

    def start(self, **members):
        return super().start(metrics_address="127.0.0.10:0".replace(
            ":0", f":{test_gateway.free_port()}"), **members)

    def check_page(self, gateway, key="directory_address",
                   path="/v1/directory"):
        for _ in range(ORDINARY_TRIES):
            if gateway.page(key, path)[0] == 200:
                break
            time.sleep(0.1)
        else:
            self.fail(f"no answer at {key}")
        self.check_after(gateway)

    def flood_pages(self, key, path):
        gateway = self.start()
        self.crowd.flood(self.address(gateway, key), N_FLOODERS, b"",
                         UNREAD_GET.format(path).encode(), FLOOD_BYTES)
        self.check_page(gateway)

    def test_directory_unread(self):
        """Guards against answers of the directory that pile up for clients
        that ask again and again and read nothing."""
        self.flood_pages("directory_address", "/v1/directory")

    def test_ready_unread(self):
        """Guards against the same at the address of readiness."""
        self.flood_pages("ready_address", "/v1/ready")

    def test_control_unread(self):
        """Guards against the same at the control address."""
        self.flood_pages("control_address", "/v1/ready")

    def test_metrics_unread(self):
        """Guards against the same with the long page of metrics."""
        self.flood_pages("metrics_address", "/metrics")

    def test_unknown_page_unread(self):
        """Guards against the same with a page that there is not."""
        self.flood_pages("directory_address", "/x")

    def upload(self, first, more):
        gateway = self.start()
        for key in self.keys:
            self.crowd.flood(self.address(gateway, key), N_UPLOADERS, first,
                             more, UPLOAD_BYTES)
        self.check_page(gateway)

    def test_long_bodies(self):
        """Guards against bodies that pages keep."""
        self.upload(b"POST /v1/directory HTTP/1.1\r\nHost: a\r\n"
                    b"Content-Length: 900000000\r\n\r\n", b"q" * 65536)

    def test_bodies_without_end(self):
        """Guards against chunks without end that pages keep."""
        self.upload(b"GET /v1/directory HTTP/1.1\r\nHost: a\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n",
                    b"10000\r\n" + b"q" * 65536 + b"\r\n")

    def test_heads_without_end(self):
        """Guards against heads that pages keep."""
        self.upload(b"GET /v1/directory HTTP/1.1\r\n",
                    b"X-Field: " + b"q" * 60000 + b"\r\n")

    def test_request_lines_without_end(self):
        """Guards against request lines that pages keep."""
        self.upload(b"GET /v1/directory?", b"q" * 65536)

    def test_connections_to_pages_without_request(self):
        """Guards against clients that fill the connections of a page and keep
        others out, or take the descriptors of the process."""
        gateway = self.start(idle_timeout_ms=60000,
                             descriptors_max=DESCRIPTORS_MAX)
        for key in self.keys:
            self.crowd.send(self.address(gateway, key), N_IDLERS, b"")
        self.assertLess(self.n_descriptors(gateway), DESCRIPTORS_MAX)
        self.assertTrue(gateway.is_ready())
        self.check_page(gateway)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
