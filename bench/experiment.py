"""Runs experiments: starts the stand-ins, instances of garnetreach and load,
reads their counters and processor time, and stops them by their ids.

An experiment is a file bench/experiments/NAME.py with a line of text TITLE and
a function run(bench), which compares a baseline and the current way in one
run. bench.record() writes JSON lines to the output directory.
"""

import contextlib
import copy
import http.client
import importlib.util
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXPERIMENTS = ROOT / "bench" / "experiments"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
READY_SECONDS = 30
STOP_SECONDS = 20
FIRST_PORT = 10000
LOG_TAIL = 3000


class Failed(Exception):
    """A process or an answer is not as the experiment needs it."""


def request(port, method, path, body=None, timeout=35):
    """One HTTP exchange with a local server: (status, headers, body)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body)
        answer = conn.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        conn.close()


def request_json(port, method, path, body=None):
    """An exchange whose answer must be 200 with JSON."""
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    status, _, text = request(port, method, path, body)
    if status != 200:
        raise Failed(f"{method} {path}: {status} {text[:200]!r}")
    return json.loads(text)


def wait_until(what, check, seconds=READY_SECONDS):
    """Polls until check() is true; errors of the connection count as false."""
    end = time.monotonic() + seconds
    while True:
        try:
            result = check()
        except (OSError, http.client.HTTPException, ValueError):
            result = None
        if result:
            return result
        if time.monotonic() > end:
            raise Failed(f"gave up waiting: {what}")
        time.sleep(0.02)


class Process:
    """A child process; its standard error goes to NAME.log."""

    def __init__(self, name, args, out_dir):
        self.name = name
        self.log_path = pathlib.Path(out_dir) / f"{name}.log"
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [str(a) for a in args],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self.pid = self.child.pid
        self.asked_to_stop = False

    def cpu_seconds(self):
        """Processor time so far, user and system."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_bytes(self):
        """Resident memory."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)

    def kill(self):
        self.asked_to_stop = True
        self.child.kill()
        self.child.wait()
        self.child.stdout.close()

    def tell_own_end(self):
        """Shows the end of the log if it ended without being asked to."""
        status = self.child.poll()
        if status is None or self.asked_to_stop:
            return
        if status or isinstance(self, (Server, Backend, Instance)):
            log = self.log_path.read_text(errors="replace")
            print(f"{self.name} ended by itself, status {status}:\n"
                  f"{log[-LOG_TAIL:]}", file=sys.stderr)

    def ask_to_stop(self):
        """Once: a second signal could meet a process that is ending."""
        if not self.asked_to_stop and self.child.poll() is None:
            self.asked_to_stop = True
            self.child.send_signal(signal.SIGTERM)

    def stop(self, seconds=STOP_SECONDS):
        """A planned stop. Returns the exit status; kills after `seconds`."""
        self.ask_to_stop()
        try:
            status = self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.child.stdout.close()
        return status


class Server(Process):
    """A stand-in that prints {"port":N} when it is ready."""

    def __init__(self, name, args, out_dir):
        super().__init__(name, args, out_dir)
        line = self.child.stdout.readline()
        if not line:
            raise Failed(f"{name} did not start: see {self.log_path}")
        self.port = json.loads(line)["port"]
        self.address = f"127.0.0.1:{self.port}"

    def counters(self):
        return request_json(self.port, "GET", "/control/counters")


class Platform(Server):
    """The configuration service and the instance list."""

    def publish(self, table):
        """A new table, as an object or a text. Returns its revision."""
        if not isinstance(table, (bytes, str)):
            table = json.dumps(table)
        return request_json(self.port, "POST", "/control/publish", table)[
            "revision"
        ]

    def put(self, key, value):
        return request_json(self.port, "PUT", f"/control/values/{key}", value)

    def state(self, **faults):
        return request_json(self.port, "POST", "/control/state", faults)

    def instances(self, rows):
        return request_json(self.port, "PUT", "/control/instances", rows)


class Backend(Process):
    """A process of backend servers; the ports are known once ready() is."""

    def __init__(self, name, args, out_dir):
        super().__init__(name, args, out_dir)
        self.ports = {}
        self.control_port = None

    def ready(self):
        """Reads the ports that it prints when it serves."""
        for line in self.child.stdout:
            row = json.loads(line)
            if "control_port" in row:
                self.control_port = row["control_port"]
                return self
            self.ports[row["server"]] = row["port"]
        raise Failed(f"{self.name} did not start: see {self.log_path}")

    def control(self, **command):
        return request_json(self.control_port, "POST", "/control", command)

    def counters(self):
        """By server."""
        return request_json(self.control_port, "GET", "/control")["servers"]


class Deployment:
    """Generated data, and the processes that serve it.

    options are those of bench/generate.py, less --out. The servers are spread
    over `processes` processes; with `histories` each writes one.
    """

    def __init__(self, bench, *options, processes=1, backend_options=(),
                 histories=False):
        self.directory = bench.out / "data"
        self.options = [str(option) for option in options]
        self.generate()
        servers = self.directory / "servers.json"
        program = bench.program("backend")
        self.backends = [
            bench.keep(
                Backend(
                    f"backend{i}",
                    [program, "--servers", servers, "--part",
                     f"{i}/{processes}", *backend_options,
                     *self.history_options(bench, i, histories)],
                    bench.out,
                )
            )
            for i in range(1, processes + 1)
        ]
        self.ports = {}
        for backend in self.backends:
            self.ports.update(backend.ready().ports)
        self.write_table()

    @staticmethod
    def history_options(bench, number, wanted):
        if not wanted:
            return []
        return ["--history", bench.out / f"backend{number}.history.jsonl"]

    def generate(self, *more):
        subprocess.run(
            [sys.executable, ROOT / "bench" / "generate.py", "--out",
             self.directory, *self.options, *more],
            check=True,
        )

    def write_table(self, *more):
        """Writes the table with the ports in use; `more` options change it."""
        ports = self.directory / "ports.jsonl"
        ports.write_text(
            "".join(
                json.dumps({"server": name, "port": port}) + "\n"
                for name, port in self.ports.items()
            )
        )
        self.generate("--table-only", "--ports", ports, *more)
        self.table = json.loads((self.directory / "table.json").read_text())

    def addresses(self):
        return [f"127.0.0.1:{port}" for port in self.ports.values()]

    def control(self, **command):
        """A command to all processes; says how many servers it met."""
        return sum(b.control(**command)["servers"] for b in self.backends)

    def counters(self):
        """By server."""
        out = {}
        for backend in self.backends:
            out.update(backend.counters())
        return out

    def total(self, group, name):
        """Sum over all servers, as total("received", "search")."""
        return sum(row[group][name] for row in self.counters().values())

    def write_queries(self, name, bodies, versions=(1,)):
        """A file for load's --queries with the true answer of each body."""
        import scan  # beside this file

        data = {}
        path = self.directory / name
        with open(path, "w", encoding="utf-8") as out:
            for body in bodies:
                service = body["service"]
                if service not in data:
                    data[service] = scan.Data(self.directory, service)
                truth = {}
                for version in versions:
                    found = data[service].scan(version, body.get("where", {}))
                    truth[str(version)] = {"count": found["count"],
                                           "total": found["total"]}
                line = {**body, "expect": {"by_snapshot": truth}}
                out.write(json.dumps(line) + "\n")
        return path


