"""Snapshot version switches and repartitioning while searches run."""

import threading

import experiment

TITLE = "version switches and repartitioning under load, against neither"

SHARDS = 12
RATE = 300
SECONDS = 12
SWITCH_INTERVAL_SECONDS = 0.4
VERSIONS = (1, 2, 3, 4)
# (shards of the new version, milliseconds for which the old one is kept).
REPARTITIONS = ((24, 0), (8, 300), (12, 0), (36, 1000), (12, 300))
SEARCHES = [
    {"service": "fanout", "mode": "count"},
    {"service": "fanout", "mode": "count", "where": {"urgency": "leak"}},
    {"service": "fanout", "where": {"state": "open"}, "limit": 5},
]


def is_covered(instance):
    _, answer = instance.search({"service": "fanout", "mode": "count"})
    return (answer["outcome"] == "done"
            and answer["coverage"]["covered"] == answer["coverage"]["total"])


def keep_switching(deployment, stop, switch_counts):
    """Switches until stopped. The version also decreases, because operators
    roll data back."""
    n = 0
    while not stop.wait(SWITCH_INTERVAL_SECONDS):
        version = VERSIONS[(n + 1) % len(VERSIONS)]
        shards, keep_ms = REPARTITIONS[n % len(REPARTITIONS)]
        deployment.control(fault="version", server="*", version=version,
                           shards=shards, keep_ms=keep_ms)
        n += 1
    switch_counts.append(n)


def measure(bench, instances, queries, **fields):
    out = bench.load([i.address for i in instances], "--queries", queries,
                     "--rate", str(RATE), "--seconds", str(SECONDS),
                     "--history", bench.out / "load.jsonl",
                     "--history-answers")
    bench.record(
        sent=out["sent"], outcomes=out["outcomes"], wrong=out["wrong"],
        wrong_kinds=out.get("wrong_kinds"),
        coverage_mean=out["coverage"]["mean"],
        coverage_min=out["coverage"]["min"],
        restarts=out["work"]["restarts"],
        p50_us=out["latency_us"]["p50"], p99_us=out["latency_us"]["p99"],
        **fields)


def run(bench):
    platform = bench.platform()
    deployment = bench.deployment(
        "--fanout", str(SHARDS), "--replicas", "2", "--slots", "16",
        "--connections", "32", "--service-us", "1000", "--data-centres", "2",
        processes=2)
    platform.publish(deployment.table)
    instances = bench.instances(
        platform, [("a", "be1"), ("b", "be2"), ("c", "be1"), ("d", "be2")])
    for instance in instances:
        experiment.wait_until("full coverage",
                              lambda i=instance: is_covered(i))
    queries = deployment.write_queries("queries.jsonl", SEARCHES, VERSIONS)
    measure(bench, instances, queries, way="no switches", switches=0)
    stop = threading.Event()
    switches = []
    thread = threading.Thread(target=keep_switching,
                              args=(deployment, stop, switches))
    thread.start()
    try:
        measure(bench, instances, queries, way="switches")
    finally:
        stop.set()
        thread.join()
    bench.record(way="switches", switches=switches[0])
