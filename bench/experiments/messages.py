"""Cost of a message to a home: the same search through 1 to 8 homes."""

import experiment

TITLE = "processor time of entry and homes, by number of homes"

SHARDS = 64
HOMES = (1, 2, 4, 8)
RATE = 60
SECONDS = 6
ROUNDS = 2


def is_covered(instance):
    _, answer = instance.search({"service": "fanout", "mode": "count"})
    return (answer["outcome"] == "done"
            and answer["coverage"]["covered"] == answer["coverage"]["total"])


def measure(bench, entry, homes, round_number):
    with experiment.CpuMeter(entry) as entry_meter, \
            experiment.CpuMeter(*homes) as homes_meter:
        out = bench.load(
            [entry.address], "--fixed", "--rate", str(RATE), "--seconds",
            str(SECONDS), "--service", "fanout", "--mode", "count")
    n = out["sent"]
    bench.record(
        homes=len(homes), round=round_number, sent=n,
        homes_a_search=round(out["work"]["homes"] / n, 2),
        requests_a_search=round(out["work"]["requests"] / n, 2),
        entry_us_a_search=round(entry_meter.total() * 1e6 / n, 1),
        homes_us_a_search=round(homes_meter.total() * 1e6 / n, 1),
        p50_us=out["latency_us"]["p50"], p99_us=out["latency_us"]["p99"])


def measure_homes(bench, platform, n):
    places = [("entry", "be2")]
    places += [(f"home{n}-{i}", "be1") for i in range(n)]
    instances = bench.instances(platform, places)
    experiment.wait_until("full coverage", lambda: is_covered(instances[0]))
    for i in range(ROUNDS):
        measure(bench, instances[0], instances[1:], i)
    for instance in instances:
        instance.kill()


def run(bench):
    platform = bench.platform()
    deployment = bench.deployment(
        "--fanout", str(SHARDS), "--replicas", "1", "--slots", "16",
        "--connections", "32", "--data-centres", "1", "--service-us", "1000",
        processes=2)
    platform.publish(deployment.table)
    for n in HOMES:
        measure_homes(bench, platform, n)
