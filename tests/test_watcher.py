"""The registry watcher, driven event by event without sockets or a clock."""

import json
from dataclasses import dataclass, field
from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale import api
from applevale.discovery.endpoints import AttributeNames
from applevale.discovery.registry.commands import (
    Connect,
    PollRevision,
    Publish,
    ReadAll,
    RequestProgress,
    Watch,
)
from applevale.discovery.registry.endpoint_table import EndpointTable
from applevale.discovery.registry.records import RecordError, read_record
from applevale.discovery.registry.session_state import SessionPhase
from applevale.discovery.registry.watcher import RegistryWatcher

NAMES = AttributeNames(("a", "b"), ("std",))


def record(number, state="ready", port=7000, **more_fields):
    fields = {"id": f"s-{number:08x}", "address": f"10.0.0.1:{port}", "state": state}
    return json.dumps(fields | more_fields).encode()


@dataclass
class WatcherHarness:
    """A watcher with a simulated clock, and the engine list that it has published."""

    members: int = 2
    resumable: bool = True
    now: float = 100.0
    engines: dict = field(default_factory=dict)
    publish_count: int = 0

    def __post_init__(self):
        self.watcher = RegistryWatcher(self.members, EndpointTable(NAMES), resumable=self.resumable)

    def execute(self, commands):
        for publish in [command for command in commands if isinstance(command, Publish)]:
            self.publish_count += 1
            if publish.is_snapshot:
                self.engines.clear()
            for entry in publish.entries:
                number, state = entry.endpoint.entry.engine_id, entry.endpoint.entry.state
                self.engines[number] = state.value
                if state is api.EngineState.GONE:
                    del self.engines[number]
        return [command for command in commands if not isinstance(command, Publish)]

    def tick(self, after=0.0):
        self.now += after
        return self.execute(self.watcher.on_tick(self.now))

    @property
    def session_id(self):
        return self.watcher.session.session_id

    def connect(self, cluster=0, revision=None, duration=0.01):
        """Respond to the handshake, by default with the revision of the list."""
        if self.watcher.session is None:
            self.now = max(self.now, self.watcher.sessions.reconnect_at)
            self.tick()
        revision = self.watcher.revision if revision is None else revision
        polled_at, self.now = self.now, self.now + duration
        return self.execute(
            self.watcher.on_connected(self.now, self.session_id, polled_at, revision, cluster)
        )

    def snapshot(self, revision, **records):
        return self.execute(
            self.watcher.on_snapshot(
                self.now,
                self.session_id,
                self.now - 0.01,
                revision,
                [(key, revision, value) for key, value in records.items()],
            )
        )

    def events(self, revision, *events):
        return self.execute(self.watcher.on_events(self.now, self.session_id, revision, events))

    def wait_for_poll(self):
        """Advance the time until a poll is sent, and return that time."""
        for _ in range(20):
            polls = [
                command
                for command in self.tick(max(0.0, self.watcher.next_deadline() - self.now))
                if isinstance(command, PollRevision)
            ]
            if polls:
                return polls[0].sent_at
        raise AssertionError("no poll was sent")

    def answer_poll(self, revision, polled_at=None, duration=0.0):
        if polled_at is None:
            polled_at = self.watcher.session.poll_sent_at
            polled_at = self.wait_for_poll() if polled_at == inf else polled_at
        self.now += duration
        return self.execute(self.watcher.on_revision(self.now, self.session_id, polled_at, revision))

    def disconnect(self, **options):
        return self.execute(self.watcher.on_disconnected(self.now, self.session_id, **options))


class MaximumRandom(Random):
    """A random source that always returns the highest value."""

    def random(self):
        return 1.0


def watching(**options):
    """Return a harness whose watcher has a confirmed list at revision 10."""
    harness = WatcherHarness(**options)
    harness.tick()
    harness.connect()
    harness.snapshot(10, k1=record(1), k2=record(2))
    harness.answer_poll(10)
    return harness


def command_names(commands):
    return [type(command).__name__ for command in commands]


