#!/bin/sh
# Measures what distributing the table costs, for several table and fleet sizes.
# usage: table-cost.sh BUILD_DIR
set -eu
bench="$1/bench/bench-table-cost"

for rows in 100 1000 9200; do
	"$bench" --table-only --rows "$rows"
done
for size in "8 4" "50 4" "200 8" "600 15" "1200 15"; do
	# shellcheck disable=SC2086
	set -- $size
	"$bench" --nodes "$1" --data-centres "$2" --rows 100
	"$bench" --nodes "$1" --data-centres "$2" --rows 1000
	"$bench" --nodes "$1" --data-centres "$2" --rows 100 --loss 0.05
	"$bench" --nodes "$1" --data-centres "$2" --rows 100 --all-watch
done
# Each node holds 4 MB of table here, so the larger fleets are left out.
for size in "8 4" "50 4" "200 8"; do
	# shellcheck disable=SC2086
	set -- $size
	"$bench" --nodes "$1" --data-centres "$2" --rows 9200
	"$bench" --nodes "$1" --data-centres "$2" --rows 9200 --parts 50
done
