#!/bin/sh
# Installs packages, builds, runs the demo with both deployments, and exits.
# --keep leaves the processes running and prints commands to try.
set -eu
cd "$(dirname "$0")/.."

sh scripts/install-packages.sh
[ -d build-rel ] || meson setup build-rel --buildtype=release >/dev/null
ninja -C build-rel >/dev/null
exec python3 bench/demo.py --build build-rel --out out/demo "$@"
