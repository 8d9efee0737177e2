#!/bin/sh
# Injects every fault at every step, alone and in pairs, with three seeds; takes
# about a minute. Options go to the program: --cell NAME --seed N replays one
# combination.
set -eu
cd "$(dirname "$0")/.."

[ -d build ] || meson setup build -Db_sanitize=address,undefined \
	-Db_lundef=false >/dev/null
ninja -C build tests/fault-matrix >/dev/null
[ $# -gt 0 ] || set -- --pairs --seeds 3 --quiet
exec build/tests/fault-matrix "$@" 2>/dev/null
