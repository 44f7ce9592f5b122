"""KNOWN-RED.txt: expected failures, and errors in the list. Each test runs pytest in a subprocess."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS_DIRECTORY = Path(__file__).parent
COPIED_FILES = ("conftest.py", "known_red.py")
TEST_MODULE = "def test_bad():\n    assert 1 == 2\n\ndef test_good():\n    assert 1 == 1\n"


@pytest.fixture
def run_pytest(tmp_path):
    """Return a function that runs pytest with lines in KNOWN-RED.txt and returns exit status and output."""
    for name in COPIED_FILES:
        (tmp_path / name).write_text((TESTS_DIRECTORY / name).read_text())
    (tmp_path / "test_it.py").write_text(TEST_MODULE)
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -q\n")  # as in pyproject.toml

    def run(lines):
        (tmp_path / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PYTEST")}
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
        completed = subprocess.run(
            command, cwd=tmp_path, env=environment, capture_output=True, text=True, check=False
        )
        return completed.returncode, completed.stdout + completed.stderr

    return run


def test_a_listed_failure_is_printed_and_does_not_fail_the_run(run_pytest):
    status, output = run_pytest(["test_it.py::test_bad, a cause, 29"])
    assert status == 0
    assert "known red: test_it.py::test_bad: a cause (issue 29)" in output


@pytest.mark.parametrize(
    "lines, message",
    [
        ([], "test_bad"),  # a failing test that is not listed
        (["test_it.py::test_bad, a cause, 29", "test_it.py::test_good, fixed, 29"], "XPASS(strict)"),
        (["test_it.py::test_bad, a cause, 29"] * 4, "KNOWN-RED.txt: 4 lines, 3 at most"),
        (["test_it.py::test_bad, 29"], "KNOWN-RED.txt line 1"),
        (["test_it.py::test_bad, a cause, soon"], "KNOWN-RED.txt line 1"),
        (["test_it.py::test_missing, a cause, 29"], "there is no test test_it.py::test_missing"),
        (["test_bad, a cause, 29"], "KNOWN-RED.txt line 1"),
    ],
)
def test_a_run_with_an_unlisted_failure_or_an_invalid_list_fails_with_a_message(run_pytest, lines, message):
    status, output = run_pytest(lines)
    assert status != 0
    assert message in output
