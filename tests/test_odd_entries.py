"""Entries of other writers in the platform's store: names and rows that no
server and no operator writes.

usage: test_odd_entries.py BUILD [unittest options]
"""

import json
import pathlib
import re
import sys
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))

import test_endless_bytes  # noqa: E402
import test_gateway  # noqa: E402
from gateway_fixtures import StoreHandler  # noqa: E402

N_GOOD = 4
# Longest key of the store, bytes.
KEY_MAX = 200
# Names that no server has, each of which is before "b" in the store's order.
ODD_NAMES = [
    "",
    "a ",
    " a",
    "a\tb",
    'a"b\\c',
    "a\r\nX-Injected: 1",
    "a\x01b",
    "a\x7fb",
    "a\u00e9b",
    "a\u20acb",
    "a\ud800b",
    "a&after=x",
    "a&prefix=op/",
    "a+b",
    "a#b",
    "a%41b",
    "a%zzb",
    "a%00b",
    "a=;,b",
    "a/../x?y=1",
    "a\x00b",
    "a" + "%" * (KEY_MAX - len("servers/a")),
]
N_MANY = 501
# So that the names fill pages of their own.
PAGE_SIZE = 100
# A list of the routes, one of the servers and the watches behind them.
CALLS_PER_S_MAX = 20
CALM_S = 2
ODD_CALLS = 4
# What a stand-in sends for a call at most.
ENDLESS_MAX_BYTES = 2 * 1024 ** 3


class OddEntriesTest(test_gateway.GatewayTest):
    def start_good(self, prefix="b"):
        """Four servers of one service, which sort behind the odd names."""
        good = [self.server(f"{prefix}-{i}", "one") for i in range(N_GOOD)]
        self.publish()
        return good

    def odd_server(self):
        """A server at the address that odd entries give, with no entry of its
        own."""
        odd = self.server("odd", "one")
        self.store.remove("servers/odd")
        return odd

    def check_all_known(self, gateway, n=N_GOOD):
        """The whole list was read: it has the good servers and no other."""
        self.wait("the servers known",
                  lambda: self.metric(gateway, "servers") == n)

    def check_served(self, gateway, odd=None, n=60):
        caller = self.caller(gateway)
        got = [caller.request("/any/x", request_id=f"q{i}") for i in range(n)]
        self.assertEqual({a.status if a else None for a in got}, {200})
        if odd:
            self.assertEqual(odd.seen, [])


class Pages(OddEntriesTest):
    """Lists of several pages, with odd names anywhere in them."""

    def check_start(self, names):
        self.start_good()
        for name in names:
            self.store.put(f"servers/{name}", {})
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.check_served(gateway)

    def play_again(self):
        self.tearDown()
        self.setUp()

    def test_each_name_as_last_of_a_page(self):
        """Guards against a name that ends or misleads the list of servers."""
        for size in range(1, 4):
            with self.subTest(size=size):
                self.store.items_per_page = size
                self.check_start(ODD_NAMES)
            self.play_again()

    def test_many_names(self):
        """Guards against pages that repeat."""
        for sign in "+&":
            with self.subTest(sign=sign):
                self.store.items_per_page = PAGE_SIZE
                self.check_start([f"a{sign}{i:04}" for i in range(N_MANY)])
            self.play_again()

    def test_after_the_history_is_gone(self):
        """Guards against odd names in a list that follows 410."""
        self.start_good()
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.store.set_unavailable(True)
        for name in ODD_NAMES:
            self.store.put(f"servers/{name}", {})
        self.store.remove(f"servers/{self.servers[0].name}")
        self.store.compact()
        self.store.set_unavailable(False)
        self.check_all_known(gateway, N_GOOD - 1)
        self.check_served(gateway)


