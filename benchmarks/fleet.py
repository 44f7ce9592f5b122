"""Counts across a fleet: adds up the counters and log lines of many workload managers' logs.

python benchmarks/fleet.py DIR     one file NAME.log for each workload manager, as they wrote them
"""

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from pathlib import Path

MARK = "counters "
NUMBER = re.compile(r"[0-9a-f]{8}|\d+")


def last_counters(lines: list[str]) -> Counter[str]:
    """Counters only grow, so the last line of them holds all that were counted since the start."""
    told = [line.partition(MARK)[2] for line in lines if MARK in line]
    return Counter(json.loads(told[-1])) if told else Counter()


def kind(line: str) -> str:
    """A log line without its time and numbers: what of it is alike at all workload managers."""
    return NUMBER.sub("#", re.sub(r"^[\d.]+ ", "", line.strip()))


def main(folder: str) -> int:
    logs = sorted(Path(folder).glob("*.log"))
    if not logs:
        print(f"{folder}: holds no *.log", file=sys.stderr)
        return 2
    total: Counter[str] = Counter()
    least: dict[str, int] = {}
    most: Counter[str] = Counter()
    kinds: Counter[str] = Counter()
    each: list[Counter[str]] = []
    for path in logs:
        lines = path.read_text(errors="replace").splitlines()
        each.append(last_counters(lines))
        kinds.update(kind(line) for line in lines if MARK not in line)
    for counters in each:
        total.update(counters)
    for name in total:
        least[name] = min(counters[name] for counters in each)
        most[name] = max(counters[name] for counters in each)
    print(f"{len(logs)} workload managers: counter, in all, least and most of one")
    for name, count in sorted(total.items()):
        print(f"{name:24} {count:10} {least[name]:8} {most[name]:8}")
    print("log lines, by kind")
    for text, count in kinds.most_common(20):
        print(f"{count:6}  {text[:100]}")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2] or ["logs"]))
