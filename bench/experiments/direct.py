"""Latency and processor time that an instance adds to a search, and the rate
it can sustain."""

import experiment

TITLE = "searches through one instance, against searches sent to backends"

SHARDS = 10
RATE = 150
SECONDS = 5
ROUNDS = 3
RATES = (250, 500, 1000, 1500, 2000, 3000, 4000)
RATE_SECONDS = 3
MAX_P99_US = 50000
MIN_DONE_RATIO = 0.99
PLOT = """
set logscale y
set xlabel 'searches a second'
set ylabel 'microseconds'
plot $DATA using 1:2 with linespoints title 'p50', \\
     $DATA using 1:3 with linespoints title 'p99'
"""
SEARCHES = [
    {"service": "fanout", "mode": "count"},
    {"service": "fanout", "where": {"urgency": "leak"}, "limit": 5},
    {"service": "fanout", "where": {"workspace": "ws-03"}},
]


def wait_for_full_coverage(instance):
    """Waits until a count query covers all records."""

    def check():
        _, answer = instance.search({"service": "fanout", "mode": "count"})
        return (answer["outcome"] == "done"
                and answer["coverage"]["covered"]
                == answer["coverage"]["total"])

    experiment.wait_until("full coverage", check)


def summarise(summary):
    latency = summary["latency_us"]
    return {
        "rate": summary["rate"],
        "done_ratio": round(
            summary["outcomes"].get("done", 0) / summary["sent"], 4),
        "p50_us": latency.get("p50"),
        "p99_us": latency.get("p99"),
        "p999_us": latency.get("p99.9"),
        "late_p99_us": summary["lateness_us"]["p99"],
        "coverage": round(summary["coverage"]["mean"], 5),
        "wrong": summary["wrong"],
        "requests_a_search": round(
            summary["work"]["requests"] / summary["sent"], 2),
    }


def compare(bench, deployment, instance, queries):
    """Alternates between both ways, so that noise of the machine affects both
    equally."""
    options = ("--queries", queries, "--rate", str(RATE), "--seconds",
               str(SECONDS))
    for i in range(ROUNDS):
        seed = ("--seed", str(i + 1))
        direct = bench.load(deployment.addresses(), "--direct",
                            "--connections", "8", *options, *seed)
        bench.record(way="direct", round=i, **summarise(direct))
        with experiment.CpuMeter(instance) as meter:
            via_instance = bench.load([instance.address], *options, *seed)
        bench.record(way="instance", round=i, **summarise(via_instance),
                     cpu_us_a_search=round(
                         meter.total() * 1e6 / via_instance["sent"], 1))


def increase_rate(bench, deployment, instance, queries):
    """Raises the rate until the instance cannot keep up. The service time is
    set to 0, so that backend servers are not the bottleneck."""
    deployment.control(fault="service_time", server="*", service_us=0,
                       service_random_us=0)
    rows = []
    for rate in RATES:
        with experiment.CpuMeter(instance) as meter:
            summary = bench.load([instance.address], "--queries", queries,
                                 "--rate", str(rate), "--seconds",
                                 str(RATE_SECONDS))
        row = summarise(summary)
        bench.record(way="climb", **row,
                     cpu_share=round(meter.total() / RATE_SECONDS, 3))
        rows.append((rate, row["p50_us"], row["p99_us"]))
        if row["done_ratio"] < MIN_DONE_RATIO or row["p99_us"] > MAX_P99_US:
            break
    bench.plot("climb", PLOT, rows)


def run(bench):
    deployment = bench.deployment("--fanout", SHARDS, "--replicas", 2,
                                  "--data-centres", 1, "--service-us", 2000,
                                  "--service-random-us", 500, processes=2)
    queries = deployment.write_queries("queries.jsonl", SEARCHES)
    platform = bench.platform()
    platform.publish(deployment.table)
    (instance,) = bench.instances(platform, [("one", "be1")])
    wait_for_full_coverage(instance)
    compare(bench, deployment, instance, queries)
    increase_rate(bench, deployment, instance, queries)
