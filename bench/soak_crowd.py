"""Clients outside the limits of docs/PROTOCOL.md, beside the callers of a soak:
they send without reading, read slowly, send without end, connect and send
nothing, ask and leave, or shut one side. Each keeps its connection for a while,
whatever becomes of the instance."""

import asyncio
import random
import socket

from soak_stop_server import LARGE_MARK

PAGES = ("ready_address", "directory_address", "control_address")
SMALL_BUFFER = 4096
BLOCK_BYTES = 65536
STAY_MAX_S = 6
PAUSE_MAX_S = 0.2
SLOW_READ_BYTES = 512
SLOW_READ_PERIOD_S = 0.1


def request(host, path, method="GET", *fields):
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}",
            "X-Request-Id: crowd", *fields]
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def whole_block(data):
    """Repeat `data` to about the size of a block."""
    return data * (1 + BLOCK_BYTES // len(data))


class Client:
    """One of the crowd, which plays one kind after the other."""

    def __init__(self, number, seed, gateways, host):
        self.rng = random.Random(f"crowd-{seed}-{number}")
        self.gateways = gateways
        self.host = host
        self.n_played = 0

    def kinds(self):
        """Return (first, more, whether it goes to a page) of each kind."""
        page = "/v1/directory"
        chunk = b"10000\r\n" + bytes(BLOCK_BYTES) + b"\r\n"
        return {
            "unread": (b"", request(self.host, "/none/"), False),
            "unread_page": (b"", request(self.host, page), True),
            "slow": (request(self.host, f"/look{LARGE_MARK}"), b"", False),
            "leaves": (request(self.host, f"/look{LARGE_MARK}"), b"", False),
            "shuts": (request(self.host, f"/look{LARGE_MARK}"), b"", False),
            "silent": (b"", b"", False),
            "silent_page": (b"", b"", True),
            "head": (request(self.host, "/look/")[:-2], b"", False),
            "head_page": (b"GET /v1/ready HTTP/1.1\r\n", b"X: y\r\n", True),
            "body": (request(self.host, "/look/", "POST",
                             "Content-Length: 50000"), b"q", False),
            "body_page": (request(self.host, page, "POST",
                                  "Transfer-Encoding: chunked"), chunk, True),
            "ahead": (request(self.host, "/look/"),
                      request(self.host, "/none/"), False),
        }

    def address(self, is_page):
        gateway = self.rng.choice(self.gateways)
        key = self.rng.choice(PAGES) if is_page else "caller_address"
        ip, _, port = gateway.settings[key].partition(":")
        return ip, int(port)

    async def flood(self, sock, more):
        loop = asyncio.get_running_loop()
        while more:
            await loop.sock_sendall(sock, whole_block(more))
            await asyncio.sleep(0)

    async def read_slowly(self, sock):
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(sock, SLOW_READ_BYTES):
            await asyncio.sleep(SLOW_READ_PERIOD_S)

    async def act(self, sock, kind, first, more):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, first)
        if kind == "leaves":
            return
        if kind == "shuts":
            sock.shutdown(self.rng.choice((socket.SHUT_RD, socket.SHUT_WR)))
        if kind == "slow":
            await self.read_slowly(sock)
        await self.flood(sock, more)
        await asyncio.sleep(STAY_MAX_S)

    async def play(self):
        kind = self.rng.choice(sorted(self.kinds()))
        first, more, is_page = self.kinds()[kind]
        stay_s = self.rng.uniform(0, STAY_MAX_S)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
            sock.setblocking(False)
            try:
                async with asyncio.timeout(stay_s):
                    await asyncio.get_running_loop().sock_connect(
                        sock, self.address(is_page))
                    await self.act(sock, kind, first, more)
            except (OSError, TimeoutError):
                # The end of the process, of its patience or of the client's.
                pass
        self.n_played += 1

    async def run(self):
        while True:
            await self.play()
            await asyncio.sleep(self.rng.uniform(0, PAUSE_MAX_S))