class Names(OddEntriesTest):
    """Odd names of entries that are a server's otherwise."""

    def check_seen_by_watch(self, gateway):
        """Wait until a server that comes now is known, and goes again."""
        last = self.server("c-last", "two")
        self.check_all_known(gateway, N_GOOD + 1)
        self.store.remove(f"servers/{last.name}")
        self.check_all_known(gateway)

    def test_at_a_start(self):
        """Guards against requests to a server by an odd name."""
        self.start_good()
        odd = self.odd_server()
        for name in ODD_NAMES:
            self.store.put(f"servers/{name}", odd.entry())
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.check_served(gateway, odd)

    def test_while_it_runs(self):
        """Guards against entries that come, change and go after the start."""
        self.start_good()
        gateway = self.ready_gateway()
        odd = self.odd_server()
        for _ in range(2):
            for name in ODD_NAMES:
                self.store.put(f"servers/{name}", odd.entry())
        self.check_seen_by_watch(gateway)
        self.check_served(gateway, odd)
        for name in ODD_NAMES:
            self.store.remove(f"servers/{name}")
        self.check_seen_by_watch(gateway)
        self.check_served(gateway, odd)

    def test_many_are_counted_and_few_logged(self):
        """Guards against a log line for each of thousands of odd entries."""
        self.start_good()
        odd = self.odd_server()
        for i in range(N_MANY):
            self.store.put(f"servers/a {i:04}", odd.entry())
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.check_served(gateway, odd)
        refused = [line for line in gateway.log()
                   if line["event"] == "server_entry_refused"]
        self.assertGreater(len(refused), 0)
        self.assertLess(len(refused), N_MANY / 10)
        self.assertGreaterEqual(
            self.metric(gateway, "server_entries_refused"), N_MANY)


class CutNames(OddEntriesTest):
    """A NUL in a name does not end it."""

    def put_and_remove(self, gateway, odd, names):
        for name in names:
            self.store.put(f"servers/{name}\0x", odd.entry())
        self.check_all_known(gateway)
        self.check_served(gateway, odd)
        for name in names:
            self.store.remove(f"servers/{name}\0x")
        self.store.put("servers/z-last", self.servers[0].entry())
        self.check_all_known(gateway, N_GOOD + 1)
        self.check_served(gateway, odd)

    def test_server_at_a_start(self):
        """Guards against an entry that replaces a server's."""
        good = self.start_good()
        odd = self.odd_server()
        for server in good:
            self.store.put(f"servers/{server.name}\0x", odd.entry())
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.check_served(gateway, odd)

    def test_server_while_it_runs(self):
        """Guards against an entry, or its removal, that takes a server out."""
        good = self.start_good()
        odd = self.odd_server()
        gateway = self.ready_gateway()
        self.put_and_remove(gateway, odd, [server.name for server in good])

    def test_routes(self):
        """Guards against an entry that replaces the routes."""
        self.start_good()
        self.store.put("op/config\0x", {"version": 9, "routes": [],
                                        "services": []})
        gateway = self.ready_gateway()
        self.check_served(gateway)
        self.store.put("op/config\0x", {"version": 10, "routes": [],
                                        "services": []})
        self.publish(2)
        self.wait("routes known",
                  lambda: self.metric(gateway, "routes_version") == 2)
        self.check_served(gateway)

    def test_cordon(self):
        """Guards against an entry that cordons a data centre, and against its
        removal, which lifts the cordon."""
        self.start_good()
        self.store.put("op/evacuate/dc-0\0x", {})
        gateway = self.ready_gateway()
        self.check_served(gateway)
        self.store.put("op/evacuate/dc-0", {})
        self.wait("cordoned", lambda: self.metric(gateway, "cordons") == 1)
        self.store.remove("op/evacuate/dc-0\0x")
        self.publish(2)
        self.wait("routes known",
                  lambda: self.metric(gateway, "routes_version") == 2)
        self.assertEqual(self.metric(gateway, "cordons"), 1)
        self.assertEqual(
            self.caller(gateway).request("/any/x").status, 503)

    def test_other_items_of_the_operator(self):
        """Guards against names under op/ that mean nothing."""
        self.start_good()
        for name in ("zz", "evacuate/", "evacuate/a b&c%", "evacuate/\u00e9",
                     "evacuate/" + "x" * 180, "config ", "config/"):
            self.store.put(f"op/{name}", {"version": 9, "routes": [],
                                          "services": []})
        gateway = self.ready_gateway()
        self.check_served(gateway)


