"""The handling of KNOWN-RED.txt, in a test run of its own."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = "def test_bad():\n    assert 1 == 2\n\ndef test_good():\n    assert 1 == 1\n"


@pytest.fixture
def run(tmp_path):
    for name in ("conftest.py", "known_red.py"):
        (tmp_path / name).write_text((HERE / name).read_text())
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")

    def run(lines):
        (tmp_path / "KNOWN-RED.txt").write_text("".join(line + "\n" for line in lines))
        env = {key: value for key, value in os.environ.items() if not key.startswith("PYTEST")}
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"]
        done = subprocess.run(command, cwd=tmp_path, env=env, capture_output=True, text=True)
        return done.returncode, done.stdout + done.stderr

    return run


def test_a_listed_test_may_fail_and_is_printed(run):
    code, text = run(["test_it.py::test_bad, a cause, 29"])
    assert code == 0 and "known red: test_it.py::test_bad: a cause (issue 29)" in text


@pytest.mark.parametrize(
    "lines, said",
    [
        ([], "test_bad"),  # what is not listed fails as ever
        (["test_it.py::test_bad, a cause, 29", "test_it.py::test_good, mended, 29"], "XPASS(strict)"),
        (["test_it.py::test_bad, a cause, 29"] * 4, "KNOWN-RED.txt: 4 lines, 3 at most"),
        (["test_it.py::test_bad, 29"], "KNOWN-RED.txt line 1"),
        (["test_it.py::test_bad, a cause, soon"], "KNOWN-RED.txt line 1"),
        (["test_it.py::test_away, a cause, 29"], "there is no test test_it.py::test_away"),
        (["test_bad, a cause, 29"], "KNOWN-RED.txt line 1"),
    ],
)
def test_else_the_run_fails_and_says_why(run, lines, said):
    code, text = run(lines)
    assert code != 0 and said in text
