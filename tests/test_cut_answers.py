"""Servers and a store that stop within an answer and close.

usage: test_cut_answers.py BUILD [unittest options]
"""

import pathlib
import socket
import struct
import sys
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import OpaqueServer, Request, StoreHandler  # noqa: E402

N_SERVERS = 4
# Places in an answer that are tried with each way to close.
STEP = 3
STORE_PLACES = 16
# After it, a gateway has read what the store sent.
READ_S = 0.1
SEARCHES = 20
# Requests that earn the budget for a retry.
EARNING = 6


def fin(connection):
    connection.shutdown(socket.SHUT_RDWR)


def half(connection):
    """Ends its own direction and reads on."""
    connection.shutdown(socket.SHUT_WR)


def rst(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))


WAYS = (fin, half, rst)


class CuttingServer(OpaqueServer):
    """Ends its answers after `cut_at` bytes, unless that is None."""

    def __init__(self, *args, **members):
        self.cut_at = None
        self.way = fin
        self.whole = type(self).echo
        self.n_cut = 0
        super().__init__(*args, **members)

    def serve_one(self, connection, stream):
        request = self.read_request(stream)
        if not request:
            return False
        self.seen.append(request)
        request.body = stream.read(
            int(request.headers.get("content-length", 0)))
        if request.target == "/health":
            connection.sendall(self.echo(request))
            return True
        data = self.whole(self, request)
        if self.cut_at is None:
            connection.sendall(data)
            return True
        self.n_cut += 1
        connection.sendall(data[:self.cut_at])
        self.way(connection)
        if self.way is half:
            stream.read()
        return False


class CutAnswersTest(test_gateway.GatewayTest):
    def cutting_server(self, name, service, **members):
        server = CuttingServer(self.store, name, service, **members)
        self.servers.append(server)
        return server

    def cuts(self, size):
        """Yields each way to close, at places of an answer of that size."""
        for way in WAYS:
            for cut_at in [*range(0, size, STEP), size - 1]:
                yield way, cut_at


class Callers(CutAnswersTest):
    def check_none_passed_on(self, path):
        servers = [self.cutting_server(f"one-{i}", "one")
                   for i in range(N_SERVERS)]
        self.publish(health_path="/health")
        caller = self.caller(self.ready_gateway())
        whole = len(servers[0].echo(Request(
            "GET", f"{path}0000", {"x-request-id": "r1"}, b"")))
        for n, (way, cut_at) in enumerate(self.cuts(whole)):
            with self.subTest(way=way.__name__, cut_at=cut_at):
                for server in servers:
                    server.way, server.cut_at = way, cut_at
                got = caller.request(f"{path}{n:04}", request_id="r1")
                self.assertIn(got.status, (502, 503))
                self.assertNotIn("x-server-stamp", got.headers)
                for server in servers:
                    server.cut_at = None
                self.wait("servers used again", lambda: caller.request(
                    f"{path}good").status == 200)
                for _ in range(EARNING):
                    caller.request(f"{path}good")
        self.assertGreater(sum(s.n_cut for s in servers), n)

    def test_run_once(self):
        """Guards against a 200 with an empty or short body for a request that
        must run once, whose server stopped within its answer."""
        self.check_none_passed_on("/once/")

    def test_may_be_repeated(self):
        """Guards against the same for a request that is sent again."""
        self.check_none_passed_on("/any/")

    def test_head_of_a_second_answer(self):
        """Guards against a second answer, begun by the same server behind the
        one that was asked for, as the answer of the next request."""
        server = self.cutting_server("one-0", "one")
        second = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: x\r\nContent-Le"
        server.whole = lambda s, r: s.echo(r) + second
        self.publish(health_path="/health")
        caller = self.caller(self.ready_gateway())
        for i in range(SEARCHES):
            got = caller.request(f"/any/{i}", request_id=f"r{i}")
            self.assertIn(got.status, (200, 502))
            if got.status == 200:
                self.assertEqual(got.headers["x-server-stamp"],
                                 f"one-0.r{i}")
                self.assertEqual(got.body, f"one-0 /any/{i} ".encode())


