"""The soak of suspects: real instances before backend servers of which half
stand still, are slow, reset connections or crash, in series that overlap, while
instances are replaced and the table changes.

usage: soak_suspects.py BUILD --seeds 1-50 --jobs 2 [--instances N]

Checked is that only a server that crashed makes a search a suspect, that no
search is banned or held back, and that all get the shards of the half that is
left alone. Prints a JSON line for each run. The exit status is 1 if one failed.
"""

import collections
import datetime
import http.client
import json
import random
import sys
import tempfile
import threading
import time

import experiment
import soak_seeds

DC = "be1"
SERVICE = "fanout"
SERVERS = 4
DEADLINE_MS = 600
PLAY_S = 14
TROUBLES = 12
CALLERS = 8
CALLER_INTERVAL_S = 0.04
POPULAR = 3
UNIQUE_SHARE = 0.3
# A crash is seen by the first request after it.
CRASH_SEEN_S = 1.5
SUSPECT_MS = 4000


class Trouble:
    """One trouble of a plan; `kind` names a method of Run."""

    KINDS = ("stand_still", "stand_still", "be_slow", "reset", "replace",
             "set_canary")

    def __init__(self, rng, kind=None):
        self.at = rng.uniform(1, PLAY_S - 3)
        self.kind = kind or rng.choice(self.KINDS)
        self.for_s = rng.choice((0.06, 0.15, 0.4, 1.0, 2.0))
        self.factor = rng.choice((20, 100, 400))
        self.number = rng.randrange(1000)


def draw_plan(seed):
    """Draw troubles; more than one crash may rightly ban a search."""
    rng = random.Random(seed)
    plan = [Trouble(rng) for _ in range(TROUBLES)]
    if rng.random() < 0.5:
        plan.append(Trouble(rng, "crash"))
    return sorted(plan, key=lambda trouble: trouble.at)


class Caller(threading.Thread):
    """Keeps a connection until it is closed, then goes to another instance."""

    def __init__(self, run, number):
        super().__init__(daemon=True)
        self.run_state = run
        self.rng = random.Random(f"{run.seed}-{number}")
        self.connection = None

    def where(self):
        if self.rng.random() < UNIQUE_SHARE:
            return {"n": self.rng.randrange(1 << 30)}
        return {"n": self.rng.randrange(POPULAR)}

    def search(self):
        if not self.connection:
            instance = self.rng.choice(self.run_state.callable_instances())
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", instance.port, timeout=5)
        self.connection.request("POST", "/v1/search", json.dumps({
            "service": SERVICE, "where": self.where(),
            "deadline_ms": DEADLINE_MS}))
        answer = self.connection.getresponse()
        body = answer.read()
        if answer.getheader("Connection") == "close":
            self.close()
        return answer.status, json.loads(body)

    def close(self):
        self.connection.close()
        self.connection = None

    def run(self):
        while not self.run_state.over:
            try:
                self.run_state.check(*self.search())
            except (OSError, http.client.HTTPException):
                self.run_state.outcomes["broken"] += 1
                self.close()
            time.sleep(CALLER_INTERVAL_S)


