#!/bin/sh
# Fails if the pages in docs/operators and the code differ in log events, alarms
# or metrics. usage: check-events.sh [--root DIRECTORY] [--write-metrics]
set -eu
exec python3 "$(dirname "$0")/check-events.py" "$@"
