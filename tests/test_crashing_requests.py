"""Tests of requests that crash the backend servers running them, with gateway
processes."""

import pathlib
import socket
import sys
import threading
import time
import unittest

import test_gateway
from gateway_fixtures import HOST, OpaqueServer, answer, route
from test_gateway import WAIT_MAX_S, Caller, GatewayTest

SHARDS = ["s0", "s1", "s2", "s3"]
ROUTES = [
    route("/any/", service="one", timeout_ms=2000, goal_ms=1500),
    # One lost shard ends the request.
    route("/shards/", shards=SHARDS, records_max=3, coverage_min=1,
          timeout_ms=2000, goal_ms=1500),
]
# Servers that a request may crash before it is banned.
CRASHES_MAX = 3
# Repeats that may still arrive at servers after that.
LATE_REPEATS_MAX = 3
REPEATS = 12
# In all they last longer than a request is held back for its trial.
REPEAT_PAUSE_S = 0.5
# Requests that earn an instance some retries.
EARNING = 60


class CrashingServer(OpaqueServer):
    """Crashes `after_s` after it began to run a request whose target contains
    "bad"; its listening socket goes `listener_after_s` after its connections,
    or before them if that is negative."""

    def __init__(self, *args, **members):
        super().__init__(*args, **members)
        self.after_s = 0.05
        self.listener_after_s = 0
        self.work_s = 0
        self.crashed = False
        self.answer_good = type(self).echo
        self.respond = type(self).run_request

    def run_request(self, request):
        if "bad" not in request.target:
            time.sleep(self.work_s)
            return self.answer_good(self, request)
        self.ran.append(request)
        time.sleep(self.after_s)
        self.crash()
        return None

    def crash(self):
        self.crashed = True
        if self.listener_after_s < 0:
            self.stop_listening()
        else:
            self.close_connections()
        time.sleep(abs(self.listener_after_s))
        self.stop_listening()
        self.close_connections()

    def restart(self):
        self.listen()
        self.crashed = False
        self.publish()


class AddressCaller(Caller):
    """A client connection from a source address of its own."""

    def __init__(self, gateway, ip):
        self.sock = socket.create_connection(
            (gateway.ip, gateway.port), timeout=WAIT_MAX_S,
            source_address=(ip, 0))
        self.stream = self.sock.makefile("rb")


