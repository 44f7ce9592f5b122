"""Follows the revisions of a registry: what to ask, what to tell, and how fresh the list is.

No I/O and no clock. Whoever drives it tells what came (`connected`, `lost`, `whole`, `events`, `answered`,
`compacted`, `ticked`), each with the time, and carries out the commands that come back. Invariants:

- A change is told once, in the order of revisions, and `revision` never goes back but by a full read that is
  taken for a restored registry.
- `confirmed` is the time at which a question was asked whose answer shows that the list held all that was
  committed by then. It is never the time of the answer: that may have waited on its way.
- A list that was told stays until a better one is there; no failure empties it.
- Of one session (a connection to one member) nothing counts once a later one was begun.

- In a session no question leaves while another is open there, and questions keep to the pace that the
  promise needs; while it cannot be kept (startup.promise) they are few, and the list counts as not confirmed.
- A session that works is never left because the service is slow for all. One that is silent for longer than
  it was wont to be gets a trial beside it, a session with the next member. If the trial answers at least
  twice as fast, the member was at fault, and the trial takes over; if not, all are slow: the session stays,
  and the next trial waits longer. Trials are few at all times.
- What a member refuses for its load (`declined`) is asked again on the same session, after a place in line.

States: resting -> connecting -> reading -> watching; `lagging` is a member that answers an older state than
one that was seen, and it is left. Only when each member has done so in a row is the registry held to be
restored from a backup, and its list taken.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import inf
from random import Random

from ...startup.adaptive_backoff import Line
from ...startup.latency import Latency
from ...startup.staleness_guard import Kept, Promise
from .endpoint_table import EndpointTable, TableEntry

# --- commands -----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Connect:
    """Begin a session with the member at this place of the addresses. All sessions but `Follower.open` are
    over."""

    session: int
    place: int


@dataclass(frozen=True)
class Greet:
    """Ask anew for the first word of a session, which was refused for the member's load."""

    session: int


@dataclass(frozen=True)
class ReadAll:
    session: int


@dataclass(frozen=True)
class Watch:
    """Tell all changes from this revision on."""

    session: int
    start: int


@dataclass(frozen=True)
class Ask:
    """A short read of the present revision."""

    session: int
    asked: float


@dataclass(frozen=True)
class Progress:
    """Ask how far the watch is: it has not told all that a short read has shown."""

    session: int


@dataclass(frozen=True)
class Tell:
    """What has changed in the list."""

    entries: tuple[TableEntry, ...]
    whole: bool


LATE_KEPT, LATE_TIMES = 0.8, 10.0  # of the lateness from look to look; patience for it, in times of it
NARROW = 0.9  # of the time between two questions, the least that is drawn
QUICK = 10  # answers in time in a row after which former trials no longer count

Command = Connect | Greet | ReadAll | Watch | Ask | Progress | Tell


class State(Enum):
    RESTING = "resting"
    CONNECTING = "connecting"
    READING = "reading"
    WATCHING = "watching"


@dataclass(frozen=True)
class Pace:
    """Times in s. A question, the silence until a trial and the trial itself fit in `fresh`, as a rule: 0.63
    and 0.33 of it, and a few ms. Where all three are long, a failover breaks the promise for 0.07 s at most:
    asking more often or leaving sooner would burden a service that is slow for all."""

    fresh: float = 0.35  # the promise: the list is confirmed as of at most this long ago
    ask: tuple[float, float] = (0.56, 0.7)  # between two questions, as shares of `fresh`: the least, where
    # answers take long, and the most; drawn anew each time, so that those who came in step fall out of it
    silence: tuple[float, float] = (0.17, 0.5)  # without an answer, until a trial: shares of `fresh`, drawn
    # anew, while the promise is kept and all answers were quick lately; a hiccup of the service meets few so
    patient: float = 1.5  # s until a trial else: a service that all have just come to is slow for all
    worse: float = 0.4  # the same while the promise is given up: share of `fresh`,
    given_up: float = 3.0  # and s from then on: first fewer questions may help
    silent: float = 2.0  # s, or 4 times what answers take at the most, until a session that says nothing ends
    read: float = 5.0  # a full read may be long
    rest: tuple[float, float] = (0.05, 2.0)  # after all members failed in a row: first, and the most
    refused: float = 2.0  # after credentials were refused by all of them
    trial: tuple[float, float] = (5.0, 60.0)  # in which no more trials begin than there are other members:
    # at first, and after they showed that all are slow
    late: float = 0.03  # a look that comes later than this finds answers unread: silence is no silence then


