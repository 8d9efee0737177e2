"""Processor time of each tier per request to a backend server.

The backend servers are all in be1. The instance in be2 has no share of their
limits and is only the entry of searches; the one in be1 is the home of all
servers.
"""

import time

import experiment
from experiments import direct, evhttp_floor

TITLE = "processor time of entry and home per backend request"

SHARDS = (10, 100, 730)
REQUESTS_A_SECOND = 3000
SECONDS = 5
IDLE_SECONDS = 3
PROCESSES = 4
PLOT = """
set logscale x
set xlabel 'shards a search'
set ylabel 'processor microseconds a backend request'
set yrange [0:*]
plot $DATA using 1:2 with linespoints title 'client without an instance', \\
     $DATA using 1:3 with linespoints title 'entry', \\
     $DATA using 1:4 with linespoints title 'home'
"""
SEARCH = {"service": "fanout", "mode": "count"}


def idle_cost(processes):
    """Processor time without searches, in microseconds per second."""
    with experiment.CpuMeter(*processes) as meter:
        time.sleep(IDLE_SECONDS)
    return {name: round(seconds * 1e6 / IDLE_SECONDS)
            for name, seconds in meter.seconds.items()}


def measure(bench, deployment, shards, entry, home):
    queries = deployment.write_queries("queries.jsonl", [SEARCH])
    rate = REQUESTS_A_SECOND / shards
    options = ("--queries", queries, "--rate", str(rate), "--seconds",
               str(SECONDS))
    out = bench.load(deployment.addresses(), "--direct", "--connections", "4",
                     *options)
    requests = out["work"]["requests"]
    client_us = round(out["cpu_us"] / requests, 2)
    bench.record(way="direct", shards=shards, requests=requests,
                 cpu_us_a_request=client_us,
                 **direct.summarise(out))
    idle_us = idle_cost((entry, home))
    before = deployment.total("received", "search")
    with experiment.CpuMeter(entry, home) as meter:
        out = bench.load([entry.address], *options, "--fixed")
    requests = deployment.total("received", "search") - before
    entry_us = round(meter.seconds["entry"] * 1e6 / requests, 2)
    home_us = round(meter.seconds["home"] * 1e6 / requests, 2)
    needed = shards * out["outcomes"].get("done", 0)
    bench.record(
        way="instances", shards=shards, requests=requests,
        extra_load=round(requests / needed, 4) if needed else None,
        entry_us_a_request=entry_us, home_us_a_request=home_us,
        entry_us_a_search=round(
            meter.seconds["entry"] * 1e6 / out["sent"], 1),
        idle_us_a_second=idle_us,
        entry_bytes=entry.rss_bytes(), home_bytes=home.rss_bytes(),
        **direct.summarise(out))
    return shards, client_us, entry_us, home_us


def run(bench):
    server = bench.server("floor-server", "floor", "server")
    bench.record(way="evhttp", connections=64,
                 cpu_us_a_request=round(
                     evhttp_floor.client_cost_us(bench, server, 64, 30000), 2))
    rows = []
    for shards in SHARDS:
        with bench.part(str(shards)) as part:
            deployment = part.deployment(
                "--fanout", shards, "--replicas", 1, "--data-centres", 1,
                "--service-us", 1000, "--connect-cost-us", 1000,
                processes=PROCESSES)
            platform = part.platform()
            platform.publish(deployment.table)
            entry, home = part.instances(
                platform, [("entry", "be2"), ("home", "be1")])
            direct.wait_for_full_coverage(entry)
            rows.append(measure(part, deployment, shards, entry, home))
    bench.plot("fanout", PLOT, rows)
