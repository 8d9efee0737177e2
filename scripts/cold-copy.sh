#!/bin/sh
# Copies a site file, and the files next to it, to FOLDER and limits each cold
# server in the copy to PER_S requests per second (default 6.0).
# usage: cold-copy.sh SITE_FILE FOLDER [PER_S]
set -eu
per_s=${3:-6.0}
mkdir -p "$2"
for file in "$(dirname "$1")"/*; do
	[ "$file" = "$1" ] || cp "$file" "$2/"
done
sed "s/cold_s = \([0-9.]*\)/cold_s = \1, cold_per_s = $per_s/" "$1" \
	>"$2/$(basename "$1")"