class ListsThatDoNotMoveOn(OddEntriesTest):
    def play(self, list_page):
        self.start_good()
        self.store.list_page = list_page
        gateway = self.gateway()
        time.sleep(CALM_S)
        before = self.store.call_count
        time.sleep(CALM_S)
        calls = self.store.call_count - before
        failed = [line for line in gateway.log()
                  if line["event"] == "store_list_stuck"]
        del self.store.list_page
        self.wait("ready", gateway.is_ready)
        self.check_all_known(gateway)
        self.check_served(gateway)
        self.assertLess(calls, CALLS_PER_S_MAX * CALM_S)
        self.assertGreater(len(failed), 0)
        self.assertLess(len(failed), 10)

    def test_first_page_for_ever(self):
        """Guards against calls without a pause where the store repeats a
        page."""
        self.play(lambda prefix, after: {
            **type(self.store).list_page(self.store, prefix, ""),
            "more": True})

    def test_empty_pages_for_ever(self):
        """Guards against calls without a pause where no page has a key."""
        self.play(lambda prefix, after: {"items": [], "more": True,
                                         "read_at": 1})

    def test_pages_that_alternate(self):
        """Guards against two pages that lead to each other."""
        def list_page(prefix, after):
            key = prefix + ("b" if after.endswith("a") else "a")
            return {"items": [{"key": key, "value": "", "changed_at": 1}],
                    "more": True, "read_at": 1}
        self.play(list_page)


class Rows(OddEntriesTest):
    """Rows that no store of this protocol sends."""

    WITHOUT_KEY = [
        None, "row", [], {}, 7,
        {"key": None, "value": "e30="},
        {"key": 7, "value": "e30="},
    ]
    WITH_KEY = [
        {"key": "servers/a"},
        {"key": "servers/a", "value": "!not base64!", "changed_at": 1},
        {"key": "servers/a", "value": "e30=", "changed_at": 10 ** 30},
        {"key": "servers/a" + "x" * 900, "value": "e30=", "changed_at": 1},
        {"key": "elsewhere", "value": "e30=", "changed_at": 1},
    ]

    def test_odd_rows(self):
        """Guards against a row that ends the list, wherever it stands."""
        self.start_good()
        plain = self.store.list_page

        def list_page(prefix, after):
            page = plain(prefix, after)
            if prefix != "servers/":
                return page
            return {**page, "items": self.WITH_KEY + page["items"]
                    + self.WITHOUT_KEY}

        self.store.list_page = list_page
        gateway = self.ready_gateway()
        self.check_all_known(gateway)
        self.check_served(gateway)

    def test_deeply_nested_row(self):
        """A row's members are text and numbers, so that a nested row makes the
        whole answer none; the list is read once the row is gone."""
        self.start_good()
        plain = self.store.list_page
        nested = json.loads("[" * 900 + "]" * 900)

        def list_page(prefix, after):
            page = plain(prefix, after)
            return {**page, "items": [nested] + page["items"]}

        self.store.list_page = list_page
        gateway = self.gateway()
        self.wait("the call failed", lambda: any(
            line["event"] == "store_lost" for line in gateway.log()))
        self.assertFalse(gateway.is_ready())
        del self.store.list_page
        self.wait("ready", gateway.is_ready)
        self.check_all_known(gateway)


class OddStatusHandler(StoreHandler):
    """Answers rightly, but for the status."""

    status = None

    def send_response(self, code, message=None):
        self.wfile.write(f"HTTP/1.1 {self.status}\r\n".encode())


class OddStatuses(OddEntriesTest):
    def test_statuses(self):
        """Guards against a status of the store that is none, or none of an
        answer, in place of 200."""
        self.start_good()
        for status in ("000 Unknown", "000", "001 Odd", "099 Odd", "20 OK",
                       "20 0 OK", "600 Odd", "999 Odd"):
            with self.subTest(status=status):
                self.store.RequestHandlerClass = type(
                    "Handler", (OddStatusHandler,), {"status": status})
                calls = self.store.call_count + ODD_CALLS
                gateway = self.gateway()
                self.wait("the store called again",
                          lambda: self.store.call_count > calls)
                self.assertFalse(gateway.is_ready())
                self.store.RequestHandlerClass = StoreHandler
                self.wait("ready", gateway.is_ready)
                self.check_all_known(gateway)
                self.assertEqual(gateway.stop(), 0)


