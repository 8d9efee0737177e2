"""At-most-once execution under kills, pauses, resets, crashes, shedding and
lost answers.

Callers send an order with a ticket and retry with the same ticket, at any
instance, until they know the outcome. The baseline takes a new ticket for each
retry. Backend servers count the runs of each ticket.
"""

import http.client
import json
import random
import threading
import time

import experiment

TITLE = "orders that ran twice, or ran although reported as not run"
INSTANCES = 4
CALLERS = 8
SECONDS = 20
MAX_ATTEMPTS = 4
CALLER_TIMEOUT_SECONDS = 1.5
PLACES = [(f"be1-{name}", "be1") for name in "abcd"[:INSTANCES]]


class Fleet:
    """Instances that are killed and replaced under the same names."""

    def __init__(self, bench, platform):
        self.bench = bench
        self.platform = platform
        self.lock = threading.Lock()
        self.instances = bench.instances(platform, PLACES)

    def pick_port(self, rng):
        with self.lock:
            return rng.choice(self.instances).port

    def replace(self, index):
        """Kills an instance and starts another under its name."""
        old = self.instances[index]
        old.kill()
        time.sleep(0.3)
        new = self.bench.track(
            experiment.Instance(
                self.bench.build / "garnetreach", old.instance,
                old.data_centre, self.platform, self.bench.out,
            )
        )
        with self.lock:
            self.instances[index] = new
            rows = [i.row() for i in self.instances]
        self.platform.instances(rows)


def post(port, path, body):
    """(status, answer), or (None, None) if no complete answer arrived."""
    try:
        status, _, text = experiment.request(
            port, "POST", path, json.dumps(body),
            timeout=CALLER_TIMEOUT_SECONDS,
        )
        return status, json.loads(text)
    except (OSError, http.client.HTTPException, ValueError):
        return None, None


class Order:
    """An order: the tickets it was sent with and the outcomes received."""

    def __init__(self, key):
        self.key = key
        self.tickets = []
        self.outcomes = []
        self.results = set()
        self.errors = set()

    def take_ticket(self, port):
        _, answer = post(port, "/v1/tickets", {"service": "fanout"})
        if not answer or "ticket" not in answer:
            return None
        self.tickets.append(answer["ticket"])
        return answer["ticket"]

    def send(self, port, ticket):
        _, answer = post(port, "/v1/run", {
            "ticket": ticket, "service": "fanout", "key": self.key,
            "payload": {"van": self.key}, "deadline_ms": 800,
        })
        outcome = answer["outcome"] if answer else "no_answer"
        self.outcomes.append(outcome)
        if outcome == "done":
            self.results.add(json.dumps(answer["result"]))
        elif answer:
            self.errors.add(answer["error"])
        if answer:
            time.sleep(answer.get("retry_after_ms", 0) / 1000)
        return outcome


def submit_order(order, fleet, rng, plain_retries):
    ticket = None
    for _ in range(MAX_ATTEMPTS):
        if not ticket or plain_retries:
            ticket = order.take_ticket(fleet.pick_port(rng))
        if not ticket:
            continue
        if order.send(fleet.pick_port(rng), ticket) in ("done", "not_run"):
            return


def caller(caller_id, fleet, plain_retries, end, orders):
    rng = random.Random(caller_id)
    while time.monotonic() < end:
        order = Order(f"order-{caller_id}-{len(orders)}")
        orders.append(order)
        submit_order(order, fleet, rng, plain_retries)


def inject_faults(fleet, deployment, end):
    """Injects random faults until the end. Returns how many."""
    rng = random.Random(7)
    servers = list(deployment.ports)
    faults = 0
    while time.monotonic() < end - 1.5:
        kind = rng.randrange(5)
        if kind == 0:
            fleet.replace(rng.randrange(INSTANCES))
        elif kind == 1:
            instance = fleet.instances[rng.randrange(INSTANCES)]
            instance.pause()
            time.sleep(rng.uniform(0.1, 1.2))
            instance.resume()
        elif kind == 2:
            deployment.control(fault="reset", server=rng.choice(servers))
        elif kind == 3:
            deployment.control(fault="crash", server=rng.choice(servers),
                               restart_ms=200)
        else:
            deployment.control(fault="shed", server=rng.choice(servers),
                               ratio=rng.choice([0, 0.3]))
        faults += 1
        time.sleep(rng.uniform(0.05, 0.4))
    deployment.control(fault="shed", server="*", ratio=0)
    return faults


def count_runs(deployment):
    """Runs of each ticket, summed over all servers."""
    runs = {}
    for backend in deployment.backends:
        report = experiment.request_json(
            backend.control_port, "GET", "/control?tickets=1"
        )
        for server in report["servers"].values():
            for ticket, n in server["tickets"].items():
                runs[ticket] = runs.get(ticket, 0) + n
    return runs


def count_values(values):
    out = {}
    for name in values:
        out[name] = out.get(name, 0) + 1
    return out


def order_succeeds(port):
    """Whether an order succeeds, which shows that the fleet is ready."""
    order = Order("ready")
    ticket = order.take_ticket(port)
    return ticket and order.send(port, ticket) == "done"


def measure(bench, fleet, deployment, plain_retries):
    end = time.monotonic() + SECONDS
    orders_by_caller = [[] for _ in range(CALLERS)]
    threads = [
        threading.Thread(target=caller,
                         args=(i, fleet, plain_retries, end, orders))
        for i, orders in enumerate(orders_by_caller)
    ]
    for thread in threads:
        thread.start()
    faults = inject_faults(fleet, deployment, end)
    for thread in threads:
        thread.join()
    runs = count_runs(deployment)
    orders = [order for orders in orders_by_caller for order in orders]
    runs_by_order = [sum(runs.get(t, 0) for t in o.tickets) for o in orders]
    not_run = [n for o, n in zip(orders, runs_by_order)
               if o.outcomes and o.outcomes[-1] == "not_run"]
    last_outcomes = count_values(
        o.outcomes[-1] if o.outcomes else "no_ticket" for o in orders)
    bench.record(
        way="plain retries" if plain_retries else "tickets",
        orders=len(orders),
        faults=faults,
        runs=sum(runs_by_order),
        orders_run_twice=sum(n > 1 for n in runs_by_order),
        tickets_run_twice=sum(n > 1 for n in runs.values()),
        called_not_run=len(not_run),
        falsely_not_run=sum(n > 0 for n in not_run),
        done_without_run=sum(
            n == 0 and "done" in o.outcomes
            for o, n in zip(orders, runs_by_order)
        ),
        answers_that_differ=sum(len(o.results) > 1 for o in orders)
        if not plain_retries else None,
        asked_again=sum(len(o.outcomes) > 1 for o in orders),
        last_outcomes=last_outcomes,
        errors=count_values(e for o in orders for e in o.errors),
    )


def run(bench):
    deployment = bench.deployment("--fanout", 2, "--replicas", 2,
                                  "--service-us", 3000, "--connect-cost-us",
                                  1000, "--slots", 4, "--data-centres", 1)
    platform = bench.platform()
    platform.publish(deployment.table)
    fleet = Fleet(bench, platform)
    for instance in fleet.instances:
        experiment.wait_until("the first order to succeed",
                              lambda: order_succeeds(instance.port))
    for plain_retries in (True, False):
        measure(bench, fleet, deployment, plain_retries)