class Searches(CutAnswersTest):
    """A part that was cut is missing, or asked elsewhere."""

    def check_no_part_counts(self, gateway, servers, cutting):
        caller = self.caller(gateway)
        self.wait("searched", lambda: caller.request(
            "/shards/first").status == 200)
        whole = len(cutting.send_records(Request(
            "GET", "/shards/0000", {"x-request-id": "r1"}, b"")))
        before = cutting.n_cut
        for n, (way, cut_at) in enumerate(self.cuts(whole)):
            with self.subTest(way=way.__name__, cut_at=cut_at):
                cutting.way, cutting.cut_at = way, cut_at
                got = caller.request(f"/shards/{n:04}", request_id="r1")
                self.assertEqual(got.status, 200)
                self.assertEqual(got.headers["x-missing-parts"], "1")
                self.assertNotIn(f"{cutting.name}.",
                                 got.headers["x-part-stamps"])
                self.assertNotIn(cutting.tail, got.body[15::16])
                cutting.cut_at = None
                self.wait("all parts again", lambda: caller.request(
                    "/shards/good").headers.get("x-missing-parts") == "0")
        self.assertGreater(cutting.n_cut - before, n)

    def start_servers(self, data_centre="dc-0"):
        servers = []
        for i in range(4):
            server = self.cutting_server(f"s{i}-{i}", f"s{i}",
                                         data_centre=data_centre)
            server.whole = OpaqueServer.send_records
            server.tail = i
            servers.append(server)
        self.publish(health_path="/health")
        return servers

    def test_part_of_a_search(self):
        """Guards against records of a part that was cut."""
        servers = self.start_servers()
        self.check_no_part_counts(self.ready_gateway(), servers, servers[2])

    def test_part_of_a_relayed_search(self):
        """Guards against the same through a relay, whose frames tell what its
        servers answered."""
        servers = self.start_servers(data_centre="dc-1")
        seed = f"127.0.0.10:{self.peer_port}"
        entry = self.ready_gateway(seeds=[seed])
        self.ready_gateway(seeds=[seed], data_centre="dc-1")
        caller = self.caller(entry)
        self.wait("request relayed", lambda: caller.request("/shards/w") and
                  self.metric(entry, "relay_jobs"))
        self.check_no_part_counts(entry, servers, servers[2])


class CuttingHandler(StoreHandler):
    """Ends its answers after `cut_at` bytes of the store, unless that is
    None."""

    def setup(self):
        super().setup()
        write = self.wfile.write
        self.left = None

        def write_part(data):
            if self.left is None:
                self.left = self.server.cut_at
            if self.left is None:
                return write(data)
            part = data[:self.left]
            self.left -= len(part)
            write(part)
            if not self.left:
                self.server.n_cut += 1
                self.close_connection = True
                raise OSError("cut")
            return len(data)

        self.wfile.write = write_part


class StoreAnswers(CutAnswersTest):
    def test_list_and_watch(self):
        """Guards against a list that was cut, taken for one without servers or
        routes: all of them would be gone."""
        self.store.cut_at = None
        self.store.n_cut = 0
        self.store.RequestHandlerClass = CuttingHandler
        for i in range(N_SERVERS):
            self.cutting_server(f"one-{i}", "one")
        self.publish(health_path="/health")
        gateway = self.ready_gateway()
        caller = self.caller(gateway)
        size = len(str(self.store.list_page("servers/", ""))) + 150
        for cut_at in range(1, size, size // STORE_PLACES):
            with self.subTest(cut_at=cut_at):
                before = self.store.n_cut
                self.store.cut_at = cut_at
                self.store.compact()
                self.wait("cut", lambda n=before: self.store.n_cut > n)
                time.sleep(READ_S)
                self.assertEqual(caller.request("/any/x").status, 200)
                self.assertEqual(self.metric(gateway, "servers"), N_SERVERS)
                self.store.cut_at = None


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
