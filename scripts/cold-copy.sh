#!/bin/sh
# Writes a copy of a site file in which cold servers bear few requests a second.
# usage: cold-copy.sh SITE_FILE FOLDER [PER_S]
set -eu
per_s=${3:-6.0}
mkdir -p "$2"
for file in "$(dirname "$1")"/*; do
	[ "$file" = "$1" ] || cp "$file" "$2/"
done
sed "s/cold_s = \([0-9.]*\)/cold_s = \1, cold_per_s = $per_s/" "$1" \
	>"$2/$(basename "$1")"
