#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
timeout 115 python3 case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
