"""Searches that crash the backend servers running them, with instances that
read what they serve. Gateways have test_crashing_requests.py.

usage: test_crashing_searches.py BUILD [unittest options]
"""

import pathlib
import sys
import time
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import test_bad_input as bad_input  # noqa: E402

SERVICE = bad_input.SERVICE
REPLICAS = 6
REPEATS = 8
# docs/design/poison.md, with the tunable `canary`.
CRASHES_MAX = 2
RUN_S = 0.02
BETWEEN_S = 0.2

class CrashingSearches(bad_input.InstanceTest):
    def count_crashes(self, listener_after_s):
        """Repeat a search that crashes each server running it; return how many
        it crashed."""
        crashed = set()
        self.is_bad = False

        def say_nothing(_server, _body):
            time.sleep(2 * listener_after_s)

        def crash(server, body):
            if not self.is_bad:
                return server.valid_search(body)
            crashed.add(server.name)
            time.sleep(RUN_S)
            server.holdings = server.search = say_nothing
            server.close_connections()
            time.sleep(listener_after_s)
            server.close()
            return None

        servers = [self.server(f"b{i}") for i in range(REPLICAS)]
        for server in servers:
            server.search = crash
        instance = self.start(*servers, canary="on")
        self.wait_full_coverage(instance)
        self.is_bad = True
        for _ in range(REPEATS):
            instance.search({"service": SERVICE, "where": {"n": 1},
                             "deadline_ms": 600})
            time.sleep(BETWEEN_S)
        return len(crashed)

    def test_sockets_close_at_once(self):
        """Guards against a search that goes on crashing servers."""
        self.assertLessEqual(self.count_crashes(0), CRASHES_MAX)

    def test_listening_socket_closes_later(self):
        """Guards against a crash that goes unseen because the check of the
        server met a listening socket that was about to close."""
        self.assertLessEqual(self.count_crashes(0.03), CRASHES_MAX)

if __name__ == "__main__":
    bad_input.BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
