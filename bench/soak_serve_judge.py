"""Judges the soak of stops of `garnetreach serve` by what its callers saw and
what the servers recorded."""

import collections

import history_check
from soak_serve_caller import NO_JSON
from soak_stop_judge import (
    LOSS_SLACK_S, SERVED_SHARE_MIN, SHOWN_MAX, overlap_s,
)


class Judge:
    """`stops`: see soak_serve_stops.Run.stop; `lags`: times at which the
    callers' process was held up."""

    def __init__(self, directory, attempts, stops, lags):
        self.attempts = [one for one in attempts if one.end]
        self.stops = stops
        self.lags = lags
        self.tickets = {one.ticket for one in attempts if one.ticket}
        self.passed_on = set()
        self.ran = collections.Counter()
        for request in history_check.pair_requests(history_check.read_lines(
                directory.glob("backend*.history.jsonl"))):
            start = request.start
            self.passed_on.add(start["request_id"])
            self.ran[start.get("ticket", start["request_id"])] += request.ran

    def is_cut(self, one):
        """Left out is, as rule LOST has it, what was sent within LossSlackMs of
        the close and reached no server: the process need not have read it."""
        if one.whole_at is None or one.end not in ("cut", "silent"):
            return NO_JSON in one.error
        waited_s = (one.ended - one.whole_at
                    - overlap_s(self.lags, one.whole_at, one.ended))
        return (one.id in self.passed_on or waited_s > LOSS_SLACK_S
                or NO_JSON in one.error)

    def stop_of(self, one):
        """The stop that the attempt met, if any."""
        return next((stop for stop in self.stops
                     if stop.instance == one.address
                     and one.began <= stop.exited and stop.at <= one.ended),
                    None)

    def show(self, what, one):
        """Times are relative to the stop."""
        stop = self.stop_of(one)
        times = [one.began, one.whole_at, one.ended, stop and stop.exited]
        zero = stop.at if stop else one.began
        return [what, one.id, one.kind, one.ticket, one.address, one.end,
                *(at and round(at - zero, 3) for at in times),
                one.id in self.passed_on, one.bytes, one.answer, one.error]

    def broken(self):
        return {
            "cut": [self.show("cut", one) for one in self.attempts
                    if self.is_cut(one)],
            "not_run_but_ran": [
                self.show("not run but ran", one) for one in self.attempts
                if one.answer.get("outcome") == "not_run"
                and self.ran[one.ticket or one.id]],
            "ran_twice": [["ran twice", ticket, self.ran[ticket]]
                          for ticket in self.tickets if self.ran[ticket] > 1],
            "bad_exits": [["exit", *vars(stop).items()] for stop in self.stops
                          if stop.status or stop.took_s > stop.max_s]}

    def report(self):
        asked = len(self.attempts)
        served = sum(one.status == 200 for one in self.attempts)
        broken = self.broken()
        failed = [one for found in broken.values() for one in found[:SHOWN_MAX]]
        if served < asked * SERVED_SHARE_MIN or not self.stops:
            failed.append(["hardly served", asked, served])
        in_stops = collections.Counter(
            f"{one.kind} {one.answer.get('outcome', one.end)}"
            for one in self.attempts if self.stop_of(one))
        return {"asked": asked, "served": served, "stops": len(self.stops),
                "tickets_ran": sum(self.ran[ticket] for ticket in self.tickets),
                "in_stops": dict(sorted(in_stops.items())),
                **{name: len(found) for name, found in broken.items()},
                "lag_s": round(sum(b - a for a, b in self.lags), 2),
                "failed": failed}
