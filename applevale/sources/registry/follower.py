"""Follows the revisions of a registry: what to ask, what to tell, and how fresh the list is.

No I/O and no clock. Whoever drives it tells what came (`connected`, `lost`, `whole`, `events`, `answered`,
`compacted`, `ticked`), each with the time, and carries out the commands that come back. Invariants:

- A change is told once, in the order of revisions, and `revision` never goes back but by a full read that is
  taken for a restored registry.
- `confirmed` is the time at which a question was asked whose answer shows that the list held all that was
  committed by then. It is never the time of the answer: that may have waited on its way.
- A list that was told stays until a better one is there; no failure empties it.
- Of one session (a connection to one member) nothing counts once a later one was begun.

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

from .records import Entry, Ledger

# --- commands -----------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Connect:
    """Begin a session with the member at this place of the addresses; end the one before it."""

    session: int
    place: int


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
    """A short read of the present revision, and word of how far the watch is."""

    session: int
    asked: float


@dataclass(frozen=True)
class Tell:
    """What has changed in the list."""

    entries: tuple[Entry, ...]
    whole: bool


Command = Connect | ReadAll | Watch | Ask | Tell


class State(Enum):
    RESTING = "resting"
    CONNECTING = "connecting"
    READING = "reading"
    WATCHING = "watching"


@dataclass(frozen=True)
class Pace:
    """Times in s. Their sum must leave a failover within `fresh`."""

    fresh: float = 0.35  # the promise: the list is confirmed as of at most this long ago
    ask: float = 0.07  # between two questions
    silence: float = 0.15  # without an answer to a question, until another member is tried
    connect: float = 0.15
    read: float = 5.0  # a full read may be long
    rest: tuple[float, float] = (0.02, 1.0)  # after all members failed in a row: first, and the most
    refused: float = 2.0  # after credentials were refused by all of them


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


@dataclass
class Session:
    number: int
    place: int
    since: float
    answered: float  # when it last said anything that moves it on
    asked: float = -inf  # when the last question left
    unanswered: float = inf  # when the oldest open question left
    seen: int = 0  # the highest revision that one of its answers named
    seen_asked: float = -inf  # when the question was asked that it answered
    progress: int = 0  # up to here its watch has told all
    resumed: bool = False


@dataclass
class Follower:
    members: int  # how many addresses there are
    ledger: Ledger
    resumable: bool = True  # whether a watch can go on behind a list of a former session
    pace: Pace = field(default_factory=Pace)
    random: Random = field(default_factory=lambda: Random(0))
    revision: int = 0  # the list is whole up to here; 0: none is known
    confirmed: float = -inf
    state: State = State.RESTING
    session: Session | None = None
    figures: Figures = field(default_factory=Figures)
    failures: int = 0  # sessions in a row that failed
    denials: int = 0  # the last of them, for refused credentials
    older: set[int] = field(default_factory=set)  # members that answered an older state, since one was right
    due: float = -inf  # when a rest ends
    place: int = -1
    must_read: bool = False  # the watch cannot be resumed
    cluster: int = 0  # whose revisions these are; 0: not told
    other: bool = False  # this session's member belongs to another, whose revisions start anew
    sessions: int = 0

    def restore(self, revision: int, records: Iterable[tuple[str, int, bytes]]) -> list[Command]:
        """A list that was kept: it is told, and the watch tried behind it; it is confirmed by no one yet."""
        self.revision = revision
        return [Tell(self.ledger.replace(records), whole=True)]

    # --- what the driver asks -------------------------------------------------------------------------------

    def fresh(self, now: float) -> bool:
        return now - self.confirmed <= self.pace.fresh

    def next_look(self, now: float) -> float:
        """When `ticked` is due, at the latest."""
        session = self.session
        if session is None:
            return self.due
        if self.state is State.CONNECTING:
            return session.since + self.pace.connect
        if self.state is State.READING:
            return session.answered + self.pace.read
        return min(session.asked + self.pace.ask, session.unanswered + self.pace.silence)

    # --- what happens ---------------------------------------------------------------------------------------

    def ticked(self, now: float) -> list[Command]:
        session, pace = self.session, self.pace
        if session is None:
            return self._connect(now) if now >= self.due else []
        if self.state is State.CONNECTING and now - session.since >= pace.connect:
            return self._fail(now, "breaks")
        if self.state is State.READING and now - session.answered >= pace.read:
            return self._fail(now, "stalls")
        if self.state is State.WATCHING:
            if now - session.unanswered >= pace.silence:
                return self._fail(now, "stalls")
            if now - session.asked >= pace.ask:
                return self._ask(now)
        return []

    def connected(self, now: float, number: int, cluster: int = 0) -> list[Command]:
        """The member answers. With a list known, the watch goes on behind it; else all is read, as it is from
        a cluster with another id (0: not told), for a backup may be restored under a new one."""
        session = self._of(number)
        if session is None or self.state is not State.CONNECTING:
            return []
        session.answered = now
        self.other = bool(cluster and self.cluster and cluster != self.cluster)
        self.cluster = self.cluster or cluster
        if self.other:
            self.must_read, self.cluster = True, cluster
        if self.revision and self.resumable and not self.must_read:
            session.resumed, session.progress = True, self.revision
            self.state = State.WATCHING
            return [Watch(number, self.revision + 1), *self._ask(now)]
        return self._read(number, now)

    def lost(self, now: float, number: int, refused: bool = False) -> list[Command]:
        """The session broke, or never came up; `refused`: for its credentials."""
        if self._of(number) is None:
            return []
        return self._fail(now, "refused" if refused else "breaks")

    def whole(self, now: float, number: int, asked: float, revision: int,
              records: Iterable[tuple[str, int, bytes]]) -> list[Command]:
        """A full read, asked for at `asked`: all keys, the revision of each, and its value."""
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
        self.failures = self.denials = 0
        tell = Tell(self.ledger.replace(records), whole=True)
        return [tell, Watch(number, revision + 1), *self._ask(now)]

    def events(self, now: float, number: int, revision: int,
               events: Iterable[tuple[str, int, bytes | None]]) -> list[Command]:
        """What the watch told: keys with the revision and the value of each, None for one that was deleted;
        `revision`: the watch has told all up to there. No events: progress only."""
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
        session = self._of(number)
        if session is None or self.state is not State.WATCHING:
            return []
        if revision < self.revision:
            return self._lag(now)
        if asked > session.seen_asked:
            session.seen, session.seen_asked = max(session.seen, revision), asked
        self._confirm(now)
        return []

    def compacted(self, now: float, number: int) -> list[Command]:
        """What lies between the list and the watch is no longer there to be told."""
        if self._of(number) is None or self.state is not State.WATCHING:
            return []
        self.figures.compactions += 1
        self.must_read = True
        return self._read(number, now)

    def moved(self, now: float, members: int) -> list[Command]:
        """Other addresses from now on; the list and its revision stay."""
        self.members, self.place, self.failures, self.session = members, -1, 0, None
        self.older.clear()
        return self._connect(now)

    # --- inside ---------------------------------------------------------------------------------------------

    def _of(self, number: int) -> Session | None:
        return self.session if self.session is not None and self.session.number == number else None

    @staticmethod
    def _told_so_far(found: list[Entry]) -> list[Command]:
        return [Tell(tuple(found), whole=False)] if found else []

    def _connect(self, now: float) -> list[Command]:
        self.sessions += 1
        self.place = (self.place + 1) % self.members
        self.session = Session(self.sessions, self.place, since=now, answered=now)
        self.state = State.CONNECTING
        return [Connect(self.sessions, self.place)]

    def _read(self, number: int, now: float) -> list[Command]:
        self.state = State.READING
        self.session.answered, self.session.unanswered = now, inf
        return [ReadAll(number)]

    def _ask(self, now: float) -> list[Command]:
        session = self.session
        session.asked = now
        session.unanswered = min(session.unanswered, now)
        return [Ask(session.number, now)]

    def _confirm(self, now: float) -> None:
        """The list is confirmed once the watch has told all up to what a short read has shown."""
        session = self.session
        if session.progress >= session.seen and session.seen_asked > -inf:
            if session.resumed:
                session.resumed = False
                self.figures.resumes += 1
            self.confirmed = max(self.confirmed, session.seen_asked)
            self.failures = self.denials = 0
            self.older.clear()
            session.answered = now
            session.unanswered = session.asked if session.asked > session.seen_asked else inf

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
        rounds, place = divmod(self.failures, self.members)
        if place:
            return self._connect(now)  # a member that is up is found within the promise
        rest = min(self.pace.rest[0] * 2 ** min(rounds - 1, 20), self.pace.rest[1])
        if self.denials >= self.members:
            rest = self.pace.refused
        self.due = now + rest * (0.5 + self.random.random() / 2)
        return []

