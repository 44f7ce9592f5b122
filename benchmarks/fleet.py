"""Sums up the counters and log lines of a fleet of workload managers.

    python benchmarks/fleet.py [DIR]

DIR, by default `logs`, holds the log of each workload manager as a file NAME.log.
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
MAX_PRINTED_TEMPLATES = 20
MAX_TEMPLATE_LENGTH = 100
EXIT_NO_LOGS = 2


def last_counters(lines: list[str]) -> Counter[str]:
    """Return the final counters of a log.

    Counters only grow, so the last line with counters holds the counts since the start.
    """
    dumps = [line.partition(COUNTERS_PREFIX)[2] for line in lines if COUNTERS_PREFIX in line]
    return Counter(json.loads(dumps[-1])) if dumps else Counter()


def line_template(line: str) -> str:
    """Return a log line without its time and with `#` for numbers, which makes lines of one kind equal."""
    return NUMBER_PATTERN.sub("#", TIME_PATTERN.sub("", line.strip()))


def print_counters(counters: list[Counter[str]]) -> None:
    """Print the sum, minimum and maximum of each counter over all workload managers."""
    total: Counter[str] = Counter()
    for instance_counters in counters:
        total.update(instance_counters)
    print(f"{len(counters)} workload managers: counter, total, minimum and maximum")
    for name, count in sorted(total.items()):
        values = [instance_counters[name] for instance_counters in counters]
        print(f"{name:24} {count:10} {min(values):8} {max(values):8}")


def print_templates(templates: Counter[str]) -> None:
    """Print the most frequent templates of log lines."""
    print("log lines, by kind")
    for template, count in templates.most_common(MAX_PRINTED_TEMPLATES):
        print(f"{count:6}  {template[:MAX_TEMPLATE_LENGTH]}")


def main(folder: str) -> int:
    """Print the summary of all logs in a folder; return the exit code."""
    logs = sorted(Path(folder).glob("*.log"))
    if not logs:
        print(f"{folder}: no file *.log; one log for each workload manager is needed", file=sys.stderr)
        return EXIT_NO_LOGS
    counters: list[Counter[str]] = []
    templates: Counter[str] = Counter()
    for path in logs:
        lines = path.read_text(errors="replace").splitlines()
        counters.append(last_counters(lines))
        templates.update(line_template(line) for line in lines if COUNTERS_PREFIX not in line)
    print_counters(counters)
    print_templates(templates)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2] or ["logs"]))
