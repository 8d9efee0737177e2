"""Back-off, retry budget and server selection when servers shed load."""

import tails

TITLE = "20% of the servers shed every request, then stop; 50 shards"
SHARDS = 50
LOAD_RATIO = 0.4
WARMUP_SECONDS = 3
FAULT_SECONDS = 8
AFTER_SECONDS = 5


def run(bench):
    fleet = tails.FaultBench(bench, SHARDS)
    servers = sorted(fleet.data.ports)[::5]
    for policy in tails.POLICIES:
        fleet.apply_policy(policy)
        fleet.measure(WARMUP_SECONDS, LOAD_RATIO, policy=policy,
                      phase="before")
        for server in servers:
            fleet.data.control(fault="shed", server=server, ratio=1)
        fleet.measure(FAULT_SECONDS, LOAD_RATIO, policy=policy,
                      phase="shedding")
        for server in servers:
            fleet.data.control(fault="shed", server=server, ratio=0)
        fleet.measure(AFTER_SECONDS, LOAD_RATIO, policy=policy, phase="after")
