"""Backend servers of the soak of stops, in the process of its callers. Each may
be slow, silent, shedding or read nothing for a while. What they read, ran and
answered is in the Records."""

import asyncio
import sys
import time

import experiment
import soak_server
from soak_host import Host, describe_server

sys.path.insert(0, str(experiment.ROOT / "tests"))

from gateway_fixtures import answer  # noqa: E402

WORK_MS = 30
SLOTS = 4
QUEUE = 12
# Of requests to servers that nothing ails.
LONG_SHARE = 0.02
LONG_S = (0.3, 3)
SLOW_S = (0.3, 8)
SILENT_S = 3600
LARGE_BYTES = (300_000, 1_000_000)
LARGE_MARK = "/large/"
AILMENTS = ("slow", "slow", "slow", "silent", "shedding", "reads_nothing")


class Work:
    """A request at a server. It is at work from `ran_at` to `until`, None if
    it never ran or still runs."""

    def __init__(self, server):
        self.server = server
        self.read_at = time.monotonic()
        self.ran_at = None
        self.until = None

    def is_at_work(self, since):
        return self.ran_at is not None and (
            self.until is None or self.until > since)


class Records:
    """Stands for the process that soak_server.Server runs in. `works`: all
    work on a request, by its id."""

    pause_s = 0
    pause_every_s = 1
    crashing = {}

    def __init__(self, rng):
        self.random = rng
        self.works = {}

    def trouble(self, _):
        return {}

    def record(self, what, server, connection):
        if what == "arrived":
            connection.work = Work(server.name)
            self.works.setdefault(connection.request_id, []).append(
                connection.work)
        elif what == "ran":
            connection.work.ran_at = time.monotonic()

    def of(self, request_id):
        return self.works.get(request_id, [])


class Connection(soak_server.Connection):
    """Reads bodies too."""

    work = None

    def connection_made(self, transport):
        super().connection_made(transport)
        if self.server.ailment == "reads_nothing":
            transport.pause_reading()

    def data_received(self, data):
        self.received += data
        head, separator, rest = self.received.partition(b"\r\n\r\n")
        _, _, length = head.lower().partition(b"content-length: ")
        length = int(length.split(b"\r\n")[0] or 0)
        if separator and len(rest) >= length:
            self.received = rest[length:]
            self.handle(head.decode())


class Server(soak_server.Server):
    def __init__(self, name, service, data_centre, records):
        self.settings = describe_server(name, service, data_centre, SLOTS,
                                        QUEUE, WORK_MS, 1)
        super().__init__(self.settings, records)
        self.ailment = None

    async def listen(self):
        self.listener = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), soak_server.HOST, 0,
            backlog=soak_server.BACKLOG)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self):
        return Host.entry(self.settings, self.port)

    def work_left_s(self, slow):
        rng = self.process.random
        if self.ailment == "silent":
            return SILENT_S
        if self.ailment == "slow":
            return rng.uniform(*SLOW_S)
        more_s = rng.uniform(*LONG_S) if rng.random() < LONG_SHARE else 0
        return super().work_left_s(slow) + more_s

    def accept(self, connection):
        if self.ailment == "shedding":
            connection.reply(self.refusal(connection.request_id))
        else:
            super().accept(connection)

    def answer_to(self, connection):
        if LARGE_MARK not in connection.target:
            return self.answer(connection.request_id)
        request_id = connection.request_id
        return answer(
            bytes(self.process.random.randint(*LARGE_BYTES)),
            headers=[("X-Request-Id", request_id),
                     ("X-Server-Stamp", f"{self.name}.{request_id}")])

    def finish(self, connection):
        connection.timer = None
        connection.work.until = time.monotonic()
        connection.reply(self.answer_to(connection))
        self.free_slot()

    def drop(self, connection):
        if connection.timer:
            connection.work.until = time.monotonic()
        super().drop(connection)

    async def ail(self, ailment, for_s):
        """A server is ailed by one thing at a time."""
        if self.ailment:
            return
        self.ailment = ailment
        if ailment == "reads_nothing":
            for connection in self.connections:
                connection.transport.pause_reading()
        await asyncio.sleep(for_s)
        self.ailment = None
        if ailment == "reads_nothing":
            for connection in list(self.connections):
                connection.transport.resume_reading()
