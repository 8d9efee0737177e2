"""Short seeded runs of the soak of removals, bench/soak_removals.py."""

import argparse
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_removals  # noqa: E402
import soak_seeds  # noqa: E402

BUILD = None
# A store that answers at once, and one that takes a quarter of a second.
SEEDS = (4, 5)


class SoakRemovals(unittest.TestCase):
    def test_no_request_to_servers_that_left(self):
        """Guards against gateways that send to servers long after they left,
        as other gateways were lost, ran by fits and starts, or the store took
        its time."""
        options = argparse.Namespace(build=BUILD,
                                     instances=soak_removals.INSTANCES)
        for report in soak_seeds.play_at_once(soak_removals.play_seed,
                                              options, SEEDS):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
