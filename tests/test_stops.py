"""Requests that are open, or arrive, while a gateway stops.

usage: test_stops.py BUILD [unittest options]
"""

import json
import pathlib
import signal
import sys
import threading
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import route  # noqa: E402

# The time from SIGTERM until the process is killed.
GRACE_S = 3
# After SIGTERM: every request has its answer.
ANSWER_BY_S = 2.625
# To a server with two slots, of an instance that has it alone.
SENDS_AT_ONCE = 3
# Of a request, far longer than a stop.
TIME_MS = 10000
ROUTES = [
    route("/any/", service="one", timeout_ms=TIME_MS),
    route("/once/", service="one", repeat="once", timeout_ms=TIME_MS),
]


class StopTest(test_gateway.GatewayTest):
    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.addCleanup(self.release.set)

    def hang(self, server, request):
        if "hang" in request.target:
            self.release.wait(test_gateway.WAIT_MAX_S)
        return server.echo(request)

    def tearDown(self):
        self.release.set()
        super().tearDown()

    def start(self, n_servers=1, **members):
        """Return a gateway whose servers hang where the target says so."""
        for i in range(n_servers):
            server = self.server(f"one-{i}", "one")
            server.respond = self.hang
        self.publish(routes=ROUTES)
        members.setdefault("stop_max_s", GRACE_S)
        gateway = self.ready_gateway(**members)
        for i in range(8):
            self.assertEqual(self.caller(gateway).request(
                "/any/x", request_id=f"w{i}").status, 200)
        return gateway

    def send(self, gateway, target, request_id="r1", caller=None):
        """Send a request and return its caller and the answer, once read."""
        caller = caller or self.caller(gateway)
        got = []
        thread = threading.Thread(
            target=lambda: got.append((self.read_or_none(
                caller, target, request_id), time.monotonic())))
        thread.start()
        self.addCleanup(thread.join)
        return thread, got

    @staticmethod
    def read_or_none(caller, target, request_id):
        """Return the answer; None if the connection ends without one."""
        try:
            return caller.request(target, request_id=request_id)
        except OSError:
            return None

    def stop_after(self, gateway, sends, after_s):
        """Return (answer, time after SIGTERM) of each of the `sends`, and
        when the process had ended."""
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(after_s)
        open_requests = [send() for send in sends]
        self.assertEqual(gateway.process.wait(test_gateway.WAIT_MAX_S), 0)
        ended = time.monotonic() - at
        for thread, _ in open_requests:
            thread.join()
        return ([(got[0][0], got[0][1] - at) for _, got in open_requests],
                ended)

    def assert_answered(self, answer, status):
        self.assertIsNotNone(answer[0], "the connection closed unanswered")
        self.assertEqual(answer[0].status, status)
        self.assertLess(answer[1], GRACE_S)


class OpenAtTheEnd(StopTest):
    def test_slow_lookup_gets_a_whole_answer(self):
        """Guards against a closed connection for a look-up whose server is
        still at work when the process has to end."""
        gateway = self.start()
        kept = self.caller(gateway)
        answers, ended = self.stop_after(gateway, [
            lambda: self.send(gateway, "/any/hang", caller=kept)], 0.5)
        self.assert_answered(answers[0], 504)
        self.assertLess(ended, GRACE_S)

    def test_request_taken_before_the_stop_gets_a_whole_answer(self):
        """Guards against requests that learn of no stop after they were
        taken."""
        gateway = self.start()
        thread, got = self.send(gateway, "/once/hang")
        self.wait("running", lambda: any(
            "hang" in r.target for r in self.servers[0].seen))
        at = time.monotonic()
        self.stop_after(gateway, [], 0)
        thread.join()
        self.assert_answered((got[0][0], got[0][1] - at), 504)


class Queued(StopTest):
    def work_long(self, server, request):
        if "late" in request.target:
            server.ran.append(request)
            self.release.clear()
            self.release.wait(test_gateway.WAIT_MAX_S)
        return self.hang(server, request)

    def test_order_that_gets_its_turn_at_the_end_is_not_sent(self):
        """Guards against an order that waits here for its server, is sent just
        before the process ends, and leaves its caller in doubt."""
        gateway = self.start(load_control=["turns", "returns"])
        server = self.servers[0]
        server.respond = self.work_long
        for i in range(SENDS_AT_ONCE):
            self.send(gateway, f"/any/hang{i}", f"h{i}")
        self.wait("at work", lambda: sum(
            "hang" in r.target for r in server.seen) == SENDS_AT_ONCE)
        thread, got = self.send(gateway, "/once/late", "late")
        self.wait("queued", lambda: self.metric(
            gateway, "turns_waited_total"))
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(ANSWER_BY_S - 0.2)
        self.release.set()
        self.assertEqual(gateway.process.wait(test_gateway.WAIT_MAX_S), 0)
        thread.join()
        self.assert_answered((got[0][0], got[0][1] - at), 503)
        self.assertNotIn("late", [r.id for r in server.seen])
        self.assertNotIn("retry-after", got[0][0].headers)


