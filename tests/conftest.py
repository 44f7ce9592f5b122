"""Pytest configuration: reproducible property tests, and tests in KNOWN-RED.txt that must fail."""

from pathlib import Path

import known_red
import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("fixed")


def pytest_configure(config):
    """Read the known failures from KNOWN-RED.txt."""
    path = Path(config.rootpath) / "KNOWN-RED.txt"
    config.known_failures = ()
    if not path.exists():
        return
    try:
        config.known_failures = known_red.parse_known_failures(path.read_text())
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_terminal_summary(terminalreporter, config):
    """Print a line for each known failure, also in a quiet run, which has no header."""
    for failure in config.known_failures:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Mark known failures as strictly expected to fail, and reject a list with a test that does not exist."""
    collected_tests = {item.nodeid for item in items}
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    selects_single_tests = any("::" in argument for argument in config.args)
    for failure in config.known_failures:
        is_file_complete = failure.file in collected_files and not selects_single_tests
        if is_file_complete and failure.test not in collected_tests:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {failure.test}")
    for item in items:
        for failure in config.known_failures:
            if item.nodeid == failure.test:
                item.add_marker(pytest.mark.xfail(reason=f"known red: {failure.cause}", strict=True))
