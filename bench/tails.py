"""Common setup of the experiments with slow, refusing and lost servers: one
service with many shards, each on its own servers, and a table that selects the
search policy.
"""

import experiment

POLICIES = ("plain", "adaptive")
SERVICE = "fanout"


class FaultBench:
    """Instances and servers under a selectable policy; measures load by
    phase."""

    def __init__(self, bench, shards, *options, instances=4, processes=3,
                 service_us=30000, random_us=10000, deadline_ms=2000,
                 mode="latency"):
        self.bench = bench
        self.shards = shards
        self.platform = bench.platform()
        self.data = bench.deployment(
            "--fanout", shards, "--replicas", 2, "--data-centres", 1,
            "--service-us", service_us, "--service-random-us", random_us,
            "--deadline-ms", deadline_ms, "--mode", mode, *options,
            processes=processes)
        # Searches per second that all servers can answer: each shard is on two
        # servers with two slots each.
        self.capacity = 4 * 1e6 / (service_us + random_us)
        self.publish(POLICIES[0])
        places = [(f"be1-{i}", "be1") for i in range(instances)]
        self.instances = bench.instances(self.platform, places)
        self.addresses = [i.address for i in self.instances]
        experiment.wait_until("all servers reachable", self.all_reachable, 60)

    def all_reachable(self):
        return all(
            sum(any(home["reachable"] for home in server["homes"])
                for server in instance.status()["servers"])
            == len(self.data.ports)
            for instance in self.instances)

    def publish(self, policy):
        rows = [row for row in self.data.table["tunables"]["rows"]
                if row[0] != "search_policy"]
        self.data.table["tunables"]["rows"] = [
            *rows, ["search_policy", policy]]
        return self.platform.publish(self.data.table)

    def apply_policy(self, policy):
        """Applies a policy and waits until all instances use it."""
        revision = self.publish(policy)
        experiment.wait_until(
            f"revision {revision} in force",
            lambda: all(i.status()["table"]["revision"] >= revision
                        for i in self.instances), 15)

    def metric(self, name):
        return sum(i.metrics()[f"garnetreach_{name}_total"]
                   for i in self.instances)

    def counts(self):
        sent = self.metric("parts_sent")
        hedged = self.metric("parts_hedged")
        retried = self.metric("parts_retried")
        return {
            "needed": sent - hedged - retried,
            "hedged": hedged,
            "retried": retried,
            "received": self.data.total("received", "search"),
        }

    def measure(self, seconds, load_ratio, *options, **labels):
        """Runs load at a fraction of the capacity and writes a record. Returns
        its fields."""
        rate = load_ratio * self.capacity
        before = self.counts()
        summary = self.bench.load(
            self.addresses, "--rate", f"{rate:.0f}", "--seconds", str(seconds),
            "--service", SERVICE, "--mode", "count", "--where", "{}",
            *options)
        after = self.counts()
        increase = {key: after[key] - before[key] for key in after}
        fields = {**labels, "rate": round(rate), **summarise(summary),
                  "needed": increase["needed"], "hedged": increase["hedged"],
                  "retried": increase["retried"],
                  "load": round(
                      increase["received"] / max(1, increase["needed"]), 4)}
        self.bench.record(**fields)
        return fields


def summarise(summary):
    """The values of a load summary that these experiments compare."""
    latency = summary["latency_us"]
    coverage = summary["coverage"]
    fields = {
        "sent": summary["sent"],
        "outcomes": summary["outcomes"],
        "coverage_mean": round(coverage["mean"], 5),
        "coverage_min": round(coverage["min"], 4),
        "insufficient": coverage["insufficient"],
        "wrong": summary["wrong"],
    }
    if latency["n"]:
        for name in ("p50", "p99", "p99.9", "max"):
            fields[f"{name}_ms"] = round(latency[name] / 1000, 1)
    return fields
