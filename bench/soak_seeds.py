"""Plays the seeds of a soak, several at a time."""

import argparse
import concurrent.futures
import json

PROCESSES = 4


def parse_seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def play_at_once(play_seed, options, seeds):
    """Return the reports of all `seeds`, played beside each other."""
    with concurrent.futures.ProcessPoolExecutor(len(seeds)) as pool:
        return list(pool.map(play_seed, [options] * len(seeds), seeds))


def main(doc, play_seed, processes_option, processes=PROCESSES, flags=()):
    """Print the report of each run, a JSON line; return the exit status.

    `play_seed` takes the options and a seed, and returns a report whose
    "failed" is empty if the run kept the rules.
    """
    parser = argparse.ArgumentParser(description=doc.split("\n\n")[0])
    parser.add_argument("build")
    parser.add_argument("--seeds", type=parse_seeds, default=range(1, 3))
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument(processes_option, type=int, default=processes)
    parser.add_argument("--keep-logs", action="store_true",
                        help="of failed runs, in the current directory")
    for flag in flags:
        parser.add_argument(flag, action="store_true")
    options = parser.parse_args()
    failed = False
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for report in pool.map(play_seed, [options] * len(options.seeds),
                               options.seeds):
            failed = failed or bool(report["failed"])
            print(json.dumps(report), flush=True)
    return 1 if failed else 0
