#!/bin/sh
# Runs the scenarios (days) in deploy/days on the users' bench, which is not
# part of this repository. Prints one line per day: worth, shares of requests
# served, refused and failed, and broken rules. The exit status is 1 if a day
# broke a rule or was not played.
# usage: own-days.sh BENCH SITE_FILE [JOBS]
set -eu
bench=$1
site=$2
jobs=${3:-4}
days=$(dirname "$0")/../deploy/days
lines=$(ls "$days"/*.toml | xargs -P "$jobs" -I{} sh -c '
	name=$(basename {} .toml)
	out=$('"$bench"' run '"$site"' {} --why "own day $name" </dev/null 2>&1)
	line=$(printf "%s\n" "$out" | grep -E "^$name +[0-9]" | head -1)
	echo "${line:-$name NOT PLAYED: $(printf "%s\n" "$out" | grep -vE "^built" | head -2 | tr "\n" " ")}"')
printf '%s\n' "$lines"
case "$lines" in *BROKEN* | *"NOT PLAYED"*) exit 1 ;; esac
