"""Backend servers in trouble: their answers are none by RFC 9112, or hardly.

usage: test_odd_answers.py BUILD [unittest options]
"""

import pathlib
import sys
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_gateway  # noqa: E402
from gateway_fixtures import OpaqueServer, answer, route  # noqa: E402

ODD_BODY = b"odd answer"
# Of an answer that is told apart from those of this test.
FOREIGN_BODY = b"answer to nobody"
SEARCH_S = 2
# Of the searches, those that ask a server whose answers are none.
ASKED_SHARE_MAX = 0.2


def odd(server, request, first="HTTP/1.1 200 OK", fields=(), body=ODD_BODY,
        length=True):
    """Build an answer as this server would give it, but for what differs."""
    lines = [first] + [f"{n}: {v}" for n, v in server.headers(request)]
    lines += fields
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunked(server, request, chunks, trailer=b""):
    return odd(server, request, fields=["Transfer-Encoding: chunked"],
               length=False, body=chunks + b"0\r\n" + trailer + b"\r\n")


class OddAnswersTest(test_gateway.GatewayTest):
    def start_odd(self):
        self.server_of_all, gateway, caller = self.start_one()
        return self.server_of_all, caller

    def check_none_passed_on(self, forms):
        """An odd answer is none: callers of both kinds get an error."""
        server, caller = self.start_odd()
        for i, form in enumerate(forms):
            server.respond = form
            for path in ("/once/x", "/any/x"):
                with self.subTest(form=i, path=path):
                    n = len(server.seen)
                    got = caller.request(path, request_id=f"{path}{i}")
                    self.assertIn(got.status, (502, 503))
                    self.assertNotIn(ODD_BODY, got.body)
                    self.assertTrue(got.status == 502 or
                                    len(server.seen) == n)
            server.respond = OpaqueServer.echo
            self.wait("the server used again", lambda: caller.request(
                "/any/y").status == 200)


class Statuses(OddAnswersTest):
    NONE = ["000 Unknown", "000", "001 Odd", "007 Odd", "099 Odd", "20 OK",
            "20 0 OK", "600 Odd", "999 Odd"]

    def test_none_is_passed_on(self):
        """Guards against a status that is none as a caller's answer."""
        self.check_none_passed_on([
            lambda s, r, status=status: odd(s, r, f"HTTP/1.1 {status}")
            for status in self.NONE])

    def test_before_the_answer(self):
        """Guards against a status that is none in place of an interim one: the
        right answer behind it belongs to no request."""
        self.check_none_passed_on([
            lambda s, r: b"HTTP/1.1 000 Unknown\r\n\r\n" + s.echo(r),
            lambda s, r: b"HTTP/1.1 099 Odd\r\n\r\n" + s.echo(r),
        ])

    def test_other_protocol(self):
        """Guards against bytes of a protocol that nobody asked for."""
        self.check_none_passed_on([
            lambda s, r: b"HTTP/1.1 101 Switching Protocols\r\n\r\n"
            + odd(s, r)])

    def test_interim_answers(self):
        """Interim answers are skipped."""
        server, caller = self.start_odd()
        server.respond = lambda s, r: (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + s.echo(r))
        for _ in range(3):
            self.assertEqual(caller.request("/once/x").status, 200)

    def test_other_request_without_a_length(self):
        """Guards against a wait until the time-out, once an answer to another
        request has ended with its connection."""
        server, caller = self.start_odd()
        server.close_after = True
        server.respond = lambda s, r: answer(
            FOREIGN_BODY, headers=[("X-Request-Id", "other"),
                                   ("X-Server-Stamp", "s.other")], length=-1)
        for path in ("/once/x", "/any/x"):
            with self.subTest(path=path):
                got = caller.request(path)
                self.assertEqual(got.status, 502)
                self.assertNotIn(FOREIGN_BODY, got.body)
                self.assertIn(b"lost", got.body)

    def test_part_of_searches(self):
        """Guards against a server that is asked in each search though its
        answers are none."""
        servers = []
        for i in range(4):
            for n in range(2):
                server = self.server(f"s{i}-{i}{n}", f"s{i}")
                server.respond = OpaqueServer.send_records
                servers.append(server)
        servers[0].respond = lambda s, r: odd(s, r, "HTTP/1.1 000 Unknown")
        self.publish(routes=[route(
            "/shards/", shards=["s0", "s1", "s2", "s3"], records_max=3,
            coverage_min=0.75, timeout_ms=2000, goal_ms=500)])
        caller = self.caller(self.ready_gateway())
        end = time.monotonic() + SEARCH_S
        n = 0
        while time.monotonic() < end:
            got = caller.request("/shards/x", request_id=f"s{n}")
            n += 1
            self.assertEqual(got.status, 200)
            self.assertNotIn("s0-00.", got.headers["x-part-stamps"])
        self.assertGreater(n, 20)
        self.assertLess(len(servers[0].seen), ASKED_SHARE_MAX * n)


