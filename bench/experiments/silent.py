"""Open connections stop answering permanently, while new ones work."""

import threading
import time

import tails

TITLE = "open connections of half of the servers stop answering; 50 shards"
SHARDS = 50
LOAD_RATIO = 0.3
WARMUP_SECONDS = 3
FAULT_SECONDS = 8


def silence_connections(fleet):
    time.sleep(2)
    for server in sorted(fleet.data.ports)[::2]:
        fleet.data.control(fault="silent", server=server)


def run(bench):
    fleet = tails.FaultBench(bench, SHARDS, mode="coverage")
    for policy in tails.POLICIES:
        fleet.apply_policy(policy)
        fleet.measure(WARMUP_SECONDS, LOAD_RATIO, policy=policy,
                      phase="before")
        thread = threading.Thread(target=silence_connections, args=(fleet,))
        thread.start()
        fleet.measure(FAULT_SECONDS, LOAD_RATIO, policy=policy,
                      phase="silenced")
        thread.join()
