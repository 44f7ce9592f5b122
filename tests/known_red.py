"""Parser of KNOWN-RED.txt, the list of tests that fail because of a known fault in the program.

Each line has the form `FILE::TEST, cause, issue`. The test run fails if a listed test passes, or if the list
is malformed or too long.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_KNOWN_FAILURES = 3
MAX_QUOTED_CHARACTERS = 80  # longer lines are truncated in error messages


class KnownRedError(ValueError):
    """The list is invalid; the message is one line."""


@dataclass(frozen=True)
class KnownFailure:
    """A test that is expected to fail.

    Attributes:
        test: The pytest id of the test.
        cause: Why the test fails.
        issue: The number of the issue about the fault.
    """

    test: str
    cause: str
    issue: int

    @property
    def file(self) -> str:
        """The path of the test file, as in the pytest id."""
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
