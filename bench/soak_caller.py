"""Callers of the soak. They ask instances for addresses and keep them up to
three times as long as they are told, use a connection until it is closed, and
repeat what failed, some of them at once and more often."""

import asyncio
import collections
import json
import random
import time

from soak_rules import Sent

ADDRESS_TIMEOUT_S = 1
CONNECT_TIMEOUT_S = 1
ATTEMPTS_MAX = 2
IMPATIENT_SHARE = 0.1
IMPATIENT_ATTEMPTS_MAX = 4
LONG_KEEPER_SHARE = 0.3
LONG_KEEPER_FACTOR = 3
# Requests that come with so little time left, on new connections.
HURRIED_SHARE = 0.05
HURRIED_LEFT_MAX_MS = 3
# Of a request that crashes servers; each comes from an address of its own.
REPEATS_AT_ONCE = 2
FIRST_OCTET, LAST_OCTET = 10, 250


class Route:
    """`services`: those that a request of the route is for; `popular`: the
    share of the requests that have one and the same path."""

    def __init__(self, prefix, services, timeout_s, weight, popular=0,
                 servers_max=3):
        self.prefix = prefix
        self.services = services
        self.timeout_s = timeout_s
        self.weight = weight
        self.popular = popular
        self.servers_max = servers_max

    def draw_path(self, rng, own):
        if self.popular and rng.random() < self.popular:
            return f"{self.prefix}popular"
        return f"{self.prefix}{own}"


def head_of(host, path, request_id, left_ms):
    return (f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {left_ms}\r\n\r\n").encode()


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
    """`sent`: attempts by their id; `refused`: 503 by what the body says."""

    def __init__(self):
        self.sent = {}
        self.refused = collections.Counter()
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
        self.hurried = random.Random(f"{seed}-{number}-hurried")
        self.impatient = self.rng.random() < IMPATIENT_SHARE
        self.keeps_long = self.rng.random() < LONG_KEEPER_SHARE
        self.addresses = []
        self.addresses_until = 0
        self.address = ""
        self.is_in_touch = settings["is_in_touch"]
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
        self.address = self.rng.choice(self.addresses)
        host, _, port = self.address.partition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            self.stream = await asyncio.open_connection(host, int(port))

    def disconnect(self):
        if self.stream:
            self.stream[1].close()
        self.stream = None

    async def attempt(self, route, path, deadline):
        """Return (status, headers); (0, {}) if there is no answer."""
        left_ms = max(0, int((deadline - time.monotonic()) * 1000))
        self.attempts += 1
        request_id = f"c{self.number}-{self.attempts}"
        try:
            if not self.stream:
                await self.connect()
            self.results.sent[request_id] = Sent(
                time.monotonic(), route.services, left_ms / 1000,
                self.is_in_touch(self.address), route.servers_max)
            reader, writer = self.stream
            writer.write(head_of(self.host, path, request_id, left_ms))
            async with asyncio.timeout(left_ms / 1000):
                status, headers, body = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.disconnect()
            return 0, {}
        if status == 503:
            self.results.refused[body.decode(errors="replace").strip()] += 1
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
        path = route.draw_path(self.rng, f"{self.number}-{self.attempts}")
        self.results.asked += 1
        for _ in range(attempts):
            status, headers = await self.attempt(route, path, deadline)
            if status == 200:
                self.results.served += 1
                self.results.complete += (
                    headers.get("x-missing-parts", "0") == "0")
                self.results.took.append(time.monotonic() - start)
                return
            if deadline - time.monotonic() < 0.01:
                return
            await self.wait_to_repeat(headers, deadline)

    async def hurry(self, route):
        """Send a request that is given up almost at once."""
        left_ms = self.hurried.randint(0, HURRIED_LEFT_MAX_MS)
        kept = self.stream, self.address
        self.stream = None
        try:
            await self.connect()
            await self.attempt(route, f"{route.prefix}hurried-{self.number}",
                               time.monotonic() + left_ms / 1000)
        except (OSError, TimeoutError):
            pass
        self.disconnect()
        self.stream, self.address = kept

    async def run(self, until):
        weights = [route.weight for route in self.routes]
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(1 / self.interval_s))
            route = self.rng.choices(self.routes, weights)[0]
            if self.hurried.random() < HURRIED_SHARE:
                await self.hurry(route)
            await self.request(route)
        self.disconnect()


class CrashingCaller:
    """Sends a request that crashes servers, to any instances; repeats at once
    what was lost, as callers do."""

    def __init__(self, bad, seed, settings, results):
        self.rng = random.Random(f"{seed}-{bad.path}")
        self.bad = bad
        self.host = settings["host"]
        self.route = settings["bad_route"]
        self.addresses = settings["caller_addresses"]
        self.is_in_touch = settings["is_in_touch"]
        self.results = results
        self.n = 0
        self.statuses = collections.Counter()

    async def send(self, address):
        """Return the status; 0 without an answer."""
        self.n += 1
        request_id = f"{self.bad.path.rpartition('/')[2]}-{self.n}"
        host, _, port = address.partition(":")
        source = f"127.0.0.{self.rng.randint(FIRST_OCTET, LAST_OCTET)}"
        timeout_s = self.route.timeout_s
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host, int(port), local_addr=(source, 0))
        except (OSError, TimeoutError):
            return 0
        self.results.sent[request_id] = Sent(
            time.monotonic(), self.route.services, timeout_s,
            self.is_in_touch(address), self.route.servers_max)
        try:
            writer.write(head_of(self.host, self.bad.path, request_id,
                                 int(timeout_s * 1000)))
            async with asyncio.timeout(self.bad.leave_s or timeout_s):
                return (await read_answer(reader))[0]
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0
        finally:
            writer.close()

    async def send_and_repeat(self, address):
        for _ in range(REPEATS_AT_ONCE):
            status = await self.send(address)
            self.statuses[status] += 1
            if status in (200, 503):
                return
            address = self.rng.choice(self.addresses)

    async def run(self, until):
        tasks = set()
        await asyncio.sleep(self.bad.at)
        while time.monotonic() < until:
            for address in self.rng.sample(self.addresses, self.bad.at_once):
                task = asyncio.create_task(self.send_and_repeat(address))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.bad.interval_s)
        await asyncio.gather(*tasks)
