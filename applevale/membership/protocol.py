"""One member's part in finding out who lives: messages and times in, commands out. No I/O, no clock.

Whoever drives it calls `begin` once, `heard` for each message with the number of its sender, `ticked` at
`next_look` or soon after, and carries out the commands. Invariants:

- A member is held dead only by words of enough distinct observers on its present incarnation (suspicion.py),
  or by what as many distinct members tell that they hold; never by one's.
- Who stood still, hears nobody or is answered by nobody gives no word on others, and its clocks over them
  begin anew once that is over.
- Who finds that most of those it could not reach did live doubts itself in the same way.
- A member that is held suspect, dead or gone while it lives outdoes that with a higher incarnation. The
  process of an earlier life never does so against a later one that lives.
- What is sent keeps to the bucket: answers and probes go before news. What is kept is bounded by the number
  of members, what is answered to one sender by `MOST_ANSWERS` a second.
- The wall clock plays no part, and nothing lasts beyond a life.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from heapq import nlargest
from math import ceil, inf, log2
from random import Random

from . import codec, messages
from .messages import MemberRecord, MemberState, MemberUpdate, Message, MessageKind, SuspicionUpdate
from .records import RecordTable
from .suspicion import Suspicion, Times
from .token_bucket import TokenBucket


@dataclass(frozen=True)
class Send:
    target: int
    message: Message


class Change(Enum):
    JOINED = "joined"
    DIED = "died"
    LEFT = "left"
    RESTARTED = "restarted"  # a later life under the same name, without a death between


@dataclass(frozen=True)
class Turned:
    """The view has changed: all at once, in one change."""

    changes: tuple[tuple[int, Change], ...]


class Stand(Enum):
    """What a member thinks of itself."""

    JOINING = "joining"
    WELL = "well"
    PAUSED = "paused"  # it stood still, and has to catch up
    ALONE = "alone"  # it hears nobody
    UNHEARD = "unheard"  # it hears others, but nobody answers it
    SUPERSEDED = "superseded"  # a later process has its name
    GONE = "gone"


@dataclass(frozen=True)
class Stood:
    stand: Stand


Command = Send | Turned | Stood


@dataclass(frozen=True)
class Pace:
    """Times in s."""

    probe: float = 0.1  # between two probes
    again: float = 0.12  # without an answer until a second try,
    ask: float = 0.24  # until helpers are asked,
    end: float = 0.62  # and until a probe has failed
    tried: float = 0.32  # until a helper's try has failed
    helpers: int = 3
    share: int = 2  # words from which on they are passed on: one liar is heard by no one twice
    checkers: float = 10.0  # members that look for themselves at one that is suspected, on average,
    look: float = 0.5  # each so many s, beside those that gave their word already
    last: float = 0.45  # before a death, in which all look once more, in a fleet of up to
    few: int = 64  # members
    join: float = 0.3  # after the first answer, for which a newcomer waits for others
    join_alone: float = 1.2  # without any answer, until it takes itself for the first one
    paused: float = 0.5  # of standing still, from which one looks at oneself first
    late: float = 0.08  # of standing still, from which answers may lie unread
    calm: float = 0.6  # after a standstill or silence, without words on others
    alone: float = 0.7  # without hearing anybody
    unheard: float = 1.2  # without any answer
    gather: float = 0.15  # for which a death waits for others that are due
    knock: float = 5.0  # probes a second that one dead member gets, from all together
    most_knocks: float = 2.5  # that one member sends
    repair: float = 0.5  # between two comparisons of views
    raised: float = 0.15  # between two rises of the own incarnation
    heartbeats: float = 0.0  # instead of probes: to all, each so many s (a baseline); 0: probes
    doubt: int = 5  # members that were heard though they could not be reached, from which one doubts oneself
    self_look: bool = True
    times: Times = field(default_factory=Times)


MOST_HEALTH = 3.0  # a member whose helpers say nothing either takes up to so many times longer, and once
MOST_ANSWERS = 30  # to one sender, in a second
BURST = 32  # members that hear of a rise, a start or a leave at once
LAST_TOLD = 2  # times that words are passed on in a last look
LEAVERS = 12  # that hear of a leave at once
# Bytes that each kind leaves for those before it: answers, probes, what is done for others, news.
KEEP_PROBE, KEEP_HELP, KEEP_NEWS = 30.0, 100.0, 80.0
MOST_VIA = 1024  # members of which it is kept who reached them
MOST_DOUBT = 5.0  # s for which members that could not be reached are kept in mind
MANY_SUSPECTS = 3  # more than these, and probes carry no news: many go to dead members, and bytes are scarce
MOST_CHURN = 3.0  # s for which views are not compared because they change all the time
SPREAD = 1.2  # times that news are passed on, over the logarithm of the fleet,
SPREAD_WORDS = 0.9  # and words, each time that there are enough more of them


@dataclass(slots=True)
class _Probe:
    subject: int
    incarnation: int
    again: float  # when the second try is due; inf: it was made
    ask: float  # when helpers are asked
    end: float
    asker: int = -1  # a helper's try: who asked,
    number: int = 0  # and under which number
    helped: int = 0  # helpers that were asked
    failed: list[int] = field(default_factory=list)  # helpers that could not reach it either
    check: bool = False  # behind the words of others: no helpers


@dataclass
class Figures:
    """What happened, for counters."""

    sent: int = 0
    sent_bytes: int = 0
    heard: int = 0
    held_back: int = 0  # by the bucket
    probes: int = 0
    failed: int = 0
    suspected: int = 0
    raised: int = 0
    died: int = 0
    paused: int = 0
    repairs: int = 0
    floods: int = 0  # messages beyond what one sender is answered


class Membership:
    """`me`: the own number, of `count`; `life`: the mark of this process, drawn anew with each start."""

    def __init__(self, me: int, count: int, life: int, random: Random, pace: Pace | None = None):
        self.me, self.count, self.life, self.random = me, count, life, random
        self.pace = pace or Pace()
        self.records = RecordTable(count)
        self.bucket = TokenBucket()
        self.figures = Figures()
        self.stand = Stand.JOINING
        self.incarnation = 0
        self.changes = 0  # of the view
        self.suspicions: dict[int, Suspicion] = {}
        self.graves: dict[int, Suspicion] = {}  # of members held dead: the words that they died by
        self.claims: dict[int, tuple[MemberRecord, set[int]]] = {}  # of deaths and leaves, by who holds them
        self.probes: dict[int, _Probe] = {}
        self.news: dict[int, int] = {}  # member -> how often its record or words are still passed on
        self.round: list[int] = []  # members that this round of probes has yet to come to
        self.numbers = 0
        self.health = 0.0
        self.living: set[int] = set()  # the others that are held to live
        self.due_probe = self.due_knock = inf
        self.due_bury = inf
        self.bury_first = inf
        self.pending: dict[int, Change] = {}  # of the view, not told yet
        self.due_told = inf
        self.latest = self.due = -inf  # the last word from outside, and when one was due
        self.quiet_until = -inf
        self.heard_at = self.answered_at = -inf
        self.repaired_at = self.turned_at = self.raised_at = -inf
        self.answers: dict[int, int] = {}  # messages by sender, in this second
        self.answers_from = -inf
        self.join_by = inf
        self.join_heard: set[int] = set()
        self.told_me = 0  # the highest incarnation of the own name that anyone told
        self.seen_at: dict[int, float] = {}  # with heartbeats: when each was heard last
        self.via: dict[int, int] = {}  # member -> who reached it where this one could not
        self.missed: dict[int, float] = {}  # members that could not be reached lately, and when
        self.wrong: dict[int, float] = {}  # those of them that were heard after all, and when
        self.out: list[Command] = []

    # --- what the driver calls ------------------------------------------------------------------------------

    def begin(self, now: float) -> list[Command]:
        self._begin(now)
        self.join_by = now + self.pace.join_alone
        self.out.append(Stood(Stand.JOINING))
        return self._done(now)

    def _begin(self, now: float) -> None:
        self.latest = self.due = self.heard_at = self.answered_at = now
        self.due_probe = now + self.random.random() * self.pace.probe

    def begin_known(self, now: float, lives: list[int]) -> list[Command]:
        """In place of `begin`: as one of a fleet whose members know each other already, by these marks."""
        self._begin(now)
        self._turn_to(Stand.WELL)
        self.incarnation = 1
        for member, life in enumerate(lives):
            self._put(member, MemberRecord(MemberState.ALIVE, 1, life), told=False)
        return self._done(now)

    def ticked(self, now: float) -> list[Command]:
        self._wake(now)
        if self.stand in (Stand.GONE, Stand.SUPERSEDED):
            return self._done(now)
        if self.stand is Stand.JOINING:
            self._join(now)
        self._look_at_self(now)
        self._end_probes(now)
        if now >= self.due_probe:
            self._probe_next(now)
        if now >= self.due_knock:
            self._knock(now)
        self._bury(now)
        return self._done(now)

    def heard(self, now: float, sender: int, message: Message) -> list[Command]:
        self._wake(now)
        if sender == self.me or not 0 <= sender < self.count or self.stand is Stand.GONE:
            return self._done(now)
        if self._flooded(now, sender):
            return self._done(now)
        self.figures.heard += 1
        if self.stand is Stand.ALONE:  # what others said meanwhile was missed
            self._come_back(now)
        self.heard_at = now
        self._about_me(now, message.receiver_record)
        self._from(now, sender, message)
        for item in message.updates:
            if isinstance(item, MemberUpdate):
                self._told(now, sender, item.member, item.record)
            else:
                self._words(now, sender, item)
        match message.kind:
            case MessageKind.PING:
                self._send(now, sender, MessageKind.ACK, number=message.sequence_number)
            case MessageKind.ACK:
                self._acked(now, sender, message)
            case MessageKind.PING_REQUEST:
                self._asked(now, sender, message)
            case MessageKind.PING_RESULT:
                self._found(now, sender, message)
            case MessageKind.SEGMENT_DIGESTS:
                self._compare(now, sender, message.segment_digests)
            case MessageKind.SEGMENT:
                self._take_part(now, sender, message)
        if message.view_digest != self.records.digest and message.kind in (MessageKind.PING, MessageKind.ACK):
            self._repair(now, sender)
        return self._done(now)

    def leave(self, now: float) -> list[Command]:
        """A clean end. Nothing is said where a later process has the name."""
        if self.stand not in (Stand.JOINING, Stand.SUPERSEDED, Stand.GONE):
            self._put(self.me, MemberRecord(MemberState.LEFT, self.incarnation, self.life))
            self._burst(now, LEAVERS)
        self._turn_to(Stand.GONE)
        return self._done(now)

    def next_look(self, now: float) -> float:
        if self.stand in (Stand.GONE, Stand.SUPERSEDED):
            return inf
        ends = min((min(one.again, one.ask, one.end) for one in self.probes.values()), default=inf)
        join = self.join_by if self.stand is Stand.JOINING else inf
        return min(self.due_probe, self.due_knock, self.due_bury, self.due_told, ends, join)

    # --- what others ask of it ------------------------------------------------------------------------------

    @property
    def well(self) -> bool:
        """Whether the view can be gone by."""
        return self.stand in (Stand.WELL, Stand.PAUSED)

    @property
    def size(self) -> int:
        """Living members, itself among them."""
        return 1 + len(self.living)

    def view(self) -> list[tuple[int, int]]:
        """Living members and their incarnations."""
        return [(one, self.records.records[one].incarnation) for one in sorted({*self.living, self.me})]

    # --- itself ---------------------------------------------------------------------------------------------

    def _wake(self, now: float) -> None:
        """Guards all judgement against a process that stood still: at each entry, whichever comes first."""
        if self.latest == -inf:
            return
        late = now - max(self.due, self.latest)
        self.latest = now
        if not self.pace.self_look or late <= self.pace.late:
            return
        self.health = min(MOST_HEALTH, self.health + 1)
        if late < self.pace.paused:
            for probe in self.probes.values():  # their answers may lie in the socket
                probe.again += late
                probe.ask += late
                probe.end += late + self.pace.late
            return
        self.figures.paused += 1
        if self.stand in (Stand.WELL, Stand.UNHEARD, Stand.PAUSED):
            self._turn_to(Stand.PAUSED)
            self._come_back(now)

    def _come_back(self, now: float) -> None:
        """What others said meanwhile was missed, and they may hold this one suspect."""
        self.probes.clear()
        self.quiet_until = now + self.pace.calm
        self.heard_at = self.answered_at = now
        for suspicion in self.suspicions.values():
            suspicion.begin_anew(now)
        self._look_at_graves()
        if self.stand is Stand.ALONE:
            self._turn_to(Stand.WELL)
        if self.incarnation:
            self._raise(now, self.incarnation)

    def _look_at_self(self, now: float) -> None:
        pace = self.pace
        if self.stand is Stand.PAUSED and now >= self.quiet_until:
            self._turn_to(Stand.WELL)
        if not self.living or not pace.self_look or pace.heartbeats:
            return
        if self.stand in (Stand.WELL, Stand.UNHEARD) and now - self.heard_at > pace.alone:
            self._turn_to(Stand.ALONE)
        if self.stand is Stand.WELL and now - self.answered_at > pace.unheard * (1 + self.health / 3):
            self._turn_to(Stand.UNHEARD)

    def _turn_to(self, stand: Stand) -> None:
        if stand is not self.stand:
            self.stand = stand
            self.out.append(Stood(stand))

    def _judges(self, now: float) -> bool:
        """Whether it may give words on others."""
        return not self.pace.self_look or (
            self.stand is Stand.WELL and now >= self.quiet_until and not self._doubts(now)
        )

    def _doubts(self, now: float) -> bool:
        """Several that it could not reach were heard after all, and more of them than were not."""
        if len(self.wrong) < self.pace.doubt:
            return False
        since = now - MOST_DOUBT
        self.missed = {one: at for one, at in self.missed.items() if at > since}
        self.wrong = {one: at for one, at in self.wrong.items() if at > since}
        return len(self.wrong) >= max(self.pace.doubt, len(self.missed))

    def _join(self, now: float) -> None:
        """Takes an incarnation above all that others know of its name."""
        if now < self.join_by and len(self.join_heard) < 3:
            return
        self._turn_to(Stand.WELL)
        self.quiet_until = now + self.pace.calm
        self.answered_at = now
        self._raise(now, self.told_me)

    def _raise(self, now: float, over: int) -> None:
        """A higher incarnation, told to as many as may be at once."""
        if now - self.raised_at < self.pace.raised and over < self.incarnation + 1:
            return
        self.raised_at = now
        self.incarnation = min(messages.MAX_INCARNATION, max(self.incarnation, over) + 1)
        self.figures.raised += 1
        self._put(self.me, MemberRecord(MemberState.ALIVE, self.incarnation, self.life))
        self._burst(now)

    def _burst(self, now: float, most: int = BURST) -> None:
        others = list(self.living) or [one for one in range(self.count) if one != self.me]
        for target in self.random.sample(others, min(most, len(others))):
            self._send(now, target, MessageKind.GOSSIP)

    def _about_me(self, now: float, told: MemberRecord) -> None:
        """What a sender holds of this one."""
        if not told.is_known:
            return
        self.told_me = max(self.told_me, told.incarnation)
        if self.stand is Stand.JOINING or told.incarnation < self.incarnation:
            return
        mine = told.process_id == self.life
        if not mine and told.is_alive and told.incarnation > self.incarnation:
            self._turn_to(Stand.SUPERSEDED)  # a later process has the name, and lives
            self.probes.clear()
        elif self.stand is Stand.SUPERSEDED:
            if not told.is_alive:  # and has ended: the name is this one's again
                self._turn_to(Stand.WELL)
                self.heard_at = self.answered_at = self.due_probe = self.latest = self.due = now
                self.quiet_until = now + self.pace.calm
                self._raise(now, told.incarnation)
        elif (
            told.state is not MemberState.ALIVE
            or told.incarnation > self.incarnation
            or (not mine and self.life < told.process_id)
        ):
            self._raise(now, told.incarnation)

    # --- others ---------------------------------------------------------------------------------------------

    def _put(self, member: int, record: MemberRecord, told: bool = True) -> None:
        """Holds a later word on a member; `told`: it is passed on."""
        self.records.put(member, record)
        words = self.suspicions.pop(member, None)
        if record.state is MemberState.DEAD and words is not None and words.first < inf:
            self.graves[member] = words
        else:
            self.graves.pop(member, None)
        self.claims.pop(member, None)
        if told:
            self.news[member] = self._times(SPREAD_WORDS if member in self.graves else SPREAD)
        if member != self.me:
            (self.living.add if record.is_alive else self.living.discard)(member)

    def _times(self, spread: float) -> int:
        """How often news are passed on."""
        return ceil(spread * log2(2 + len(self.living)))

    def _from(self, now: float, sender: int, message: Message) -> None:
        """A message shows that its sender lives at its incarnation."""
        if message.incarnation:
            if self.pace.heartbeats:
                self.seen_at[sender] = now
            if sender in self.missed and message.incarnation >= self.records.records[sender].incarnation:
                del self.missed[sender]
                self.wrong[sender] = now
                self._reached(now, sender)
            self._told(
                now, sender, sender, MemberRecord(MemberState.ALIVE, message.incarnation, message.process_id)
            )

    def _told(self, now: float, sender: int, member: int, record: MemberRecord) -> None:
        """A word on a member, from itself or passed on."""
        if not 0 <= member < self.count or not record.is_known:
            return
        if member == self.me:
            self._about_me(now, record)
            return
        held = self.records.records[member]
        if record.precedence <= held.precedence and held.is_known:
            return
        if record.state is MemberState.ALIVE:
            joined = not held.is_alive
            restarted = held.is_alive and held.process_id != record.process_id
            self._put(member, record)
            self.turned_at = now
            if joined or restarted:
                self.pending[member] = Change.JOINED if joined else Change.RESTARTED
                self.due_told = min(self.due_told, now + self.pace.gather)
        elif record.state is MemberState.LEFT and member == sender:
            self._end(now, ((member, record),))
        elif record.state in (MemberState.DEAD, MemberState.LEFT):
            self._claimed(now, sender, member, record)

    def _claimed(self, now: float, sender: int, member: int, record: MemberRecord) -> None:
        """Somebody holds a member dead or gone: it counts once enough distinct ones do."""
        former, who = self.claims.get(member, (record, set()))
        if former != record:
            if record.precedence < former.precedence:
                return
            who = set()
        who.add(sender)
        self.claims[member] = record, who
        if len(who) >= self._need(member) and self._judges(now):
            self._end(now, ((member, record),))

    def _end(self, now: float, ended: tuple[tuple[int, MemberRecord], ...]) -> None:
        for member, record in ended:
            if self.records.records[member].is_alive:
                self.pending[member] = Change.LEFT if record.state is MemberState.LEFT else Change.DIED
                self.figures.died += record.state is MemberState.DEAD
                self.due_told = now
            self._put(member, record)
        self.turned_at = now
        if self.due_knock == inf:
            self.due_knock = now + self._knock_rest()

    # --- words and deaths -----------------------------------------------------------------------------------

    def _words(self, now: float, sender: int, words: SuspicionUpdate) -> None:
        member = words.member
        if not 0 <= member < self.count or not all(0 <= one < self.count for one in words.observers):
            return
        held = self.records.records[member]
        if held.is_known and (
            held.incarnation & messages.INCARNATION_LOW_MASK != words.incarnation
            or held.state is MemberState.LEFT
        ):
            self._send(
                now, sender, MessageKind.GOSSIP, KEEP_HELP, updates=(MemberUpdate(member, held),)
            )  # it may be behind
            return
        need = self._need(member)
        observers = tuple(dict.fromkeys(one for one in words.observers if one not in (member, self.me)))
        if member == self.me:
            if (
                len(observers) >= need
                and words.incarnation == self.incarnation & messages.INCARNATION_LOW_MASK
            ):
                self._about_me(now, MemberRecord(MemberState.SUSPECT, self.incarnation, self.life))
            return
        if len(observers) < min(self.pace.share, need):  # its own word, and not passed on
            observers = tuple(one for one in observers if one == sender)
        self._suspect(now, member, words.incarnation, observers, words.age if len(observers) >= need else 0.0)

    def _suspect(
        self, now: float, member: int, incarnation: int, observers: tuple[int, ...], age: float = 0.0
    ) -> None:
        held = self.records.records[member]
        if (
            not observers
            or not held.is_alive
            or incarnation & messages.INCARNATION_LOW_MASK != held.incarnation & messages.INCARNATION_LOW_MASK
        ):
            return
        suspicion = self.suspicions.get(member)
        if suspicion is None:
            suspicion = self.suspicions[member] = Suspicion(held.incarnation)
        need, many = self.pace.times.of_others(self._observers(member))
        before = len(suspicion.observers)
        new = suspicion.add(now, observers, age, need)
        words = len(suspicion.observers)
        if new and (before < need or suspicion.told < many <= words) and words >= min(self.pace.share, need):
            suspicion.told = words
            self.news[member] = self._times(SPREAD_WORDS)
        if words < need:
            return
        if before < need:
            self.figures.suspected += 1
            if self._checks(member, held.incarnation):
                suspicion.look = now
            elif self.me in suspicion.observers:
                self._send(
                    now, member, MessageKind.PING, KEEP_PROBE, number=self._number()
                )  # it is told first
        self._look_at_graves()

    def _checks(self, member: int, incarnation: int) -> bool:
        """Whether this one is among those that look for themselves: each a draw of its own."""
        if self.count <= self.pace.checkers + 2:
            return True
        mark = blake2b(b"%d %d %d" % (self.me, member, incarnation), digest_size=4).digest()
        return int.from_bytes(mark, "big") * self.count < self.pace.checkers * 2**32

    def _dies_at(self, member: int, suspicion: Suspicion) -> float:
        if not self._enough(member):
            return inf
        return suspicion.since + self.pace.times.wait(len(suspicion.observers), self._observers(member))

    def _observers(self, member: int) -> int:
        """Living members that may give a word on this one, itself among them."""
        return 1 + len(self.living) - (member in self.living)

    def _need(self, member: int) -> int:
        return self.pace.times.of_others(self._observers(member))[0]

    def _enough(self, member: int) -> bool:
        suspicion = self.suspicions.get(member)
        return suspicion is not None and len(suspicion.observers) >= self._need(member)

    def _look_at_graves(self) -> None:
        self.due_bury = inf
        for member, one in self.suspicions.items():
            last = inf if one.last else self._dies_at(member, one) - self.pace.last
            self.due_bury = min(self.due_bury, one.look, last, self._dies_at(member, one))

    def _look_at_suspects(self, now: float) -> None:
        """The suspect is told first, and again; and nobody dies unlooked at, where there are not too many."""
        for member, one in self.suspicions.items():
            last = not one.last and now >= self._dies_at(member, one) - self.pace.last
            if now >= one.look or last:
                if last:
                    one.last = True
                    self.news[member] = max(LAST_TOLD, self.news.get(member, 0))  # who knows better says so
                if one.look < inf:
                    # Bytes are scarce where many are suspected.
                    one.look = now + self.pace.look * max(1, len(self.suspicions) / MANY_SUSPECTS)
                elif self.count > self.pace.few or self.me in one.observers:
                    continue
                if self.me in one.observers:
                    self._send(now, member, MessageKind.PING, KEEP_PROBE, number=self._number())
                else:
                    self._try(now, member, check=True)

    def _bury(self, now: float) -> None:
        """Deaths that are due. Those due together are one change: the first waits a little for the next."""
        if now < self.due_bury:
            return
        if not self._judges(now):
            self.due_bury = now + self.pace.gather
            return
        self._look_at_suspects(now)
        dues = {member: self._dies_at(member, one) for member, one in self.suspicions.items()}
        ready = [member for member, due in dues.items() if due <= now]
        self.bury_first = min(self.bury_first, now) if ready else inf
        soon = [due for due in dues.values() if now < due <= now + self.pace.gather]
        if ready and soon and now < self.bury_first + 2 * self.pace.gather:
            self._look_at_graves()
            self.due_bury = min(soon) if self.due_bury <= now else min(self.due_bury, *soon)
            return
        self.bury_first = inf
        ended = [
            (
                member,
                MemberRecord(
                    MemberState.DEAD,
                    self.suspicions[member].incarnation,
                    self.records.records[member].process_id,
                ),
            )
            for member in ready
        ]
        if ended:
            self._end(now, tuple(ended))
        self._look_at_graves()

    # --- probes ---------------------------------------------------------------------------------------------

    def _probe_next(self, now: float) -> None:
        pace = self.pace
        rest = pace.heartbeats or pace.probe
        self.due_probe = max(self.due_probe + rest, now + rest / 2)
        if pace.heartbeats:
            self._heartbeat(now)
            return
        if self.stand is Stand.JOINING or not self.living:
            others = [one for one in range(self.count) if one != self.me]
            for target in self.random.sample(others, min(4, len(others))):
                self._send(now, target, MessageKind.PING, KEEP_PROBE, number=self._number())
            if self.stand is not Stand.JOINING:
                self.due_probe = now + 0.4  # the only one there is: who comes up asks by itself
            return
        self._try(now, self._next_target())
        if self.stand is Stand.ALONE:
            self.due_probe = now + 2 * pace.probe
        elif not self.suspicions:
            return
        for member in [member for member, one in self.suspicions.items() if one.over(now)]:
            del self.suspicions[member]

    def _next_target(self) -> int:
        while True:
            if not self.round:
                self.round = list(self.living)
                self.random.shuffle(self.round)
            target = self.round.pop()
            suspicion = self.suspicions.get(target)
            given = suspicion is not None and self.me in suspicion.observers  # and waits to be outdone
            if target in self.living and not (given and self.round):
                return target

    def _number(self) -> int:
        self.numbers = (self.numbers + 1) % 65536
        return self.numbers

    def _try(self, now: float, subject: int, asker: int = -1, number: int = 0, check: bool = False) -> None:
        """Pings a member, for itself or for an asker."""
        slow = 1 + self.health if asker < 0 else 1.0
        own = self._number()
        ends = self.pace.tried if asker >= 0 or check else self.pace.end
        if not self._send(now, subject, MessageKind.PING, KEEP_PROBE if asker < 0 else KEEP_HELP, number=own):
            return
        self.figures.probes += 1
        pace, alone = self.pace, asker >= 0 or check
        self.probes[own] = _Probe(
            subject,
            self.records.records[subject].incarnation,
            now + pace.again * slow,
            inf if alone else now + pace.ask * slow,
            now + ends * slow,
            asker,
            number,
            check=check,
        )

    def _end_probes(self, now: float) -> None:
        for own, probe in list(self.probes.items()):
            if now >= probe.end:
                del self.probes[own]
                self._failed(now, probe)
            elif now >= probe.ask:
                probe.again = probe.ask = inf
                self._ask_helpers(now, own, probe)
            elif now >= probe.again:
                probe.again = inf
                self._send(now, probe.subject, MessageKind.PING, KEEP_PROBE, number=own)

    def _ask_helpers(self, now: float, own: int, probe: _Probe) -> None:
        """One that reached it before, and others at random: fewer where others have failed already."""
        via, suspicion = self.via.get(probe.subject), self.suspicions.get(probe.subject)
        wanted = 1 if via is not None else self.pace.helpers
        if suspicion is not None:
            wanted = min(wanted, self._need(probe.subject) - len({*suspicion.observers, self.me}))
        if not self.pace.helpers or (wanted <= 0 and via is None):
            return
        others = [
            one for one in self.living if one not in (probe.subject, via) and one not in self.suspicions
        ]
        helpers = [via] if via in self.living else []
        helpers += self.random.sample(others, min(max(0, wanted), len(others)))
        for helper in helpers:
            if self._send(
                now, helper, MessageKind.PING_REQUEST, KEEP_HELP, number=own, subject=probe.subject
            ):
                probe.helped += 1

    def _asked(self, now: float, sender: int, message: Message) -> None:
        """A helper's part. That it is asked is the asker's word that it has no answer."""
        subject = message.subject
        if not 0 <= subject < self.count or subject == self.me or not self._judges(now):
            return
        if subject in self.graves:
            self._send(now, sender, MessageKind.GOSSIP, KEEP_HELP, updates=(self._item(now, subject),))
            return
        self._suspect(now, subject, self.records.records[subject].incarnation, (sender,))
        suspicion = self.suspicions.get(subject)
        if suspicion is not None and self.me in suspicion.observers:  # it has tried already
            self._send(
                now,
                sender,
                MessageKind.PING_RESULT,
                KEEP_HELP,
                number=message.sequence_number,
                subject=subject,
            )
        else:
            self._try(now, subject, sender, message.sequence_number)

    def _acked(self, now: float, sender: int, message: Message) -> None:
        if self.stand is Stand.JOINING:
            self.join_by = min(self.join_by, now + self.pace.join)
            self.join_heard.add(sender)
        self.answered_at = now
        if self.stand is Stand.UNHEARD:
            self._turn_to(Stand.WELL)
            self.quiet_until = now + self.pace.calm
        probe = self.probes.get(message.sequence_number)
        if probe is None or probe.subject != sender or message.incarnation < probe.incarnation:
            return  # the answer of an earlier life is no answer
        del self.probes[message.sequence_number]
        self.health = max(0.0, self.health - 0.5)
        self._reached(now, sender)
        if probe.asker >= 0:
            self._send(
                now,
                probe.asker,
                MessageKind.PING_RESULT,
                KEEP_PROBE,
                number=probe.number,
                subject=sender,
                is_reachable=True,
            )

    def _reached(self, now: float, subject: int) -> None:
        """It lives, whatever others say; it is told of that with each message, and answers for itself."""
        suspicion = self.suspicions.get(subject)
        if suspicion is not None:
            suspicion.observers.pop(self.me, None)
            if not self._enough(subject):
                del self.suspicions[subject]
            else:
                suspicion.begin_anew(now)
            self._look_at_graves()

    def _found(self, now: float, sender: int, message: Message) -> None:
        probe = self.probes.get(message.sequence_number)
        if probe is None or probe.asker >= 0 or probe.subject != message.subject:
            return
        self.answered_at = now
        if message.is_reachable:
            del self.probes[message.sequence_number]
            self.health = max(0.0, self.health - 0.5)
            if len(self.via) < MOST_VIA or probe.subject in self.via:
                self.via[probe.subject] = sender
        elif sender not in probe.failed:
            probe.failed.append(sender)

    def _failed(self, now: float, probe: _Probe) -> None:
        self.figures.failed += 1
        if probe.asker >= 0:
            if self._judges(now):
                self._send(
                    now,
                    probe.asker,
                    MessageKind.PING_RESULT,
                    KEEP_HELP,
                    number=probe.number,
                    subject=probe.subject,
                )
                self._suspect(now, probe.subject, probe.incarnation, (self.me,))
            return
        if not probe.check and probe.helped and not probe.failed:
            self.health = min(MOST_HEALTH, self.health + 1)  # helpers said nothing either
        if self._judges(now):
            self.missed[probe.subject] = now
            self._suspect(now, probe.subject, probe.incarnation, (self.me, *probe.failed))

    def _heartbeat(self, now: float) -> None:
        """The baseline: to all, and whoever was not heard for long is dead."""
        if self.stand is Stand.JOINING:
            return
        for target in range(self.count):
            if target != self.me:
                self._send(now, target, MessageKind.GOSSIP, keep=-inf)
        silent = [
            member for member in self.living if now - self.seen_at.get(member, now) > self.pace.times.least
        ]
        if silent:
            self._end(
                now,
                tuple(
                    (
                        member,
                        MemberRecord(
                            MemberState.DEAD,
                            self.records.records[member].incarnation,
                            self.records.records[member].process_id,
                        ),
                    )
                    for member in silent
                ),
            )

    # --- groups that were cut apart, and views that differ --------------------------------------------------

    def _knock_rest(self) -> float:
        dead = self.count - 1 - len(self.living)
        rate = min(self.pace.most_knocks, self.pace.knock * dead / (1 + len(self.living)))
        return (0.5 + self.random.random()) / max(rate, 0.001)

    def _knock(self, now: float) -> None:
        """A word to one that is held dead, or that nobody knows: it may live."""
        others = [one for one in range(self.count) if one != self.me and one not in self.living]
        self.due_knock = now + self._knock_rest() if others else inf
        if others:
            self._send(now, self.random.choice(others), MessageKind.PING, KEEP_PROBE, number=self._number())

    def _repair(self, now: float, sender: int) -> None:
        """Their digests differ, and not only because something is just being told."""
        last = now - self.repaired_at
        if last < self.pace.repair or (now - self.turned_at < self.pace.repair and last < MOST_CHURN):
            return
        if self._send(
            now,
            sender,
            MessageKind.SEGMENT_DIGESTS,
            KEEP_HELP,
            segment_digests=tuple(self.records.segment_digests),
        ):
            self.repaired_at = now
            self.figures.repairs += 1

    def _compare(self, now: float, sender: int, sums: tuple[int, ...]) -> None:
        """The parts that differ, a few at a time."""
        for which in self.records.differing_segments(sums)[:3]:
            members = self.records.segment(which)
            for first in range(members.start, members.stop, codec.MAX_SEGMENT_RECORDS):
                part = tuple(
                    self.records.records[first : min(first + codec.MAX_SEGMENT_RECORDS, members.stop)]
                )
                self._send(
                    now, sender, MessageKind.SEGMENT, KEEP_HELP, first_member=first, segment_records=part
                )

    def _take_part(self, now: float, sender: int, message: Message) -> None:
        """What the sender holds; what is later here is told back."""
        later = []
        for member, record in enumerate(message.segment_records, message.first_member):
            if member >= self.count:
                break
            held = self.records.records[member]
            if record.is_known and record.precedence > held.precedence:
                self._told(now, sender, member, record)
            elif held.is_known and held.precedence > record.precedence:
                later.append(MemberUpdate(member, held))
        room = (codec.MAX_DATAGRAM_BYTES - codec.HEADER.size) // codec.MEMBER_UPDATE.size
        if later:
            self._send(now, sender, MessageKind.GOSSIP, KEEP_HELP, updates=tuple(later[:room]))

    # --- sending --------------------------------------------------------------------------------------------

    def _flooded(self, now: float, sender: int) -> bool:
        if now - self.answers_from >= 1.0:
            self.answers_from = now
            self.answers.clear()
        self.answers[sender] = self.answers.get(sender, 0) + 1
        flooded = self.answers[sender] > 4 * MOST_ANSWERS
        self.figures.floods += flooded
        return flooded

    def _send(
        self,
        now: float,
        target: int,
        kind: MessageKind,
        keep: float = 0.0,
        updates: tuple = (),
        **fields: object,
    ) -> bool:
        """With news, as far as bytes and room allow. False: the bucket is empty."""
        if kind is MessageKind.ACK and self.answers.get(target, 0) > MOST_ANSWERS:
            self.figures.floods += 1
            return False
        held = self.records.records[target]
        if self._enough(target):
            held = MemberRecord(MemberState.SUSPECT, held.incarnation, held.process_id)
        message = Message(
            kind,
            fields.pop("number", 0),
            self.incarnation,
            self.life,
            held,
            self.records.digest,
            updates=updates,
            **fields,
        )
        size = codec.encoded_size(message)
        if keep != -inf and not self.bucket.consume(now, size, keep):
            self.figures.held_back += 1
            return False
        wasted = kind is MessageKind.PING and (
            target in self.suspicions or len(self.suspicions) > MANY_SUSPECTS
        )
        if (
            kind not in (MessageKind.SEGMENT_DIGESTS, MessageKind.SEGMENT)
            and not updates
            and self.news
            and not wasted
        ):
            told = self._news(now, codec.MAX_DATAGRAM_BYTES - size)
            if told:
                message = Message(
                    kind,
                    message.sequence_number,
                    self.incarnation,
                    self.life,
                    held,
                    self.records.digest,
                    message.subject,
                    message.is_reachable,
                    told,
                )
        self.figures.sent += 1
        self.figures.sent_bytes += codec.encoded_size(message)
        self.out.append(Send(target, message))
        return True

    def _news(self, now: float, room: int) -> tuple[messages.Update, ...]:
        """What waits to be passed on, least told first, as far as there is room."""
        room = min(room, int(self.bucket.refill(now) - KEEP_NEWS))
        found: list[messages.Update] = []
        taken = 0
        for member in nlargest(
            codec.MAX_DATAGRAM_BYTES // codec.MEMBER_UPDATE.size, self.news, key=self.news.__getitem__
        ):
            item = self._item(now, member)
            if item is None:
                del self.news[member]
                continue
            size = codec.encoded_update_size(item)
            if taken + size > room:
                break
            taken += size
            found.append(item)
            self.news[member] -= 1
            if not self.news[member]:
                del self.news[member]
        self.bucket.consume(now, taken)
        return tuple(found)

    def _item(self, now: float, member: int) -> messages.Update | None:
        """SuspicionUpdate where there are enough, else the record."""
        suspicion = self.suspicions.get(member) or self.graves.get(member)
        if suspicion is not None:
            if len(suspicion.observers) < min(self.pace.share, self._need(member)):
                return None
            return SuspicionUpdate(
                member,
                suspicion.incarnation,
                max(0.0, now - min(now, suspicion.since)),
                tuple(suspicion.observers),
            )
        record = self.records.records[member]
        return (
            MemberUpdate(member, record) if record.is_known and record.state is not MemberState.DEAD else None
        )

    def _done(self, now: float) -> list[Command]:
        if now >= self.due_told:
            self.changes += 1
            self.out.append(Turned(tuple(self.pending.items())))
            self.pending, self.due_told = {}, inf
        self.due = max(now, self.next_look(now))
        found, self.out = self.out, []
        return found
