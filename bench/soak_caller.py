"""Callers of the soak. They ask instances for addresses and keep them up to
three times as long as they are told, use a connection until it is closed, and
repeat what failed, some of them at once and more often."""

import asyncio
import json
import random
import time

ADDRESS_TIMEOUT_S = 1
CONNECT_TIMEOUT_S = 1
ATTEMPTS_MAX = 2
IMPATIENT_SHARE = 0.1
IMPATIENT_ATTEMPTS_MAX = 4
LONG_KEEPER_SHARE = 0.3
LONG_KEEPER_FACTOR = 3


class Route:
    """`services`: those that a request of the route is for."""

    def __init__(self, prefix, services, timeout_s, weight):
        self.prefix = prefix
        self.services = services
        self.timeout_s = timeout_s
        self.weight = weight


async def read_answer(reader):
    """Return status, headers and body; None if the connection ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(lines[0].split()[1]), headers, body


class Results:
    """`sent` has (time, services) of each attempt."""

    def __init__(self):
        self.sent = []
        self.asked = 0
        self.served = 0
        self.complete = 0
        self.took = []


class Caller:
    def __init__(self, number, seed, settings, results):
        self.rng = random.Random(f"{seed}-{number}")
        self.number = number
        self.directories = settings["directories"]
        self.host = settings["host"]
        self.data_centre = self.rng.choice(settings["data_centres"])
        self.routes = settings["routes"]
        self.interval_s = settings["interval_s"]
        self.results = results
        self.impatient = self.rng.random() < IMPATIENT_SHARE
        self.keeps_long = self.rng.random() < LONG_KEEPER_SHARE
        self.addresses = []
        self.addresses_until = 0
        self.stream = None
        self.attempts = 0

    async def fetch_addresses(self):
        """Ask up to three instances. Old addresses are kept if none answers."""
        for address in self.rng.sample(self.directories,
                                       min(3, len(self.directories))):
            try:
                async with asyncio.timeout(ADDRESS_TIMEOUT_S):
                    await self.fetch_from(address)
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                continue

    async def fetch_from(self, address):
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            path = f"/v1/directory?data_centre={self.data_centre}"
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
                         "Connection: close\r\n\r\n".encode())
            status, _, body = await read_answer(reader)
        finally:
            writer.close()
        if status != 200:
            raise OSError(f"directory answers {status}")
        answer = json.loads(body)
        ttl_s = answer["ttl_s"]
        if self.keeps_long:
            ttl_s *= LONG_KEEPER_FACTOR
        self.addresses = answer["addrs"]
        self.addresses_until = time.monotonic() + ttl_s

    async def connect(self):
        if time.monotonic() >= self.addresses_until:
            await self.fetch_addresses()
        if not self.addresses:
            raise OSError("no address is known")
        host, _, port = self.rng.choice(self.addresses).partition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.stream = await asyncio.open_connection(host, int(port))

    def disconnect(self):
        if self.stream:
            self.stream[1].close()
        self.stream = None

    async def attempt(self, route, deadline):
        """Return (status, headers); (0, {}) if there is no answer."""
        left_ms = int((deadline - time.monotonic()) * 1000)
        self.attempts += 1
        request_id = f"c{self.number}-{self.attempts}"
        try:
            if not self.stream:
                await self.connect()
            self.results.sent.append((time.monotonic(), route.services))
            reader, writer = self.stream
            writer.write(
                f"GET {route.prefix}{self.attempts} HTTP/1.1\r\n"
                f"Host: {self.host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {left_ms}\r\n\r\n".encode())
            async with asyncio.timeout(left_ms / 1000):
                status, headers, _ = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.disconnect()
            return 0, {}
        if headers.get("connection", "").lower() == "close":
            self.disconnect()
        return status, headers

    async def wait_to_repeat(self, headers, deadline):
        """Wait as told, up to a third of the time left."""
        self.disconnect()
        wait_s = float(headers.get("retry-after", 0))
        if not self.impatient:
            await asyncio.sleep(
                max(0, min(wait_s, (deadline - time.monotonic()) / 3)))

    async def request(self, route):
        start = time.monotonic()
        deadline = start + route.timeout_s
        attempts = IMPATIENT_ATTEMPTS_MAX if self.impatient else ATTEMPTS_MAX
        self.results.asked += 1
        for _ in range(attempts):
            status, headers = await self.attempt(route, deadline)
            if status == 200:
                self.results.served += 1
                self.results.complete += "x-missing-parts" not in headers
                self.results.took.append(time.monotonic() - start)
                return
            if deadline - time.monotonic() < 0.01:
                return
            await self.wait_to_repeat(headers, deadline)

    async def run(self, until):
        weights = [route.weight for route in self.routes]
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / self.interval_s))
            await self.request(self.rng.choices(self.routes, weights)[0])
        self.disconnect()
