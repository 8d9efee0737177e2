"""Cost of an idle instance that only takes part in fleet membership."""

import time

import experiment

TITLE = "processor time and memory of idle instances, by size of the fleet"

SIZES = (4, 12, 24, 48)
DATA_CENTRES = ("be1", "be2", "be3", "be4")
SETTLE_SECONDS = 6
SECONDS = 10


def run_fleet(bench, platform, size):
    places = [(f"n{size}-{i}", DATA_CENTRES[i % len(DATA_CENTRES)])
              for i in range(size)]
    instances = bench.instances(platform, places)
    for instance in instances:
        experiment.wait_until(
            "all members to be alive",
            lambda i=instance: sum(m["status"] == "alive" for m in
                                   i.status()["members"]) == size)
    time.sleep(SETTLE_SECONDS)
    calls = platform.counters()["calls"]
    with experiment.CpuMeter(*instances) as meter:
        time.sleep(SECONDS)
    calls = platform.counters()["calls"] - calls
    rss = [i.rss_bytes() for i in instances]
    bench.record(
        instances=size,
        cpu_ratio=round(meter.total() / SECONDS / size, 6),
        rss_kb_mean=round(sum(rss) / size / 1024, 1),
        rss_kb_most=round(max(rss) / 1024, 1),
        links=instances[0].metrics().get("garnetreach_peer_links"),
        platform_calls_per_s=round(calls / SECONDS, 2))
    for instance in instances:
        instance.kill()


def run(bench):
    platform = bench.platform()
    deployment = bench.deployment(
        "--fanout", "12", "--replicas", "2", "--slots", "4", "--data-centres",
        "4", processes=1)
    platform.publish(deployment.table)
    for size in SIZES:
        run_fleet(bench, platform, size)
