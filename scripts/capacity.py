#!/usr/bin/env python3
"""Computes the figures of docs/CAPACITY.md from docs/slopes.json.

usage: capacity.py [--check]

Writes the tables into the page. With --check it writes nothing and exits with
status 1 if the page differs from the computed tables.
"""

import json
import math
import pathlib
import sys

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
BEGIN = "<!-- begin of capacity.py -->\n"
END = "<!-- end of capacity.py -->\n"

NODES = 1200
SERVERS = 9200
REGIONS = 4
DATA_CENTRES = 15
SEARCHES_PER_S = 210_000
FANOUT = 730
TABLE_CHANGES_PER_S = 4800 / 86400
RESTARTS_PER_S = 4000 / 86400
HOMES_PER_SERVER = 2
SERVICES = 13
CORE_US_PER_S = 1e6


class LinearFit:
    """Least-squares line through measured points."""

    def __init__(self, row):
        self.row = row
        xs = [p[0] for p in row["points"]]
        ys = [p[1] for p in row["points"]]
        mean_x = sum(xs) / len(xs)
        mean_y = sum(ys) / len(ys)
        variance_sum = sum((x - mean_x) ** 2 for x in xs)
        self.slope = (sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys))
                      / variance_sum if variance_sum else 0)
        self.intercept = mean_y - self.slope * mean_x
        self.residual = math.sqrt(
            sum((y - self.value_at(x)) ** 2 for x, y in zip(xs, ys)) / len(xs))
        self.low, self.high = min(xs), max(xs)

    def value_at(self, x):
        return self.intercept + self.slope * x


def format_number(value):
    """Formats a value with three significant digits."""
    if value == 0:
        return "0"
    digits = 2 - int(math.floor(math.log10(abs(value))))
    rounded = round(value, digits)
    return f"{rounded:,.{max(0, digits)}f}"