def test_first_session_reads_a_snapshot_which_is_confirmed_and_watches_from_it():
    harness = WatcherHarness()
    assert harness.tick() == [Connect(1, 0)]
    assert harness.connect() == [ReadAll(1)]
    assert harness.snapshot(10, k1=record(1)) == [Watch(1, 11)]
    assert harness.engines == {1: "ready"} and harness.watcher.confirmed_at == harness.now - 0.01
    assert harness.watcher.is_fresh(harness.now)


def test_list_is_confirmed_as_of_the_poll_once_the_watch_has_caught_up():
    harness = watching()
    polled_at = harness.wait_for_poll()
    harness.now += 0.1
    assert harness.answer_poll(12, polled_at) == [RequestProgress(1)]
    assert harness.watcher.confirmed_at < polled_at  # The watch has not delivered revisions 11 and 12.
    harness.events(12, ("k1", 12, record(1, "draining")))
    assert harness.watcher.confirmed_at == polled_at and harness.engines == {1: "draining", 2: "ready"}
    assert harness.watcher.is_fresh(polled_at + 0.35) and not harness.watcher.is_fresh(polled_at + 0.36)


def test_after_a_break_the_watch_resumes_at_the_next_member():
    harness = watching()
    assert harness.disconnect() == [Connect(2, 1)]
    assert harness.connect(revision=13) == [Watch(2, 11), RequestProgress(2)]
    harness.events(13, ("k1", 11, record(1, "draining")), ("k1", 12, None), ("k2", 13, None))
    assert harness.engines == {}
    assert harness.watcher.stats.resumes == 1
    assert harness.watcher.stats.full_reads == 1
    assert harness.watcher.is_fresh(harness.now)


def test_compaction_during_a_break_requires_a_snapshot_and_misses_no_deletion():
    harness = watching()
    harness.disconnect()
    before = harness.watcher.confirmed_at
    harness.connect(revision=20)
    harness.now += 0.1
    assert harness.execute(harness.watcher.on_compacted(harness.now, harness.session_id)) == [ReadAll(2)]
    assert harness.watcher.confirmed_at == before
    assert command_names(harness.snapshot(20, k2=record(2))) == ["Watch"]
    assert harness.engines == {2: "ready"}


def test_compaction_between_the_snapshot_and_the_watch():
    harness = WatcherHarness()
    harness.tick()
    harness.connect()
    harness.snapshot(10, k1=record(1))
    assert harness.execute(harness.watcher.on_compacted(harness.now, 1)) == [ReadAll(1)]
    harness.snapshot(15, k2=record(2))
    assert harness.engines == {2: "ready"} and harness.watcher.revision == 15


def watching_fast_service(**options):
    """Return a harness whose watcher has measured the latency of a fast service."""
    harness = watching(**options)
    for _ in range(40):
        harness.answer_poll(10, duration=0.005)
    return harness


def commands_over_time(harness, duration=inf, step=0.01):
    """Advance the time in small steps, and yield each command with its time."""
    end = harness.now + duration
    while harness.now < end:
        for command in harness.tick(step):
            yield harness.now, command


def test_silent_watch_is_replaced_within_the_staleness_bound_even_if_polls_have_responses():
    harness = watching_fast_service()
    last = harness.watcher.confirmed_at
    harness.answer_poll(11)  # The registry has changed, but the watch is silent.
    standby = next(command for _, command in commands_over_time(harness, 0.2) if isinstance(command, Connect))
    assert standby == Connect(2, 1) and harness.watcher.session.session_id == 1
    assert command_names(
        harness.execute(harness.watcher.on_connected(harness.now, 2, harness.now - 0.01, 11))
    ) == [
        "Watch",
        "RequestProgress",
    ]
    assert harness.watcher.session.session_id == 2 and harness.watcher.stats.stalls == 1
    harness.events(11, ("k1", 11, record(1, "draining")))
    assert harness.now - last < harness.watcher.config.max_staleness and harness.watcher.is_fresh(harness.now)


def test_silent_member_is_replaced_within_the_staleness_bound():
    harness = watching_fast_service(members=3)
    last = harness.watcher.confirmed_at
    harness.wait_for_poll()
    standby = next(
        (at, command) for at, command in commands_over_time(harness, 0.2) if isinstance(command, Connect)
    )
    harness.execute(harness.watcher.on_connected(harness.now, 2, standby[0], 10))
    assert harness.watcher.session.session_id == 2 and harness.watcher.open_sessions == {2}
    assert harness.watcher.is_fresh(harness.now) and harness.now - last < 0.35 + 0.15


