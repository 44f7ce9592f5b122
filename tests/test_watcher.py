"""The registry watcher, driven message by message: no sockets, no clock."""

import json
from dataclasses import dataclass, field
from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from applevale import api
from applevale.discovery.endpoints import Names
from applevale.discovery.registry.commands import (
    Connect,
    PollRevision,
    Publish,
    ReadAll,
    RequestProgress,
    Watch,
)
from applevale.discovery.registry.pacing import FAST_RESPONSE_STREAK
from applevale.discovery.registry.records import Ledger
from applevale.discovery.registry.sessions import SessionPhase
from applevale.discovery.registry.watcher import RegistryWatcher

NAMES = Names(("a", "b"), ("std",))


def record(number, state="ready", port=7000, **more):
    known = {"id": f"s-{number:08x}", "address": f"10.0.0.1:{port}", "state": state}
    return json.dumps(known | more).encode()


@dataclass
class Play:
    """A watcher, its time, and the list that its changes make."""

    members: int = 2
    resumable: bool = True
    now: float = 100.0
    engines: dict = field(default_factory=dict)
    tells: int = 0

    def __post_init__(self):
        self.it = RegistryWatcher(self.members, Ledger(NAMES), resumable=self.resumable)

    def do(self, commands):
        for tell in [one for one in commands if isinstance(one, Publish)]:
            self.tells += 1
            if tell.is_snapshot:
                self.engines.clear()
            for entry in tell.entries:
                number, state = entry.member.entry.engine, entry.member.entry.state
                self.engines[number] = state.value
                if state is api.State.GONE:
                    del self.engines[number]
        return [one for one in commands if not isinstance(one, Publish)]

    def tick(self, after=0.0):
        self.now += after
        return self.do(self.it.on_tick(self.now))

    @property
    def number(self):
        return self.it.session.session_id

    def up(self, cluster=0, revision=None, took=0.01):
        """The session's first answer; without a revision that of the list, so that it is confirmed."""
        if self.it.session is None:
            self.now = max(self.now, self.it.sessions.reconnect_at)
            self.tick()
        revision = self.it.revision if revision is None else revision
        asked, self.now = self.now, self.now + took
        return self.do(self.it.on_connected(self.now, self.number, asked, revision, cluster))

    def whole(self, revision, **records):
        return self.do(
            self.it.on_snapshot(
                self.now,
                self.number,
                self.now - 0.01,
                revision,
                [(key, revision, value) for key, value in records.items()],
            )
        )

    def events(self, revision, *events):
        return self.do(self.it.on_events(self.now, self.number, revision, events))

    def ask(self):
        """Time goes on until the next question leaves."""
        for _ in range(20):
            asks = [
                one
                for one in self.tick(max(0.0, self.it.next_deadline() - self.now))
                if isinstance(one, PollRevision)
            ]
            if asks:
                return asks[0].sent_at
        raise AssertionError("no question left")

    def answer(self, revision, asked=None, took=0.0):
        if asked is None:
            asked = self.it.session.poll_sent_at
            asked = self.ask() if asked == inf else asked
        self.now += took
        return self.do(self.it.on_revision(self.now, self.number, asked, revision))

    def lose(self, **more):
        return self.do(self.it.on_disconnected(self.now, self.number, **more))


class Longest(Random):
    def random(self):
        return 1.0


def watching(**more):
    play = Play(**more)
    play.tick()
    play.up()
    play.whole(10, k1=record(1), k2=record(2))
    play.answer(10)
    return play


def kinds(commands):
    return [type(one).__name__ for one in commands]


def test_a_start_reads_all_then_watches_behind_it_and_is_confirmed_by_two_reads():
    play = Play()
    assert play.tick() == [Connect(1, 0)]
    assert play.up() == [ReadAll(1)]
    assert play.whole(10, k1=record(1)) == [Watch(1, 11)]
    assert play.engines == {1: "ready"} and play.it.confirmed_at == play.now - 0.01
    assert play.it.is_fresh(play.now)