def ephemeral_ports():
    """First and last port that the system gives to outgoing connections."""
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first, last = text.split()
    return int(first), int(last)


def is_free(port):
    """Whether both TCP and UDP can be bound, at any address: instances take
    several of the loopback range, and one that found its port taken ended at
    its start."""
    for kind in socket.SOCK_STREAM, socket.SOCK_DGRAM:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("", port))
            except OSError:
                return False
    return True


given_ports = set()


def free_ports(n):
    """Random ports that were free a moment ago, and were not given before.

    A process binds its port only some time after it was told of it. Until then
    the port looks free, and another one must not be told of it too.

    A port of the ephemeral range could go to an outgoing connection of any
    process before the instance binds it: the instance would end at its start,
    and the experiment would wait for it in vain. Those below are never given
    away by themselves.
    """
    first, _ = ephemeral_ports()
    ports = []
    while len(ports) < n:
        port = random.randrange(FIRST_PORT, first)
        if port not in given_ports and is_free(port):
            given_ports.add(port)
            ports.append(port)
    return ports


class Instance(Process):
    """One `garnetreach serve`."""

    def __init__(self, binary, name, data_centre, platform, out_dir):
        self.instance = name
        self.data_centre = data_centre
        self.port, peer_port = free_ports(2)
        self.address = f"127.0.0.1:{self.port}"
        self.peer_address = f"127.0.0.1:{peer_port}"
        settings = pathlib.Path(out_dir) / f"{name}.settings.json"
        settings.write_text(
            json.dumps(
                {
                    "instance": name,
                    "data_centre": data_centre,
                    "caller_address": self.address,
                    "peer_address": self.peer_address,
                    "platform_addresses": [platform.address],
                }
            )
        )
        super().__init__(name, [binary, "serve", settings], out_dir)

    def row(self, state="live"):
        """Its row in the platform's instance list."""
        return {
            "instance": self.instance,
            "data_centre": self.data_centre,
            "peer_address": self.peer_address,
            "caller_address": self.address,
            "state": state,
        }

    def status(self):
        return request_json(self.port, "GET", "/v1/status")

    def search(self, body):
        """(status, answer) of one search."""
        status, _, text = request(
            self.port, "POST", "/v1/search", json.dumps(body)
        )
        return status, json.loads(text)

    def metrics(self):
        """Counters and gauges by name, as floats."""
        _, _, text = request(self.port, "GET", "/metrics")
        out = {}
        for line in text.decode().splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                out[name] = float(value)
        return out


