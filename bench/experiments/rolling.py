"""Rolling restart: instances are replaced one by one while searches run."""

import os
import time

import experiment

TITLE = "rolling restarts under load, with graceful stops and with kills"

RESTARTS = {"graceful": int(os.environ.get("RESTARTS", "100")), "killed": 20}
# A kill must be detected before the next one: a real fleet does not lose all
# instances within a second.
KILL_PAUSE_SECONDS = 2
RATE = 200
ADDRESS_LIFETIME_MS = 300
LEAVE_SPREAD_MS = 700
LOAD_SECONDS_MAX = 150
DATA_CENTRES = ("be1", "be2")
INSTANCES = 6


def start_instance(bench, platform, number):
    dc = DATA_CENTRES[number % len(DATA_CENTRES)]
    return bench.track(experiment.Instance(
        bench.build / "garnetreach", f"{dc}-{number}", dc, platform,
        bench.out))


def is_covered(instance):
    _, answer = instance.search({"service": "fanout", "mode": "count"})
    return (answer["outcome"] == "done"
            and answer["coverage"]["covered"] == answer["coverage"]["total"])


def publish_instances(platform, instances):
    platform.instances([i.row() for i in instances])


def replace_oldest(bench, platform, instances, number, graceful):
    """Starts a new instance and waits until it serves before it stops the
    oldest one. Returns the exit status of a graceful stop."""
    old = instances.pop(0)
    instances.append(start_instance(bench, platform, number))
    publish_instances(platform, [old, *instances])
    experiment.wait_until("the new instance to serve",
                          lambda: is_covered(instances[-1]))
    if graceful:
        status = old.stop()
    else:
        old.kill()
        status = None
    publish_instances(platform, instances)
    return status


def restart_all(bench, platform, instances, first_number, way):
    load = bench.load_start(
        [i.address for i in instances], "--rate", str(RATE), "--seconds",
        str(LOAD_SECONDS_MAX), "--service", "fanout", "--mode", "count")
    statuses = []
    for i in range(RESTARTS[way]):
        statuses.append(replace_oldest(bench, platform, instances,
                                       first_number + i, way == "graceful"))
        if way == "killed":
            time.sleep(KILL_PAUSE_SECONDS)
    load.ask_to_stop()
    out, _ = bench.load_end(load)
    rows = out["addresses"].values()
    bench.record(
        way=way, restarts=RESTARTS[way],
        exit_0=sum(s == 0 for s in statuses), sent=out["sent"],
        outcomes=out["outcomes"],
        cut_off=sum(r["cut_off"] + r["silent"] for r in rows),
        cut_off_reused=sum(r["cut_off_reused"] for r in rows),
        connect_failures=sum(r["connect_failures"] for r in rows),
        coverage_mean=out["coverage"]["mean"],
        coverage_min=out["coverage"]["min"],
        p50_us=out["latency_us"]["p50"], p99_us=out["latency_us"]["p99"])


def run(bench):
    platform = bench.platform()
    deployment = bench.deployment(
        "--fanout", "6", "--replicas", "2", "--slots", "16", "--connections",
        "64", "--service-us", "1000", "--data-centres",
        str(len(DATA_CENTRES)), "--tunable",
        f"address_lifetime_ms={ADDRESS_LIFETIME_MS}", "--tunable",
        f"leave_spread_ms={LEAVE_SPREAD_MS}", processes=2)
    platform.publish(deployment.table)
    instances = [start_instance(bench, platform, i) for i in range(INSTANCES)]
    publish_instances(platform, instances)
    for instance in instances:
        experiment.wait_until("full coverage",
                              lambda i=instance: is_covered(i))
    restart_all(bench, platform, instances, 100, "graceful")
    restart_all(bench, platform, instances, 300, "killed")
