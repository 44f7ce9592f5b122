"""Counts across a fleet: adds up the counters and log lines of many workload managers' logs.

python benchmarks/fleet.py DIR     one file NAME.log for each workload manager, as they wrote them
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from pathlib import Path

COUNTERS_PREFIX = "counters "
TIME_PATTERN = re.compile(r"^[\d.]+ ")
NUMBER_PATTERN = re.compile(r"[0-9a-f]{8}|\d+")
MAX_PRINTED_KINDS = 20
MAX_KIND_LENGTH = 100
EXIT_NO_LOGS = 2


def last_counters(lines: list[str]) -> Counter[str]:
    """Return the counters of a log.

    Counters only grow, so the last line of them holds all that were counted since the start.
    """
    dumps = [line.partition(COUNTERS_PREFIX)[2] for line in lines if COUNTERS_PREFIX in line]
    return Counter(json.loads(dumps[-1])) if dumps else Counter()


def kind(line: str) -> str:
    """Return a log line without its time and numbers: what of it is alike at all workload managers."""
    return NUMBER_PATTERN.sub("#", TIME_PATTERN.sub("", line.strip()))


def print_counters(counters: list[Counter[str]]) -> None:
    """Print the sum of each counter over all workload managers, and its extremes."""
    total: Counter[str] = Counter()
    for each in counters:
        total.update(each)
    print(f"{len(counters)} workload managers: counter, in all, least and most of one")
    for name, count in sorted(total.items()):
        values = [each[name] for each in counters]
        print(f"{name:24} {count:10} {min(values):8} {max(values):8}")


def print_kinds(kinds: Counter[str]) -> None:
    """Print the most frequent kinds of log lines."""
    print("log lines, by kind")
    for text, count in kinds.most_common(MAX_PRINTED_KINDS):
        print(f"{count:6}  {text[:MAX_KIND_LENGTH]}")


def main(folder: str) -> int:
    """Print what the logs of a folder hold together; return the exit code."""
    logs = sorted(Path(folder).glob("*.log"))
    if not logs:
        print(f"{folder}: holds no *.log", file=sys.stderr)
        return EXIT_NO_LOGS
    counters: list[Counter[str]] = []
    kinds: Counter[str] = Counter()
    for path in logs:
        lines = path.read_text(errors="replace").splitlines()
        counters.append(last_counters(lines))
        kinds.update(kind(line) for line in lines if COUNTERS_PREFIX not in line)
    print_counters(counters)
    print_kinds(kinds)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2] or ["logs"]))