def test_what_confirms_is_the_question_not_its_answer_and_only_with_the_watch_as_far():
    play = watching()
    asked = play.ask()
    play.now += 0.1
    assert play.answer(12, asked) == [RequestProgress(1)]
    assert play.it.confirmed_at < asked  # the watch has not told 11 and 12
    play.events(12, ("k1", 12, record(1, "draining")))
    assert play.it.confirmed_at == asked and play.engines == {1: "draining", 2: "ready"}
    assert play.it.is_fresh(asked + 0.35) and not play.it.is_fresh(asked + 0.36)


def test_a_break_goes_on_behind_the_last_revision_at_the_next_member():
    play = watching()
    assert play.lose() == [Connect(2, 1)]
    assert play.up(revision=13) == [Watch(2, 11), RequestProgress(2)]
    play.events(13, ("k1", 11, record(1, "draining")), ("k1", 12, None), ("k2", 13, None))
    assert play.engines == {} and play.it.stats.resumes == 1 and play.it.stats.full_reads == 1
    assert play.it.is_fresh(play.now)


def test_compaction_during_a_break_reads_all_anew_and_misses_no_deletion():
    play = watching()
    play.lose()
    before = play.it.confirmed_at
    play.up(revision=20)
    play.now += 0.1
    assert play.do(play.it.on_compacted(play.now, play.number)) == [ReadAll(2)]
    assert play.it.confirmed_at == before
    assert kinds(play.whole(20, k2=record(2))) == ["Watch"]
    assert play.engines == {2: "ready"}


def test_compaction_between_the_full_read_and_the_watch():
    play = Play()
    play.tick()
    play.up()
    play.whole(10, k1=record(1))
    assert play.do(play.it.on_compacted(play.now, 1)) == [ReadAll(1)]
    play.whole(15, k2=record(2))
    assert play.engines == {2: "ready"} and play.it.revision == 15


def settled(**more):
    """Watching, with the latency of a quick service learned."""
    play = watching(**more)
    for _ in range(40):
        play.answer(10, took=0.005)
    return play


def looks(play, until=inf, step=0.01):
    """Time goes on in small steps; the commands as they come, with their times."""
    end = play.now + until
    while play.now < end:
        for one in play.tick(step):
            yield play.now, one


def test_a_watch_that_goes_silent_while_reads_are_answered_is_left_within_the_promise():
    play = settled()
    last = play.it.confirmed_at
    play.answer(11)  # the registry has changed, the watch says nothing
    trial = next(one for _, one in looks(play, 0.2) if isinstance(one, Connect))
    assert trial == Connect(2, 1) and play.it.session.session_id == 1
    assert kinds(play.do(play.it.on_connected(play.now, 2, play.now - 0.01, 11))) == [
        "Watch",
        "RequestProgress",
    ]
    assert play.it.session.session_id == 2 and play.it.stats.stalls == 1
    play.events(11, ("k1", 11, record(1, "draining")))
    assert play.now - last < play.it.config.max_staleness and play.it.is_fresh(play.now)


def test_a_member_that_answers_nothing_is_left_within_the_promise_for_one_that_does():
    play = settled(members=3)
    last = play.it.confirmed_at
    play.ask()
    trial = next((at, one) for at, one in looks(play, 0.2) if isinstance(one, Connect))
    play.do(play.it.on_connected(play.now, 2, trial[0], 10))
    assert play.it.session.session_id == 2 and play.it.open_sessions == {2}
    assert play.it.is_fresh(play.now) and play.now - last < 0.35 + 0.15


def test_a_session_is_not_left_because_the_service_is_slow_for_all():
    play = settled(members=3)
    began = []
    for _ in range(60):  # each answer takes 0.2 s, at every member
        asked = play.ask() if play.it.session.poll_sent_at == inf else play.it.session.poll_sent_at
        while play.now < asked + 0.2:
            for command in play.tick(0.01):
                if isinstance(command, Connect):
                    began.append((play.now, command.session_id))
            for at, number in began:
                if number in play.it.open_sessions and number != 1 and play.now >= at + 0.2:
                    play.do(play.it.on_connected(play.now, number, at, 10))
        play.answer(10, asked)
        assert play.it.session.session_id == 1
    assert 1 <= len(began) <= 4 and play.it.stats.slow_for_all == len(began)
    assert play.it.stats.given_up == 1 and not play.it.is_fresh(play.now)  # 0.35 s cannot be kept there


