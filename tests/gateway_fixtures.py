"""Fixtures for tests of the gateway: an instance under test, a fake of the
platform's store and fake backend servers of opaque requests. The fakes answer
correctly unless a test changes them."""

import base64
import http.client
import http.server
import json
import pathlib
import re
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.parse

TESTS_DIR = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(TESTS_DIR.parent / "bench"))

import experiment  # noqa: E402
from fake_server import FakeServer  # noqa: E402

ITEMS_PER_PAGE = 3
LAST_LINES = 5
HOST = "shop.example"
# What may stand in the target of a request, of RFC 3986.
REQUEST_TARGET = re.compile(r"/[A-Za-z0-9\-._~:/?@!$&'()*+,;=%]*")


def free_port():
    return experiment.free_ports(1)[0]


class Request:
    """A request as a server received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")
        self.arrived_at = time.monotonic()


def answer(body=b"", status="200 OK", headers=(), length=None):
    """Build a response. `length` overrides its Content-Length; -1 omits the
    header."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is None:
        length = len(body)
    if length >= 0:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class OpaqueServer(FakeServer):
    """A fake server whose entry is in the store.

    `respond` takes the server and a Request and returns the bytes to send;
    None resets the connection. `seen` holds the requests whose headers were
    read, `ran` those that were executed. A test may set `early_response` to a
    function whose response is sent before the request body is read.
    """

    def __init__(self, store, name, service, data_centre="dc-0"):
        self.store = store
        self.data_centre = data_centre
        self.cold_for_ms = 0
        self.respond = type(self).echo
        self.ran = []
        self.seen = []
        self.closed = threading.Event()
        super().__init__(name, service)
        self.publish()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "data_centre": self.data_centre,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_for_ms": self.cold_for_ms,
            "Sequence": 1,
        }

    def publish(self, state="ready"):
        self.store.put(f"servers/{self.name}", self.entry(state))

    def stamp(self, request):
        return f"{self.name}.{request.id}"

    def headers(self, request):
        return [
            ("X-Request-Id", request.id),
            ("X-Server-Stamp", self.stamp(request)),
        ]

    def echo(self, request):
        self.ran.append(request)
        body = f"{self.name} {request.target} ".encode() + request.body
        return answer(body, headers=self.headers(request))

    def send_records(self, request):
        """Answer with two records of 16 bytes and a trailing partial record."""
        self.ran.append(request)
        tail = int(self.name.rpartition("-")[2])
        body = b"".join(
            bytes([200 + i]) + b"-" * 14 + bytes([tail]) for i in range(2)
        )
        return answer(body + b"rest", headers=self.headers(request))

    def refuse(self, request):
        return answer(
            status="503 Service Unavailable",
            headers=[("X-Request-Id", request.id), ("X-Not-Executed", "1")],
        )

    def read_request(self, stream):
        """Return the request without its body, None at the end."""
        line = stream.readline()
        if not line:
            return None
        method, target, _ = line.decode().split()
        headers = {}
        for header in iter(stream.readline, b"\r\n"):
            if not header:
                return None
            name, _, value = header.decode().partition(":")
            headers[name.lower()] = value.strip()
        return Request(method, target, headers, b"")

    def serve_one(self, connection, stream):
        request = self.read_request(stream)
        if not request:
            return False
        self.seen.append(request)
        early_response = getattr(self, "early_response", None)
        if early_response:
            connection.sendall(early_response(request))
        length = int(request.headers.get("content-length", 0))
        request.body = stream.read(length)
        data = b"" if early_response else self.respond(self, request)
        if data is None:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            return False
        connection.sendall(data)
        return not self.close_after


