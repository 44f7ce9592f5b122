"""Logging to standard error: plain lines, JSON lines, and the limit of each kind in both formats."""

import io
import json
import threading

import pytest

from applevale.config.model import ConfigError
from applevale.config.sections import read_json_log
from applevale.observability import events


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(events, "_windows", {})
    monkeypatch.setattr(events.time, "monotonic", lambda: now[0])
    yield now
    events.use_console()


def test_a_plain_line_has_kind_and_text(clock, capsys):
    events.log_event("engine_connection", "lost", engine=3)
    events.emit_event("ready", ready=True)
    events.log_unlimited("listening", "x listens", port=1)
    assert capsys.readouterr().err == "engine_connection: lost\nx listens\n"


def test_a_json_line_has_fields_monotonic_time_and_instance(clock, capsys):
    events.use_json("n3")
    events.log_event("engine_connection", "lost", engine=3)
    events.emit_event("ready", ready=True)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert lines == [
        {"at": 100.0, "instance": "n3", "event": "engine_connection", "text": "lost", "engine": 3},
        {"at": 100.0, "instance": "n3", "event": "ready", "ready": True},
    ]


@pytest.mark.parametrize("log_format", ["console", "json"])
def test_lines_over_the_limit_of_a_kind_are_dropped_and_their_number_is_logged(clock, capsys, log_format):
    if log_format == "json":
        events.use_json("n")
    events.log_event("flood", "line 0")
    events.log_event("other", "one")
    for number in range(1, 12):
        events.log_event("flood", f"line {number}")
    assert len(capsys.readouterr().err.splitlines()) == events.MAX_LINES_PER_KIND + 1
    clock[0] += events.RATE_WINDOW_SECONDS
    events.log_event("flood", "later")
    left_out, later = capsys.readouterr().err.splitlines()
    assert "7 more lines were left out" in left_out and "later" in later


def test_an_unknown_log_format_or_json_without_structlog_is_rejected(monkeypatch):
    assert not read_json_log({}, {})
    assert read_json_log({"log": "json"}, {}) and read_json_log({"log": "console"}, {"BALANCER_LOG": "json"})
    with pytest.raises(ConfigError, match=r"^log: console or json is needed, not 'yaml'$"):
        read_json_log({"log": "yaml"}, {})
    monkeypatch.setattr("applevale.config.sections.find_spec", lambda name: None)
    with pytest.raises(ConfigError, match=r"^log: structlog is missing"):
        read_json_log({"log": "json"}, {})


class ReentrantStream(io.StringIO):
    """Standard error whose first write logs another line, as the callback of a garbage collection may."""

    has_logged = False

    def write(self, text):
        if not self.has_logged:
            self.has_logged = True
            events.log_event("event_loop", "collecting took long")
        return super().write(text)


@pytest.mark.parametrize("log_format", ["console", "json"])
def test_a_line_that_is_logged_during_a_write_is_written_after_it(clock, monkeypatch, log_format):
    """A garbage collection may start during a write, and its callback logs; the thread must not deadlock."""
    stream = ReentrantStream()
    monkeypatch.setattr(events.sys, "stderr", stream)
    if log_format == "json":
        events.use_json("n")
    writer = threading.Thread(target=events.log_event, args=("engine_connection", "lost"), daemon=True)
    writer.start()
    writer.join(10)
    assert not writer.is_alive()
    first, second = stream.getvalue().splitlines()
    assert "lost" in first and "collecting took long" in second
