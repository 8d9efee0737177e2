"""Short seeded runs of the soak of planned stops, bench/soak_stops.py."""

import argparse
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_seeds  # noqa: E402
import soak_stops  # noqa: E402

BUILD = None
SEEDS = (1, 4)


class SoakStops(unittest.TestCase):
    def test_no_request_is_cut_by_a_stop(self):
        """Guards against instances that end with requests open, which get no
        answer, or a false one, or that don't end in time."""
        options = argparse.Namespace(build=BUILD, keep_logs=False,
                                     instances=soak_stops.INSTANCES)
        for report in soak_seeds.play_at_once(soak_stops.play_seed, options,
                                              SEEDS):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
