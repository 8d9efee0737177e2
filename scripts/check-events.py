#!/usr/bin/env python3
"""Compares the log events, alarms and metrics in the code with their docs.

The pages are docs/operators/events.md and docs/operators/metrics.md; each row
of their tables begins with the name in backquotes. --write-metrics rewrites
the table of metrics from the code.
"""

import argparse
import pathlib
import re
import sys

MODULE = re.compile(r'^#define LOG_MODULE "([^"]+)"', re.M)
CALL = re.compile(r"\bLOG_(DEBUG|INFO|WARN|ERROR)\(\s*(\"[^\"]*\")?")
ALARMS = re.compile(r"\b\w*alarm_names\[\w*\]\s*=\s*\{(.*?)\}", re.S)
METRIC = re.compile(
    r"\bX\(\s*\w+,\s*METRIC_(\w+),\s*\"([^\"]+)\",\s*((?:\"[^\"]*\"\s*)+)\)")
ROW = re.compile(r"^\| `([^`]+)` \|(.*)\|\s*$", re.M)
METRIC_HEADERS = ("counters.h", "gateway_stats.h")
BEGIN = "<!-- begin of the list of counters.h -->\n"
END = "<!-- end of the list of counters.h -->\n"


def sources(root):
    return sorted(p for p in root.glob("*.c") if not p.name.endswith(".pb-c.c"))


def code_events(root, problems):
    """Returns a set of (event, module, level)."""
    out = set()
    for path in sources(root):
        text = path.read_text(encoding="utf-8")
        module = MODULE.search(text)
        for call in CALL.finditer(text):
            if not call.group(2):
                problems.append(
                    f"{path.name}: event name is no constant string")
                continue
            out.add((call.group(2).strip('"'), module.group(1),
                     call.group(1).lower()))
    return out


def code_alarms(root):
    out = set()
    for path in sources(root):
        for names in ALARMS.finditer(path.read_text(encoding="utf-8")):
            out.update(re.findall(r'"([^"]+)"', names.group(1)))
    return out


def code_metrics(root):
    """Returns the expected table rows of the metrics page, by name."""
    out = {}
    for header in METRIC_HEADERS:
        if not (root / header).exists():
            continue
        text = (root / header).read_text(encoding="utf-8")
        text = text.replace("\\\n", "\n")
        for kind, name, help_text in METRIC.findall(text):
            words = "".join(re.findall(r'"([^"]*)"', help_text))
            out[name] = f"| `{name}` | {kind.lower()} | {words} |"
    return out


def section(text, title):
    """Returns the text from a heading to the next one of the same level."""
    found = re.search(rf"^## {title}$(.*?)(?=^## |\Z)", text, re.M | re.S)
    return found.group(1) if found else ""


def table_rows(text):
    """Returns {name: cells} and the names that occur more than once."""
    out = {}
    duplicates = []
    for name, rest in ROW.findall(text):
        if name in out:
            duplicates.append(name)
        out[name] = [cell.strip() for cell in rest.split("|")]
    return out, duplicates


def compare(kind, code, page, page_name, problems):
    for name in sorted(set(code) - set(page)):
        problems.append(f"{kind} {name} is not on {page_name}")
    for name in sorted(set(page) - set(code)):
        problems.append(f"{page_name} names {kind} {name}, the code does not")


def check_events(root, problems):
    name = "docs/operators/events.md"
    text = (root / name).read_text(encoding="utf-8")
    events = code_events(root, problems)
    page, duplicates = table_rows(section(text, "Log events"))
    problems.extend(f"{name}: {event} stands twice" for event in duplicates)
    compare("event", {event for event, _, _ in events}, page, name, problems)
    for event, cells in page.items():
        described = {(m, lv) for e, m, lv in events if e == event}
        if len(cells) < 4 or not all(cells[:4]):
            problems.append(f"{name}: {event} lacks a meaning or an action")
        elif described and described != {
                (m.strip(), cells[1]) for m in cells[0].split(",")}:
            problems.append(
                f"{name}: {event} is {sorted(described)} in the code")
    page, _ = table_rows(section(text, "Alarms"))
    compare("alarm", code_alarms(root), page, name, problems)
    for alarm, cells in page.items():
        if len(cells) < 2 or not all(cells[:2]):
            problems.append(f"{name}: {alarm} lacks a meaning or an action")


def check_metrics(root, write, problems):
    name = "docs/operators/metrics.md"
    text = (root / name).read_text(encoding="utf-8")
    head, rest = text.split(BEGIN)
    old, tail = rest.split(END)
    table = "".join(line + "\n" for line in code_metrics(root).values())
    new = "| name | kind | meaning |\n| --- | --- | --- |\n" + table
    if write:
        (root / name).write_text(head + BEGIN + new + END + tail,
                                 encoding="utf-8")
    elif old != new:
        compare("metric", code_metrics(root), table_rows(old)[0], name,
                problems)
        problems.append(f"{name} differs from counters.h; "
                        "run scripts/check-events.sh --write-metrics")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--root", type=pathlib.Path,
                        default=pathlib.Path(__file__).resolve().parent.parent)
    parser.add_argument("--write-metrics", action="store_true")
    args = parser.parse_args()
    problems = []
    check_metrics(args.root, args.write_metrics, problems)
    check_events(args.root, problems)
    for line in problems:
        print(line)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
