"""Short seeded runs of the soak of crashing requests, bench/soak_crashing.py.
"""

import argparse
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_crashing  # noqa: E402
import soak_seeds  # noqa: E402

BUILD = None
SEEDS = (2, 4, 11, 17)
GATEWAYS = 4


class SoakCrashing(unittest.TestCase):
    def test_late_arrivals_and_good_searches(self):
        """Guards against requests that go on crashing servers, and against
        others being refused for them, under troubles that overlap."""
        options = argparse.Namespace(build=BUILD, gateways=GATEWAYS,
                                     keep_logs=False)
        for report in soak_seeds.play_at_once(soak_crashing.play_seed,
                                              options, SEEDS):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
