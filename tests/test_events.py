"""Events on standard error: plain lines, JSON lines, and the limit of each kind in both forms."""

import io
import json
import threading

import pytest

from applevale.config.model import ConfigError
from applevale.config.sections import read_log_form
from applevale.observability import events


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(events, "_windows", {})
    monkeypatch.setattr(events.time, "monotonic", lambda: now[0])
    yield now
    events.use_console()


def test_on_the_console_a_line_is_kind_and_text(clock, capsys):
    events.log_event("link", "lost", engine=3)
    events.emit_event("ready", ready=True)
    events.log_unlimited("listening", "x listens", port=1)
    assert capsys.readouterr().err == "link: lost\nx listens\n"


def test_json_lines_hold_the_fields_the_monotonic_time_and_the_instance(clock, capsys):
    events.use_json("n3")
    events.log_event("link", "lost", engine=3)
    events.emit_event("ready", ready=True)
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert lines == [
        {"at": 100.0, "instance": "n3", "event": "link", "text": "lost", "engine": 3},
        {"at": 100.0, "instance": "n3", "event": "ready", "ready": True},
    ]


@pytest.mark.parametrize("form", ["console", "json"])
def test_a_kind_has_five_lines_in_a_window_and_then_the_number_left_out(clock, capsys, form):
    if form == "json":
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


def test_the_form_is_read_or_rejected(monkeypatch):
    assert not read_log_form({}, {})
    assert read_log_form({"log": "json"}, {}) and read_log_form({"log": "console"}, {"BALANCER_LOG": "json"})
    with pytest.raises(ConfigError, match=r"^log: console or json is needed, not 'yaml'$"):
        read_log_form({"log": "yaml"}, {})
    monkeypatch.setattr("applevale.config.sections.find_spec", lambda name: None)
    with pytest.raises(ConfigError, match=r"^log: structlog is missing"):
        read_log_form({"log": "json"}, {})


class ReentrantStream(io.StringIO):
    """Standard error in whose first write a garbage collection starts, and its callback logs."""

    has_collected = False

    def write(self, text):
        if not self.has_collected:
            self.has_collected = True
            events.log_event("loop", "collecting took long")
        return super().write(text)


@pytest.mark.parametrize("form", ["console", "json"])
def test_a_line_that_is_logged_within_a_write_follows_it(clock, monkeypatch, form):
    """The callback of a collection may run within a write, and must not wait for its own thread's lock."""
    stream = ReentrantStream()
    monkeypatch.setattr(events.sys, "stderr", stream)
    if form == "json":
        events.use_json("n")
    writer = threading.Thread(target=events.log_event, args=("link", "lost"), daemon=True)
    writer.start()
    writer.join(10)
    assert not writer.is_alive()
    first, second = stream.getvalue().splitlines()
    assert "lost" in first and "collecting took long" in second