def test_active_session_is_kept_while_all_members_are_slow():
    harness = watching_fast_service(members=3)
    started = []
    for _ in range(60):  # Each response takes 0.2 s at every member.
        polled_at = (
            harness.wait_for_poll()
            if harness.watcher.session.poll_sent_at == inf
            else harness.watcher.session.poll_sent_at
        )
        while harness.now < polled_at + 0.2:
            for command in harness.tick(0.01):
                if isinstance(command, Connect):
                    started.append((harness.now, command.session_id))
            for at, number in started:
                if number in harness.watcher.open_sessions and number != 1 and harness.now >= at + 0.2:
                    harness.execute(harness.watcher.on_connected(harness.now, number, at, 10))
        harness.answer_poll(10, polled_at)
        assert harness.watcher.session.session_id == 1
    assert 1 <= len(started) <= 4 and harness.watcher.stats.slow_for_all == len(started)
    assert harness.watcher.stats.given_up == 1
    assert not harness.watcher.is_fresh(harness.now)  # A staleness of 0.35 s cannot be guaranteed.


def test_at_most_one_poll_is_in_flight_and_at_most_five_are_sent_per_second():
    harness = watching_fast_service()
    started = harness.now
    poll_times = []
    while harness.now < started + 20:
        poll_times += [
            at for at, command in commands_over_time(harness, 0.01) if isinstance(command, PollRevision)
        ]
        assert harness.watcher.session.poll_sent_at == inf or not [
            command for command in harness.tick() if isinstance(command, PollRevision)
        ]
        if harness.watcher.session.poll_sent_at < harness.now - 0.005:
            harness.answer_poll(10)
            assert harness.watcher.is_fresh(harness.now)
    assert 60 <= len(poll_times) <= 100


def test_silence_during_an_event_loop_stall_is_ignored():
    harness = watching_fast_service()
    harness.wait_for_poll()
    assert harness.tick(2.0) == []  # The socket may hold an unread response.
    assert harness.watcher.stats.trials == 0
    harness.answer_poll(10, harness.watcher.session.poll_sent_at)
    assert harness.watcher.session.session_id == 1 and harness.watcher.stats.given_up == 0


def test_throttled_poll_is_repeated_in_the_same_session_after_a_backoff():
    harness = watching_fast_service()
    delays = []
    for _ in range(6):
        now = harness.wait_for_poll()
        assert harness.execute(harness.watcher.on_throttled(harness.now, 1, retry_after=1.0)) == []
        delays.append(harness.watcher.session.next_poll_at - now)
    assert all(delay >= 1.0 for delay in delays) and max(delays) <= 1.0 + 4.0
    assert harness.watcher.session.session_id == 1
    assert harness.watcher.pacer.throttle_backoff.window == 4.0
    assert harness.watcher.stats.declined == 6
    for _ in range(8):
        harness.answer_poll(10, duration=0.005)
    assert harness.watcher.pacer.throttle_backoff.window == 0.0


def test_throttled_handshake_and_snapshot_are_repeated_in_the_same_session():
    harness = WatcherHarness()
    harness.tick()
    assert harness.execute(harness.watcher.on_throttled(harness.now, 1)) == []
    assert command_names(command for _, command in commands_over_time(harness, 1.0)) == ["Handshake"]
    harness.watcher.pacer.throttle_backoff.window = 2.0
    assert harness.connect(duration=0.2) == []  # The full read is delayed.
    assert command_names(command for _, command in commands_over_time(harness, 2.0)) == ["ReadAll"]
    assert harness.execute(harness.watcher.on_throttled(harness.now, 1)) == []
    assert command_names(command for _, command in commands_over_time(harness, 4.0)) == ["ReadAll"]
    assert harness.watcher.sessions.opened_count == 1


