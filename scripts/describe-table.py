#!/usr/bin/env python3
"""Writes the output of `garnetreach check --describe` into operators/table.md.

usage: describe-table.py GARNETREACH [--check]

With --check it writes nothing and exits with status 1 if the page is out of
date.
"""

import pathlib
import subprocess
import sys

PAGE = pathlib.Path(__file__).resolve().parent.parent / "docs/operators/table.md"
BEGIN = "<!-- begin of check --describe -->\n"
END = "<!-- end of check --describe -->\n"


def main():
    description = subprocess.run(
        [sys.argv[1], "check", "--describe"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    old = PAGE.read_text(encoding="utf-8")
    head, rest = old.split(BEGIN)
    tail = rest.split(END)[1]
    new = head + BEGIN + description + END + tail
    if "--check" not in sys.argv:
        PAGE.write_text(new, encoding="utf-8")
        return 0
    if new != old:
        print(f"{PAGE.name} does not match the columns and tunables; run")
        print(f"{sys.argv[0]} {sys.argv[1]}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