@dataclass
class Figures:
    """What happened, for counters."""

    full_reads: int = 0
    resumes: int = 0
    breaks: int = 0
    stalls: int = 0
    compactions: int = 0
    lagging: int = 0
    restored: int = 0
    refused: int = 0
    duplicates: int = 0
    gaps: int = 0
    declined: int = 0  # for the member's load
    trials: int = 0
    slow_for_all: int = 0  # trials that were no faster
    given_up: int = 0  # times that the promise could not be kept at the pace there is


@dataclass
class Session:
    number: int
    place: int
    since: float
    answered: float  # when it last said anything that moves it on
    open: float = inf  # when the question left that is not answered yet
    next_ask: float = inf
    held: Command | None = None  # what waits for its place in line
    held_until: float = inf
    draw: float = 0.0  # random from 0 to 1, for the question that is open
    unanswered: float = inf  # when the oldest question left that confirmed nothing yet
    seen: int = 0  # the highest revision that one of its answers named
    seen_asked: float = -inf  # when the question was asked that it answered
    progress: int = 0  # up to here its watch has told all
    resumed: bool = False
    confirmed: bool = False


@dataclass
class Follower:
    members: int  # how many addresses there are
    ledger: EndpointTable
    resumable: bool = True  # whether a watch can go on behind a list of a former session
    pace: Pace = field(default_factory=Pace)
    random: Random = field(default_factory=lambda: Random(0))
    revision: int = 0  # the list is whole up to here; 0: none is known
    confirmed: float = -inf
    state: State = State.RESTING
    session: Session | None = None
    figures: Figures = field(default_factory=Figures)
    trial: Session | None = None
    trials: list[float] = field(default_factory=list)  # when the last ones began
    slow_trials: int = 0  # in a row that were no faster
    lost_trials: int = 0  # in a row that showed nothing: broken, or with a member that is behind
    trial_due: float = -inf
    quick: int = 0  # answers in a row that came in time
    failures: int = 0  # sessions in a row that failed
    denials: int = 0  # the last of them, for refused credentials
    older: set[int] = field(default_factory=set)  # members that answered an older state, since one was right
    due: float = -inf  # when a rest ends
    place: int = -1  # of the member that was tried last; the next one is tried next
    must_read: bool = False  # the watch cannot be resumed
    cluster: int = 0  # whose revisions these are; 0: not told
    other: bool = False  # this session's member belongs to another, whose revisions start anew
    sessions: int = 0
    line: Line = field(default_factory=Line)
    latency: Latency = field(default_factory=Latency)
    promise: Promise = field(init=False)
    wary_until: float = -inf  # the loop stood still: silence counts from here
    latest: float = -inf  # when anything was told last
    late_looks: int = 0  # in a row
    lateness: float = 0.0  # s that looks come late here, lately: who is slow finds all others slow

    def __post_init__(self) -> None:
        self.promise = Promise(room=self.pace.fresh * (1 - self.pace.ask[0]))

    def restore(self, revision: int, records: Iterable[tuple[str, int, bytes]]) -> list[Command]:
        """A list that was kept: it is told, and the watch tried behind it; it is confirmed by no one yet."""
        self.revision = revision
        return [Tell(self.ledger.replace(records), whole=True)]

    # --- what the driver asks -------------------------------------------------------------------------------

    @property
    def open(self) -> set[int]:
        """The sessions that are not over."""
        return {one.number for one in (self.session, self.trial) if one is not None}

    def fresh(self, now: float) -> bool:
        return self.promise.holds and now - self.confirmed <= self.pace.fresh

    def next_look(self, now: float) -> float:
        """When `ticked` is due, at the latest."""
        session = self.session
        if session is None:
            return self.due
        asks = session.next_ask if self.state is State.WATCHING and session.open == inf else inf
        silent = max(self.wary_until, min(self._trial_at(), self._end_at()))
        over = inf if self.trial is None else max(self.wary_until, self._trial_over())
        return min(session.held_until, asks, silent, over)

    # --- what happens ---------------------------------------------------------------------------------------

    def ticked(self, now: float) -> list[Command]:
        session = self.session
        if session is None:
            return self._connect(now) if now >= self.due else []
        self._look_around(now)
        self.latest = now
        if now >= self.wary_until:
            if now >= self._end_at():
                return self._fail(now, "breaks" if self.state is State.CONNECTING else "stalls")
            if self.trial is not None and now >= self._trial_over():
                self.trial = None  # no one there is better
                self._no_faster()
        if now >= session.held_until:
            command, session.held, session.held_until = session.held, None, inf
            if isinstance(command, Watch):  # as of now, not as of the refusal
                return [Watch(command.session, self.revision + 1)]
            session.since = session.answered = now
            return [command]
        if self.state is State.WATCHING and session.open == inf and now >= session.next_ask:
            return self._ask(now)
        if now >= max(self.wary_until, self._trial_at()):
            return self._try(now)
        return []

    def _look_around(self, now: float) -> None:
        """Guards a session against a loop that stood still: its answers may lie in the socket, unread."""
        lateness = now - max(self.next_look(now), self.latest)  # due before the last word is not late
        self.lateness = max(lateness, LATE_KEPT * self.lateness)
        late = lateness > self.pace.late
        self.late_looks = self.late_looks + 1 if late else 0
        if late and self.late_looks <= 3:
            self.wary_until = now + self.pace.late

    def connected(
        self, now: float, number: int, asked: float, revision: int, cluster: int = 0
    ) -> list[Command]:
        """The member has answered a short read asked for at `asked`: it is at `revision`. With a list known,
        the watch goes on behind it; else all is read, as it is from a cluster with another id (0: not told),
        for a backup may be restored under a new one."""
        self.latest = now
        trial = self.trial
        if trial is not None and trial.number == number:
            return self._tried(now, trial, asked, revision, cluster)
        if self._of(number) is None or self.state is not State.CONNECTING:
            return []
        return self._greeted(now, asked, revision, cluster)

    def _greeted(self, now: float, asked: float, revision: int, cluster: int) -> list[Command]:
        session = self.session
        session.answered, number = now, session.number
        session.held, session.held_until = None, inf
        self._took(now - asked)
        self.promise.greeted(now - asked)
        self.other = bool(cluster and self.cluster and cluster != self.cluster)
        self.cluster = self.cluster or cluster
        if self.other:
            self.must_read, self.cluster = True, cluster
        if self.revision and self.resumable and not self.must_read:
            session.resumed, session.progress = True, self.revision
            self.state = State.WATCHING
            return [Watch(number, self.revision + 1), *self._answered(now, asked, revision)]
        return self._read(now)

    def declined(self, now: float, number: int, after: float = 0.0, watch: bool = False) -> list[Command]:
        """A call of this session was refused for the member's load; `after`: s that it asks for; `watch`: it
        was the watch, which is over. The session works: what was asked for is asked again, in line."""
        self.latest = now
        self.figures.declined += self._of(number) is not None
        if self.trial is not None and self.trial.number == number:
            self.trial = None
            self._no_faster()
            return []
        session = self._of(number)
        if session is None:
            return []
        self.line.refused()
        self.promise.refused(now, self.random.random())
        wait = now + self.line.wait(self.random.random(), after)
        if self.state is State.WATCHING and watch:
            session.held, session.held_until = Watch(number, self.revision + 1), wait
            return []
        if self.state is State.WATCHING:
            session.open = session.unanswered = inf
            session.next_ask = max(wait, self._ask_at(now))
            return []
        session.held = Greet(number) if self.state is State.CONNECTING else ReadAll(number)
        session.held_until, session.answered = wait, now
        return []

    def lost(self, now: float, number: int, refused: bool = False) -> list[Command]:
        """The session broke, or never came up; `refused`: for its credentials."""
        if self.trial is not None and self.trial.number == number:
            self._lost_trial(now)
            return []
        if self._of(number) is None:
            return []
        return self._fail(now, "refused" if refused else "breaks")

    def whole(
        self, now: float, number: int, asked: float, revision: int, records: Iterable[tuple[str, int, bytes]]
    ) -> list[Command]:
        """A full read, asked for at `asked`: all keys, the revision of each, and its value."""
        self.latest = now
        session = self._of(number)
        if session is None or self.state is not State.READING:
            return []
        if revision < self.revision and not (self.other or self._all_are_older()):
            return self._lag(now)
        self.figures.restored += self.other or revision < self.revision
        self.other = False
        self.figures.full_reads += 1
        self.older.clear()
        self.must_read, self.revision = False, revision
        self.confirmed = max(self.confirmed, asked)
        session.progress = session.seen = revision
        session.answered, self.state = now, State.WATCHING
        session.next_ask = self._ask_at(asked) if self.promise.proved else now
        self.failures = self.denials = 0
        tell = Tell(self.ledger.replace(records), whole=True)
        return [tell, Watch(number, revision + 1)]

    def events(
        self, now: float, number: int, revision: int, events: Iterable[tuple[str, int, bytes | None]]
    ) -> list[Command]:
        """What the watch told: keys with the revision and the value of each, None for one that was deleted;
        `revision`: the watch has told all up to there. No events: progress only."""
        self.latest = now
        session = self._of(number)
        if session is None or self.state is not State.WATCHING:
            return []
        found, last = [], self.revision
        for key, at, value in events:
            if at <= self.revision:
                self.figures.duplicates += 1
                continue
            if at < last:  # a watch never goes back: what it tells cannot be trusted
                self.figures.gaps += 1
                self.must_read = True
                return [*self._told_so_far(found), *self._fail(now, "breaks")]
            last = at
            found += self.ledger.put(key, at, value)
        if revision < self.revision and not found:
            # The word of a member that is behind; its own watch may say so without having lost anything.
            return []
        self.revision = max(self.revision, last, revision)
        session.progress = max(session.progress, self.revision)
        self._confirm(now)
        return self._told_so_far(found)

    def answered(self, now: float, number: int, asked: float, revision: int) -> list[Command]:
        """The short read asked for at `asked`: the registry is at `revision`."""
        self.latest = now
        session = self._of(number)
        if session is None or self.state is not State.WATCHING:
            return []
        self._took(now - asked)
        return self._answered(now, asked, revision)

    def _answered(self, now: float, asked: float, revision: int) -> list[Command]:
        session = self.session
        if revision < self.revision:
            return self._lag(now)
        self._judge(now, asked)
        session.open = inf
        session.next_ask = self._ask_at(asked)
        if asked > session.seen_asked:
            session.seen, session.seen_asked = max(session.seen, revision), asked
        self._confirm(now)
        if session.progress < session.seen:
            session.unanswered = min(session.unanswered, asked)
            return [Progress(session.number)]
        return []

    def _judge(self, now: float, asked: float) -> None:
        """Whether the promise can be held at this pace; an instance that is late itself judges no one. A
        lapse counts where the answer was slow, or where so much is missing that questions were refused."""
        took, age = now - asked, now - self.confirmed
        if now - self.wary_until > self.pace.fresh and self.lateness <= self.pace.late:
            lapsed = (
                self.session.confirmed
                and age > self.pace.fresh
                and (took > self.promise.room or age > 1.5 * self.pace.fresh)
            )
            former = self.promise.state
            self.promise.answered(now, took, lapsed, self.random.random())
            self.figures.given_up += former is Kept.KEPT and self.promise.state is Kept.GIVEN_UP

    def compacted(self, now: float, number: int) -> list[Command]:
        """What lies between the list and the watch is no longer there to be told."""
        self.latest = now
        if self._of(number) is None or self.state is not State.WATCHING:
            return []
        self.figures.compactions += 1
        self.must_read = True
        return self._read(now)

    def moved(self, now: float, members: int) -> list[Command]:
        """Other addresses from now on; the list and its revision stay."""
        self.members, self.place, self.failures = members, -1, 0
        self.session = self.trial = None
        self.older.clear()
        return self._connect(now)

    # --- inside ---------------------------------------------------------------------------------------------

    def _of(self, number: int) -> Session | None:
        return self.session if self.session is not None and self.session.number == number else None

    @staticmethod
    def _told_so_far(found: list[TableEntry]) -> list[Command]:
        return [Tell(tuple(found), whole=False)] if found else []

    def _begin(self, now: float) -> Session:
        self.sessions += 1
        self.place = (self.place + 1) % self.members
        return Session(self.sessions, self.place, since=now, answered=now)

    def _connect(self, now: float) -> list[Command]:
        self.session, self.state = self._begin(now), State.CONNECTING
        return [Connect(self.session.number, self.session.place)]

    def _read(self, now: float) -> list[Command]:
        """A full read, after a place in line if the service is slow or has refused."""
        session = self.session
        self.state = State.READING
        session.answered, session.unanswered, session.open = now, inf, inf
        wait = self.line.wait(self.random.random())
        if not wait:
            return [ReadAll(session.number)]
        session.held, session.held_until = ReadAll(session.number), now + wait
        return []

    def _ask(self, now: float) -> list[Command]:
        session = self.session
        session.open, session.draw = now, self.random.random()
        session.unanswered = min(session.unanswered, now)
        return [Ask(session.number, now)]

    def _ask_at(self, asked: float) -> float:
        """When the next question leaves, after one at `asked`."""
        pace, draw = self.pace, self.random.random()
        seldom = self.promise.seldom()
        if seldom:
            return asked + seldom * (0.5 + draw)
        least, most = (share * pace.fresh for share in pace.ask)
        # Where answers take long as a rule, the next one has to come before the last one is too old. Not so
        # for a few late ones: whoever asks more often then makes a busy service slower.
        most = max(least, min(most, pace.fresh * 0.9 - self.latency.mean))
        least = max(least, NARROW * most)
        return asked + least + draw * (most - least)

    def _took(self, seconds: float) -> None:
        self.latency.took(seconds)
        self.line.answered(seconds)
        self.quick = self.quick + 1 if seconds <= self.promise.room else 0
        if self.quick >= QUICK:  # what was slow for all, or broke trials, has passed
            self.slow_trials = self.lost_trials = 0
            self.trials.clear()

    # Trials: another session beside one that is silent.

    def _waiting_since(self) -> float:
        """Since when the session has said nothing that moves it on; inf: nothing is awaited."""
        session = self.session
        if session.held is not None:  # a watch that waits in line can confirm nothing: questions alone count
            return session.open if self.state is State.WATCHING else inf
        return session.since if self.state is State.CONNECTING else session.unanswered

    def _patience(self) -> float:
        pace = self.pace
        if self.promise.state is Kept.GIVEN_UP:
            return pace.worse * pace.fresh
        waiting = self._waiting_since()
        if self.quick >= QUICK and waiting - self.confirmed < pace.fresh:
            least, most = pace.silence
            drawn = (least + self.session.draw * (most - least)) * pace.fresh
            return max(drawn, 2 * self.latency.high())
        return pace.patient + LATE_TIMES * self.lateness

    def _trial_at(self) -> float:
        if self.trial is not None or self.state is State.READING:
            return inf
        most = max(1, self.members - 1)
        rest = min(self.pace.trial[1], self.pace.trial[0] * 2 ** min(self.slow_trials, 10))
        again = self.trials[-most] + rest if len(self.trials) >= most else -inf
        if self.promise.state is Kept.GIVEN_UP:
            again = max(again, self.promise.since + self.pace.given_up)
        return max(self._waiting_since() + self._patience(), again, self.trial_due)

    def _trial_over(self) -> float:
        """When a trial that says nothing is no better than what it was begun for."""
        return self.trial.since + max(2 * self._patience(), 0.4 * self.pace.fresh)

    def _end_at(self) -> float:
        """When the session is held to be dead, trial or not."""
        if self.state is State.READING:
            return inf if self.session.held is not None else self.session.answered + self.pace.read
        return self._waiting_since() + max(self.pace.silent, 4 * self.latency.high())

    def _try(self, now: float) -> list[Command]:
        self.figures.trials += 1
        self.trials = [*self.trials[-self.members :], now]
        self.trial = self._begin(now)
        return [Connect(self.trial.number, self.trial.place)]

    def _tried(self, now: float, trial: Session, asked: float, revision: int, cluster: int) -> list[Command]:
        """The trial answers: the other member was at fault if that has waited at least twice as long."""
        if revision < self.revision and cluster in (0, self.cluster):
            self._lost_trial(now)
            return []
        self.trial = None
        if 2 * (now - trial.since) > now - self._waiting_since():
            self._no_faster()
            return []
        self.figures.stalls += 1
        self.slow_trials = self.lost_trials = 0
        self.session, self.state = trial, State.CONNECTING
        self.latency = Latency()  # it was the other's
        return self._greeted(now, asked, revision, cluster)

    def _lost_trial(self, now: float) -> None:
        """It says nothing of how fast others are: the next member is tried soon."""
        self.trial = None
        if self.trials:
            self.trials.pop()
        self.trial_due = now + self._rest(self.lost_trials)
        self.lost_trials += 1

    def _rest(self, failed: int) -> float:
        """Over the whole of a window that grows: all may have failed at once."""
        return min(self.pace.rest[0] * 2 ** min(failed, 20), self.pace.rest[1]) * self.random.random()

    def _no_faster(self) -> None:
        self.slow_trials += 1
        self.figures.slow_for_all += 1

    def _confirm(self, now: float) -> None:
        """The list is confirmed once the watch has told all up to what a short read has shown."""
        session = self.session
        if session.progress >= session.seen and session.seen_asked > -inf:
            if session.resumed:
                session.resumed = False
                self.figures.resumes += 1
            session.confirmed = True
            self.confirmed = max(self.confirmed, session.seen_asked)
            self.failures = self.denials = 0
            self.older.clear()
            session.answered = now
            session.unanswered = session.open

    def _all_are_older(self) -> bool:
        """This session's member answers an older state, and so has each other one since one was right."""
        self.older.add(self.session.place)
        return len(self.older) >= self.members

    def _lag(self, now: float) -> list[Command]:
        """Guards the list against a member that is behind: what it would tell has been undone already."""
        if self._all_are_older():
            self.must_read = True  # what they agree on is read anew
        return self._fail(now, "lagging")

    def _fail(self, now: float, why: str) -> list[Command]:
        setattr(self.figures, why, getattr(self.figures, why) + 1)
        self.failures += 1
        self.denials = self.denials + 1 if why == "refused" else 0
        self.session, self.state = None, State.RESTING
        if self.trial is not None:  # it is on its way already
            self.session, self.trial, self.state = self.trial, None, State.CONNECTING
            return []
        rounds, place = divmod(self.failures, self.members)
        if place:
            return self._connect(now)  # a member that is up is found within the promise
        if self.denials >= self.members:
            self.due = now + self.pace.refused * (0.5 + self.random.random() / 2)
        else:
            self.due = now + self._rest(rounds - 1)
        return []
