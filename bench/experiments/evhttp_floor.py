"""Processor time of the libraries alone, the lower bound for an instance."""

import json
import subprocess

TITLE = "a bare evhttp client, and packing and unpacking of the bodies"

CONNECTIONS = (1, 16, 64)
REQUESTS = 100000
BODIES = ((1, 0), (1, 20), (10, 0), (10, 20), (100, 0), (730, 0))
CODEC_TOTAL_RECORDS = 2000000


def run_floor(bench, *options):
    out = subprocess.run([bench.program("floor"), *map(str, options)],
                         check=True, capture_output=True)
    return json.loads(out.stdout)


def client_cost_us(bench, server, connections, requests=REQUESTS):
    """Processor microseconds of the client for one request."""
    row = run_floor(bench, "client", "--port", server.port, "--connections",
                    connections, "--requests", requests)
    return row["cpu_us"] / row["answered"]


def run(bench):
    server = bench.server("floor-server", "floor", "server")
    for connections in CONNECTIONS:
        bench.record(way="evhttp", connections=connections,
                     cpu_us=round(
                         client_cost_us(bench, server, connections), 2))
    for shards, records in BODIES:
        rounds = CODEC_TOTAL_RECORDS // (shards * (records + 10))
        row = run_floor(bench, "codec", "--shards", shards, "--records",
                        records, "--requests", rounds)
        bench.record(way="protobuf", shards=shards, records=records,
                     answer_bytes=row["answer_bytes"],
                     cpu_us=round(row["cpu_us"] / rounds, 2))
