"""Experiment runner: starts the simulated platform and backend servers,
garnetreach instances and load generators, reads their counters and processor
time, and stops them.

An experiment is a file bench/experiments/NAME.py with a string TITLE and a
function run(bench), which measures a baseline and the current implementation
in one run. bench.record() writes JSON lines to the output directory.
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
MIN_PORT = 10000
LOG_TAIL_CHARS = 3000


class Failed(Exception):
    """A process or a response does not meet an experiment's requirements."""


def request(port, method, path, body=None, timeout=35):
    """Sends an HTTP request to a local server: (status, headers, body)."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        conn.request(method, path, body)
        answer = conn.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        conn.close()


def request_json(port, method, path, body=None):
    """Sends a request that must be answered with status 200 and JSON."""
    if body is not None and not isinstance(body, (bytes, str)):
        body = json.dumps(body)
    status, _, text = request(port, method, path, body)
    if status != 200:
        raise Failed(f"{method} {path}: {status} {text[:200]!r}")
    return json.loads(text)


def peak_mb(pid):
    """Return the most memory that a process has had resident."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise OSError(f"process {pid} has ended")


def wait_until(what, check, seconds=READY_SECONDS):
    """Polls until check() is true; connection errors count as false.

    Raises Failed after `seconds`.
    """
    end = time.monotonic() + seconds
    while True:
        try:
            result = check()
        except (OSError, http.client.HTTPException, ValueError):
            result = None
        if result:
            return result
        if time.monotonic() > end:
            raise Failed(f"timed out waiting for: {what}")
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
        self.stop_requested = False

    def cpu_seconds(self):
        """Processor time used so far, user and system."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_bytes(self):
        """Resident set size."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def pause(self):
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        self.child.send_signal(signal.SIGCONT)

    def kill(self):
        self.stop_requested = True
        self.child.kill()
        self.child.wait()
        self.child.stdout.close()

    def report_unexpected_exit(self):
        """Prints the end of the log if the process exited unexpectedly."""
        status = self.child.poll()
        if status is None or self.stop_requested:
            return
        if status or isinstance(self, (Server, Backend, Instance)):
            log = self.log_path.read_text(errors="replace")
            print(f"{self.name} exited unexpectedly, status {status}:\n"
                  f"{log[-LOG_TAIL_CHARS:]}", file=sys.stderr)

    def ask_to_stop(self):
        """Sends SIGTERM, only once: a second signal could interrupt the
        shutdown."""
        if not self.stop_requested and self.child.poll() is None:
            self.stop_requested = True
            self.child.send_signal(signal.SIGTERM)

    def stop(self, seconds=STOP_SECONDS):
        """Stops gracefully. Returns the exit status, or None if the process
        had to be killed after `seconds`."""
        self.ask_to_stop()
        try:
            status = self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.child.stdout.close()
        return status


class Server(Process):
    """A test server that prints {"port":N} when it is ready."""

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
    """The simulated configuration service and instance list."""

    def publish(self, table):
        """Publishes a table, an object or JSON text. Returns its revision."""
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
    """A process of backend servers; ready() fills in their ports."""

    def __init__(self, name, args, out_dir):
        super().__init__(name, args, out_dir)
        self.ports = {}
        self.control_port = None

    def ready(self):
        """Waits until all servers listen and reads their ports."""
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
        """Counters by server name."""
        return request_json(self.control_port, "GET", "/control")["servers"]


