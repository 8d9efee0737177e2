"""Judges a play of the soak of stops by what its callers and servers saw."""

import collections

# Rule LOST.
LOSS_SLACK_S = 0.2
AFTER_GRACE_S = 1
EXEMPT_SENT_S = 3
AT_WORK_SHARE = 5 / 6
# An answer may cross with the end of the caller's time.
OWN_TIME_SLACK_S = 0.05
SHOWN_MAX = 12
# A run that served less has tried nothing.
SERVED_SHARE_MIN = 0.5


class Stopped:
    """A stop as it went. `held`: times at which the instance was held; `late`:
    it had not ended in time and was killed; `soon`: it had just
    begun to listen."""

    def __init__(self, gateway, soon):
        self.instance = gateway.settings["instance"]
        self.address = gateway.settings["caller_address"]
        self.grace_s = gateway.settings["stop_max_s"]
        self.soon = soon
        self.at = None
        self.exited = None
        self.status = None
        self.late = False
        self.held = []
        self.last_lines = []

    def note(self, told, gateway):
        """`told`: what the stopper told of the stop."""
        self.status = gateway.process.wait()
        self.held = [told["held"]] if told["held"] else []
        self.exited = told["exited"]
        self.late = told["late"]
        self.last_lines = gateway.last_lines()

    def show_exit(self, lags):
        """`lags`: when the process with the callers was late."""
        return ["exit", self.instance, self.grace_s, self.status,
                {"exited": round(self.exited - self.at, 3),
                 "late": self.late,
                 "held": self.since_term(self.held),
                 "lags": self.since_term(
                     lag for lag in lags
                     if lag[1] > self.at and lag[0] < self.exited),
                 "last_lines": self.last_lines}]

    def since_term(self, spans):
        return [[round(at - self.at, 3) for at in span] for span in spans]

    def covers(self, one):
        """Whether the rule holds for an attempt: it was sent in the stop, or
        open when that began."""
        return (one.address == self.address and one.whole_at is not None
                and one.whole_at <= self.at + self.grace_s + AFTER_GRACE_S
                and one.ended >= self.at)

    def is_exempt(self, one, works):
        return (one.whole_at <= self.at + EXEMPT_SENT_S and any(
            work.is_at_work(self.at + self.grace_s * AT_WORK_SHARE)
            for work in works))


def overlap_s(spans, begin, end):
    return sum(max(0, min(end, b) - max(begin, a)) for a, b in spans)


class Judge:
    """`run`: the play that has ended."""

    def __init__(self, run):
        self.seed = run.seed
        self.records = run.records
        self.attempts = run.attempts
        self.callers = run.callers
        self.stops = run.stops
        self.lags = run.lags
        self.crowd = run.crowd
        self.peak_mb = run.peak_mb
        self.memory_max_mb = run.memory_max_mb

    def is_cut(self, stopped, one):
        """Rule LOST, of an attempt that the stop covers."""
        works = self.records.of(one.id)
        waited_s = (one.ended - one.whole_at
                    - overlap_s(stopped.held, one.whole_at, one.ended)
                    - overlap_s(self.lags, one.whole_at, one.ended))
        return (one.end == "cut"
                and (works or waited_s > LOSS_SLACK_S)
                and one.ended < one.deadline - OWN_TIME_SLACK_S
                and not stopped.is_exempt(one, works))

    def show(self, stopped, one):
        works = self.records.of(one.id)
        return {
            "id": one.id, "kind": one.kind, "instance": stopped.instance,
            "grace_s": stopped.grace_s,
            "sent": round(one.whole_at - stopped.at, 3),
            "ended": round(one.ended - stopped.at, 3),
            "exited": round(stopped.exited - stopped.at, 3),
            "servers": [[work.server, round(work.read_at - stopped.at, 3)]
                        for work in works],
            "status": one.status, "bytes": one.bytes, "error": one.error}

    def cuts(self):
        return [self.show(stopped, one)
                for stopped in self.stops for one in self.attempts
                if one.ended and stopped.covers(one)
                and self.is_cut(stopped, one)]

    def ran(self, one):
        return sum(work.ran_at is not None
                   for work in self.records.of(one.id))

    def unsafe(self):
        """Requests that were refused and ran all the same, or ran twice, of
        those that may run only once."""
        once = [one for one in self.attempts if not one.may_repeat]
        return ([["refused but ran", one.id, one.kind] for one in once
                 if one.end == "answered" and one.status == 503
                 and self.ran(one)],
                [["ran twice", one.id, one.kind] for one in once
                 if self.ran(one) > 1])

    def outcomes(self):
        """How attempts ended that were begun or open during a stop."""
        counts = collections.Counter()
        for stopped in self.stops:
            for one in self.attempts:
                if (one.ended and one.address == stopped.address
                        and one.began <= stopped.exited
                        and one.ended >= stopped.at):
                    counts[str(one.status) if one.end == "answered"
                           else one.end] += 1
        return dict(sorted(counts.items()))

    def memory(self):
        if not self.memory_max_mb or self.peak_mb < self.memory_max_mb:
            return []
        return [["memory", round(self.peak_mb), self.memory_max_mb]]

    def report(self):
        cuts = self.cuts()
        refused, twice = self.unsafe()
        late = [s.show_exit(self.lags)
                for s in self.stops if s.late or s.status]
        asked = sum(caller.results.asked for caller in self.callers)
        served = sum(caller.results.served for caller in self.callers)
        idle = ([["hardly served", asked, served]]
                if served < asked * SERVED_SHARE_MIN else [])
        return {
            "seed": self.seed,
            "asked": asked,
            "served": served,
            "stops": len(self.stops),
            "graces_s": dict(sorted(collections.Counter(
                s.grace_s for s in self.stops).items())),
            "soon": sum(s.soon for s in self.stops),
            "in_stops": self.outcomes(),
            "cut": len(cuts),
            "refused_but_ran": len(refused),
            "ran_twice": len(twice),
            "bad_exits": len(late),
            "crowd_played": sum(one.n_played for one in self.crowd),
            "peak_mb": round(self.peak_mb),
            "lag_s": round(sum(b - a for a, b in self.lags), 2),
            "failed": (cuts[:SHOWN_MAX] + refused[:SHOWN_MAX]
                       + twice[:SHOWN_MAX] + late[:SHOWN_MAX] + idle
                       + self.memory()),
        }
