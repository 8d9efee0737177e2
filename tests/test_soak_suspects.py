"""Short seeded runs of the soak of suspects, bench/soak_suspects.py."""

import argparse
import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_suspects  # noqa: E402
import soak_seeds  # noqa: E402

BUILD = None
SEEDS = (1, 3, 4)
INSTANCES = 3


class SoakSuspects(unittest.TestCase):
    def test_only_crashes_make_suspects(self):
        """Guards against living servers being held for crashed, and callers
        being refused for it, under troubles that overlap."""
        options = argparse.Namespace(build=BUILD, instances=INSTANCES)
        for report in soak_seeds.play_at_once(soak_suspects.play_seed,
                                              options, SEEDS):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
