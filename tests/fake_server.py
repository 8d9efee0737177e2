"""A fake backend server whose answers, valid or not, are set by a test."""

import socket
import threading

import wire

KEY_COUNT = 65536
BACKLOG = 64


def even_shard_map(shards, held):
    """Split the key space evenly into shards of `held` records each."""
    return [
        (i * KEY_COUNT // shards, (i + 1) * KEY_COUNT // shards - 1, held)
        for i in range(shards)
    ]


def pack_range(lo, hi):
    return wire.encode((1, lo or None), (2, hi or None))


def pack_holdings(server, service, version, ranges, shard_indexes):
    infos = [
        (2, wire.encode((1, pack_range(lo, hi)), (2, held or None)))
        for lo, hi, held in ranges
    ]
    indexes = b"".join(wire.varint(i) for i in shard_indexes)
    snapshot = wire.encode((1, version), *infos, (3, indexes or None))
    return wire.encode((1, server), (2, service), (5, snapshot))


def pack_partial(lo, hi, held, count, records=(), status=0):
    packed = [
        (5, wire.encode((1, sort), (2, key), (3, body)))
        for sort, key, body in records
    ]
    return wire.encode(
        (1, pack_range(lo, hi)),
        (2, status or None),
        (3, held or None),
        (4, count or None),
        *packed,
    )


def pack_answer(request_id, server, version, partials):
    return wire.encode(
        (1, request_id), (2, server), (3, version), *[(4, p) for p in partials]
    )


def read_search(body):
    fields = wire.decode(body)
    return {
        "request_id": wire.last_text(fields, 1),
        "version": wire.last_int(fields, 3),
        "shards": [wire.read_range(item) for item in fields.get(4, [])],
    }


def http_response(body, status="200 OK", length=None):
    """Build a response; `length` overrides its Content-Length."""
    if length is None:
        length = len(body)
    head = f"HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + body


class FakeServer:
    """Listens on a port of its own until close().

    `holdings`, `search` and `run` take the server and the request body and
    return the bytes to send; None closes the connection.
    """

    def __init__(self, name, service, held=10, shards=2, shard_indexes=None,
                 version=1, backlog=BACKLOG):
        self.name = name
        self.service = service
        self.version = version
        self.ranges = even_shard_map(shards, held)
        self.shard_indexes = (list(range(shards)) if shard_indexes is None
                              else shard_indexes)
        self.holdings = type(self).valid_holdings
        self.search = type(self).valid_search
        self.run = lambda _server, _body: None
        self.close_after = False
        self.searches = 0
        self.connections = set()
        self.lock = threading.Lock()
        self.port = 0
        self.backlog = backlog
        self.may_accept = threading.Event()
        self.may_accept.set()
        self.listen()

    def listen(self):
        """Listen, after close() on the same port as before."""
        self.listener = socket.create_server(("127.0.0.1", self.port),
                                             backlog=self.backlog)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def row(self, data_centre):
        """Return its row of the servers table."""
        return [
            self.name,
            self.service,
            data_centre,
            f"127.0.0.1:{self.port}",
        ]

    def valid_holdings(self, _):
        return http_response(
            pack_holdings(
                self.name, self.service, self.version, self.ranges,
                self.shard_indexes
            )
        )

    def partials(self, request, **changes):
        """Answer each shard with one matching record."""
        held = {(lo, hi): n for lo, hi, n in self.ranges}
        return [
            pack_partial(
                lo,
                hi,
                changes.get("held", held.get((lo, hi), 0)),
                changes.get("count", 1),
                changes.get(
                    "records", [(f"s{lo}", f"k{lo}", '{"lo":%d}' % lo)]
                ),
            )
            for lo, hi in request["shards"]
        ]

    def answer(self, body, **changes):
        """Encode a valid answer, except for the fields in `changes`."""
        request = read_search(body)
        return pack_answer(
            changes.get("request_id", request["request_id"]),
            changes.get("server", self.name),
            changes.get("version", request["version"]),
            changes.get("partials", self.partials(request, **changes)),
        )

    def valid_search(self, body):
        return http_response(self.answer(body))

    def accept(self, listener):
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            self.may_accept.wait()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(conn)
            threading.Thread(
                target=self.serve, args=(conn,), daemon=True
            ).start()

    def serve(self, conn):
        try:
            with conn, conn.makefile("rb") as stream:
                while self.serve_one(conn, stream):
                    pass
        except OSError:
            pass
        with self.lock:
            self.connections.discard(conn)

    def serve_one(self, conn, stream):
        line = stream.readline()
        if not line:
            return False
        length = 0
        for header in iter(stream.readline, b"\r\n"):
            if not header:
                return False
            name, _, value = header.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        body = stream.read(length)
        answer = self.route(line.split()[1].decode(), body)
        if answer is None:
            return False
        conn.sendall(answer)
        return not self.close_after

    def route(self, path, body):
        if path == "/v1/holdings":
            return self.holdings(self, body)
        if path == "/v1/search":
            self.searches += 1
            return self.search(self, body)
        if path == "/v1/run":
            return self.run(self, body)
        return http_response(b"", "204 No Content")

    def fill_accept_queue(self):
        """Accept nothing until `may_accept` is set, and connect until the
        kernel takes no more; returns the connections."""
        self.may_accept.clear()
        filling = []
        for _ in range(self.backlog + 4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.port))
            filling.append(sock)
        return filling

    def close_connections(self):
        with self.lock:
            connections = list(self.connections)
        for conn in connections:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stop_listening(self):
        if self.listener.fileno() < 0:
            return
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close(self):
        self.may_accept.set()
        self.stop_listening()
        self.close_connections()
