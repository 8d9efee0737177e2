"""What the soak of stops draws for each planned stop."""

import signal

from soak_stop_server import AILMENTS

STOP_GAP_S = 2
ALL_AT_ONCE_SHARE = 0.03
SERIES_SHARE = 0.3
# Mostly GraceS as it is by default.
GRACES_S = (6,) * 8 + (2, 3, 3, 12)
HELD_SHARE = 0.3
HELD_MAX_S = 0.4
HELD_MAX_SHARE = 1 / 15
AILING = 5
SECOND_SIGNAL_SHARE = 0.4
SECOND_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
CONFIGURE_SHARE = 0.2
STORE_AWAY_SHARE = 0.1
EXTREME_GRACES_S = (1, 30)
GRACE_MAX_S = max(GRACES_S + EXTREME_GRACES_S)
EXTREME_GRACE_SHARE = 0.3
SOON_SHARE = 0.3
SOON_MAX_S = 0.2


class Stop:
    """What is drawn for one planned stop; `order`: instances by preference."""

    def __init__(self, rng, instances):
        self.gap_s = rng.expovariate(1 / STOP_GAP_S)
        self.order = rng.sample(range(instances), instances)
        self.all = rng.random() < ALL_AT_ONCE_SHARE
        self.series = rng.random() < SERIES_SHARE
        self.held = (rng.uniform(0, 1), rng.uniform(0, 1)) \
            if rng.random() < HELD_SHARE else None
        self.next_grace_s = rng.choice(GRACES_S)
        self.down_s = rng.uniform(0, 1)
        self.second = [(rng.uniform(0, 1), rng.choice(SECOND_SIGNALS))
                       for _ in range(rng.choice((1, 1, 3)))] \
            if rng.random() < SECOND_SIGNAL_SHARE else []
        self.ailing = [(rng.random(), rng.choice(AILMENTS),
                        rng.uniform(1.5, 4.3), rng.uniform(0.3, 3))
                       for _ in range(AILING)]
        self.configure_after_s = (rng.uniform(0, 5)
                                  if rng.random() < CONFIGURE_SHARE else None)
        self.store_away_s = (rng.uniform(0.5, 3)
                             if rng.random() < STORE_AWAY_SHARE else 0)
        # After it listens again; not drawn by default.
        self.soon_s = None

    def draw_extremes(self, rng):
        if rng.random() < EXTREME_GRACE_SHARE:
            self.next_grace_s = rng.choice(EXTREME_GRACES_S)
        if rng.random() < SOON_SHARE:
            self.soon_s = rng.uniform(0, SOON_MAX_S)

    def hold_s(self, grace_s):
        """How long it is held, and how much of that before SIGTERM."""
        before, share = self.held or (0, 0)
        for_s = share * min(HELD_MAX_S, grace_s * HELD_MAX_SHARE)
        return for_s, before * for_s