def test_no_question_leaves_on_top_of_another_and_no_more_than_five_a_second():
    play = settled()
    began, asked = play.now, []
    while play.now < began + 20:
        asked += [at for at, one in looks(play, 0.01) if isinstance(one, PollRevision)]
        assert play.it.session.poll_sent_at == inf or not [
            one for one in play.tick() if isinstance(one, PollRevision)
        ]
        if play.it.session.poll_sent_at < play.now - 0.005:
            play.answer(10)
            assert play.it.is_fresh(play.now)
    assert 60 <= len(asked) <= 100


def test_after_a_loop_that_stood_still_silence_is_counted_anew():
    play = settled()
    play.ask()
    assert play.tick(2.0) == [] and play.it.stats.trials == 0  # the answer may lie in the socket
    play.answer(10, play.it.session.poll_sent_at)
    assert play.it.session.session_id == 1 and play.it.stats.given_up == 0


def test_a_refusal_for_load_is_no_break_and_is_asked_again_in_line():
    play = settled()
    waits = []
    for _ in range(6):
        now = play.ask()
        assert play.do(play.it.on_throttled(play.now, 1, retry_after=1.0)) == []
        waits.append(play.it.session.next_poll_at - now)
    assert all(wait >= 1.0 for wait in waits) and max(waits) <= 1.0 + 4.0
    assert (
        play.it.session.session_id == 1
        and play.it.pacer.throttle_backoff.window == 4.0
        and play.it.stats.declined == 6
    )
    for _ in range(8):
        play.answer(10, took=0.005)
    assert play.it.pacer.throttle_backoff.window == 0.0


def test_a_refused_first_word_and_a_refused_full_read_are_asked_again_on_the_same_session():
    play = Play()
    play.tick()
    assert play.do(play.it.on_throttled(play.now, 1)) == []
    assert kinds(one for _, one in looks(play, 1.0)) == ["Handshake"]
    play.it.pacer.throttle_backoff.window = 2.0
    assert play.up(took=0.2) == []  # the full read waits in line
    assert kinds(one for _, one in looks(play, 2.0)) == ["ReadAll"]
    assert play.do(play.it.on_throttled(play.now, 1)) == []
    assert kinds(one for _, one in looks(play, 4.0)) == ["ReadAll"] and play.it.sessions.opened_count == 1


def test_a_refused_watch_is_begun_anew_in_line_and_behind_what_is_known_then():
    play = settled()
    assert play.do(play.it.on_throttled(play.now, 1, retry_after=1.0, is_watch=True)) == []
    due = play.it.session.delayed_until
    assert due >= play.now + 1.0
    while play.it.next_deadline() < due:  # questions go on meanwhile, and none brings a second watch
        play.answer(10, took=0.005)
    assert play.now > due - 0.3
    begun = [one for _, one in looks(play, 0.1 + due - play.now) if isinstance(one, Watch)]
    assert begun == [Watch(1, play.it.revision + 1)] and play.it.sessions.opened_count == 1


def test_lost_trials_are_forgotten_once_answers_are_quick_again():
    play = settled()
    play.it.sessions.standby_limiter.failure_count = 8
    play.answer(FAST_RESPONSE_STREAK, took=0.005)
    assert play.it.sessions.standby_limiter.failure_count == 0


def test_a_start_at_a_slow_service_is_not_ready_between_two_answers():
    play = Play()
    play.tick()
    play.up(took=0.3)
    list(looks(play, 4.0))
    play.do(play.it.on_snapshot(play.now, 1, play.now - 0.3, 10, [("k1", 9, record(1))]))
    assert not play.it.is_fresh(play.now)
    for _ in range(12):
        asked = play.ask()
        play.now += 0.3
        play.answer(10, asked)
        assert not play.it.is_fresh(play.now)
    assert play.it.stats.given_up == 1


def test_a_promise_that_was_given_up_is_kept_again_once_a_trial_went_through():
    play = settled()
    for _ in range(3):
        asked = play.ask()
        play.now += 0.2
        play.answer(10, asked)
    assert play.it.stats.given_up == 1
    asked, since = [], play.now
    while not play.it.is_fresh(play.now) and play.now < since + 20:
        asked.append(play.ask())
        play.answer(10, took=0.005)
    assert play.it.is_fresh(play.now) and 1.0 <= play.now - since <= 5.0
    # The first few are seldom, then those of the trial keep the pace.
    assert asked[0] - since >= 0.3 and asked[-1] - asked[-2] <= 0.25


