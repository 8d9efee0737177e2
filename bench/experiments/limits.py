"""Slots and connections that are used at backend servers, against their limits.

More is asked than the servers can answer, by four callers: through four
instances, which share out each server's limits and of which one is killed and
replaced meanwhile; and directly, each caller with its own connections and a
fourth of the load. The servers count the most requests that ran, waited and
connections that were open at once, and connections that they refused. A search
is good if it is answered with sufficient coverage.
"""

import threading
import time

import experiment

TITLE = "most slots and connections in use at a server, shared and unshared"
PLACES = [(f"be1-{name}", "be1") for name in "abcd"]
SHARDS = 4
REPLICAS = 2
SLOTS = 4
CONNECTIONS = 8
SERVICE_MS = 10
# Each search asks one server of each shard.
CAPACITY = REPLICAS * SLOTS * 1000 / SERVICE_MS
TIMES = 2
SECONDS = 10
KILL_AFTER = 4
REPLACE_AFTER = 1


def deployment_of(bench):
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


def replace_one(bench, platform, instances):
    """One process ends without a word; another takes its name."""
    time.sleep(KILL_AFTER)
    old = instances[0]
    old.kill()
    time.sleep(REPLACE_AFTER)
    bench.keep(experiment.Instance(
        bench.build / "garnetreach", old.instance, old.data_centre, platform,
        bench.out,
    ))


def most(counters, name):
    return max(row[name] for row in counters.values())


def record(bench, way, deployment, summaries):
    counters = deployment.counters()
    sent = sum(s["sent"] for s in summaries)
    good = sum(s["outcomes"].get("done", 0)
               - s["coverage"].get("insufficient", 0) for s in summaries)
    bench.record(
        way=way, slots=SLOTS, connections=CONNECTIONS,
        slots_peak=most(counters, "slots_peak"),
        queued_peak=most(counters, "queued_peak"),
        connections_peak=most(counters, "connections_peak"),
        connections_refused=sum(row["connections_refused"]
                                for row in counters.values()),
        sent=sent, good_ratio=round(good / sent, 3),
        coverage=round(summaries[0]["coverage"].get("mean", 0), 3),
        p99_ms=max(s["latency_us"].get("p99", 0) for s in summaries) / 1000,
        wrong=sum(s["wrong"] for s in summaries),
    )


def queries_of(deployment):
    return deployment.write_queries(
        "queries.jsonl",
        [{"service": "fanout", "where": {"urgency": "leak"}, "limit": 5}],
    )


def shared(bench):
    deployment = deployment_of(bench)
    queries = queries_of(deployment)
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
                      CAPACITY * TIMES, "--connections", "1024")
    killer = threading.Thread(target=replace_one,
                              args=(bench, platform, instances))
    killer.start()
    summary, _ = bench.load_end(load)
    killer.join()
    record(bench, "shared", deployment, [summary])


def unshared(bench):
    deployment = deployment_of(bench)
    queries = queries_of(deployment)
    loads = [
        load_start(bench, deployment.addresses(), queries,
                   CAPACITY * TIMES / len(PLACES), "--direct",
                   "--connections", str(CONNECTIONS), "--seed", str(i))
        for i in range(len(PLACES))
    ]
    summaries = [bench.load_end(load)[0] for load in loads]
    record(bench, "unshared", deployment, summaries)


def run(bench):
    shared(bench)
    for process in reversed(bench.processes):
        process.stop()
    bench.processes.clear()
    unshared(bench)