class Bench:
    """The processes and the records of one experiment."""

    def __init__(self, name, build_dir, out_dir):
        self.name = name
        self.build = pathlib.Path(build_dir).resolve()
        self.out = pathlib.Path(out_dir).resolve()
        self.out.mkdir(parents=True, exist_ok=True)
        self.processes = []
        self.records = open(self.out / "records.jsonl", "w", encoding="utf-8")

    def program(self, name):
        path = self.build / "bench" / f"bench-{name}"
        if not path.exists():
            raise Failed(f"{path} is not built")
        return path

    def keep(self, process):
        self.processes.append(process)
        return process

    def platform(self, *options):
        args = [self.program("platform"), *options]
        return self.keep(Platform("platform", args, self.out))

    def deployment(self, *options, **kinds):
        return Deployment(self, *options, **kinds)

    def server(self, name, program, *options):
        """Any stand-in that prints its port."""
        return self.keep(
            Server(name, [self.program(program), *options], self.out)
        )

    def instances(self, platform, places):
        """Starts instances and publishes the list; places: (name, data
        centre). They are not waited for."""
        started = [
            self.keep(
                Instance(self.build / "garnetreach", name, dc, platform,
                         self.out)
            )
            for name, dc in places
        ]
        platform.instances([instance.row() for instance in started])
        return started

    def load_start(self, addresses, *options):
        """Starts load on addresses; see load_end()."""
        args = [self.program("load"), "--addresses", ",".join(addresses)]
        n = sum(1 for p in self.processes if p.name.startswith("load"))
        return self.keep(
            Process(f"load{n}", [*args, *options], self.out)
        )

    @staticmethod
    def load_end(process):
        """Waits for load to end: (summary, lines of the timeline)."""
        text, _ = process.child.communicate()
        lines = [json.loads(line) for line in text.splitlines()]
        if not lines or not lines[-1].get("summary"):
            raise Failed(f"load gave no summary: see {process.log_path}")
        return lines[-1], lines[:-1]

    def load(self, addresses, *options):
        """Runs load to its end and returns its summary."""
        return self.load_end(self.load_start(addresses, *options))[0]

    def record(self, **fields):
        """One line of the results; also shown."""
        line = json.dumps({"experiment": self.name, **fields})
        print(line, flush=True)
        self.records.write(line + "\n")
        self.records.flush()

    def plot(self, name, script, rows):
        """Draws NAME.svg; the script finds the rows in $DATA."""
        lines = [" ".join(map(str, row)) for row in rows]
        path = self.out / f"{name}.gp"
        path.write_text(
            "$DATA << EOD\n" + "\n".join(lines) + "\nEOD\n"
            "set terminal svg size 800,480\n"
            f"set output '{name}.svg'\n{script}\n"
        )
        subprocess.run(["gnuplot", path.name], cwd=self.out, check=True)

    @contextlib.contextmanager
    def part(self, name):
        """Processes that end with a with block; the records are shared."""
        part = copy.copy(self)
        part.out = self.out / name
        part.out.mkdir(parents=True, exist_ok=True)
        part.processes = []
        try:
            yield part
        finally:
            part.stop_all()

    def stop_all(self):
        """Stops instances before what they need. Exit status by name."""
        for process in self.processes:
            process.tell_own_end()
        by_need = [
            [p for p in self.processes if isinstance(p, Instance)],
            [p for p in self.processes if not isinstance(p, Instance)],
        ]
        for processes in by_need:
            for process in processes:
                process.ask_to_stop()
            for process in processes:
                process.stop()
        return {p.name: p.child.returncode for p in self.processes}

    def finish(self):
        self.records.close()
        return self.stop_all()


class CpuMeter:
    """Processor time that processes spend inside a with block."""

    def __init__(self, *processes):
        self.processes = processes
        self.seconds = {}

    def __enter__(self):
        self.before = {p.name: p.cpu_seconds() for p in self.processes}
        return self

    def __exit__(self, *_):
        for p in self.processes:
            self.seconds[p.name] = p.cpu_seconds() - self.before[p.name]

    def total(self):
        return sum(self.seconds.values())


def load_experiment(name):
    path = EXPERIMENTS / f"{name}.py"
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    sys.path.insert(0, str(EXPERIMENTS.parent))
    spec.loader.exec_module(module)
    return module


def experiment_names():
    return sorted(
        p.name.removesuffix(".py").replace("_", "-")
        for p in EXPERIMENTS.glob("*.py")
    )


def main(arguments):
    if arguments in ([], ["--list"]):
        for name in experiment_names():
            print(f"{name}: {load_experiment(name.replace('-', '_')).TITLE}")
        return 0
    name = arguments[0]
    if name not in experiment_names():
        print(f"no experiment {name}; see --list", file=sys.stderr)
        return 2
    build_dir = os.environ.get("BUILD", str(ROOT / "build-rel"))
    out_dir = os.environ.get("OUT", str(ROOT / "out" / name))
    bench = Bench(name, build_dir, out_dir)
    try:
        load_experiment(name.replace("-", "_")).run(bench)
    finally:
        bench.finish()
    return 0


if __name__ == "__main__":
    sys.modules["experiment"] = sys.modules["__main__"]
    sys.exit(main(sys.argv[1:]))
