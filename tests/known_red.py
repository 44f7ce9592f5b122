"""KNOWN-RED.txt: tests that fail for a real fault which could not be mended yet. Each has one line,
`test, cause, issue`, three at most. A listed test must fail; one that passes fails the run, and so does a
list that is malformed or too long."""

from __future__ import annotations

from dataclasses import dataclass

MOST = 3


class KnownRedError(ValueError):
    """The list cannot be used; the text is one plain line."""


@dataclass(frozen=True)
class Red:
    test: str  # its pytest id
    cause: str
    issue: int


def read(text: str) -> tuple[Red, ...]:
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise KnownRedError(f"KNOWN-RED.txt: {len(lines)} lines, {MOST} at most")
    return tuple(_line(number, line) for number, line in enumerate(lines, 1))


def _line(number: int, line: str) -> Red:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    test, cause, issue = test.strip(), cause.strip(), issue.strip().lstrip("#")
    if "::" not in test or not cause or not issue.isdecimal():
        needed = "'FILE::TEST, cause, issue' is needed"
        raise KnownRedError(f"KNOWN-RED.txt line {number}: {needed}: {line[:80]!r}")
    return Red(test, cause, int(issue))