class Heads(OddAnswersTest):
    def test_names_of_fields(self):
        """Guards against a field whose name holds what no name may."""
        names = ["X y", "X ", " X", "X\ty", "X\x01y", "X\0y", "X\x7fy",
                 "X\xe9", "", 'X"y', "X\ry"]
        self.check_none_passed_on([
            lambda s, r, name=name: odd(s, r, fields=[f"{name}: x"])
            for name in names])

    def test_lines(self):
        """Guards against heads that another reader would read differently."""
        self.check_none_passed_on([
            lambda s, r: odd(s, r, "HTTP/1.1 200 O\x01K"),
            lambda s, r: odd(s, r, "HTTP/1.1 200 O\0K"),
            lambda s, r: odd(s, r, "HTTP/2.0 200 OK"),
            lambda s, r: b"\r\n" + odd(s, r),
            lambda s, r: odd(s, r, fields=["X: a", " b"]),
            lambda s, r: odd(s, r, fields=["Content-Length:",
                                           f" {len(ODD_BODY)}"],
                             length=False),
        ])


class Bodies(OddAnswersTest):
    def test_chunks(self):
        """Guards against bytes that no chunk holds."""
        self.check_none_passed_on([
            lambda s, r: chunked(s, r, b"a\r\nodd answerXY"),
            lambda s, r: chunked(s, r, b"a;x\nodd answer\r\n"),
        ])

    def test_trailers(self):
        """Guards against trailers that are read by other rules than heads."""
        self.check_none_passed_on([
            lambda s, r: chunked(s, r, b"a\r\nodd answer\r\n",
                                 b"X y: x\r\n"),
            lambda s, r: chunked(s, r, b"a\r\nodd answer\r\n",
                                 b"X: a\r\n b\r\n"),
        ])

    def test_other_coding(self):
        """Guards against a body in a coding that is taken off with its field."""
        self.check_none_passed_on([
            lambda s, r: odd(s, r, fields=["Transfer-Encoding: gzip, chunked"],
                             length=False,
                             body=b"a\r\nodd answer\r\n0\r\n\r\n"),
            lambda s, r: odd(s, r, fields=["Transfer-Encoding: identity"]),
        ])

    def test_answers_without_a_body(self):
        """Guards against a body where none can be, and against a wait for one:
        what follows the head belongs to no request."""
        server, caller = self.start_odd()
        foreign = answer(FOREIGN_BODY, headers=[("X-Server-Stamp", "x")])
        for status in ("204 No Content", "304 Not Modified"):
            for fields in ([f"Content-Length: {len(foreign)}"],
                           ["Transfer-Encoding: chunked"], []):
                for body in (b"", foreign):
                    with self.subTest(status=status, fields=fields,
                                      body=body):
                        server.respond = lambda s, r: odd(
                            s, r, f"HTTP/1.1 {status}", fields, body, False)
                        got = caller.request("/once/x")
                        self.assertEqual(got.status, int(status[:3]))
                        self.assertEqual(got.body, b"")
                        server.respond = OpaqueServer.echo
                        got = caller.request("/any/y")
                        self.assertEqual(got.status, 200)
                        self.assertNotIn(FOREIGN_BODY, got.body)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