def test_after_all_have_failed_the_rests_grow_and_lie_anywhere_in_their_window():
    ends = set()
    for seed in range(20):
        play = watching(members=3)
        play.it.pacer.random = Random(seed)
        for _ in range(9):
            play.lose()
            if play.it.session is None:
                rest = play.it.sessions.reconnect_at - play.now
                play.now = play.it.sessions.reconnect_at
                play.tick()
        ends.add(round(rest, 4))
        assert rest <= 0.2
    assert len(ends) == 20 and min(ends) < 0.04 and max(ends) > 0.15


def test_a_member_that_is_behind_is_left_and_only_when_all_are_is_the_registry_restored():
    play = watching(members=3)
    play.lose()
    assert kinds(play.up(revision=8)) == ["Watch", "Connect"] and play.engines == {1: "ready", 2: "ready"}
    assert play.it.session.member_index == 2
    play.up()  # one that is right ends the suspicion
    play.answer(8)
    for _ in range(2):
        assert play.it.session is not None and not play.it.table.snapshot_required
        play.up(revision=8)
    assert play.it.table.snapshot_required
    assert kinds(play.up()) == ["ReadAll"]
    play.whole(8, k1=record(1, "draining"))
    assert play.engines == {1: "draining"} and play.it.revision == 8 and play.it.stats.restored == 1


def test_a_full_read_of_a_member_that_is_behind_changes_nothing():
    play = watching()
    play.do(play.it.on_compacted(play.now, play.number))
    assert kinds(play.whole(9, k1=record(1))) == ["Connect"]
    assert play.engines == {1: "ready", 2: "ready"} and play.it.revision == 10


def test_another_cluster_starts_its_revisions_anew():
    play = Play(members=1)
    play.tick()
    play.up(cluster=5)
    play.whole(10, k1=record(1))
    play.lose()
    assert kinds(play.up(cluster=6)) == ["ReadAll"]
    assert kinds(play.whole(3, k2=record(2))) == ["Watch"]
    assert play.engines == {2: "ready"} and play.it.revision == 3


def test_events_told_again_change_nothing_and_a_watch_that_goes_back_is_left():
    play = watching()
    play.events(11, ("k1", 11, record(1, "draining")))
    play.events(11, ("k1", 11, record(1, "draining")))
    assert play.it.stats.duplicates == 1 and play.tells == 2
    commands = play.events(14, ("k2", 14, None), ("k1", 13, None))
    assert kinds(commands) == ["Connect"] and play.it.table.snapshot_required


def test_nothing_counts_of_a_session_that_has_ended():
    play = watching()
    play.lose()
    assert play.do(play.it.on_events(play.now, 1, 11, [("k1", 11, None)])) == []
    assert (
        play.do(play.it.on_disconnected(play.now, 1)) == []
        and play.do(play.it.on_compacted(play.now, 1)) == []
    )
    assert play.engines == {1: "ready", 2: "ready"}


def test_refused_credentials_rest_longer_than_a_break_and_the_rest_grows():
    waits = {}
    for refused in (False, True):
        play = watching()
        waits[refused] = []
        play.it.pacer.random = Longest()
        for _ in range(16):
            if play.lose(credentials_rejected=refused) == []:
                waits[refused].append(play.it.sessions.reconnect_at - play.now)
                play.now = play.it.sessions.reconnect_at
                play.tick()
    assert all(rest <= 2.0 for rest in waits[False]) and waits[False][-1] > 4 * waits[False][0]
    assert all(rest == 2.0 for rest in waits[True])


def test_a_kept_list_is_told_but_confirmed_by_no_one_until_the_watch_has_gone_on():
    play = Play()
    play.do(play.it.restore(10, [("k1", 9, record(1))]))
    assert play.engines == {1: "ready"} and not play.it.is_fresh(play.now)
    play.tick()
    assert play.up() == [Watch(1, 11)]  # one short read that shows the same revision is enough
    assert play.it.is_fresh(play.now) and play.it.stats.full_reads == 0


