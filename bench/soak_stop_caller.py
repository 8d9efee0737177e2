"""Callers of the soak of stops. They use connections and addresses as long as
they can, upload in pieces, read large answers slowly, and note how each attempt
ended."""

import asyncio
import random
import socket
import time

import soak_caller
from soak_caller import Route, head_of
from soak_stop_server import LARGE_MARK

LOOK, ONCE, SHARDS = "/look/", "/once/", "/shards/"
UPLOAD = "/once/upload/"
LARGE = f"/look{LARGE_MARK}"
ROUTES = (Route(LOOK, ["desk"], 5, 8), Route(ONCE, ["desk"], 5, 4),
          Route(SHARDS, ["shards"], 2, 3), Route(UPLOAD, ["desk"], 4, 2),
          Route(LARGE, ["desk"], 5, 2))
LONG_KEEPER_SHARE = 0.9
NEW_CONNECTIONS_SHARE = 0.4
UPLOAD_BYTES = 50_000
UPLOAD_PIECES = 8
UPLOAD_MAX_S = 1
# With settings["leaves_uploads"].
LEFT_SHARE = 0.3
SLOW_READER_SHARE = 0.5
SLOW_READ_MAX_S = 1
READ_BUFFER_BYTES = 32 * 1024
READ_BYTES = 64 * 1024


class Attempt:
    """`whole_at`: when its last byte was sent; `end`: "answered", "refused" (a
    connection), "cut" or "gave up"."""

    def __init__(self, request_id, kind, deadline):
        self.id = request_id
        self.kind = kind
        self.deadline = deadline
        self.began = time.monotonic()
        self.address = None
        self.whole_at = None
        self.left_half = False
        self.status = 0
        self.bytes = 0
        self.error = ""
        self.end = None
        self.ended = None

    @property
    def may_repeat(self):
        return not self.kind.startswith(ONCE)

    def finish(self, end, error=""):
        self.end = end
        self.error = error
        self.ended = time.monotonic()


class StopCaller(soak_caller.Caller):
    def __init__(self, number, seed, settings, attempts):
        super().__init__(number, seed, settings, soak_caller.Results())
        self.log = attempts
        self.keeps_long = self.rng.random() < LONG_KEEPER_SHARE
        self.connects_anew = self.rng.random() < NEW_CONNECTIONS_SHARE
        self.reads_slowly = self.rng.random() < SLOW_READER_SHARE
        self.left_share = LEFT_SHARE * settings["leaves_uploads"]
        self.leaving = random.Random(f"{seed}-{number}-leaving")

    async def send(self, one, path, left_ms):
        writer = self.stream[1]
        writer.transport.set_write_buffer_limits(0)
        head = head_of(self.host, path, one.id, left_ms)
        if one.kind != UPLOAD:
            writer.write(head)
            await writer.drain()
            return
        writer.write(head.replace(b"GET", b"POST", 1)[:-2]
                     + b"Content-Length: %d\r\n\r\n" % UPLOAD_BYTES)
        pause_s = self.rng.uniform(0, UPLOAD_MAX_S) / UPLOAD_PIECES
        one.left_half = self.leaving.random() < self.left_share
        for _ in range(UPLOAD_PIECES // (2 if one.left_half else 1)):
            await asyncio.sleep(pause_s)
            writer.write(bytes(UPLOAD_BYTES // UPLOAD_PIECES))
            await writer.drain()

    async def read(self, one):
        """Return the headers of the answer once it is complete."""
        reader = self.stream[0]
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.lower().split("\r\n")
        one.status = int(lines[0].split()[1])
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        left = int(headers["content-length"])
        slowly = self.reads_slowly and left > READ_BYTES
        pause_s = (self.rng.uniform(0, SLOW_READ_MAX_S) * READ_BYTES / left
                   if slowly else 0)
        while left:
            data = await reader.read(min(left, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            one.bytes += len(data)
            await asyncio.sleep(pause_s)
        return headers

    async def connect(self):
        await super().connect()
        if self.reads_slowly:
            sock = self.stream[1].get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET,
                            socket.SO_RCVBUF, READ_BUFFER_BYTES)

    async def attempt(self, route, path, deadline):
        """Return (status, headers); (0, {}) if there is no answer."""
        self.attempts += 1
        one = Attempt(f"c{self.number}-{self.attempts}", route.prefix,
                      deadline)
        headers = {}
        try:
            if self.stream and self.stream[0].at_eof():
                self.disconnect()
            if not self.stream:
                self.address = ""
                await self.connect()
            one.address = self.address
            left_s = max(0, deadline - time.monotonic())
            self.log.append(one)
            async with asyncio.timeout(left_s):
                await self.send(one, path, int(left_s * 1000))
                if not one.left_half:
                    one.whole_at = time.monotonic()
                headers = await self.read(one)
            one.finish("answered")
        except TimeoutError:
            self.give_up(one, "gave up")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.give_up(one, "cut", type(error).__name__)
        if self.connects_anew or headers.get("connection") == "close":
            self.disconnect()
        return (one.status if one.end == "answered" else 0), headers

    def give_up(self, one, end, error=""):
        self.disconnect()
        if not one.address:
            one.address = self.address
            self.log.append(one)
            end = "refused"
        one.finish(end, error)
