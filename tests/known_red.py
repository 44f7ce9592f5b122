"""The list of known failures in KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each has one line, `FILE::TEST, cause, issue`. A listed test must fail: one that passes fails the run, and so
does a list that is malformed or too long.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_KNOWN_FAILURES = 3
MAX_QUOTED_CHARACTERS = 80


class KnownRedError(ValueError):
    """The list cannot be used; the text is one plain line."""


@dataclass(frozen=True)
class KnownFailure:
    """A test that is expected to fail.

    Attributes:
        test: Its pytest id.
        cause: Why it fails.
        issue: The number of the issue on the fault.
    """

    test: str
    cause: str
    issue: int

    @property
    def file(self) -> str:
        """The file of the test, as in its pytest id."""
        return self.test.partition("::")[0]


def parse_known_failures(text: str) -> tuple[KnownFailure, ...]:
    """Return the entries of the list.

    Raises:
        KnownRedError: The list is malformed or too long.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"KNOWN-RED.txt: {len(lines)} lines, {MAX_KNOWN_FAILURES} at most")
    return tuple(_parse_line(number, line) for number, line in enumerate(lines, 1))


def _parse_line(number: int, line: str) -> KnownFailure:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    test = test.strip()
    cause = cause.strip()
    issue = issue.strip().lstrip("#")
    if "::" not in test or not cause or not issue.isdecimal():
        expected = "'FILE::TEST, cause, issue' is needed"
        quoted = repr(line[:MAX_QUOTED_CHARACTERS])
        raise KnownRedError(f"KNOWN-RED.txt line {number}: {expected}: {quoted}")
    return KnownFailure(test, cause, int(issue))
