"""Short seeded runs of the soak of planned stops, bench/soak_stops.py."""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "bench"))

import soak_seeds  # noqa: E402
import soak_stops  # noqa: E402

BUILD = None
SEEDS = (1, 4)
CROWD_SEEDS = (2,)
GRACE_S, HOLD_S = 0.5, 0.2
STAYS = "trap '' TERM; echo; while :; do sleep 0.01; done"
ENDS = "trap 'exit 3' TERM; echo; while :; do sleep 0.01; done"


def stop(script):
    """Return the exit status of a shell with that script, and what the stopper
    tells."""
    with subprocess.Popen(["sh", "-c", script],
                          stdout=subprocess.PIPE) as child:
        child.stdout.readline()
        lines = subprocess.run(
            [sys.executable, soak_stops.STOPPER, str(child.pid), str(GRACE_S),
             str(HOLD_S), str(HOLD_S / 2)],
            check=True, stdout=subprocess.PIPE, timeout=30).stdout
        at, end = map(json.loads, lines.splitlines())
        return child.wait(), at | end


class SoakStopper(unittest.TestCase):
    def test_what_stays_is_killed_and_told(self):
        """Guards against a soak that misses an instance which ends late."""
        status, told = stop(STAYS)
        self.assertEqual(-signal.SIGKILL, status)
        self.assertTrue(told["late"])
        self.assertGreaterEqual(told["exited"], told["at"] + GRACE_S)

    def test_what_ends_is_not_killed(self):
        """Guards against a soak that blames an instance which it held."""
        status, told = stop(ENDS)
        begin, end = told["held"]
        self.assertEqual(3, status)
        self.assertFalse(told["late"])
        self.assertLess(begin, told["at"])
        self.assertGreater(end, told["at"])
        self.assertGreaterEqual(told["exited"], end)


class SoakStops(unittest.TestCase):
    def test_no_request_is_cut_by_a_stop(self):
        """Guards against instances that end with requests open, which get no
        answer, or a false one, or that don't end in time."""
        self.play(SEEDS, crowd=False)

    def test_beside_clients_that_do_not_behave(self):
        """Guards against the same, and memory that grows, beside clients that
        send or read outside the limits."""
        self.play(CROWD_SEEDS, crowd=True)

    def play(self, seeds, crowd):
        options = argparse.Namespace(build=BUILD, keep_logs=False,
                                     extremes=False, crowd=crowd,
                                     instances=soak_stops.INSTANCES)
        for report in soak_seeds.play_at_once(soak_stops.play_seed, options,
                                              seeds):
            print(json.dumps(report), file=sys.stderr)
            with self.subTest(seed=report["seed"]):
                self.assertFalse(report["failed"])


if __name__ == "__main__":
    BUILD = pathlib.Path(sys.argv.pop(1))
    unittest.main(verbosity=2)
