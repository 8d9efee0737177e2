#!/bin/sh
# Runs each fuzz target of tests/fuzz for SECONDS (default 60), one after the
# other. The corpus is kept in build-fuzz/corpus; an input that crashes a target
# is saved in build-fuzz, and its path is printed.
# usage: fuzz.sh [SECONDS]
set -eu
cd "$(dirname "$0")/.."

seconds=${1:-60}
build=build-fuzz
[ -d "$build" ] || CC=clang meson setup "$build" -Dfuzz=true \
	-Db_sanitize=address,undefined -Db_lundef=false >/dev/null
ninja -C "$build" >/dev/null
python3 tests/fuzz/seeds.py "$build/corpus"

status=0
for target in "$build"/tests/fuzz/fuzz_*; do
	[ -x "$target" ] && [ ! -d "$target" ] || continue
	name=${target##*/fuzz_}
	log=$build/fuzz_$name.log
	if UBSAN_OPTIONS=halt_on_error=1 "$target" "$build/corpus/$name" \
		-max_total_time="$seconds" -max_len=4096 -timeout=10 \
		-rss_limit_mb=2048 -print_final_stats=1 \
		-artifact_prefix="$build/" >"$log" 2>&1; then
		runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")
		echo "$name: $runs runs, no failure"
	else
		status=1
		echo "$name: failed, see $log"
		grep -E "SUMMARY|runtime error|Test unit written" "$log" | head -5
	fi
done
exit $status
