#!/bin/sh
# Replays the days and seeds in tests/seeds.txt on the users' bench, which is
# not part of this repository. The exit status is 1 if a day broke a rule or
# gave no result. usage: replay-seeds.sh BENCH SITES_FOLDER
set -eu
bench=$1
sites=$2
status=0
script_dir=$(dirname "$0")
while read -r site day seed rest; do
	case "$site" in "" | "#"*) continue ;; esac
	day_name=$(basename "$day" .toml)
	line=$("$bench" run "$sites/$site.toml" "$day" --seed "$seed" \
		--why "replay of an old seed: ${rest%%|*}" </dev/null |
		sed -n "s/^$day_name .*/&/p" | head -1)
	echo "$site --seed $seed: $line"
	case "$line" in *BROKEN* | "") status=1 ;; esac
done <"$script_dir/../tests/seeds.txt"
exit $status
