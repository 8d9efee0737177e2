"""Effect on callers of a graceful stop and of a sudden loss of an instance.

The platform's instance list is not changed: the fleet must detect the
departure itself. Load of searches and of non-idempotent requests runs
meanwhile.
"""

import threading
import time

import experiment

TITLE = "a graceful stop and a sudden loss of an instance, under load"

INSTANCES = 8
DATA_CENTRES = 4
RATE = 150
WARMUP_SECONDS = 2
OBSERVE_SECONDS = 10
SERVICE = "be-desk-01"
DATA_CENTRE = "be1"


def lists_instance(instance, departing):
    rows = experiment.request_json(
        instance.port, "GET", f"/v1/addresses?data_centre={DATA_CENTRE}")
    return departing.instance in [row["instance"] for row in rows["addresses"]]


def watch_listings(others, departing, start, end, out):
    """Records when the last instance stopped listing the departing one."""
    out["unnamed_s"] = None
    while time.monotonic() < end:
        now = time.monotonic()
        listed = any(lists_instance(instance, departing)
                     for instance in others)
        if listed:
            out["unnamed_s"] = None
        elif out["unnamed_s"] is None:
            out["unnamed_s"] = round(now - start, 2)
        time.sleep(0.05)


def all_covered(instances, services):
    """Whether all instances cover all records of every service."""
    for instance in instances:
        for service in services:
            _, answer = instance.search({"service": service, "mode": "count"})
            if answer["outcome"] != "done":
                return False
            if answer["coverage"]["covered"] != answer["coverage"]["total"]:
                return False
    return True


def start_fleet(bench):
    """Starts instances, waits for full coverage and writes the queries."""
    deployment = bench.deployment("--scale", 0.1, "--service-us", 1000)
    services = [row[0] for row in deployment.table["services"]["rows"]]
    queries = deployment.write_queries(
        "queries.jsonl", [{"service": s, "mode": "count"} for s in services])
    platform = bench.platform()
    platform.publish(deployment.table)
    instances = bench.instances(
        platform,
        [(f"i{n}", f"be{n % DATA_CENTRES + 1}") for n in range(INSTANCES)])
    experiment.wait_until("full coverage",
                          lambda: all_covered(instances, services))
    return instances, queries


def start_load(bench, instances, queries):
    return bench.load_start(
        [i.address for i in instances], "--queries", queries, "--rate",
        str(RATE), "--seconds", str(WARMUP_SECONDS + OBSERVE_SECONDS),
        "--data-centre", DATA_CENTRE, "--runs", "0.2", "--run-service",
        SERVICE, "--resend-not-run")


def remove_instance(way, departing, others):
    """Stops or kills an instance. Returns when it exited and when it was no
    longer listed."""
    start = time.monotonic()
    observed = {}
    watcher = threading.Thread(
        target=watch_listings,
        args=(others, departing, start, start + OBSERVE_SECONDS, observed))
    if way == "stop":
        departing.ask_to_stop()
    else:
        departing.kill()
    watcher.start()
    observed["exit_status"] = departing.child.wait()
    observed["ended_s"] = round(time.monotonic() - start, 2)
    watcher.join()
    return observed


def measure(bench, way):
    instances, queries = start_fleet(bench)
    load = start_load(bench, instances, queries)
    time.sleep(WARMUP_SECONDS)
    observed = remove_instance(way, instances[0], instances[1:])
    out, _ = bench.load_end(load)
    target = out["addresses"][instances[0].address]
    bench.record(
        way=way, sent=out["sent"], searches=out["outcomes"], runs=out["runs"],
        status=out["status"], cut_off=target["cut_off"],
        silent=target["silent"], connect_failures=target["connect_failures"],
        p99_us=out["latency_us"].get("p99"),
        run_p99_us=out["run_latency_us"].get("p99"),
        late_p99_us=out["lateness_us"]["p99"],
        min_coverage=out["coverage"]["min"], wrong=out["wrong"], **observed)


def run(bench):
    for way in ("stop", "kill"):
        with bench.part(way) as part:
            measure(part, way)