class CrashTest(GatewayTest):
    def crashing_server(self, name, service, **members):
        server = CrashingServer(self.store, name, service, **members)
        self.servers.append(server)
        return server

    def count_crashed(self):
        return sum(isinstance(server, CrashingServer) and server.crashed
                   for server in self.servers)

    def fleet(self, n, **members):
        seed = f"127.0.0.10:{self.peer_port}"
        gateways = [self.gateway(seeds=[seed], **members) for _ in range(n)]
        for gateway in gateways:
            self.wait("ready", gateway.is_ready)
            self.wait("peers met", lambda g=gateway: any(
                line["event"] == "member_joined" for line in g.log()) or n == 1)
        return gateways

    def send(self, gateway, target, ip="127.0.0.1"):
        caller = AddressCaller(gateway, ip)
        try:
            return caller.request(target, request_id=f"b{time.monotonic()}")
        finally:
            caller.close()

    def leave(self, gateway, target, after_s):
        caller = Caller(gateway)
        caller.send(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Request-Id: l{time.monotonic()}\r\n\r\n".encode())
        time.sleep(after_s)
        caller.close()

    def refused(self, got):
        return got.status == 503 and b"crashes_servers" in got.body


class Banned(CrashTest):
    """A request that keeps crashing servers is banned after three."""

    def test_other_address(self):
        """Guards against a request that crashes three servers anew from each
        address that its caller comes from."""
        for i in range(14):
            self.crashing_server(f"one-{i}", "one")
        self.publish(routes=ROUTES)
        gateways = self.fleet(2)
        for i in range(REPEATS):
            self.send(gateways[i % 2], "/any/bad", f"127.0.0.{50 + i}")
            time.sleep(0.1)
        self.assertLessEqual(self.count_crashed(), CRASHES_MAX + 1)

    def test_listening_socket_closes_later(self):
        """Guards against a crash that goes unseen because the check of the
        server met a listening socket that was about to close."""
        for i in range(14):
            server = self.crashing_server(f"one-{i}", "one")
            server.listener_after_s = 0.03
        self.publish(routes=ROUTES)
        gateway = self.fleet(1)[0]
        for _ in range(REPEATS):
            self.send(gateway, "/any/bad")
            time.sleep(0.2)
        self.assertLessEqual(self.count_crashed(), CRASHES_MAX + 1)

    def test_caller_leaves(self):
        """Guards against a crash that goes unseen because the caller left
        before it."""
        for i in range(14):
            self.crashing_server(f"one-{i}", "one").after_s = 0.3
        self.publish(routes=ROUTES)
        gateway = self.fleet(1)[0]
        for _ in range(REPEATS):
            self.leave(gateway, "/any/bad", 0.05)
            time.sleep(0.4)
        self.assertLessEqual(self.count_crashed(),
                             CRASHES_MAX + LATE_REPEATS_MAX)

    def send_doomed(self, **members):
        """Repeat a search of which one shard fails before the servers of the
        others crash."""
        for i in range(2):
            failing = self.server(f"s0-{i}", "s0", **members)
            failing.respond = lambda server, request: answer(
                status="500 Internal Server Error",
                headers=server.headers(request))
        for shard in SHARDS[1:]:
            for i in range(5):
                server = self.crashing_server(f"{shard}-{i}", shard, **members)
                server.after_s = 0.25
        self.publish(routes=ROUTES)

    def test_search_is_given_up(self):
        """Guards against crashes that go unseen because another shard had ended
        the search before them."""
        self.send_doomed()
        gateway = self.fleet(1)[0]
        for _ in range(6):
            self.send(gateway, "/shards/bad")
            time.sleep(0.4)
        self.assertLessEqual(self.count_crashed(),
                             CRASHES_MAX + LATE_REPEATS_MAX)

    def test_relayed_search_is_given_up(self):
        """Guards against crashes that go unseen because the entry had cancelled
        the relay's sends before them."""
        self.send_doomed(data_centre="dc-1")
        seed = f"127.0.0.10:{self.peer_port}"
        entry = self.ready_gateway(seeds=[seed])
        self.ready_gateway(seeds=[seed], data_centre="dc-1")
        self.wait("request relayed", lambda: self.send(
            entry, "/shards/w") and self.metric(entry, "relay_jobs"))
        for _ in range(8):
            self.send(entry, "/shards/bad")
            time.sleep(0.4)
        self.assertLessEqual(self.count_crashed(),
                             CRASHES_MAX + LATE_REPEATS_MAX)


class StartOfAll(CrashTest):
    """All instances are killed, and start again without what they knew."""

    def restart_all(self, gateways):
        for gateway in gateways:
            gateway.process.kill()
        for gateway in gateways:
            gateway.process.wait()
            gateway.start()
        for gateway in gateways:
            self.wait("ready", gateway.is_ready)

    def earn_retries(self, gateways):
        """Instances that have sent nothing yet have no budget for retries."""
        for gateway in gateways:
            caller = Caller(gateway)
            for i in range(EARNING):
                for path in ("any", "shards"):
                    caller.request(f"/{path}/good{i}", request_id=f"g{i}")
            caller.close()

    def ids_of_bad(self):
        return {request.id for server in self.servers
                for request in server.ran if "bad" in request.target}

    def check_one_sending_runs(self, target, gateways):
        """Of the sendings after a start one reaches servers, in which it is
        judged; all others are refused."""
        self.restart_all(gateways)
        self.earn_retries(gateways)
        sent = []
        for i in range(REPEATS):
            got = self.send(gateways[i % 2], target)
            sent.append((got.status, got.body))
            time.sleep(REPEAT_PAUSE_S)
        self.assertEqual(len(self.ids_of_bad()), 1, sent)
        self.assertTrue(all(status == 503 for status, _ in sent[1:]), sent)

    def test_single_service(self):
        """Guards against a crashing request that reaches servers in two
        sendings after each start: two starts cost more than may be."""
        for i in range(16):
            self.crashing_server(f"one-{i}", "one")
        self.publish(routes=ROUTES, health_path="/health")
        self.check_one_sending_runs("/any/bad", self.fleet(2))

    def test_search(self):
        """Guards against the same for a search over shards."""
        for shard in SHARDS:
            for i in range(8):
                server = self.crashing_server(f"{shard}x{i}-{i}", shard)
                server.answer_good = OpaqueServer.send_records
        for i in range(2):
            self.crashing_server(f"one-{i}", "one")
        self.publish(routes=ROUTES, health_path="/health")
        self.check_one_sending_runs("/shards/bad", self.fleet(2))


class NotBlamed(CrashTest):
    """Servers that crash get nobody banned who did not crash them."""

    def call_until(self, stopped, gateways, target, refused):
        i = 0
        while not stopped.wait(0.01):
            i += 1
            if self.refused(self.send(gateways[i % len(gateways)], target)):
                refused.append(target)

    def run_callers(self, gateways, targets, during):
        stopped = threading.Event()
        refused = []
        threads = [threading.Thread(target=self.call_until, args=(
            stopped, gateways, target, refused)) for target in targets]
        for thread in threads:
            thread.start()
        try:
            during()
        finally:
            stopped.set()
            for thread in threads:
                thread.join()
        return refused

    def test_popular_search(self):
        """Guards against a ban of a popular search because servers crash of
        their own, one after the other, while it runs on all."""
        servers = [self.crashing_server(f"{shard}x{i}-{i}", shard)
                   for shard in SHARDS for i in range(2)]
        for server in servers:
            server.work_s = 0.03
            server.answer_good = OpaqueServer.send_records
        self.publish(routes=ROUTES)
        gateways = self.fleet(2)

        def crash_in_turn():
            for server in servers:
                time.sleep(0.4)
                server.crash()
                time.sleep(0.4)
                server.restart()

        refused = self.run_callers(gateways, ["/shards/popular"] * 4,
                                   crash_in_turn)
        self.assertEqual(len(refused), 0)

    def test_requests_beside(self):
        """Guards against a ban of new searches that ran on the servers which
        another search has crashed."""
        servers = [self.crashing_server(f"{shard}x{i}-{i}", shard)
                   for shard in SHARDS for i in range(2)]
        for server in servers:
            server.work_s = 0.15
            server.after_s = 0.1
            server.listener_after_s = -0.01
            server.answer_good = OpaqueServer.send_records
        self.publish(routes=ROUTES)
        gateways = self.fleet(2)
        self.send(gateways[0], "/shards/w")
        beside = [threading.Thread(target=self.send, args=(
            gateways[i % 2], f"/shards/good{i}")) for i in range(4)]
        for thread in beside:
            thread.start()
        self.send(gateways[0], "/shards/bad")
        for thread in beside:
            thread.join()
        for server in servers:
            if server.crashed:
                server.restart()
        for i in range(4):
            self.wait("served", lambda i=i: self.send(
                gateways[i % 2], f"/shards/good{i}").status == 200)


class InDoubt(CrashTest):
    """A server that broke a connection is asked for its health."""

    def break_connection(self, health_id):
        """Reset the connection of one request; return the verdict's line."""
        server = self.server("one-0", "one")
        asked = []

        def respond(server, request):
            if request.target != "/health":
                return None if "reset" in request.target else (
                    OpaqueServer.echo(server, request))
            asked.append(request)
            return answer(headers=[("X-Instance-Id", health_id)])

        server.respond = respond
        self.publish(routes=ROUTES, health_path="/health")
        gateway = self.ready_gateway()
        self.assertEqual(self.send(gateway, "/any/good").status, 200)
        self.send(gateway, "/any/reset")
        verdict = self.wait("verdict", lambda: next(
            (line for line in gateway.log()
             if line["event"] == "lost_run_judged"), None))
        self.assertEqual(len(asked), 1)
        return verdict

    def test_living_server(self):
        """Guards against doubt that lasts where nothing else is sent."""
        self.assertEqual(self.break_connection("one-0")["evidence"],
                         "answered")

    def test_another_server_at_its_address(self):
        """Guards against a crash that goes unseen while the store tells
        nothing: the server is back under another id."""
        verdict = self.break_connection("one-0-again")
        self.assertEqual((verdict["evidence"], verdict["crashed"]),
                         ("gone", 1))


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main()
