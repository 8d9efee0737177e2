#!/bin/sh
# Runs one experiment: scripts/bench.sh NAME. --list lists all of them.
# BUILD is the build directory (default build-rel), OUT the output directory.
set -eu
cd "$(dirname "$0")/.."
exec python3 bench/experiment.py "$@"
