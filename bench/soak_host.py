"""The processes of backend servers of the soak, each behind a proxy."""

import json
import pathlib
import signal
import subprocess
import sys
import threading

import experiment

SHARDS_PER_PROCESS = 5
SPEEDS = (0.8, 1.0, 1.3)
HOST = "127.0.0.1"
# A direct connection to a server that is down is refused.
DIRECT = "refused"


def start_process(name, settings, path):
    """Start a program of the soak. Return it and the ports it listens on."""
    path.write_text(json.dumps(settings), encoding="utf-8")
    program = pathlib.Path(__file__).with_name(name)
    child = subprocess.Popen([sys.executable, str(program), str(path)],
                             stdout=subprocess.PIPE, text=True)
    ports = child.stdout.readline()
    if not ports:
        raise experiment.Failed(f"{name} did not start")
    return child, json.loads(ports)


def stop_process(child):
    child.send_signal(signal.SIGCONT)
    child.terminate()
    child.wait()
    child.stdout.close()


class Host:
    """A process of servers, behind a proxy unless they are reached directly.

    `first_link`: the number of its first link in the rules.
    """

    def __init__(self, directory, number, servers, first_link):
        self.directory = directory
        self.number = number
        self.servers = servers
        self.first_link = first_link
        self.ports = []
        self.ids = {server["name"]: f"{server['name']}.1"
                    for server in servers}
        self.child = None
        self.proxy = None
        self.reader = None

    @property
    def arrivals(self):
        return self.directory / f"arrivals-{self.number}"

    @property
    def services(self):
        return {server["service"] for server in self.servers}

    @property
    def links(self):
        return range(self.first_link, self.first_link + len(self.servers))

    def start(self, settings, rules_path, down, on_report):
        """`on_report` is called with the host and each line of its process,
        in a thread of its own."""
        self.child, ports = start_process(
            "soak_server.py", {
                **settings, "servers": self.servers,
                "down": {"for_s": down.for_s, "new_id": down.new_id,
                         "listener_after_s": down.listener_after_s},
                "arrivals": str(self.arrivals),
                "stalls": str(self.directory / f"stalls-s{self.number}"),
                "seed": settings["seed"] * 1000 + self.number,
            }, self.directory / f"servers-{self.number}.json")
        self.reader = threading.Thread(
            target=self.read_reports, args=(on_report,), daemon=True)
        self.reader.start()
        self.ports = ports
        if down.address == DIRECT:
            return
        links = [{"to": [HOST, port], "port": 0, "rule": link}
                 for port, link in zip(ports, self.links)]
        self.proxy, self.ports = start_process(
            "soak_proxy.py",
            {"links": links, "rules": str(rules_path), "down": down.address,
             "stalls": str(self.directory / f"stalls-p{self.number}")},
            self.directory / f"proxy-{self.number}.json")

    def read_reports(self, on_report):
        for line in self.child.stdout:
            on_report(self, json.loads(line))

    @staticmethod
    def entry(server, port):
        return {"service": server["service"], "address": f"{HOST}:{port}",
                "data_centre": server["data_centre"], "version": "v1",
                "slots": server["slots"], "state": "ready", "cold_for_ms": 0,
                "Sequence": 1}

    def entry_of(self, name):
        for server, port in zip(self.servers, self.ports):
            if server["name"] == name:
                return self.entry(server, port)
        raise KeyError(name)

    def records(self):
        for line in self.arrivals.read_text("utf-8").splitlines():
            yield json.loads(line)

    def stop(self):
        if self.child:
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
            self.child.wait()
            self.reader.join()
            self.child.stdout.close()
        if self.proxy:
            stop_process(self.proxy)


def describe_server(name, service, data_centre, slots, queue, work_ms, speed):
    return {"name": name, "service": service, "data_centre": data_centre,
            "slots": slots, "queue": queue, "work_ms": work_ms, "speed": speed}


def plan_hosts(deployment, directory):
    """One process for each plain server and for a few shards of a data
    centre."""
    groups = []
    for plain in deployment.plain:
        for i, data_centre in enumerate(plain.data_centres):
            groups.append([describe_server(
                f"{plain.name}-{i}", plain.name, data_centre, plain.slots,
                plain.queue, plain.work_ms, 1)])
    for data_centre in deployment.shard_centres:
        servers = [describe_server(
            f"{service}-{data_centre}", service, data_centre, 2, 12,
            deployment.shard_work_ms, SPEEDS[i % len(SPEEDS)])
            for i, service in enumerate(deployment.shard_services())]
        groups += [servers[i:i + SHARDS_PER_PROCESS]
                   for i in range(0, len(servers), SHARDS_PER_PROCESS)]
    hosts = []
    first_link = 0
    for i, servers in enumerate(groups):
        hosts.append(Host(directory, i, servers, first_link))
        first_link += len(servers)
    return hosts
