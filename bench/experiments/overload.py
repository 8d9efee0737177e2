"""Overload: offered load of 1, 2, 5 and 10 times the capacity of the servers.

A search is good if it is answered within its deadline and with sufficient
coverage. The baseline starts every search immediately and queues it at homes
(tunable admission off). A second part floods one service while searches of an
urgent service run at a low rate through the same instances.
"""

import time

import experiment

TITLE = "goodput and latency at 1, 2, 5 and 10 times capacity"
PLACES = [(f"be1-{name}", "be1") for name in "abcd"]
SLOTS = 2
SERVERS = 4
SERVICE_MS = 10
# Searches per second; each search asks one server of each of two shards.
CAPACITY = SLOTS * SERVERS * 1000 / SERVICE_MS / 2
SECONDS = 6
LOAD_FACTORS = (1, 2, 5, 10)
SETTLE_SECONDS = 1.5
URGENT = "be-desk-01"
FLOODED = "be-portal-01"


def publish(platform, table, admission):
    rows = [r for r in table["tunables"]["rows"] if r[0] != "admission"]
    tunables = {**table["tunables"], "rows": rows + [["admission", admission]]}
    platform.publish({**table, "tunables": tunables})
    time.sleep(SETTLE_SECONDS)


def start_fleet(bench, deployment, service):
    platform = bench.platform()
    platform.publish(deployment.table)
    instances = bench.instances(platform, PLACES)
    for instance in instances:
        experiment.wait_until(
            "full coverage",
            lambda: instance.search({"service": service})[1]
            .get("coverage", {}).get("ratio") == 1,
        )
    return platform, [instance.address for instance in instances]


def load_start(bench, addresses, queries, rate):
    return bench.load_start(
        addresses, "--queries", queries, "--rate", str(int(rate)), "--seconds",
        str(SECONDS), "--connections", "1024", "--timeout-ms", "2000",
    )


def summarise(summary):
    done = summary["outcomes"].get("done", 0)
    good = done - summary["coverage"].get("insufficient", 0)
    return {
        "sent": summary["sent"],
        "goodput": round(good / summary["seconds"], 1),
        "outcomes": summary["outcomes"],
        "coverage_mean": round(summary["coverage"].get("mean", 0), 4),
        "wrong": summary["wrong"],
        "p50_ms": summary["latency_us"].get("p50", 0) / 1000,
        "p99_ms": summary["latency_us"].get("p99", 0) / 1000,
        "refusal_p99_ms": summary["other_latency_us"].get("p99", 0) / 1000,
    }


def measure_loads(bench):
    deployment = bench.deployment(
        "--fanout", 2, "--replicas", 2, "--service-us", SERVICE_MS * 800,
        "--service-random-us", SERVICE_MS * 200, "--slots", SLOTS,
        "--data-centres", 1, "--deadline-ms", 500,
    )
    queries = deployment.write_queries(
        "queries.jsonl",
        [{"service": "fanout", "where": {"urgency": "leak"}, "limit": 5}],
    )
    platform, addresses = start_fleet(bench, deployment, "fanout")
    for admission in ("off", "on"):
        publish(platform, deployment.table, admission)
        for times in LOAD_FACTORS:
            load = load_start(bench, addresses, queries, CAPACITY * times)
            summary, _ = bench.load_end(load)
            bench.record(part="loads", admission=admission, times=times,
                         offered=CAPACITY * times, **summarise(summary))
            time.sleep(SETTLE_SECONDS)


def measure_flood(bench):
    deployment = bench.deployment(
        "--deployment", "belgium", "--scale", 0.1, "--data-centres", 1,
        "--service-us", 8000, "--service-random-us", 2000,
    )
    urgent = deployment.write_queries("urgent.jsonl", [{"service": URGENT}])
    flood = deployment.write_queries("flood.jsonl", [{"service": FLOODED}])
    platform, addresses = start_fleet(bench, deployment, URGENT)
    for admission in ("off", "on"):
        publish(platform, deployment.table, admission)
        for rate in (0, 4000):
            loads = [load_start(bench, addresses, urgent, 50)]
            if rate:
                loads.append(load_start(bench, addresses, flood, rate))
            summaries = [bench.load_end(load)[0] for load in loads]
            bench.record(part="flood", admission=admission, flood=rate,
                         urgent=summarise(summaries[0]))
            time.sleep(SETTLE_SECONDS)


def run(bench):
    measure_loads(bench)
    for process in reversed(bench.processes):
        process.stop()
    bench.processes.clear()
    measure_flood(bench)
