#!/bin/sh
# Plays the days of deploy/days on the users' bench, which is not part of this
# repository, and prints a line a day: worth, shares served, refused and failed,
# and what rule was broken. usage: own-days.sh BENCH SITE_FILE [JOBS]
set -eu
bench=$1
site=$2
jobs=${3:-4}
days=$(dirname "$0")/../deploy/days
ls "$days"/*.toml | xargs -P "$jobs" -I{} sh -c '
	name=$(basename {} .toml)
	out=$('"$bench"' run '"$site"' {} --why "own day $name" </dev/null 2>&1)
	line=$(printf "%s\n" "$out" | grep -E "^$name +[0-9]" | head -1)
	echo "${line:-$name NOT PLAYED: $(printf "%s\n" "$out" | grep -vE "^built" | head -2 | tr "\n" " ")}"'