class Deployment:
    """Generated data and the backend processes that serve it.

    options are those of bench/generate.py without --out. The servers are
    spread over `processes` processes; with `histories` each process writes a
    history file.
    """

    def __init__(self, bench, *options, processes=1, backend_options=(),
                 histories=False):
        self.directory = bench.out / "data"
        self.options = [str(option) for option in options]
        self.generate()
        servers = self.directory / "servers.json"
        program = bench.program("backend")
        self.backends = [
            bench.track(
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
    def history_options(bench, number, enabled):
        if not enabled:
            return []
        return ["--history", bench.out / f"backend{number}.history.jsonl"]

    def generate(self, *more):
        subprocess.run(
            [sys.executable, ROOT / "bench" / "generate.py", "--out",
             self.directory, *self.options, *more],
            check=True,
        )

    def write_table(self, *more):
        """Writes the table with the ports in use and the `more` options."""
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
        """Sends a command to all processes; returns how many servers it
        affected."""
        return sum(b.control(**command)["servers"] for b in self.backends)

    def counters(self):
        """Counters by server name."""
        out = {}
        for backend in self.backends:
            out.update(backend.counters())
        return out

    def total(self, group, name):
        """Sum of a counter over all servers: total("received", "search")."""
        return sum(row[group][name] for row in self.counters().values())

    def write_queries(self, name, bodies, versions=(1,)):
        """Writes a file for load's --queries with the expected count and total
        of each body, by snapshot version."""
        import scan  # in this directory

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
    """First and last port that the kernel assigns to outgoing connections."""
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first, last = text.split()
    return int(first), int(last)


def is_free(port):
    """Whether the port can be bound for TCP and UDP on the wildcard address.

    Instances listen on several loopback addresses and exit at startup if their
    port is taken on any of them.
    """
    for kind in socket.SOCK_STREAM, socket.SOCK_DGRAM:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("", port))
            except OSError:
                return False
    return True


assigned_ports = set()


def free_port_range(n):
    """Return the first of `n` adjacent ports, as free_ports() chooses them."""
    first, _ = ephemeral_ports()
    while True:
        port = random.randrange(MIN_PORT, first - n)
        ports = range(port, port + n)
        if all(p not in assigned_ports and is_free(p) for p in ports):
            assigned_ports.update(ports)
            return port


def free_ports(n):
    """Random ports that are free and that no earlier call returned.

    A process binds its port some time after the port was chosen. Until then
    the port looks free and must not be assigned to a second process.

    Ports are below the ephemeral range, because the kernel could assign an
    ephemeral port to an outgoing connection before the instance binds it. The
    instance would then exit at startup and the experiment would time out.
    """
    first, _ = ephemeral_ports()
    ports = []
    while len(ports) < n:
        port = random.randrange(MIN_PORT, first)
        if port not in assigned_ports and is_free(port):
            assigned_ports.add(port)
            ports.append(port)
    return ports


class Instance(Process):
    """A `garnetreach serve` process."""

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
        """This instance's entry in the platform's instance list."""
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
        """Sends a search; returns (status, answer)."""
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
    """The processes and result records of an experiment."""

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

    def track(self, process):
        self.processes.append(process)
        return process

    def platform(self, *options):
        args = [self.program("platform"), *options]
        return self.track(Platform("platform", args, self.out))

    def deployment(self, *options, **settings):
        return Deployment(self, *options, **settings)

    def server(self, name, program, *options):
        """Starts a test server that prints its port."""
        return self.track(
            Server(name, [self.program(program), *options], self.out)
        )

    def instances(self, platform, places):
        """Starts instances and publishes the instance list, without waiting
        for them to be ready. places: (name, data centre)."""
        started = [
            self.track(
                Instance(self.build / "garnetreach", name, dc, platform,
                         self.out)
            )
            for name, dc in places
        ]
        platform.instances([instance.row() for instance in started])
        return started

    def load_start(self, addresses, *options):
        """Starts a load generator; load_end() collects its results."""
        args = [self.program("load"), "--addresses", ",".join(addresses)]
        n = sum(1 for p in self.processes if p.name.startswith("load"))
        return self.track(
            Process(f"load{n}", [*args, *options], self.out)
        )

    @staticmethod
    def load_end(process):
        """Waits for a load generator to exit: (summary, timeline lines)."""
        text, _ = process.child.communicate()
        lines = [json.loads(line) for line in text.splitlines()]
        if not lines or not lines[-1].get("summary"):
            raise Failed(f"load printed no summary: see {process.log_path}")
        return lines[-1], lines[:-1]

    def load(self, addresses, *options):
        """Runs a load generator to completion and returns its summary."""
        return self.load_end(self.load_start(addresses, *options))[0]

    def record(self, **fields):
        """Writes a line of results and prints it."""
        line = json.dumps({"experiment": self.name, **fields})
        print(line, flush=True)
        self.records.write(line + "\n")
        self.records.flush()

    def plot(self, name, script, rows):
        """Draws NAME.svg with gnuplot; the script reads the rows as $DATA."""
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
        """A bench in a subdirectory whose processes stop at the end of the
        with block. The record file is shared."""
        part = copy.copy(self)
        part.out = self.out / name
        part.out.mkdir(parents=True, exist_ok=True)
        part.processes = []
        try:
            yield part
        finally:
            part.stop_all()

    def stop_all(self):
        """Stops instances before the servers they depend on. Returns exit
        statuses by process name."""
        for process in self.processes:
            process.report_unexpected_exit()
        stop_order = [
            [p for p in self.processes if isinstance(p, Instance)],
            [p for p in self.processes if not isinstance(p, Instance)],
        ]
        for processes in stop_order:
            for process in processes:
                process.ask_to_stop()
            for process in processes:
                process.stop()
        return {p.name: p.child.returncode for p in self.processes}

    def finish(self):
        self.records.close()
        return self.stop_all()


class CpuMeter:
    """Measures the processor time of processes during a with block."""

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