def test_moved_to_other_members_it_goes_on_from_its_revision():
    play = watching()
    assert kinds(play.do(play.it.replace_members(play.now, 5))) == ["Connect"]
    assert play.up()[0] == Watch(2, 11) and play.engines == {1: "ready", 2: "ready"}


def test_without_resuming_each_session_reads_all():
    play = watching(resumable=False)
    play.lose()
    assert kinds(play.up()) == ["ReadAll"]


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
def test_a_value_that_cannot_be_used_leaves_the_last_good_record(value):
    play = watching()
    play.events(11, ("k1", 11, value), ("k3", 11, value))
    assert play.engines == {1: "ready", 2: "ready"} and set(play.it.table.ledger.bad) == {"k1", "k3"}
    play.events(12, ("k1", 12, record(1, "draining")))
    assert play.engines[1] == "draining" and set(play.it.table.ledger.bad) == {"k3"}
    play.do(play.it.on_compacted(play.now, play.number))
    play.whole(13, k1=value, k2=record(2))
    assert play.engines == {1: "draining", 2: "ready"}


def test_yaml_is_read_and_unknown_fields_are_passed_over():
    play = watching()
    play.events(11, ("k1", 11, b"id: s-00000001\naddress: 10.0.0.1:7001\nstate: draining\nzone: b\nby: x\n"))
    assert play.engines[1] == "draining" and play.it.table.ledger.entries["k1"].member.entry.zone == 1


def test_one_engine_under_two_keys_is_the_later_and_outlives_the_loss_of_one():
    play = watching()
    play.events(11, ("k9", 11, record(1, "draining", 7100)))
    assert play.engines[1] == "draining"
    play.events(12, ("k9", 12, None))
    assert play.engines[1] == "ready"
    play.events(13, ("k1", 13, record(5)))  # the key goes to another engine
    assert play.engines == {2: "ready", 5: "ready"}


STEP = st.tuples(
    st.sampled_from(["put", "drain", "delete", "bad", "cut", "compact", "again", "lag"]), st.integers(1, 4)
)


@given(st.lists(STEP, max_size=40))
def test_whatever_happens_the_list_is_the_registrys_once_it_is_confirmed(steps):
    """A registry as a list of versions; the watcher may be cut, compacted away or told things again."""
    play, history, now, good = Play(), [], {}, {}
    for what, number in steps + [("put", 1)]:
        key = f"k{number}"
        if what in ("put", "drain", "bad"):
            value = b"{" if what == "bad" else record(number, "ready" if what == "put" else "draining")
            history.append((key, len(history) + 1, value))
            now[key] = history[-1]
            if what != "bad":
                good[key] = value
        elif what == "delete" and key in now:
            history.append((key, len(history) + 1, None))
            del now[key]
            good.pop(key, None)
        elif what == "cut" and play.it.session is not None:
            play.lose()
        serve(play, history, now, what)
    if not play.it.is_fresh(play.now):
        serve(play, history, now, "")
    assert play.it.is_fresh(play.now) and play.it.revision == len(history)
    told = {f"k{number}": state for number, state in play.engines.items()}
    for key, (_, _, value) in now.items():
        if value == b"{":  # the last good one stays, if it was ever seen
            assert told.pop(key, None) in (None, state_of(good.get(key)))
        else:
            assert told.pop(key) == state_of(value)
    assert not told


def state_of(value):
    return json.loads(value)["state"] if value else None


def serve(play, history, now, what):
    """What a member would answer; it ends with the watch as far as the registry."""
    for _ in range(6):
        if play.it.session is None:
            play.now = max(play.now, play.it.sessions.reconnect_at)
            play.tick()
        if play.it.sessions.active_phase is SessionPhase.CONNECTING:
            play.up()
        if play.it.sessions.active_phase is SessionPhase.READING:
            play.do(play.it.on_snapshot(play.now, play.number, play.now, len(history), list(now.values())))
        elif what == "compact":
            what = ""
            play.do(play.it.on_compacted(play.now, play.number))
        elif what == "lag" and play.it.revision:
            what = ""
            play.answer(play.it.revision - 1)
        else:
            start = 0 if what == "again" else play.it.revision
            play.events(len(history), *history[start:])
            play.answer(len(history))
