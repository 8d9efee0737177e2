"""A loopback proxy between instances and backend servers. While a signal has
stopped it, it holds back what both sides have written, also for connections
that are closed meanwhile.

usage: soak_proxy.py SERVER_PORT...

Prints a line with its own ports, a JSON list, once it listens.
"""

import asyncio
import json
import signal
import sys

BACKLOG = 256


class Side(asyncio.Protocol):
    """One of the two connections; `other` is the opposite one."""

    def __init__(self, other=None):
        self.other = other
        self.transport = None
        self.waiting = []

    def connection_made(self, transport):
        self.transport = transport
        for pass_on in self.waiting:
            pass_on()

    def when_connected(self, pass_on):
        if self.transport:
            pass_on()
        else:
            self.waiting.append(pass_on)

    def data_received(self, data):
        self.other.when_connected(
            lambda: self.other.transport.write(data))

    def connection_lost(self, _):
        self.other.when_connected(self.other.transport_close)

    def transport_close(self):
        self.transport.close()


class Incoming(Side):
    def __init__(self, port):
        super().__init__(Side(self))
        self.port = port

    def connection_made(self, transport):
        super().connection_made(transport)
        self.task = asyncio.create_task(self.connect())

    async def connect(self):
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.other, "127.0.0.1", self.port)
        except OSError:
            self.transport.abort()


async def run(ports):
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    listeners = [
        await loop.create_server(lambda to=port: Incoming(to), "127.0.0.1", 0,
                                 backlog=BACKLOG)
        for port in ports]
    print(json.dumps([listener.sockets[0].getsockname()[1]
                      for listener in listeners]), flush=True)
    await stopped.wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1:]))
