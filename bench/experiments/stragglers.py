"""Hedging against individual slow requests."""

import tails

TITLE = "1 in 100 shard requests 20 times slower; 100 shards, half load"
SHARDS = 100
WARMUP_SECONDS = 4
SECONDS = 12
LOAD_RATIO = 0.5


def run(bench):
    fleet = tails.FaultBench(bench, SHARDS)
    for name, fault in (("none", {"factor": 1}),
                        ("stragglers", {"factor": 20, "probability": 0.01}),
                        ("all slow", {"factor": 1.6})):
        for policy in tails.POLICIES:
            fleet.apply_policy(policy)
            fleet.data.control(fault="slow", server="*", **fault)
            fleet.measure(WARMUP_SECONDS, LOAD_RATIO, policy=policy,
                          fault=name, phase="warm")
            fleet.measure(SECONDS, LOAD_RATIO, policy=policy, fault=name,
                          phase="measured")
