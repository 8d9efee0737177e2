"""Short seeded runs of bench/soak_serve_stops.py."""

import argparse
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_seeds  # noqa: E402
import soak_serve_stops  # noqa: E402

BUILD = None
SEEDS = (1, 2)


class SoakServeStops(unittest.TestCase):
    def test_no_search_or_run_is_cut_by_a_stop(self):
        """Guards against instances of `serve` that end with requests open, deny
        what ran, or don't end in time."""
        options = argparse.Namespace(build=BUILD, keep_logs=False,
                                     instances=soak_serve_stops.INSTANCES)
        for report in soak_seeds.play_at_once(soak_serve_stops.play_seed,
                                              options, SEEDS):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