class HalfRead(StopTest):
    def test_upload_half_read_is_refused(self):
        """Guards against a closed connection where 503 is true: what was not
        read whole has not run."""
        gateway = self.start()
        caller = self.caller(gateway)
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(2.1)
        caller.send(f"POST /once/x HTTP/1.1\r\nHost: {test_gateway.HOST}\r\n"
                    "X-Request-Id: half\r\nContent-Length: 9\r\n\r\n"
                    "1234".encode())
        self.assert_answered((caller.read(), time.monotonic() - at), 503)
        self.assertEqual(gateway.process.wait(test_gateway.WAIT_MAX_S), 0)


class TakenLate(StopTest):
    def start_slow(self, n_gateways):
        """Return a gateway that knows orders that take 1.3 s."""
        seeds = [f"127.0.0.10:{self.peer_port}"]
        gateway = self.start(seeds=seeds)
        for _ in range(n_gateways - 1):
            self.ready_gateway(seeds=seeds, stop_max_s=GRACE_S)
        self.wait("others are known", lambda: len(json.loads(gateway.page(
            "directory_address", "/v1/directory")[1])["addrs"]) == n_gateways)
        thread, _ = self.send(gateway, "/once/hang", "slow")
        time.sleep(1.3)
        self.release.set()
        thread.join()
        return gateway

    def ids(self):
        return [r.id for r in self.servers[0].seen]

    def test_order_that_may_outlast_the_process_is_refused(self):
        """Guards against running what must not be repeated so late that its
        answer may be lost, where another instance can take it."""
        gateway = self.start_slow(2)
        answers, _ = self.stop_after(gateway, [
            lambda: self.send(gateway, "/once/x", "order"),
            lambda: self.send(gateway, "/any/x", "lookup")], 1.5)
        self.assert_answered(answers[0], 503)
        self.assertEqual(answers[0][0].headers["connection"], "close")
        self.assertLess(answers[0][1], 2)
        self.assertNotIn("order", self.ids())
        self.assert_answered(answers[1], 200)

    def test_last_instance_takes_what_it_can(self):
        """Guards against refusals that nobody makes up for."""
        gateway = self.start_slow(1)
        answers, _ = self.stop_after(gateway, [
            lambda: self.send(gateway, "/once/x", "order")], 1.5)
        self.assert_answered(answers[0], 200)


class TimeOfTheStop(StopTest):
    def test_stop_counts_from_the_signal(self):
        """Guards against a process that stood still when it was told to stop
        and then takes longer than it has."""
        gateway = self.start()
        thread, got = self.send(gateway, "/any/hang")
        self.wait("running", lambda: any(
            "hang" in r.target for r in self.servers[0].seen))
        gateway.process.send_signal(signal.SIGSTOP)
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.9)
        gateway.process.send_signal(signal.SIGCONT)
        self.assertEqual(gateway.process.wait(test_gateway.WAIT_MAX_S), 0)
        self.assertLess(time.monotonic() - at, GRACE_S)
        thread.join()
        self.assert_answered((got[0][0], got[0][1] - at), 504)

    def test_other_signals_and_settings_change_no_stop(self):
        """Guards against a stop that starts anew or ends sooner by a second
        SIGTERM, by SIGINT, or by settings that are read again."""
        gateway = self.start()
        thread, got = self.send(gateway, "/any/hang")
        at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        gateway.settings["stop_max_s"] = 10 * GRACE_S
        gateway.write_settings()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            time.sleep(0.4)
            gateway.process.send_signal(number)
        self.assertEqual(gateway.process.wait(test_gateway.WAIT_MAX_S), 0)
        self.assertLess(time.monotonic() - at, GRACE_S)
        thread.join()
        self.assert_answered((got[0][0], got[0][1] - at), 504)

    def test_signals_until_the_process_is_gone(self):
        """Guards against a process that a further signal kills while it
        passes its last answers on."""
        gateway = self.start(stop_max_s=1)
        gateway.process.send_signal(signal.SIGTERM)
        while gateway.process.poll() is None:
            gateway.process.send_signal(signal.SIGINT)
        self.assertEqual(gateway.process.returncode, 0)

    def test_short_grace(self):
        """Guards against times that are longer than the whole stop."""
        gateway = self.start(stop_max_s=1)
        thread, got = self.send(gateway, "/any/hang")
        self.wait("running", lambda: any(
            "hang" in r.target for r in self.servers[0].seen))
        at = time.monotonic()
        answers, ended = self.stop_after(gateway, [
            lambda: self.send(gateway, "/any/quick", "quick")], 0.2)
        self.assert_answered(answers[0], 200)
        thread.join()
        self.assert_answered((got[0][0], got[0][1] - at), 504)
        self.assertLess(ended, 1)

    def test_stop_before_the_first_view(self):
        """Guards against a stop that hangs or closes connections without an
        answer, as the instance knows no routes yet."""
        self.store.set_unavailable(True)
        gateway = self.gateway(stop_max_s=GRACE_S)
        self.wait("listens", lambda: gateway.page("ready_address",
                                                  "/v1/ready")[0])
        self.assertFalse(gateway.is_ready())
        answers, ended = self.stop_after(gateway, [
            lambda: self.send(gateway, "/any/x", "first")], 0.2)
        self.assert_answered(answers[0], 503)
        self.assertLess(ended, GRACE_S)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