def test_throttled_watch_is_repeated_after_a_backoff_from_the_current_revision():
    harness = watching_fast_service()
    assert harness.execute(harness.watcher.on_throttled(harness.now, 1, retry_after=1.0, is_watch=True)) == []
    due_at = harness.watcher.session.delayed_until
    assert due_at >= harness.now + 1.0
    while harness.watcher.next_deadline() < due_at:  # Polls continue, and none starts a second watch.
        harness.answer_poll(10, duration=0.005)
    assert harness.now > due_at - 0.3
    watches = [
        command
        for _, command in commands_over_time(harness, 0.1 + due_at - harness.now)
        if isinstance(command, Watch)
    ]
    assert watches == [Watch(1, harness.watcher.revision + 1)] and harness.watcher.sessions.opened_count == 1


def test_failed_standby_sessions_no_longer_count_once_responses_are_fast():
    harness = watching_fast_service()
    harness.watcher.sessions.standby_limiter.failure_count = 8
    harness.answer_poll(10, duration=0.005)
    assert harness.watcher.sessions.standby_limiter.failure_count == 0


def test_list_is_never_fresh_after_a_start_against_a_slow_service():
    harness = WatcherHarness()
    harness.tick()
    harness.connect(duration=0.3)
    list(commands_over_time(harness, 4.0))
    harness.execute(
        harness.watcher.on_snapshot(harness.now, 1, harness.now - 0.3, 10, [("k1", 9, record(1))])
    )
    assert not harness.watcher.is_fresh(harness.now)
    for _ in range(12):
        polled_at = harness.wait_for_poll()
        harness.now += 0.3
        harness.answer_poll(10, polled_at)
        assert not harness.watcher.is_fresh(harness.now)
    assert harness.watcher.stats.given_up == 1


def test_suspended_guarantee_is_restored_by_a_trial():
    harness = watching_fast_service()
    for _ in range(3):
        polled_at = harness.wait_for_poll()
        harness.now += 0.2
        harness.answer_poll(10, polled_at)
    assert harness.watcher.stats.given_up == 1
    poll_times = []
    suspended_at = harness.now
    while not harness.watcher.is_fresh(harness.now) and harness.now < suspended_at + 20:
        poll_times.append(harness.wait_for_poll())
        harness.answer_poll(10, duration=0.005)
    assert harness.watcher.is_fresh(harness.now) and 1.0 <= harness.now - suspended_at <= 5.0
    # Polls are rare at first, and as frequent as usual during the trial.
    assert poll_times[0] - suspended_at >= 0.3
    assert poll_times[-1] - poll_times[-2] <= 0.25


def test_backoff_after_all_members_failed_grows_with_full_jitter():
    backoffs = set()
    for seed in range(20):
        harness = watching(members=3)
        harness.watcher.pacer.random = Random(seed)
        for _ in range(9):
            harness.disconnect()
            if harness.watcher.session is None:
                backoff = harness.watcher.sessions.reconnect_at - harness.now
                harness.now = harness.watcher.sessions.reconnect_at
                harness.tick()
        backoffs.add(round(backoff, 4))
        assert backoff <= 0.2
    assert len(backoffs) == 20 and min(backoffs) < 0.04 and max(backoffs) > 0.15


def test_lagging_member_is_abandoned_unless_all_lag_which_shows_a_restored_registry():
    harness = watching(members=3)
    harness.disconnect()
    assert command_names(harness.connect(revision=8)) == ["Watch", "Connect"]
    assert harness.engines == {1: "ready", 2: "ready"}
    assert harness.watcher.session.member_index == 2
    harness.connect()  # An up-to-date member resets the count of lagging ones.
    harness.answer_poll(8)
    for _ in range(2):
        assert harness.watcher.session is not None and not harness.watcher.watched_list.snapshot_required
        harness.connect(revision=8)
    assert harness.watcher.watched_list.snapshot_required
    assert command_names(harness.connect()) == ["ReadAll"]
    harness.snapshot(8, k1=record(1, "draining"))
    assert harness.engines == {1: "draining"}
    assert harness.watcher.revision == 8
    assert harness.watcher.stats.restored == 1


def test_snapshot_of_a_lagging_member_changes_nothing():
    harness = watching()
    harness.execute(harness.watcher.on_compacted(harness.now, harness.session_id))
    assert command_names(harness.snapshot(9, k1=record(1))) == ["Connect"]
    assert harness.engines == {1: "ready", 2: "ready"} and harness.watcher.revision == 10


