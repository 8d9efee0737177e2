#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec timeout 110 python3 run.py