def markdown_table(head, rows):
    lines = ["| " + " | ".join(head) + " |",
             "| " + " | ".join("---" for _ in head) + " |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


def slopes_table(slopes):
    rows = []
    for name, s in slopes.items():
        rows.append([
            f"`{name}`", s.row["unit"], s.row["x"],
            f"{format_number(s.intercept)} + {format_number(s.slope)} x",
            f"{format_number(s.low)} to {format_number(s.high)}",
            str(len(s.row["points"])), format_number(s.residual),
            f"`{s.row['command']}`"])
    return markdown_table(["slope", "unit", "x", "line", "range", "points",
                           "residual (rms)", "command"], rows)


def derive_figures(s):
    """Load and cost per node at the target size, by name of the figure."""
    d = {}
    d["entry searches/s"] = SEARCHES_PER_S / NODES
    d["home requests/s"] = SEARCHES_PER_S * FANOUT / NODES
    d["servers a home"] = SERVERS * HOMES_PER_SERVER / NODES
    region = NODES / REGIONS
    # Expected number of distinct homes when each shard's home is drawn at
    # random from the nodes of a region.
    d["homes a search"] = region * (1 - (1 - 1 / region) ** FANOUT)
    d["parts a message"] = FANOUT / d["homes a search"]
    d["messages/s"] = d["entry searches/s"] * d["homes a search"] * 2
    d["entry us a search"] = (
        s["entry_us_per_search"].value_at(FANOUT)
        + s["entry_us_per_home"].slope * (d["homes a search"] - 1))
    d["entry cores"] = (d["entry searches/s"] * d["entry us a search"]
                        / CORE_US_PER_S)
    d["home us a request"] = s["home_us_per_request"].value_at(100)
    d["home cores"] = (d["home requests/s"] * d["home us a request"]
                       / CORE_US_PER_S)
    # A search takes 60 ms.
    d["searches in flight"] = d["entry searches/s"] * 0.060
    d["search MB"] = (d["searches in flight"]
                      * s["search_bytes"].value_at(FANOUT) / 1e6)
    d["catalog MB"] = s["catalog_bytes"].value_at(SERVERS) / 1e6
    d["table MB"] = s["table_kb"].value_at(SERVERS) / 1e3
    d["table B/s"] = s["table_bytes_per_s"].value_at(NODES)
    d["table calls/s"] = s["platform_calls_per_s"].value_at(DATA_CENTRES)
    d["table ms"] = s["change_everywhere_ms"].value_at(NODES)
    d["member B/s"] = s["member_bytes_per_s"].value_at(NODES)
    d["member us/s"] = s["member_us_per_s"].value_at(NODES)
    d["member KB"] = s["member_kb"].value_at(NODES)
    d["table us/s"] = (TABLE_CHANGES_PER_S
                       * s["table_apply_ms"].value_at(SERVERS) * 1e3)
    d["fleet KB"] = s["idle_rss_kb"].value_at(NODES)
    d["idle cores"] = s["idle_core_ratio"].intercept
    d["read ms"] = s["table_read_ms"].value_at(SERVERS)
    d["crash ms"] = s["crash_known_ms"].value_at(NODES)
    groups = FANOUT / d["servers a home"] * HOMES_PER_SERVER
    d["homes grouped"] = region * (1 - (1 - 1 / region) ** groups)
    d["entry cores grouped"] = d["entry searches/s"] / CORE_US_PER_S * (
        s["entry_us_per_search"].value_at(FANOUT)
        + s["entry_us_per_home"].slope * (d["homes grouped"] - 1))
    return d


def target_table(d):
    n = format_number
    rows = [
        ["entry", f"{n(d['entry searches/s'])} searches in a second, "
                  f"{n(d['searches in flight'])} in flight at 60 ms",
         f"{n(d['messages/s'])} frames/s out and in; "
         f"{n(d['homes a search'])} homes a search",
         f"{n(d['entry cores'])} cores ({n(d['entry us a search'])} us a "
         "search)",
         f"{n(d['search MB'])} MB of searches, {n(d['catalog MB'])} MB of "
         "catalog", "`search`, `policy`, `merge`, `catalog`"],
        ["home", f"{n(d['servers a home'])} backend servers",
         f"{n(d['home requests/s'])} HTTP requests/s",
         f"{n(d['home cores'])} cores ({n(d['home us a request'])} us a "
         "request)", "by connections, see below",
         "`home`, `slot_queue`, `server_pool`, `share`"],
        ["holder of the table", f"{n(SERVERS)} rows",
         f"{n(d['table B/s'])} B/s",
         f"{n(d['table us/s'] / CORE_US_PER_S * 100)} % of a core",
         f"{n(d['table MB'])} MB", "`table_sync`, `table_delta`"],
        ["reader of the platform", "2 a data centre",
         f"{n(d['table calls/s'])} calls/s of all readers", "within the above",
         "within the above", "`reader`, `platform`"],
        ["member", f"{n(NODES)} members", f"{n(d['member B/s'])} B/s",
         f"{n(d['member us/s'] / CORE_US_PER_S * 100)} % of a core",
         f"{n(d['member KB'] / 1e3)} MB", "`member`, `share`"],
        ["peer", f"{n(2 * NODES)} connections", "by role above",
         "within entry and home",
         f"{n(d['fleet KB'] / 1e3)} MB, the whole of an idle process",
         "`peer`"],
        ["caller discovery", "none kept", "one answer a caller and lifetime",
         "not measured alone", "none kept", "`answer`, `fleet`"],
    ]
    return markdown_table(["role", "state", "messages a node", "processor",
                           "memory", "carried by"], rows)


def control_table(d):
    n = format_number
    control_bytes = d["table B/s"] + d["member B/s"]
    control_us = (d["table us/s"] + d["member us/s"]
                  + d["idle cores"] * CORE_US_PER_S)
    memory = d["table MB"] + d["catalog MB"] + d["fleet KB"] / 1e3
    rows = [
        ["bytes a second", f"{n(control_bytes)} B", "3,000 B",
         "yes" if control_bytes <= 3000 else "no"],
        ["processor", f"{n(control_us / CORE_US_PER_S * 100)} % of a core",
         "2.1 %",
         "yes" if control_us <= 0.021 * CORE_US_PER_S else "no"],
        ["memory", f"{n(memory)} MB", "128 MB",
         "yes" if memory <= 128 else "no"],
        ["a change everywhere", f"{n(d['table ms'])} ms", "7,000 ms",
         "yes" if d["table ms"] <= 7000 else "no"],
    ]
    return markdown_table(["control, a node", "worked out", "allowed",
                           "within"], rows)


def other_figures_table(d):
    n = format_number
    rows = [
        ["homes a search, each server's homes drawn alone",
         n(d["homes a search"])],
        ["parts a home message", n(d["parts a message"])],
        ["entry, cores", n(d["entry cores"])],
        ["homes a search, servers grouped by eight",
         n(d["homes grouped"])],
        ["entry, cores, servers grouped", n(d["entry cores grouped"])],
        ["reading and checking a table of 9,200 rows, ms",
         n(d["read ms"])],
        ["a crash known everywhere, ms", n(d["crash ms"])],
    ]
    return markdown_table(["what follows", "figure"], rows)


def generate_section():
    rows = json.loads((DOCS / "slopes.json").read_text(encoding="utf-8"))
    slopes = {name: LinearFit(row) for name, row in rows.items()}
    d = derive_figures(slopes)
    return ("\n### At the target\n\n" + target_table(d)
            + "\n### Control against its allowance\n\n" + control_table(d)
            + "\n### What else follows\n\n" + other_figures_table(d)
            + "\n### Slopes\n\n" + slopes_table(slopes) + "\n")


def main():
    old = PAGE.read_text(encoding="utf-8")
    head, rest = old.split(BEGIN)
    tail = rest.split(END)[1]
    new = head + BEGIN + generate_section() + END + tail
    if "--check" not in sys.argv:
        PAGE.write_text(new, encoding="utf-8")
        return 0
    if new != old:
        print("docs/CAPACITY.md disagrees with docs/slopes.json: run "
              "scripts/capacity.py", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