def test_snapshot_of_another_cluster_is_adopted_whatever_its_revision():
    harness = WatcherHarness(members=1)
    harness.tick()
    harness.connect(cluster=5)
    harness.snapshot(10, k1=record(1))
    harness.disconnect()
    assert command_names(harness.connect(cluster=6)) == ["ReadAll"]
    assert command_names(harness.snapshot(3, k2=record(2))) == ["Watch"]
    assert harness.engines == {2: "ready"} and harness.watcher.revision == 3


def test_repeated_events_are_ignored_and_events_out_of_order_end_the_session():
    harness = watching()
    harness.events(11, ("k1", 11, record(1, "draining")))
    harness.events(11, ("k1", 11, record(1, "draining")))
    assert harness.watcher.stats.duplicates == 1 and harness.publish_count == 2
    commands = harness.events(14, ("k2", 14, None), ("k1", 13, None))
    assert command_names(commands) == ["Connect"] and harness.watcher.watched_list.snapshot_required


def test_events_of_an_ended_session_are_ignored():
    harness = watching()
    harness.disconnect()
    assert harness.execute(harness.watcher.on_events(harness.now, 1, 11, [("k1", 11, None)])) == []
    assert harness.execute(harness.watcher.on_disconnected(harness.now, 1)) == []
    assert harness.execute(harness.watcher.on_compacted(harness.now, 1)) == []
    assert harness.engines == {1: "ready", 2: "ready"}


def test_backoff_is_longer_for_rejected_credentials_and_grows_for_breaks():
    delays = {}
    for rejected in (False, True):
        harness = watching()
        delays[rejected] = []
        harness.watcher.pacer.random = MaximumRandom()
        for _ in range(16):
            if harness.disconnect(credentials_rejected=rejected) == []:
                delays[rejected].append(harness.watcher.sessions.reconnect_at - harness.now)
                harness.now = harness.watcher.sessions.reconnect_at
                harness.tick()
    assert all(backoff <= 2.0 for backoff in delays[False]) and delays[False][-1] > 4 * delays[False][0]
    assert all(backoff == 2.0 for backoff in delays[True])


def test_stored_list_is_published_and_confirmed_once_a_watch_has_resumed_from_it():
    harness = WatcherHarness()
    harness.execute(harness.watcher.restore(10, [("k1", 9, record(1))]))
    assert harness.engines == {1: "ready"} and not harness.watcher.is_fresh(harness.now)
    harness.tick()
    assert harness.connect() == [Watch(1, 11)]  # The handshake returns the same revision, which is enough.
    assert harness.watcher.is_fresh(harness.now) and harness.watcher.stats.full_reads == 0


def test_watch_resumes_from_the_known_revision_at_replaced_members():
    harness = watching()
    assert command_names(harness.execute(harness.watcher.replace_members(harness.now, 5))) == ["Connect"]
    assert harness.connect()[0] == Watch(2, 11) and harness.engines == {1: "ready", 2: "ready"}


def test_every_session_reads_a_snapshot_if_the_protocol_cannot_resume():
    harness = watching(resumable=False)
    harness.disconnect()
    assert command_names(harness.connect()) == ["ReadAll"]


@pytest.mark.parametrize(
    "value",
    [
        b"{",
        b"",
        b"\xff\xfe",
        b"[1]",
        record(1, "dead"),
        record(1, zone="c"),
        record(1, weight=-1),
        record(1, port=0),
        b"x" * 70_000,
        b"{" * 50_000,
        b"- " * 30_000,
        b"id: s-1",
        record(1, port="7\n"),
    ],
)
def test_invalid_value_does_not_replace_the_last_valid_record(value):
    harness = watching()
    harness.events(11, ("k1", 11, value), ("k3", 11, value))
    assert harness.engines == {1: "ready", 2: "ready"}
    assert set(harness.watcher.watched_list.table.invalid_reasons) == {"k1", "k3"}
    harness.events(12, ("k1", 12, record(1, "draining")))
    assert harness.engines[1] == "draining"
    assert set(harness.watcher.watched_list.table.invalid_reasons) == {"k3"}
    harness.execute(harness.watcher.on_compacted(harness.now, harness.session_id))
    harness.snapshot(13, k1=value, k2=record(2))
    assert harness.engines == {1: "draining", 2: "ready"}