class Store(http.server.ThreadingHTTPServer):
    """A fake of the platform's store.

    Items, their revisions, and the changes that watches are answered from.
    """

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), StoreHandler)
        self.cond = threading.Condition()
        self.revision = 1
        self.era = None
        self.items = {}
        self.changes = []
        self.call_count = 0
        self.delay_s = 0
        self.refused_addresses = set()
        self.unavailable = False
        self.compacted_revision = 0
        self.items_per_page = ITEMS_PER_PAGE
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        with self.cond:
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "changed_at": self.revision,
                "CreatedRev": self.revision,
                "LeaseId": 0,
            }
            self.items[key] = item
            self.changes.append(item)
            self.cond.notify_all()

    def remove(self, key):
        with self.cond:
            self.revision += 1
            self.items.pop(key, None)
            self.changes.append(
                {"key": key, "changed_at": self.revision, "removed": True}
            )
            self.cond.notify_all()

    def set_unavailable(self, unavailable):
        """Calls are refused, and watches that wait end."""
        with self.cond:
            self.unavailable = unavailable
            self.cond.notify_all()

    def compact(self):
        with self.cond:
            self.compacted_revision = self.revision
            self.changes = []
            self.cond.notify_all()

    def copy(self):
        with self.cond:
            return self.revision, dict(self.items), list(self.changes)

    def restore(self, copy):
        """Restore a copy in a new era: later writes are lost and their
        revisions are assigned again."""
        with self.cond:
            self.revision, items, changes = copy
            self.items = dict(items)
            self.changes = list(changes)
            self.era += 1
            self.cond.notify_all()

    def list_page(self, prefix, after):
        with self.cond:
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return {
                "items": [self.items[k] for k in keys[:self.items_per_page]],
                "more": len(keys) > self.items_per_page,
                "read_at": self.revision,
            }

    def events(self, prefix, after):
        return [
            c
            for c in self.changes
            if c["changed_at"] > after and c["key"].startswith(prefix)
        ]

    def watch(self, prefix, after, wait_s):
        with self.cond:
            era = self.era
            if after < self.compacted_revision or after > self.revision:
                return None
            self.cond.wait_for(
                lambda: self.unavailable or self.era != era
                or after < self.compacted_revision
                or self.events(prefix, after), wait_s
            )
            # Its changes may be among those that were dropped meanwhile.
            if self.era != era or after < self.compacted_revision:
                return None
            return {
                "events": self.events(prefix, after),
                "read_at": self.revision,
            }


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def reply(self, status, value=None):
        body = json.dumps(value).encode() if value is not None else b""
        try:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            if self.server.era is not None:
                self.send_header("Store-Era", str(self.server.era))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            # The client went away while its watch was pending.
            self.close_connection = True

    def do_GET(self):
        store = self.server
        store.call_count += 1
        if not REQUEST_TARGET.fullmatch(self.path):
            self.reply(400)
            return
        if store.delay_s:
            time.sleep(store.delay_s)
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if (store.unavailable
                or self.client_address[0] in store.refused_addresses):
            self.reply(503)
            return
        if url.path.endswith("/kv-range"):
            self.reply(200, store.list_page(query["prefix"],
                                            query.get("after", "")))
            return
        changes = store.watch(
            query["prefix"], int(query["after"]),
            int(query.get("wait_ms", 0)) / 1000
        )
        self.reply(410 if changes is None else 200, changes)


def config_document(version, routes, services, connections_max=64, **members):
    """Build a configuration; `members` are added to each service."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": s, "connections_max": connections_max, **members}
                     for s in services],
        "limits": {
            "header_bytes_max": 4096,
            "body_bytes_max": 100000,
            "header_timeout_ms": 700,
            "idle_timeout_ms": 20000,
        },
    }


def route(prefix, **members):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "repeat": "any",
        "timeout_ms": 3000,
        "goal_ms": 1000,
        "servers_max": 2,
        "priority": 1,
        **members,
    }


class Gateway:
    """A gateway process, with a loopback address of its own."""

    def __init__(self, build, directory, store, number, peer_port, seeds=(),
                 data_centre="dc-0", stop_max_s=2.2, **members):
        self.ip = f"127.0.0.{10 + number}"
        self.port = free_port()
        self.ready_port = free_port()
        self.path = directory / f"gateway-{number}.json"
        self.settings = {
            "instance": f"gateway-{number}",
            "data_centre": data_centre,
            "caller_address": f"{self.ip}:{self.port}",
            "ready_address": f"{self.ip}:{self.ready_port}",
            "directory_address": f"{self.ip}:{free_port()}",
            "control_address": f"{self.ip}:{free_port()}",
            "peer_ports": [peer_port, peer_port],
            "seeds": list(seeds),
            "store_address": store.address,
            "stop_max_s": stop_max_s,
            "retry_ratio": 0.2,
            "retry_slack": 100,
            "log_level": "debug",
            **members,
        }
        self.write_settings()
        self.log_path = directory / f"gateway-{number}.log"
        self.build = build
        self.process = None
        self.environment = None

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [str(self.build / "garnetreach"), "gateway", str(self.path)],
                stdout=log, stderr=log, env=self.environment,
            )

    def page(self, key, path):
        """Return (status, body) of a page; (0, b"") if the request fails."""
        ip, _, port = self.settings[key].partition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=5)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def is_ready(self):
        return self.page("ready_address", "/v1/ready")[0] == 200

    def log(self):
        """Return its log lines so far. A line that is not JSON comes from a
        sanitizer and gets the event "no JSON"."""
        lines = []
        for line in self.log_path.read_text(encoding="utf-8").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"event": "no JSON", "text": line})
        return lines

    def last_lines(self):
        """Return errors, which a sanitizer's report may follow, and the end."""
        lines = self.log_path.read_text("utf-8").splitlines()
        errors = [line for line in lines[:-LAST_LINES]
                  if '"level":"error"' in line]
        return errors[-LAST_LINES:] + lines[-LAST_LINES:]

    def describe(self):
        """Tell how a process does that isn't as expected."""
        return (f"{self.settings['instance']}: exit status "
                f"{self.process.poll()}, last logged: {self.last_lines()}")

    def stop(self):
        """Send SIGTERM and return the exit status."""
        if self.process.poll() is None:
            self.process.terminate()
        return self.process.wait(timeout=30)
