#!/bin/sh
# Builds what the scripts of review/4 to review/6 start besides the program of
# the deploy file. Their stand-ins are Python modules (review/rig.py) that need
# no build; this only finds out whether they can run.
cd "$(dirname "$0")" || exit 1
exec python3 -c 'import rig'