@pytest.mark.parametrize(
    "value, key, text",
    [
        (record(1, zone="c"), "zone", "zone: 'c' is not one of the configured zones"),
        (record(1, port=0), "address", "address: IP:PORT is needed, not '10.0.0.1:0'"),
        (b"x" * 70_000, "", "the value has 70000 bytes; at most 65536 are allowed"),
    ],
)
def test_error_of_an_invalid_value_names_the_field_and_the_reason(value, key, text):
    with pytest.raises(RecordError) as caught:
        read_record(value, NAMES)
    assert caught.value.key == key and str(caught.value) == text


def test_yaml_is_accepted_and_unknown_fields_are_ignored():
    harness = watching()
    harness.events(
        11, ("k1", 11, b"id: s-00000001\naddress: 10.0.0.1:7001\nstate: draining\nzone: b\nby: x\n")
    )
    assert harness.engines[1] == "draining"
    assert harness.watcher.watched_list.table.entries["k1"].endpoint.entry.zone == 1


def test_engine_under_two_keys_has_the_later_record_and_stays_listed_if_one_is_deleted():
    harness = watching()
    harness.events(11, ("k9", 11, record(1, "draining", 7100)))
    assert harness.engines[1] == "draining"
    harness.events(12, ("k9", 12, None))
    assert harness.engines[1] == "ready"
    harness.events(13, ("k1", 13, record(5)))  # The key now belongs to another engine.
    assert harness.engines == {2: "ready", 5: "ready"}


STEP = st.tuples(
    st.sampled_from(["put", "drain", "delete", "invalid", "disconnect", "compact", "repeat", "lag"]),
    st.integers(1, 4),
)


@given(st.lists(STEP, max_size=40))
def test_confirmed_list_equals_the_registry_after_any_sequence_of_faults(steps):
    """Simulate a registry as a list of events, with disconnects, compactions and repeated events."""
    harness = WatcherHarness()
    history = []  # All events of the registry; the revision of each is its position from 1.
    current = {}  # The last event of each existing key.
    valid_values = {}  # The last valid value of each existing key.
    for action, number in [*steps, ("put", 1)]:
        key = f"k{number}"
        if action in ("put", "drain", "invalid"):
            state = "ready" if action == "put" else "draining"
            value = b"{" if action == "invalid" else record(number, state)
            history.append((key, len(history) + 1, value))
            current[key] = history[-1]
            if action != "invalid":
                valid_values[key] = value
        elif action == "delete" and key in current:
            history.append((key, len(history) + 1, None))
            del current[key]
            valid_values.pop(key, None)
        elif action == "disconnect" and harness.watcher.session is not None:
            harness.disconnect()
        serve(harness, history, current, action)
    if not harness.watcher.is_fresh(harness.now):
        serve(harness, history, current, "")
    assert harness.watcher.is_fresh(harness.now) and harness.watcher.revision == len(history)
    published = {f"k{number}": state for number, state in harness.engines.items()}
    for key, (_, _, value) in current.items():
        if value == b"{":  # The last valid record stays, if it was ever delivered.
            assert published.pop(key, None) in (None, state_of(valid_values.get(key)))
        else:
            assert published.pop(key) == state_of(value)
    assert not published


def state_of(value):
    return json.loads(value)["state"] if value else None


def serve(harness, history, current, action):
    """Respond as a member would until the watch has caught up with the registry, with at most one fault."""
    for _ in range(6):
        if harness.watcher.session is None:
            harness.now = max(harness.now, harness.watcher.sessions.reconnect_at)
            harness.tick()
        if harness.watcher.sessions.active_phase is SessionPhase.CONNECTING:
            harness.connect()
        if harness.watcher.sessions.active_phase is SessionPhase.READING:
            harness.execute(
                harness.watcher.on_snapshot(
                    harness.now, harness.session_id, harness.now, len(history), list(current.values())
                )
            )
        elif action == "compact":
            action = ""
            harness.execute(harness.watcher.on_compacted(harness.now, harness.session_id))
        elif action == "lag" and harness.watcher.revision:
            action = ""
            harness.answer_poll(harness.watcher.revision - 1)
        else:
            start = 0 if action == "repeat" else harness.watcher.revision
            harness.events(len(history), *history[start:])
            harness.answer_poll(len(history))