class Run:
    """One seed: all processes, the troubles and the checks."""

    def __init__(self, options, seed):
        self.seed = seed
        self.plan = draw_plan(seed)
        self.n_instances = options.instances
        self.bench = experiment.Bench(
            f"soak{seed}", options.build, tempfile.mkdtemp(prefix="soak-"))
        self.lock = threading.Lock()
        self.outcomes = collections.Counter()
        self.failures = collections.Counter()
        self.crashes = []
        self.over = False
        self.all_instances = []

    def start(self):
        self.deployment = self.bench.deployment(
            "--fanout", SERVERS, "--replicas", 1, "--data-centres", 1,
            "--service-us", 2000, "--slots", 4 * self.n_instances,
            "--deadline-ms", DEADLINE_MS, processes=2)
        self.disturbed, _ = self.deployment.backends
        self.platform = self.bench.platform()
        self.publish(canary="off")
        self.instances = self.bench.instances(
            self.platform, [(f"i{i}", DC) for i in range(self.n_instances)])
        self.all_instances += self.instances
        for instance in self.instances:
            self.wait_full_coverage(instance)
        self.disturbed_ranges = self.find_disturbed_ranges()

    def publish(self, **tunables):
        table = dict(self.deployment.table)
        columns = table["services"]["columns"]
        table["services"] = {"columns": columns, "rows": [
            [("coverage" if column == "mode" else value)
             for column, value in zip(columns, row)]
            for row in table["services"]["rows"]]}
        tunables["poison_suspect_ms"] = SUSPECT_MS
        table["tunables"] = {"columns": ["name", "value"],
                             "rows": [list(t) for t in tunables.items()]}
        self.platform.publish(table)

    @staticmethod
    def wait_full_coverage(instance):
        experiment.wait_until(
            "full coverage", lambda: instance.search({"service": SERVICE})[1]
            .get("coverage", {}).get("ratio") == 1)

    def find_disturbed_ranges(self):
        self.disturbed.pause()
        _, answer = self.instances[0].search(
            {"service": SERVICE, "deadline_ms": DEADLINE_MS})
        self.disturbed.resume()
        self.wait_full_coverage(self.instances[0])
        return {m["lo"] for m in answer["coverage"]["missing"]}

    def callable_instances(self):
        with self.lock:
            return list(self.instances)

    def check(self, status, answer):
        error = answer.get("error", "none")
        missing = answer.get("coverage", {}).get("missing", ())
        with self.lock:
            self.outcomes[f"{status} {error}"] += 1
            if error in ("banned", "no_slot"):
                self.failures[error] += 1
            for part in missing:
                if part["lo"] not in self.disturbed_ranges:
                    self.outcomes[f"missing {part['reason']}"] += 1

    # Troubles.

    def stand_still(self, trouble):
        """Close all connections, then do nothing for a while."""
        with self.lock:
            self.disturbed.control(fault="reset", server="*")
            self.disturbed.pause()
            time.sleep(trouble.for_s)
            self.disturbed.resume()

    def be_slow(self, trouble):
        with self.lock:
            self.disturbed.control(fault="slow", server="*",
                                   factor=trouble.factor)
        time.sleep(trouble.for_s)
        with self.lock:
            self.disturbed.control(fault="reset", server="*")
            self.disturbed.control(fault="slow", server="*", factor=1)

    def reset(self, _):
        with self.lock:
            self.disturbed.control(fault="reset", server="*")

    def crash(self, trouble):
        with self.lock:
            names = sorted(self.disturbed.ports)
            name = names[trouble.number % len(names)]
            self.crashes.append((name, time.time(), trouble.for_s))
            self.disturbed.control(fault="crash", server=name,
                                   restart_ms=int(1000 * trouble.for_s))

    def replace(self, trouble):
        """Start a successor, then stop the instance that callers use."""
        with self.lock:
            old = self.instances[trouble.number % len(self.instances)]
            number = len(self.all_instances)
            new = self.bench.track(experiment.Instance(
                self.bench.build / "garnetreach", f"i{number}", DC,
                self.platform, self.bench.out))
            self.all_instances.append(new)
            self.instances[self.instances.index(old)] = new
            rows = [i.row() for i in self.instances]
            self.platform.instances(rows + [old.row()])
        experiment.wait_until("an instance", lambda: new.status()["table"])
        old.ask_to_stop()
        if old.child.wait(experiment.STOP_SECONDS):
            self.failures["exit status"] += 1
        with self.lock:
            self.platform.instances([i.row() for i in self.instances])

    def set_canary(self, trouble):
        with self.lock:
            self.publish(canary=("off", "on")[trouble.number % 2])

    # The run.

    def play(self):
        self.start()
        callers = [Caller(self, i) for i in range(CALLERS)]
        began = time.monotonic()
        for caller in callers:
            caller.start()
        troubles = []
        for trouble in self.plan:
            time.sleep(max(0, began + trouble.at - time.monotonic()))
            troubles.append(threading.Thread(
                target=getattr(self, trouble.kind), args=(trouble,)))
            troubles[-1].start()
        for thread in troubles:
            thread.join()
        time.sleep(max(0, began + PLAY_S - time.monotonic()))
        self.over = True
        for caller in callers:
            caller.join()

    def read_logs(self):
        """Count the verdicts of a crash of a server that did not."""
        for instance in self.all_instances:
            for text in instance.log_path.read_text().splitlines():
                if '"lost_jobs_judged"' in text:
                    self.check_verdict(json.loads(text))
                if '"fingerprint_changed"' in text and not self.crashes:
                    self.failures["suspect without a crash"] += 1
                if "Sanitizer" in text:
                    self.failures["sanitizer"] += 1

    def check_verdict(self, line):
        self.outcomes[f"verdict {line['evidence']}"] += 1
        at = datetime.datetime.fromisoformat(
            line["time"].replace("Z", "+00:00")).timestamp()
        if line["crashed"] and not any(
                name == line["server"] and
                crashed_at <= at < crashed_at + down_s + CRASH_SEEN_S
                for name, crashed_at, down_s in self.crashes):
            self.failures["verdict without a crash"] += 1

    def report(self):
        return {"seed": self.seed, "crashes": len(self.crashes),
                "failed": dict(self.failures),
                "outcomes": dict(sorted(self.outcomes.items()))}


def play_seed(options, seed):
    """Play one seed; return its report."""
    # Forked workers would choose the same ports.
    random.seed()
    run = Run(options, seed)
    try:
        run.play()
    finally:
        run.over = True
        statuses = run.bench.finish()
    for instance in run.all_instances:
        if statuses[instance.name]:
            run.failures["exit status"] += 1
    run.read_logs()
    return run.report()


def main():
    return soak_seeds.main(__doc__, play_seed, "--instances")


if __name__ == "__main__":
    sys.exit(main())
