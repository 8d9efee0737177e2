#!/bin/sh
# Regression run before a merge, on the users' bench, which is not part of this
# repository. Scores each deployment and searches days for broken rules: 40 days
# each, 8 where a day takes minutes. The exit status is 1 if a deployment was not
# played, failed its gate or broke a rule.
# usage: regression.sh BENCH SYSTEM_FOLDER [JOBS]
set -eu
bench=$1
system=$2
jobs=${3:-4}
out=${TMPDIR:-/tmp}/garnetreach-regression
mkdir -p "$out"

# Number of days to search, and the deployment. sites/rhh-search and
# sites/despac-garnet are left out in favour of the largest deployment; only
# their recorded seeds are replayed, below.
deployments="8 large/despac-garnet-large
40 further/mavuno-frames
8 further-grown/mavuno-frames-grown
8 grown/rhh-search-grown
8 grown/despac-garnet-grown
8 shifted/rhh-search-now-grown"

# Return: whether the output of a command has a line, and no broken rule.
passed() {
	grep -q "$1" "$2" && ! grep -q BROKEN "$2"
}

status=0
while read -r days site; do
	name=$(basename "$site")
	echo "== $name"
	"$bench" score "$system/$site.toml" --jobs "$jobs" \
		--why "regression run" </dev/null >"$out/score-$name.txt" 2>&1
	grep -E "^(quiet|trouble|scale|fresh)-[^ ]+ +[0-9]|GATE|BROKEN" \
		"$out/score-$name.txt" || echo "score: not played"
	"$bench" hunt "$system/$site.toml" --days "$days" --jobs "$jobs" \
		--why "regression run" </dev/null >"$out/hunt-$name.txt" 2>&1
	tail -n 3 "$out/hunt-$name.txt"
	passed "GATE passed" "$out/score-$name.txt" || status=1
	passed ", 0 with a rule broken" "$out/hunt-$name.txt" || status=1
done <<EOF
$deployments
EOF
sh "$(dirname "$0")/replay-seeds.sh" "$bench" "$system/sites" || status=1
exit $status
