"""Links to engines: RESP on shared connections, attempts with their pages, and probes."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import isfinite

import hiredis

from ..api import Result, State
from ..discovery.endpoints import Endpoint, EndpointUpdate
from ..net.write_queue import Message, Outbox
from ..observability.counters import Counters
from ..observability.events import log_event
from .limits import ConnectionLimits

MOST_RESULT = 48_000  # bytes of a whole result
MOST_PAGES = 64
MOST_ANSWER = 16_384  # bytes of one answer, all told: a page has 6,000 at most
RECEIVE = 8_192
QUIET = (1.0, 3.0)  # s without a whole answer after which a link that carries attempts is asked whether it
# still answers: while links were found spoilt lately, and else
CHEAP = 0.02  # points for a probe a request up to which links are asked as often as that
ASKED = 0.4  # s that it has for its answer
WARY = 20.0  # s for which a spoilt link is kept in mind
OVERSLEPT = 0.1  # s that a timer may be late: beyond, the loop stood still, and answers may lie unread
WORDS = frozenset((b"HIT", b"SHED", b"FAULT", b"LATE", b"PART", b"PONG", b"SICK"))
STALL = 1.0  # s after which an engine that takes in nothing has lost its connection
SETTLE = 0.01  # s from a `never_mind` to its attempt's end, so that no later `want` overtakes it elsewhere
PROBE_TIME = 0.25  # s for a probe's answer, by the site
BIND_ADDRESS_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT of Linux: the port is chosen by connect, not by bind
USED = 0.8  # of the idle time after which a link is not used again: the engine may be closing it
# What the settings call the figures of a report, and what engines may call them besides.
ALIASES = {
    "active": "inflight",
    "cpu": "util",
    "waiting": "queue",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
    "memory_used": "x0",
    "disk_busy": "x1",
}


_HEAD, _PART_OF_HEAD = re.compile(rb"\$(\d{1,10})\r\n"), re.compile(rb"(?:\$(?:\d{1,10}\r?)?)?")


class Reach(Enum):
    """How far an attempt came before it ended without a result."""

    NEVER_SENT = 0
    WRITTEN = 1  # sent, and the engine's word proves that it never ran
    MAY_HAVE_RUN = 2
    RAN = 3  # it ended well there, but its result is lost


@dataclass(frozen=True)
class Done:
    body: bytes
    work: float = 0.0  # s on one core
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()
    result: Result = Result.OK


@dataclass(frozen=True)
class Broken:
    reach: Reach
    result: Result
    report: tuple[float, ...] = ()


Ending = Done | Broken


@dataclass(frozen=True)
class Want:
    """What an engine is asked for."""

    ref: bytes
    lane: str
    statement: bytes
    until: float  # by the loop's clock: when it is given up
    by: float  # when its writing must have begun
    urgency: int = 1
    alone: bool = False  # must not run twice: shares its link with nothing that could end it
    gone: Callable[[], bool] = lambda: False  # whether its client has hung up, read or not
    dedupe: str = ""  # by which engines know a repeat of it, whatever its id


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def fields_of(raw: bytes) -> dict[str, str]:
    """name=value,name=value, or - for none; what has another form is left out."""
    pairs = (item.partition("=") for item in raw.decode("latin-1").split(","))
    return {name: value for name, equals, value in pairs if equals}


def number(text: str | None) -> float:
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return value if isfinite(value) and value >= 0 else 0.0


def report_of(fields: dict[str, str], columns: tuple[str, ...]) -> tuple[float, ...]:
    """A load report in the order of the settings; -1 for a figure that is not told."""
    pairs = (item.partition(":") for item in fields.get("rep", "").split(";"))
    told = {name: value for name, colon, value in pairs if colon}
    if not told:
        return ()
    values = (told.get(name, told.get(ALIASES.get(name, ""))) for name in columns)
    return tuple(-1.0 if value is None else number(value) for value in values)


def whole_number(text: str | None, most: int) -> int:
    """A count that an answer depends on; raises ValueError, for guessing it could cut a result off."""
    if text is None or not text.isdecimal() or not 1 <= (value := int(text[:9])) <= most:
        raise ValueError(f"not a number from 1 to {most}: {str(text)[:20]!r}")
    return value


def check_rows(page: bytes) -> None:
    """Whole rows of three columns; raises ValueError: the client would take what is cut for the result."""
    rows = page.count(b"\n")
    if page.count(b"\t") != 2 * rows or (page and not page.endswith(b"\n")):
        raise ValueError("a page that is not made of whole rows")


def answer_end(data: bytearray) -> int:
    """Where the first answer in `data` ends; 0 while it is not whole. Raises ValueError on what is none: four
    strings of fitting lengths. Guards the parser, which makes room for as many elements as it is told of, and
    passes over what follows a string whose length does not fit, so that it would give out what is cut."""
    if data[:4] != b"*4\r\n"[: len(data)]:
        raise ValueError("not an answer")
    at = 4
    for _ in range(4):
        head = _HEAD.match(data, at)
        if head is None:
            if _PART_OF_HEAD.fullmatch(data, at):
                return 0
            raise ValueError("not an answer")
        end = head.end() + int(head[1])
        if end > MOST_ANSWER:
            raise ValueError(f"an answer of over {MOST_ANSWER} bytes")
        if data[end : end + 2] != b"\r\n"[: max(0, len(data) - end)]:
            raise ValueError("a length that does not fit")
        if len(data) < end + 2:
            return 0
        at = end + 2
    return at


class Attempt:
    """One attempt out at an engine. Exactly one ending is told, through `ended`."""

    def __init__(self, want: Want, ended: Callable[[Ending], None]):
        self.want = want
        self.ended: Callable[[Ending], None] | None = ended
        self.link: Link | None = None
        self.message: Message | None = None  # its `want`, once the link is up
        self.pages: dict[int, bytes] = {}
        self.fields: dict[str, str] = {}  # of the good end
        self.sheets = 0  # 0: no good end yet
        self.size = 0
        self.given_up = self.over = False

    def end(self, ending: Ending) -> None:
        if not self.over:
            self.over = True
            if self.link is not None:
                self.link.forget(self)
            ended, self.ended = self.ended, None  # it leads back here: a cycle would wait for the collector
            ended(ending)

    def lost(self) -> Broken:
        """Its link is gone: what that proves."""
        if self.sheets:
            return Broken(Reach.RAN, Result.RESET)
        if self.message is not None and self.message.begun:
            return Broken(Reach.MAY_HAVE_RUN, Result.RESET)
        # A connection that was reset before the request was written says nothing of the engine.
        return Broken(Reach.NEVER_SENT, Result.MOOT if self.link.shaken else Result.CONNECT_FAILED)

    def hurry(self, urgency: int) -> None:
        if not (self.over or self.given_up or self.sheets) and self.message is not None:
            self.link.put(b"hurry", self.want.ref, b"%d" % urgency)

    def give_up(self, result: Result) -> None:
        """Ends it as `result`, a moment after the engine's connection has taken the word that it is over:
        on another connection the next attempt could arrive first, and be a second copy. What the engine
        answers from now on has crossed that word, and is passed over."""
        if self.over or self.given_up:
            return
        self.given_up = True
        if self.message is None or self.link.outbox.withdraw(self.message):
            self.end(Broken(Reach.NEVER_SENT, Result.MOOT))
            return
        ending = Broken(Reach.RAN if self.sheets else Reach.MAY_HAVE_RUN, result)
        loop = asyncio.get_running_loop()
        self.link.put(
            b"shut" if self.sheets else b"never_mind",
            self.want.ref,
            written=lambda: loop.call_later(SETTLE, self.end, ending),
        )


class Link:
    """One connection to an engine; it carries up to a number of attempts at a time, and probes."""

    def __init__(self, engine: Engine):
        self.engine, self.fleet = engine, engine.fleet
        self.attempts: dict[bytes, Attempt] = {}  # by their ids; in order
        self.probes: dict[bytes, Callable[[Result, tuple], None]] = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.poll = select.poll()
        self.poll.register(self.sock, select.POLLRDHUP)
        self.outbox = Outbox(self.sock, STALL, self.close)
        self.up = self.closed = self.retired = False
        self.shaken = False  # someone was there: it came up, or was reset as it did
        self.unread = bytearray()  # of an answer that is not whole
        self.heard = 0.0  # when the last whole answer came, or the first attempt after a rest went out
        self.alone = False  # carries an attempt that must not run twice, and takes nothing beside it
        self.check: bytes | None = None  # the question whether it still answers, and is not to be trusted
        self.idle_timer: asyncio.TimerHandle | None = None
        self.watch_timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = asyncio.create_task(self._run())

    @property
    def streams(self) -> int:
        return len(self.attempts) + len(self.probes)

    def whole(self) -> bool:
        """Whether a resting connection may be used again. Guards a `want` against the engine's close, still
        unread, behind which it could not be told from one that ran; and its answer against the rest of one
        that stopped short, with which it would be spoilt."""
        return not (self.unread or self.poll.poll(0))

    def put(self, *words: bytes, written: Callable[[], None] | None = None) -> Message:
        return self.outbox.put(command(*words), written)

    def carry(self, attempt: Attempt) -> None:
        attempt.link = self
        self.attempts[attempt.want.ref] = attempt
        self.alone |= attempt.want.alone
        self._busy()
        if self.up:
            self._write(attempt)

    def _write(self, attempt: Attempt) -> None:
        want = attempt.want
        if not self.fleet.may_begin(want, self.engine):  # asked again: it may have waited for the connection
            attempt.end(Broken(Reach.NEVER_SENT, Result.MOOT))
            return
        left = want.until - asyncio.get_running_loop().time()
        fields = f"lane={want.lane},ttl={max(1, int(left * 1000))}"
        if want.urgency != 1:
            fields += f",urgency={want.urgency}"
        if want.dedupe:
            fields += f",dedupe={want.dedupe}"
        self.fleet.counters["attempts_written"] += 1
        attempt.message = self.put(
            b"want",
            want.ref,
            fields.encode(),
            want.statement,
            written=lambda: self.fleet.dispatched(want.lane),
        )

    def ask(self, tag: bytes, told: Callable[[Result, tuple], None]) -> None:
        self.probes[tag] = told
        self._busy()
        if self.up:
            self.put(b"busy", tag)

    def withdraw(self) -> None:
        """The engine takes nothing new. Guards the grace of a drain against what waits for the connection
        or behind a full socket: what has not begun never leaves, what has begun leaves soon or not at all."""
        for attempt in list(self.attempts.values()):
            if not attempt.given_up and (attempt.message is None or self.outbox.withdraw(attempt.message)):
                attempt.end(Broken(Reach.NEVER_SENT, Result.MOOT))
        if self.outbox.size:
            loop = asyncio.get_running_loop()
            loop.call_later(self.fleet.limits.drain_grace / 2, self._still_held_back, self.outbox.writes)

    def _still_held_back(self, writes: int) -> None:
        if self.outbox.size and self.outbox.writes == writes:
            self.close("it takes nothing in, and drains")

    def forget(self, attempt: Attempt) -> None:
        if self.attempts.get(attempt.want.ref) is attempt:
            del self.attempts[attempt.want.ref]
        self.alone = self.alone and bool(self.attempts)
        self._rest()

    def _busy(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None
        if self.watch_timer is None and not self.closed:
            self.heard = asyncio.get_running_loop().time()
            self._watch_in(self.fleet.quiet())

    def _watch_in(self, wait: float) -> None:
        loop = asyncio.get_running_loop()
        self.watch_timer = loop.call_later(wait, self._watch, loop.time() + wait)

    def _watch(self, due: float) -> None:
        """Guards against a connection that stays open but is of no further use, after a spoilt answer or with
        one that stopped short: it is asked, and closed if no answer comes, so that its attempts end."""
        now, self.watch_timer = asyncio.get_running_loop().time(), None
        if self.closed or not self.streams:
            return
        quiet = self.fleet.quiet()
        if not self.up or now - due > OVERSLEPT:
            self._watch_in(ASKED)
        elif self.check is not None and self.check in self.probes:
            self.fleet.spoilt()
            self.close("no answer to the question whether it still answers")
        elif now - self.heard < quiet:
            self._watch_in(self.heard + quiet - now)
        else:
            self.fleet.counters["links_checked"] += 1
            self.check = self.fleet.tag()
            self.probes[self.check] = lambda result, report: None
            self.put(b"there", self.check)
            self._watch_in(ASKED)

    def _rest(self) -> None:
        """With nothing left to carry it is closed before the engine would: a `want` that crossed an idle
        close could not be told from one that ran."""
        if not self.streams and not self.closed and self.idle_timer is None:
            if self.watch_timer is not None:
                self.watch_timer.cancel()
                self.watch_timer = None
            loop = asyncio.get_running_loop()
            wait = 0.0 if self.retired else self.fleet.limits.idle_timeout * USED
            self.idle_timer = loop.call_later(wait, self.close, "idle")

    def retire(self) -> None:
        """No further attempt goes on it; those that it carries may end."""
        self.retired = True
        self._busy()
        self._rest()

    def close(self, why: str) -> None:
        if not self.closed:
            self.closed = True
            if self.streams:
                self.fleet.counters["links_lost"] += 1
                log_event("link", f"engine {self.engine.number:08x}: {why}, {self.streams} open")
            if asyncio.current_task() is not self.task:  # else it has yet to end its attempts
                self.task.cancel()

    async def _run(self) -> None:
        """Connects, then reads until the connection ends; whatever happens, each attempt gets its ending."""
        why = "closed"
        try:
            why = await self._connect() or await self._read()
        except OSError as error:
            why = type(error).__name__
        except (hiredis.HiredisError, ValueError) as error:
            self.fleet.spoilt()
            why = f"{type(error).__name__}: {str(error)[:80]}"
        finally:
            self.close(why)
            self.engine.links.remove(self)
            if not self.engine.links and why != "idle":
                self.fleet.parted(self.engine.number)
            for timer in (self.idle_timer, self.watch_timer):
                if timer is not None:
                    timer.cancel()
            try:
                await self.outbox.close()
            finally:
                self.sock.close()
                if self.up and self.attempts:  # the engine hears of the end before anyone tries again
                    await asyncio.sleep(SETTLE)
                for attempt in list(self.attempts.values()):
                    attempt.end(attempt.lost())
                result = Result.RESET if self.shaken else Result.CONNECT_FAILED
                for tag in list(self.probes):
                    self.probe_over(tag, result)
                self.task = None  # a task that was cancelled leads back here by what it was cancelled with

    async def _connect(self) -> str | None:
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.fleet.local:
            self.sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
            self.sock.bind((self.fleet.local, 0))
        try:
            async with asyncio.timeout(self.fleet.limits.connect_timeout):
                await asyncio.get_running_loop().sock_connect(self.sock, self.engine.address)
        except TimeoutError:
            return "no connection in time"
        except ConnectionResetError:
            self.shaken = True
            raise
        self.up = self.shaken = True
        self.fleet.counters["links_opened"] += 1
        for attempt in list(self.attempts.values()):
            self._write(attempt)
        for tag in self.probes:
            self.put(b"busy", tag)
        self._rest()
        return None

    async def _read(self) -> str:
        loop, buffer, reader = asyncio.get_running_loop(), bytearray(RECEIVE), hiredis.Reader()
        while True:
            size = await loop.sock_recv_into(self.sock, buffer)
            if size == 0:
                return "closed by the engine"
            self.unread += memoryview(buffer)[:size]
            while end := answer_end(self.unread):
                reader.feed(self.unread, 0, end)
                del self.unread[:end]
                self.heard = loop.time()
                self.take(reader.gets())

    def take(self, answer: list[bytes]) -> None:
        """One answer. Raises ValueError on what is spoilt, which ends the connection."""
        tag, word, raw, body = answer
        if word not in WORDS:
            raise ValueError("an unknown word")
        fields = fields_of(raw)
        report = report_of(fields, self.fleet.columns)
        if report:
            self.fleet.reported(self.engine.number, report)
        self.fleet.counters["engine_" + word.decode()] += 1
        if tag in self.probes:
            self.probe_over(tag, {b"PONG": Result.OK, b"SHED": Result.FULL}.get(word, Result.ERROR), report)
            return
        attempt = self.attempts.get(tag)
        if attempt is None or attempt.message is None or attempt.given_up:
            # It crossed the word that the request was given up, or is a copy, or under an id of no one's.
            if word == b"HIT" and attempt is not None and number(fields.get("sheets")) > 1:
                self.put(b"shut", tag)
        elif word == b"HIT" and not attempt.sheets:
            self._good(attempt, fields, body)
        elif word == b"PART" and attempt.sheets:
            self._page(attempt, whole_number(fields.get("sheet"), attempt.sheets - 1), body)
        elif word == b"SHED" and not attempt.sheets:
            attempt.end(Broken(Reach.WRITTEN, Result.FULL, report))
        elif word == b"LATE" and not attempt.sheets:
            attempt.end(Broken(Reach.WRITTEN, Result.MOOT, report))
        elif word == b"FAULT":  # of the query or of a page
            reach = Reach.RAN if attempt.sheets else Reach.MAY_HAVE_RUN
            attempt.end(Broken(reach, Result.ERROR, report))
        # The rest is a second copy, or more than belongs to the answer: the first one holds.

    def _good(self, attempt: Attempt, fields: dict[str, str], body: bytes) -> None:
        attempt.sheets = 1  # from here on it is known to have run
        attempt.sheets = whole_number(fields.get("sheets"), MOST_PAGES)
        attempt.fields = fields
        for page in range(1, attempt.sheets):  # all at once: one round trip
            self.put(b"turn", attempt.want.ref, b"%d" % page)
        self._page(attempt, 0, body)

    def _page(self, attempt: Attempt, page: int, body: bytes) -> None:
        if page in attempt.pages:
            return  # a second copy
        check_rows(body)
        attempt.pages[page] = body
        attempt.size += len(body)
        if attempt.size > MOST_RESULT:  # guards the memory against a result without end
            attempt.give_up(Result.ERROR)
        elif len(attempt.pages) == attempt.sheets:
            rows = b"".join(attempt.pages[at] for at in range(attempt.sheets))
            told = attempt.fields
            attempt.end(
                Done(
                    rows,
                    number(told.get("toil")) / 1000,
                    number(told.get("room")),
                    report_of(told, self.fleet.columns),
                )
            )

    def probe_over(self, tag: bytes, result: Result, report: tuple = ()) -> None:
        told = self.probes.pop(tag, None)
        if told is not None:
            told(result, report)
            self._rest()


class Engine:
    """One engine of the list, by its id: an address may go to another engine later."""

    def __init__(self, fleet: Fleet, member: Endpoint):
        self.fleet, self.number, self.address = fleet, member.entry.engine, member.address
        self.state, self.started = member.entry.state, member.entry.started
        self.links: list[Link] = []

    def update(self, member: Endpoint) -> None:
        entry = member.entry
        if (entry.started, member.address) != (self.started, self.address) or entry.state is State.GONE:
            for link in self.links:  # they lead to the process before this one
                link.retire()
        self.state, self.started, self.address = entry.state, entry.started, member.address
        if self.state is not State.READY:
            self.withdraw()

    def withdraw(self) -> None:
        for link in list(self.links):
            link.withdraw()

    def link(self, ref: bytes, avoid: frozenset[Link] | set[Link], alone: bool = False) -> Link | None:
        """An idle link, the last one used, so that others may close; else a new one, and with too many of
        them the one that carries least: a spoilt answer ends all else on its link."""
        fit = [
            link
            for link in self.links
            if not (link.closed or link.retired or link.alone or link.check in link.probes)
            and link.streams < self.fleet.limits.max_attempts
            and ref not in link.attempts
            and link not in avoid
        ]
        idle = [link for link in fit if link.up and not link.streams and link.whole()]
        if idle:
            return max(idle, key=lambda link: link.heard)
        fit = [link for link in fit if link.streams or not link.up]
        if fit and not alone and self.fleet.frugal():
            return min(fit, key=lambda link: link.streams)
        share = self.fleet.most_links // max(1, len(self.fleet.engines))
        if (
            (len(self.links) < share or not fit)
            and self.fleet.count_links() < self.fleet.most_links
            and self.fleet.may_open(self.number)
        ):
            self.fleet.opening(self.number)
            self.links.append(Link(self))
            return self.links[-1]
        return min(fit, key=lambda link: link.streams) if fit else None


class Fleet:
    """All engines that the list has named, behind one interface."""

    def __init__(
        self, limits: ConnectionLimits, columns: tuple[str, ...], most_links: int, counters: Counters
    ):
        self.limits, self.most_links, self.counters = limits, most_links, counters
        self.columns = columns
        # Whether a connection to an engine may be begun now; that one is; that the last one to it broke.
        self.may_open: Callable[[int], bool] = lambda engine: True
        self.opening: Callable[[int], None] = lambda engine: None
        self.parted: Callable[[int], None] = lambda engine: None
        self.local = ""  # the address that connections bind; empty: the system's choice
        self.engines: dict[int, Engine] = {}
        self.gone: set[int] = set()  # of them, those that have left the list
        self.tags = 0
        self.spoilt_at = -WARY  # by the loop's clock
        self.allowed: Callable[[], bool] = lambda: True  # whether the list holds as of now
        self.reported: Callable[[int, tuple[float, ...]], None] = lambda engine, report: None
        self.sent: Callable[[int, int], None] = lambda engine, threads: None
        self.dispatched: Callable[[str], None] = lambda lane: None  # an attempt of a class, written whole

    def tag(self) -> bytes:
        """A name for a probe, under which its answer comes."""
        self.tags += 1
        return b"p%d" % self.tags

    def spoilt(self) -> None:
        self.counters["links_spoilt"] += 1
        self.spoilt_at = asyncio.get_running_loop().time()

    def wary(self) -> bool:
        return asyncio.get_running_loop().time() - self.spoilt_at <= WARY

    def frugal(self) -> bool:
        """Where handshakes are charged links are shared, unless answers that end all on theirs were seen."""
        return self.limits.handshake_price > 0 and not self.wary()

    def quiet(self) -> float:
        """Asking has a price: often only while links were found spoilt, seldom where it is dear."""
        return QUIET[0] if self.wary() else QUIET[1] * max(1.0, self.limits.probe_price / CHEAP)

    def count_links(self) -> int:
        return sum(len(engine.links) for engine in self.engines.values())

    def update(self, change: EndpointUpdate) -> None:
        seen, moved_in = set(), {}
        for member in change.endpoints:
            seen.add(member.entry.engine)
            engine = self.engines.get(member.entry.engine)
            if engine is None:
                self.engines[member.entry.engine] = Engine(self, member)
                moved_in[member.address] = member.entry.engine
            else:
                engine.update(member)
        # All of a long list are looked at only where a change may concern any of them.
        touched = self.engines if change.is_full or moved_in else self.gone | seen
        for number in [number for number in touched if number in self.engines]:
            engine = self.engines[number]
            # Who has the address of another shares nothing with it: that one has gone, told or not.
            if (change.is_full and number not in seen) or moved_in.get(engine.address, number) != number:
                engine.state = State.GONE
                engine.withdraw()
                for link in engine.links:
                    link.retire()
            self.gone.discard(number)
            if engine.state is State.GONE and not engine.links:
                del self.engines[number]
            elif engine.state is State.GONE:  # until its links have ended
                self.gone.add(number)

    def withdraw(self, number: int) -> None:
        """Nothing new reaches an engine from now on, whatever the list says: it is out by hand."""
        if number in self.engines:
            self.engines[number].withdraw()

    def may_begin(self, want: Want, engine: Engine | None) -> bool:
        """Whether an attempt may be written now. Guards the grace of a drain, the window of repeats, and
        engines against work for no one; what was true before a wait is asked again after it."""
        if want.gone():
            self.counters["gone_unread"] += 1
            return False
        ready = engine is not None and engine.state is State.READY and self.allowed()
        return ready and asyncio.get_running_loop().time() < want.by

    def start(self, number: int, want: Want, avoid: set[Link], ended: Callable[[Ending], None]) -> Attempt:
        """Sends `want` on its way. Links in `avoid` gave the same id up before: a late answer there to the
        former attempt must not be taken for one to this."""
        attempt = Attempt(want, ended)
        engine = self.engines.get(number)
        if not self.may_begin(want, engine):
            attempt.end(Broken(Reach.NEVER_SENT, Result.MOOT))
        elif (link := engine.link(want.ref, avoid, want.alone)) is None:
            # Not allowed to connect says nothing of the engine; too many links open already does.
            result = Result.CONNECT_FAILED if self.may_open(number) else Result.MOOT
            attempt.end(Broken(Reach.NEVER_SENT, result))
        else:
            link.carry(attempt)
        return attempt

    def probe(self, number: int, told: Callable[[Result, tuple], None]) -> None:
        """Asks an engine for its load; `told` is called once."""
        engine = self.engines.get(number)
        link = engine.link(b"", frozenset()) if engine is not None else None
        if link is None:
            told(Result.CONNECT_FAILED, ())
            return
        tag = self.tag()
        link.ask(tag, told)
        loop = asyncio.get_running_loop()
        loop.call_later(PROBE_TIME, link.probe_over, tag, Result.TIMEOUT)
