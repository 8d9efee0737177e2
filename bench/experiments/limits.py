"""Slots and connections in use at backend servers, against their limits.

The load exceeds the capacity of the servers. It is sent either through four
instances, which divide each server's limits among themselves and one of which
is killed and replaced meanwhile; or directly, by four callers with their own
connections and a fourth of the load each. The servers count the peaks of
running requests, queued requests and open connections, and the connections
that they refused. A search is good if it is answered with sufficient coverage.
"""

import threading
import time

import experiment

TITLE = "peak slots and connections in use at a server, shared and unshared"
PLACES = [(f"be1-{name}", "be1") for name in "abcd"]
SHARDS = 4
REPLICAS = 2
SLOTS = 4
CONNECTIONS = 8
SERVICE_MS = 10
# Searches per second; each search asks one server of each shard.
CAPACITY = REPLICAS * SLOTS * 1000 / SERVICE_MS
LOAD_FACTOR = 2
SECONDS = 10
KILL_AFTER_SECONDS = 4
REPLACE_AFTER_SECONDS = 1


def start_deployment(bench):
    return bench.deployment(
        "--fanout", SHARDS, "--replicas", REPLICAS, "--data-centres", 1,
        "--service-us", SERVICE_MS * 800, "--service-random-us",
        SERVICE_MS * 200, "--slots", SLOTS, "--connections", CONNECTIONS,
        "--deadline-ms", 500,
    )


def load_start(bench, addresses, queries, rate, *options):
    return bench.load_start(
        addresses, "--queries", queries, "--rate", str(int(rate)), "--seconds",
        str(SECONDS), "--timeout-ms", "2000", *options,
    )


def kill_and_replace(bench, platform, instances):
    """Kills an instance and later starts another under its name."""
    time.sleep(KILL_AFTER_SECONDS)
    old = instances[0]
    old.kill()
    time.sleep(REPLACE_AFTER_SECONDS)
    bench.track(experiment.Instance(
        bench.build / "garnetreach", old.instance, old.data_centre, platform,
        bench.out,
    ))


def max_counter(counters, name):
    return max(row[name] for row in counters.values())


def record(bench, way, deployment, summaries):
    counters = deployment.counters()
    sent = sum(s["sent"] for s in summaries)
    good = sum(s["outcomes"].get("done", 0)
               - s["coverage"].get("insufficient", 0) for s in summaries)
    bench.record(
        way=way, slots=SLOTS, connections=CONNECTIONS,
        slots_peak=max_counter(counters, "slots_peak"),
        queued_peak=max_counter(counters, "queued_peak"),
        connections_peak=max_counter(counters, "connections_peak"),
        connections_refused=sum(row["connections_refused"]
                                for row in counters.values()),
        sent=sent, good_ratio=round(good / sent, 3),
        coverage=round(summaries[0]["coverage"].get("mean", 0), 3),
        p99_ms=max(s["latency_us"].get("p99", 0) for s in summaries) / 1000,
        wrong=sum(s["wrong"] for s in summaries),
    )


def write_queries_file(deployment):
    return deployment.write_queries(
        "queries.jsonl",
        [{"service": "fanout", "where": {"urgency": "leak"}, "limit": 5}],
    )


def measure_shared(bench):
    deployment = start_deployment(bench)
    queries = write_queries_file(deployment)
    platform = bench.platform()
    platform.publish(deployment.table)
    instances = bench.instances(platform, PLACES)
    for instance in instances:
        experiment.wait_until(
            "full coverage",
            lambda i=instance: i.search({"service": "fanout"})[1]
            .get("coverage", {}).get("ratio") == 1,
        )
    load = load_start(bench, [i.address for i in instances], queries,
                      CAPACITY * LOAD_FACTOR, "--connections", "1024")
    killer = threading.Thread(target=kill_and_replace,
                              args=(bench, platform, instances))
    killer.start()
    summary, _ = bench.load_end(load)
    killer.join()
    record(bench, "shared", deployment, [summary])


def measure_unshared(bench):
    deployment = start_deployment(bench)
    queries = write_queries_file(deployment)
    loads = [
        load_start(bench, deployment.addresses(), queries,
                   CAPACITY * LOAD_FACTOR / len(PLACES), "--direct",
                   "--connections", str(CONNECTIONS), "--seed", str(i))
        for i in range(len(PLACES))
    ]
    summaries = [bench.load_end(load)[0] for load in loads]
    record(bench, "unshared", deployment, summaries)


def run(bench):
    measure_shared(bench)
    for process in reversed(bench.processes):
        process.stop()
    bench.processes.clear()
    measure_unshared(bench)
