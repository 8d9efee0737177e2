"""Retry budget and ejection when all servers of a service fail."""

import tails

TITLE = "all servers of a service shed or truncate responses, then recover"
SHARDS = 50
LOAD_RATIO = 0.4
WARMUP_SECONDS = 3
FAULT_SECONDS = 8
AFTER_SECONDS = 6

FAULTS = {
    "shed": ({"fault": "shed", "ratio": 1}, {"fault": "shed", "ratio": 0}),
    "truncate": ({"fault": "truncate", "probability": 1},
                 {"fault": "truncate", "probability": 0}),
}


def run(bench):
    fleet = tails.FaultBench(bench, SHARDS)
    for name, (begin, end) in FAULTS.items():
        for policy in tails.POLICIES:
            fleet.apply_policy(policy)
            labels = {"policy": policy, "fault": name}
            fleet.measure(WARMUP_SECONDS, LOAD_RATIO, phase="before", **labels)
            fleet.data.control(server="*", **begin)
            fleet.measure(FAULT_SECONDS, LOAD_RATIO, phase="outage", **labels)
            fleet.data.control(server="*", **end)
            fleet.measure(AFTER_SECONDS, LOAD_RATIO, phase="after", **labels)
