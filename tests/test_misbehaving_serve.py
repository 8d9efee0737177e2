"""Clients of `serve` that send without reading, or without end, beside an
ordinary caller.

usage: test_misbehaving_serve.py BUILD [unittest options]
"""

import os
import pathlib
import sys
import unittest

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR))
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import experiment  # noqa: E402
import test_bad_input  # noqa: E402
from test_misbehaving_clients import (  # noqa: E402
    ENVIRONMENT, MB, Crowd,
)

# The default limits of requests and of answers, 64 MB each, and as much.
MEMORY_MAX_MB = 192
N_FLOODERS = 8
FLOOD_BYTES = 32 * MB
N_MANY = 300
MANY_BYTES = MB
N_UPLOADERS = 400
UPLOAD_BYTES = 900000
STOP_MAX_MS = 1000
# No client is closed for being slow meanwhile.
IDLE_TIMEOUT_MS = 60000
GET = "GET {} HTTP/1.1\r\n\r\n"


class Clients(test_bad_input.InstanceTest):
    def start(self, **tunables):
        instance = super().start(idle_timeout_ms=IDLE_TIMEOUT_MS, **tunables)
        self.crowd = Crowd(self)
        self.address = ("127.0.0.1", instance.port)
        return instance

    def check(self, instance):
        """Check while the crowd sits there, and once it is gone."""
        self.check_serves(instance)
        peak = experiment.peak_mb(instance.pid)
        print(f"{self._testMethodName}: peak {peak:.0f} MB")
        self.assertLess(peak, MEMORY_MAX_MB)
        self.crowd.close()
        self.check_serves(instance)

    def flood(self, path):
        instance = self.start()
        self.crowd.flood(self.address, N_FLOODERS, b"",
                         GET.format(path).encode(), FLOOD_BYTES)
        self.check(instance)

    def test_metrics_unread(self):
        """Guards against long pages that pile up for clients that ask again
        and again and read nothing."""
        self.flood("/metrics")

    def test_addresses_unread(self):
        """Guards against requests that pile up before they are processed."""
        self.flood("/v1/addresses")

    def test_refusals_unread(self):
        """Guards against the same with searches that are refused."""
        instance = self.start()
        self.crowd.flood(
            self.address, N_FLOODERS, b"",
            b"POST /v1/search HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
            FLOOD_BYTES)
        self.check(instance)

    def test_many_clients_unread(self):
        """Guards against answers that are each short enough, and together
        exceed the memory."""
        instance = self.start()
        self.crowd.flood(self.address, N_MANY, b"",
                         GET.format("/metrics").encode(), MANY_BYTES)
        self.check(instance)

    def test_stop_beside_unread_pages(self):
        """Guards against what is left of such clients at the exit."""
        instance = self.start(stop_max_ms=STOP_MAX_MS)
        self.crowd.flood(self.address, N_FLOODERS, b"",
                         GET.format("/metrics").encode(), FLOOD_BYTES)
        self.check_serves(instance)
        self.check_stop(instance)

    def test_bodies_unfinished(self):
        """Guards against bodies that are each short enough, and together
        exceed the memory."""
        instance = self.start()
        self.crowd.flood(
            self.address, N_UPLOADERS,
            b"POST /v1/search HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n",
            b"q" * 65536, UPLOAD_BYTES)
        self.check(instance)


def load_tests(loader, tests, pattern):
    return loader.loadTestsFromTestCase(Clients)


if __name__ == "__main__":
    test_bad_input.BUILD = pathlib.Path(sys.argv.pop(1))
    os.environ.update(ENVIRONMENT)
    unittest.main(verbosity=2)