class EndlessHandler(StoreHandler):
    """Answers each call with bytes that do not end."""

    first = b""
    more = b""

    def do_GET(self):
        self.server.call_count += 1
        self.close_connection = True
        try:
            self.wfile.write(self.first)
            for _ in range(ENDLESS_MAX_BYTES // len(self.more)):
                self.wfile.write(self.more)
        except OSError:
            pass


class EndlessAnswers(OddEntriesTest):
    # Without the sanitizer's memory of freed blocks.
    gateway = test_endless_bytes.EndlessBytesTest.gateway

    def play(self, first, more):
        """The process stays within its memory, and reads the list later."""
        self.start_good()
        self.store.RequestHandlerClass = type(
            "Handler", (EndlessHandler,), {"first": first, "more": more})
        gateway = self.gateway()
        time.sleep(CALM_S)
        status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text(
            encoding="utf-8")
        most_kb = int(re.search(r"VmHWM:\s+(\d+)", status).group(1))
        self.store.RequestHandlerClass = StoreHandler
        self.assertLess(most_kb / 1024, test_endless_bytes.MEMORY_MAX_MB)
        self.wait("ready", gateway.is_ready)
        self.check_all_known(gateway)

    def test_chunks(self):
        """Guards against chunks without end that are all kept."""
        self.play(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                  b"10000\r\n" + b" " * 0x10000 + b"\r\n")

    def test_until_close(self):
        """Guards against a body without end that is kept."""
        self.play(b"HTTP/1.1 200 OK\r\n\r\n", b" " * 0x10000)

    def test_head(self):
        """Guards against a head without end that is kept."""
        self.play(b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 0x1000)

    def test_line(self):
        """Guards against a line without end that is kept."""
        self.play(b"HTTP/1.1 200 OK\r\nX-Field: ", b"v" * 0x10000)


class Values(OddEntriesTest):
    """Values of entries that a server could have by its name."""

    def odd_values(self):
        entry = self.servers[0].entry()
        yield "[" * 100000 + "]" * 100000
        yield '{"a":' * 200000
        for key in ("slots", "cold_for_ms", "born", "Sequence"):
            for number in ("1" * 40, str(2 ** 64 - 1), str(2 ** 63 - 1),
                           "1e400", "-1", "NaN", '"1"', "null", "[]"):
                if number == str(2 ** 63 - 1):
                    continue
                text = json.dumps({**entry, key: "@"})
                yield text.replace('"@"', number)
        for port in ("0", "-1", "99999", "5" * 50, "", " 80"):
            yield json.dumps({**entry, "address": f"127.0.0.1:{port}"})
        for address in ("[::1]:80", "::1", "host:80", "", 7, None):
            yield json.dumps({**entry, "address": address})
        for service in ("", "a\0b", 7, None, "s" * 128):
            yield json.dumps({**entry, "service": service})
        yield b"\xff\xfe\0\1"
        yield ""

    def test_odd_values(self):
        """Guards against a value that ends the process or the list. Numbers
        that are too large count as the largest."""
        self.start_good()
        values = list(self.odd_values())
        for i, value in enumerate(values):
            self.store.put_bytes(
                f"servers/a-{i:03}",
                value if isinstance(value, bytes) else value.encode())
        self.store.items_per_page = PAGE_SIZE
        gateway = self.ready_gateway()
        self.wait("the servers known",
                  lambda: self.metric(gateway, "servers") >= N_GOOD)
        self.check_served(gateway)
        for i, value in enumerate(values):
            self.store.put_bytes(
                f"servers/c-{i:03}",
                value if isinstance(value, bytes) else value.encode())
        self.publish(2)
        self.wait("routes known",
                  lambda: self.metric(gateway, "routes_version") == 2)
        self.check_served(gateway)


if __name__ == "__main__":
    test_gateway.BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
