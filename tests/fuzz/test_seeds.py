"""Runs a fuzz target on its seed corpus: test_seeds.py PROGRAM NAME."""

import pathlib
import subprocess
import sys
import tempfile

import seeds

TIMEOUT_S = 30


def main():
    program, name = sys.argv[1:]
    with tempfile.TemporaryDirectory() as out:
        seeds.write(pathlib.Path(out))
        inputs = sorted((pathlib.Path(out) / name).iterdir())
        return subprocess.run(
            [program, *inputs], timeout=TIMEOUT_S
        ).returncode


if __name__ == "__main__":
    sys.exit(main())
