"""The users' rule of second sends: in any window, arrivals beyond the first of
each request are within a ratio of the requests and a slack."""

import bisect
import dataclasses


@dataclasses.dataclass(frozen=True)
class RetryRule:
    ratio: float
    slack: float
    window_s: float

    def count(self, times, start):
        """Count the sorted times in the window that begins at `start`."""
        return (bisect.bisect_left(times, start + self.window_s)
                - bisect.bisect_left(times, start))

    def allowed(self, sent_at, start):
        """Return the second sends allowed in the window that begins at
        `start`.

        They follow from the requests in that window, the one before or the
        one half a window before, whichever has most. `sent_at` is sorted.
        """
        offsets = (0, self.window_s / 2, self.window_s)
        return self.slack + self.ratio * max(
            self.count(sent_at, start - offset) for offset in offsets)

    def worst_window(self, repeated, sent_at):
        """Return (arrivals beyond the first, allowed, start) of the window
        that is nearest to the bound or furthest over it; None without any.

        `repeated`: sorted times of the arrivals beyond the first.
        """
        windows = [(self.count(repeated, at), self.allowed(sent_at, at), at)
                   for at in repeated]
        return max(windows, key=lambda w: w[0] - w[1], default=None)
