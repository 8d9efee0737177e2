"""Stand-ins of the platform's store, backend servers and requesters for the
scripts of review/4 to review/6, and the start of gateways with the command of
the deploy file. They speak what PROTOCOL.md says, under the names of
deploy/wire.toml. Standard library only, loopback addresses only."""

import base64
import http.server
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "pupu76.example"
PAGE = 50
SLOTS = 3   # Capacity of a server
QUEUE = 12  # requests that wait there


def free_ports(n, kind=socket.SOCK_STREAM, ip="127.0.0.1"):
    socks = []
    for _ in range(n):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [s.getsockname()[1] for s in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Lines of record.txt, and whether a rule was broken."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            at = time.monotonic() - self.start
            self.file.write(f"{at:8.3f} {text}\n")
            self.file.flush()


class Store(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self):
        super().__init__(("127.0.0.1", 0), StoreHandler)
        self.cond = threading.Condition()
        self.revision = 100
        self.items = {}
        self.created = {}
        self.changes = []
        self.calls = 0
        self.down = False
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def put(self, key, value):
        """Return the time of the ack."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.cond:
            self.revision += 1
            if key not in self.items:
                self.created[key] = self.revision
            item = {"key": key, "value": text, "changed_at": self.revision,
                    "created_at": self.created[key], "LeaseId": 0}
            self.items[key] = item
            self.changes.append(item)
            self.cond.notify_all()
        return time.monotonic()

    def remove(self, key):
        with self.cond:
            if key not in self.items:
                return time.monotonic()
            self.revision += 1
            del self.items[key]
            self.changes.append({"key": key, "changed_at": self.revision,
                                 "removed": True})
            self.cond.notify_all()
        return time.monotonic()

    def page(self, prefix, after):
        with self.cond:
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return {"items": [self.items[k] for k in keys[:PAGE]],
                    "more": len(keys) > PAGE, "read_at": self.revision}

    def watch(self, prefix, after, wait_s):
        def found():
            return [c for c in self.changes if c["changed_at"] > after
                    and c["key"].startswith(prefix)]
        with self.cond:
            self.cond.wait_for(lambda: self.down or found(), wait_s)
            return {"events": found(), "read_at": self.revision}


    def end(self):
        """Nobody serves its address any more."""
        with self.cond:
            self.down = True
            self.cond.notify_all()
        self.shutdown()
        self.server_close()


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        store = self.server
        store.calls += 1
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        time.sleep(0.004)
        status, value = 200, None
        if store.down:
            status = 503
        elif url.path == "/garnetreach/kv-range":
            value = store.page(query["prefix"], query.get("after", ""))
        elif url.path == "/garnetreach/kv-watch":
            value = store.watch(query["prefix"], int(query["after"]),
                                int(query.get("wait_ms", 0)) / 1000)
        else:
            status = 404
        body = json.dumps(value).encode() if value is not None else b""
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True


def route(prefix, **members):
    return {"name": "r-" + prefix.strip("/"), "host": HOST, "prefix": prefix,
            "repeat": "any", "timeout_ms": 5000, "goal_ms": 500, "priority": 2,
            "servers_max": 2, **members}


def config(version, routes, services, connections_max=100):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "connections_max": connections_max,
                          "Protocol": "h1", "Tls": False} for s in services],
            "limits": {"header_bytes_max": 16384, "body_bytes_max": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Server:
    """A backend server: runs requests at once, and beats each 1.2 s. `behave`
    is asked for each request; see run()."""

    def __init__(self, store, record, name, service, zone="hall-mechelen",
                 work_s=0.01, behave=None, ip="127.0.0.1", port=0,
                 **entry):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.behave = work_s, behave
        self.extra = entry
        self.state = "ready"
        self.sequence = 0
        self.got = []
        self.ran = []
        self.slots = threading.Semaphore(SLOTS)
        self.held = 0
        self.ip = ip
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.conns = set()
        self.listener = socket.create_server((ip, port), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self):
        self.sequence += 1
        return self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "data_centre": self.zone, "version": "v1", "slots": SLOTS,
            "state": self.state, "cold_for_ms": 0, "Sequence": self.sequence,
            **self.extra})

    def beats(self):
        while not self.stopped.wait(1.2):
            self.beat()

    def drain(self):
        self.state = "draining"
        return self.beat()

    def close(self):
        """Ends the process: its sockets close, its beats end."""
        self.stopped.set()
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            conns = list(self.conns)
        for conn in conns:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.conns.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        try:
            with conn, conn.makefile("rb") as stream:
                while self.serve_one(conn, stream):
                    pass
        except (OSError, ValueError):
            pass
        with self.lock:
            self.conns.discard(conn)

    @staticmethod
    def head(stream):
        line = stream.readline()
        if not line:
            return None
        method, target, _ = line.decode().split()
        headers = {}
        for text in iter(stream.readline, b"\r\n"):
            if not text:
                return None
            name, _, value = text.decode().partition(":")
            headers[name.lower()] = value.strip()
        return method, target, headers

    def answer(self, request_id, body, status="200 OK", more=(), stamp=True):
        lines = [f"HTTP/1.1 {status}"]
        if request_id:
            lines.append(f"X-Request-Id: {request_id}")
        if stamp:
            lines.append(f"X-Server-Stamp: {self.name}.{request_id}")
        lines += more
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def serve_one(self, conn, stream):
        head = self.head(stream)
        if not head:
            return False
        method, target, headers = head
        request_id = headers.get("x-request-id", "")
        if target == "/health":
            up = self.state == "ready"
            conn.sendall(self.answer("", b"", "200 OK" if up else
                                     "503 Service Unavailable",
                                     [f"X-Instance-Id: {self.name}"],
                                     stamp=False))
            return True
        body = stream.read(int(headers.get("content-length", 0)))
        self.record.write(f"server {self.name} got {request_id} {target}")
        if headers.get("x-expect-instance", self.name) != self.name:
            conn.sendall(self.answer(request_id, b"",
                                     "421 Misdirected Request",
                                     [f"X-Instance-Id: {self.name}"],
                                     stamp=False))
            return True
        if self.behave:
            return self.behave(self, conn, method, target, headers, body)
        return self.work(conn, request_id, target, body)

    def work(self, conn, request_id, target, body):
        """Runs a request in one of the slots, or sheds it."""
        with self.lock:
            self.got.append((time.monotonic(), request_id, target))
            full = self.held >= SLOTS + QUEUE
            self.held += not full
        if full:
            conn.sendall(self.answer(request_id, b"",
                                     "503 Service Unavailable",
                                     ["X-Not-Executed: 1"]))
            return True
        with self.slots:
            self.run(request_id, target)
            time.sleep(self.work_s)
        with self.lock:
            self.held -= 1
        conn.sendall(self.answer(request_id, self.body(target, body)))
        return True

    def body(self, target, body):
        return f"{self.name} {target} ".encode() + body

    def run(self, request_id, target):
        with self.lock:
            self.ran.append((time.monotonic(), request_id, target))
        self.record.write(f"server {self.name} runs {request_id} {target}")


def reset(conn):
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                    struct.pack("ii", 1, 0))


class Gateway:
    """A gateway, started with the command of the deploy file. Each has a
    loopback address of its own."""

    def __init__(self, directory, record, store_address, number, peer_port,
                 seeds, zone="hall-mechelen", zones=None, **settings):
        self.record = record
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{20 + number}"
        ports = free_ports(4, ip=self.ip)
        self.port = ports[0]
        self.ready_port = ports[1]
        self.path = pathlib.Path(directory) / f"{self.name}.json"
        self.log_path = pathlib.Path(directory) / f"{self.name}.log"
        self.settings = {
            "instance": self.name, "data_centre": zone,
            "caller_address": f"{self.ip}:{ports[0]}",
            "ready_address": f"{self.ip}:{ports[1]}",
            "directory_address": f"{self.ip}:{ports[2]}",
            "control_address": f"{self.ip}:{ports[3]}",
            "metrics_address": None,
            "peer_ports": [peer_port, peer_port + 15],
            "seeds": seeds, "store_address": store_address,
            "descriptors_max": 4100, "memory_max_mb": 260, "cpu_quota": 0.25,
            "stop_max_s": 6, "config_apply_ms": 3000, "retry_ratio": 0.2,
            "retry_slack": 54, "retry_window_s": 10,
            "address_lifetime_max_s": 5, "cold_overrun": None,
            "cold_slack": None,
            "regions": zones or {zone: "be-central"},
            "load_control": ["priorities", "returns", "turns", "left_out",
                             "pace"],
            "log_level": "info", **settings}
        self.write_settings()
        self.process = None

    def write_settings(self):
        text = json.dumps(self.settings)
        new = self.path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        os.replace(new, self.path)

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["target/garnetreach", "gateway", "--settings-from",
                 "GARNETREACH_BOOT"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "GARNETREACH_BOOT": str(self.path)})
        self.record.write(f"{self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port),
                                          timeout=1) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Client:
    """A connection of a requester; status 0: it ended without an answer."""

    def __init__(self, gateway, timeout=8):
        self.gateway, self.timeout = gateway, timeout
        self.sock = None

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = None

    def request(self, request_id, target, method="GET", body=b"",
                deadline_ms=5000, chunked=False):
        try:
            if not self.sock:
                self.sock = socket.create_connection(
                    (self.gateway.ip, self.gateway.port), timeout=1)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.stream = self.sock.makefile("rb")
            self.sock.settimeout(self.timeout)
            head = (f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"X-Request-Id: {request_id}\r\n"
                    f"X-Deadline-Ms: {deadline_ms}\r\n")
            if chunked:
                data = (head + "Transfer-Encoding: chunked\r\n\r\n").encode()
                for i in range(0, len(body), 1000):
                    part = body[i:i + 1000]
                    data += f"{len(part):x}\r\n".encode() + part + b"\r\n"
                data += b"0\r\n\r\n"
            else:
                if body:
                    head += f"Content-Length: {len(body)}\r\n"
                data = head.encode() + b"\r\n" + body
            self.sock.sendall(data)
            return self.read()
        except (OSError, ValueError):
            self.close()
            return Answer(0, {}, b"")

    def read(self):
        line = self.stream.readline()
        if not line:
            self.close()
            return Answer(0, {}, b"")
        status = int(line.split()[1])
        headers = {}
        for text in iter(self.stream.readline, b"\r\n"):
            if not text:
                raise OSError("cut")
            name, _, value = text.decode().partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = self.stream.read(length)
        if len(body) < length:
            raise OSError("cut")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, body)


def wait_until(check, limit_s=15):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.05)
    return False


def run(main):
    """Calls main() with a temporary folder and exits with what it returns, or
    with 2 if it could not run. SIGTERM ends it, and all that it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as directory:
            code = main(directory)
    except Exception:  # what could not run is no broken rule
        traceback.print_exc()
        code = 2
    sys.exit(code)
