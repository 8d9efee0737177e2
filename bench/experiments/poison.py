"""Poison queries: a search that crashes every server that runs it, and is
retried.

Its caller sends it to the instances in turn, each time as soon as it has an
answer, while other callers run background searches. Crashed servers restart
after RESTART_MS. The experiment counts the servers lost to each poison query.
"""

import time

import experiment

TITLE = "servers lost to poison queries"
PLACES = [(f"be1-{name}", "be1") for name in "abcd"]
SERVERS = 6
POISON_QUERIES = 6
RESENDS = 12
RESTART_MS = 1500
BACKGROUND_RATE = 100
LOAD_SECONDS = 40


def publish(platform, table, **values):
    rows = [r for r in table["tunables"]["rows"] if r[0] not in values]
    tunables = {**table["tunables"],
                "rows": rows + [[k, v] for k, v in values.items()]}
    platform.publish({**table, "tunables": tunables})
    time.sleep(1.5)


def is_covered(instance):
    _, answer = instance.search({"service": "fanout"})
    return answer.get("coverage", {}).get("ratio") == 1


def crash_count(deployment):
    return sum(row["crashes"] for row in deployment.counters().values())


def send_poison(instances, marker):
    """Sends the query RESENDS times; returns the answers by error or
    outcome."""
    errors = {}
    for i in range(RESENDS):
        instance = instances[i % len(instances)]
        _, answer = instance.search({
            "service": "fanout", "where": {"urgency": marker},
            "deadline_ms": 400,
        })
        error = answer.get("error", answer["outcome"])
        errors[error] = errors.get(error, 0) + 1
    return errors


def measure(bench, deployment, platform, instances, way, **values):
    publish(platform, deployment.table, **values)
    for instance in instances:
        experiment.wait_until("full coverage", lambda: is_covered(instance))
    load = bench.load_start(
        [i.address for i in instances], "--service", "fanout", "--rate",
        str(BACKGROUND_RATE), "--seconds", str(LOAD_SECONDS), "--timeout-ms",
        "2000",
    )
    lost = []
    errors = {}
    for i in range(POISON_QUERIES):
        before = crash_count(deployment)
        marker = f"boom-{way}-{i}".replace(" ", "-")
        for error, n in send_poison(instances, marker).items():
            errors[error] = errors.get(error, 0) + n
        lost.append(crash_count(deployment) - before)
        time.sleep(2 * RESTART_MS / 1000)
    summary, _ = bench.load_end(load)
    bench.record(way=way, lost=lost, most=max(lost), answers=errors,
                 calm=summary["outcomes"],
                 calm_coverage=round(summary["coverage"]["mean"], 4),
                 calm_p99_ms=summary["latency_us"]["p99"] / 1000)


def run(bench):
    deployment = bench.deployment(
        "--fanout", SERVERS // 2, "--replicas", 2, "--data-centres", 1,
        "--service-us", 4000, "--service-random-us", 1000,
        "--connect-cost-us", 0, "--slots", 4, "--deadline-ms", 500,
    )
    deployment.control(fault="crash_on", server="*", marker="boom",
                       restart_ms=RESTART_MS)
    platform = bench.platform()
    platform.publish(deployment.table)
    instances = bench.instances(platform, PLACES)
    measure(bench, deployment, platform, instances, "canary off", canary="off")
    measure(bench, deployment, platform, instances, "canary on", canary="on")
