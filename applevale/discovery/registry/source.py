"""The registry as a source of the engine list: carries out the commands of the watcher."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from ...observability.counters import Counters
from ...observability.events import emit_event, log_event
from ...startup.staleness_guard import Kept
from ..endpoints import Change, Names
from .commands import (
    Command,
    Connect,
    Handshake,
    PollRevision,
    Publish,
    ReadAll,
    RequestProgress,
    Watch,
)
from .pacing import WatcherConfig
from .records import Ledger, digest
from .session import Session, context
from .settings import RegistrySettings
from .snapshot import Snapshot, SnapshotError
from .watcher import RegistryWatcher

KEEP_EVERY = 1.0  # s between two writes of the snapshot at least
PROTOCOLS = {"etcd": "h2", "consul": "http/1.1"}  # as TLS names them


def session_kind(kind: str) -> type[Session]:
    """Loads one protocol's library only: the other's costs as much time and memory at a start."""
    if kind == "etcd":
        from .etcd import EtcdSession

        return EtcdSession
    from .consul import ConsulSession

    return ConsulSession


class RegistrySource:
    """Tells `tell` each change once and in order, and `turned` whether the list is confirmed as it turns."""

    def __init__(
        self,
        settings: RegistrySettings,
        names: Names,
        counters: Counters,
        tell: Callable[[Change], None],
        turned: Callable[[bool], None],
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
        local: str = "",
    ):
        """Raises SettingsError if the addresses or the TLS files cannot be used."""
        self.settings, self.counters, self.clock = settings, counters, clock
        self.tell, self.turned, self.local = tell, turned, local
        self.places, self.tls = settings.places(), context(settings.tls, PROTOCOLS[settings.kind])
        self.kind = session_kind(settings.kind)
        self.ledger, random = Ledger(names), Random(seed)
        self.watcher = RegistryWatcher(
            len(self.places),
            self.ledger,
            random=random,
            config=WatcherConfig(max_staleness=settings.fresh),
            last_member_index=random.randrange(len(self.places)),
        )  # not all begin with the same member
        self.sessions: dict[int, Session] = {}
        self.ending: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.told = 0  # changes
        self.was_fresh, self.stale_since = False, clock()
        self.promise_was = self.watcher.pacer.guard.state
        self.snapshot: Snapshot | None = None
        self.kept_at, self.dirty = -KEEP_EVERY, False
        self.stopped = False

    # --- as a source ----------------------------------------------------------------------------------------

    def start(self) -> None:
        now = self.stale_since = self.clock()
        if self.settings.snapshot:
            self._open_snapshot()
        self._do(self.watcher.on_tick(now))

    def fresh(self) -> bool:
        """Asked before each attempt: also after a loop that stood still it is the truth."""
        return self.watcher.is_fresh(self.clock())

    def allowed(self) -> bool:
        """Whether new work may go out."""
        return self.settings.on_stale == "serve" or self.fresh()

    def move(self, to: RegistrySettings) -> None:
        """Other addresses and credentials; list, revision and promise stay. Raises SettingsError."""
        places, tls = to.places(), context(to.tls, PROTOCOLS[self.settings.kind])
        fixed = {key: getattr(self.settings, key) for key in ("kind", "prefix", "fresh", "snapshot")}
        changed = [key for key, value in fixed.items() if getattr(to, key) != value]
        if changed:
            log_event("registry", f"takes effect at the next start only: {', '.join(changed)}")
        self.settings = msgspec.structs.replace(to, **fixed)
        self.places, self.tls = places, tls
        self._do(self.watcher.replace_members(self.clock(), len(places)))

    def note(self) -> None:
        """Figures of the list that are worked out only when they are asked for."""
        members = self.ledger.members()
        self.counters["registry_revision"] = self.watcher.revision
        self.counters["registry_members"] = len(members)
        self.counters["registry_digest"] = digest(members)

    async def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._end_sessions(set())
        await asyncio.gather(*self.ending, return_exceptions=True)
        if self.snapshot is not None:
            self._keep(self.clock(), last=True)
            self.snapshot.close()

    # --- what sessions tell ---------------------------------------------------------------------------------

    def connected(self, number: int, asked: float, revision: int, cluster: int = 0) -> None:
        self._do(self.watcher.on_connected(self.clock(), number, asked, revision, cluster))

    def declined(self, number: int, after: float, watch: bool) -> None:
        self._do(self.watcher.on_throttled(self.clock(), number, after, watch))

    def lost(self, number: int, why: str, refused: bool = False) -> None:
        if number in self.sessions:
            log_event("registry", f"{self._where(number)}: {why}")
        self._do(self.watcher.on_disconnected(self.clock(), number, refused))

    def whole(
        self, number: int, asked: float, revision: int, records: Iterable[tuple[str, int, bytes]]
    ) -> None:
        self._do(self.watcher.on_snapshot(self.clock(), number, asked, revision, records))

    def events(self, number: int, revision: int, events: Iterable[tuple[str, int, bytes | None]]) -> None:
        self._do(self.watcher.on_events(self.clock(), number, revision, events))

    def answered(self, number: int, asked: float, revision: int) -> None:
        self._do(self.watcher.on_revision(self.clock(), number, asked, revision))

    def compacted(self, number: int) -> None:
        log_event(
            "registry", f"{self._where(number)}: compacted behind {self.watcher.revision}, all is read anew"
        )
        self._do(self.watcher.on_compacted(self.clock(), number))

    # --- inside ---------------------------------------------------------------------------------------------

    def _where(self, number: int) -> str:
        host, port = self.sessions[number].address
        return f"{host}:{port}"

    def _do(self, commands: list[Command]) -> None:
        if self.stopped:
            return
        for command in commands:
            match command:
                case Connect(session_id=number, member_index=place):
                    self._connect(number, place)
                case Handshake(session_id=number):
                    self.sessions[number].open()
                case ReadAll(session_id=number):
                    self.sessions[number].read_all()
                case Watch(session_id=number, start_revision=start):
                    self.sessions[number].watch(start, self._known)
                case PollRevision(session_id=number, sent_at=asked):
                    self.sessions[number].ask(asked)
                case RequestProgress(session_id=number):
                    self.sessions[number].progress()
                case Publish(entries=entries, is_snapshot=whole):
                    self.told += 1
                    self.dirty = True
                    self.tell(Change(self.told, whole, tuple(entry.member for entry in entries)))
        self._end_sessions(self.watcher.open_sessions)
        self._look()

    def _known(self) -> dict[str, tuple[int, bytes]]:
        """What was told so far, by key, with the revision and the value of each."""
        return {key: (0, b"") for key in self.ledger.bad} | {
            entry.key: (entry.revision, entry.value) for entry in self.ledger.entries.values()
        }

    def _connect(self, number: int, place: int) -> None:
        session = self.sessions[number] = self.kind(
            number, self.places[place], self.settings, self.tls, self, self.clock, self.local
        )
        session.open()

    def _end_sessions(self, but: set[int]) -> None:
        for number in self.sessions.keys() - but:
            task = asyncio.create_task(self.sessions.pop(number).close())
            self.ending.add(task)
            task.add_done_callback(self.ending.discard)

    def _look(self) -> None:
        """Counts, the turn of the promise, the snapshot, and when to look again."""
        now = self.clock()
        for name, count in vars(self.watcher.stats).items():
            self.counters[f"registry_{name}"] = count
        self.counters["registry_bad_records"] = self.ledger.bad_seen
        fresh = self.watcher.is_fresh(now)
        if self.watcher.pacer.guard.state is not self.promise_was:
            self._say_promise()
        if fresh != self.was_fresh:
            self._turn(fresh, now)
        if self.snapshot is not None and fresh:
            self._keep(now)
        due = self.watcher.next_deadline()
        if fresh:
            due = min(due, self.watcher.confirmed_at + self.settings.fresh + 0.001)
        if self.timer is not None:
            self.timer.cancel()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.0, due - now), self._tick)

    def _tick(self) -> None:
        self._do(self.watcher.on_tick(self.clock()))

    def _say_promise(self) -> None:
        """Once for each time that the promise is given up, with figures; and when it is kept again."""
        former, self.promise_was = self.promise_was, self.watcher.pacer.guard.state
        config, latency = self.watcher.config, self.watcher.pacer.latency
        if former is Kept.KEPT:
            poll_rate = 1 / (config.max_poll_interval_share * config.max_staleness)
            log_event(
                "promise",
                f"{config.max_staleness:g} s cannot be kept: it needs {poll_rate:.1f} "
                f"reads a second, answered within {self.watcher.pacer.guard.room * 1000:.0f} ms; they take "
                f"{latency.mean * 1000:.0f} ms, {self.watcher.stats.declined} were refused so far. "
                f"on_stale is {self.settings.on_stale!r} until it can",
            )
        elif self.promise_was is Kept.KEPT:
            log_event("promise", f"{config.max_staleness:g} s is kept again")

    def _turn(self, fresh: bool, now: float) -> None:
        if fresh:
            stale = now - self.stale_since
            self.counters["registry_stale_ms"] += int(stale * 1000)
            log_event("registry", f"confirmed at revision {self.watcher.revision}, after {stale:.3f} s")
            emit_event("list", confirmed=True, revision=self.watcher.revision, stale=round(stale, 3))
        else:
            self.counters["registry_stale"] += 1
            self.stale_since = now
            log_event("registry", f"the list is not confirmed, on_stale is {self.settings.on_stale!r}")
            emit_event("list", confirmed=False)
        self.was_fresh = fresh
        self.turned(fresh)

    def _open_snapshot(self) -> None:
        name = f"{self.settings.kind}:{self.settings.prefix}"
        try:
            self.snapshot = Snapshot(self.settings.snapshot, name)
            kept = self.snapshot.load()
        except SnapshotError as error:
            self.counters["registry_snapshot_bad"] += 1
            log_event("registry", f"the snapshot is ignored: {error}")
            return
        if kept is not None:
            self.counters["registry_snapshot_used"] += 1
            log_event("registry", f"starts from the snapshot of revision {kept.revision}, not confirmed")
            self._do(self.watcher.restore(kept.revision, kept.records))

    def _keep(self, now: float, last: bool = False) -> None:
        if not self.dirty or not self.watcher.revision or (now - self.kept_at < KEEP_EVERY and not last):
            return
        self.kept_at, self.dirty = now, False
        try:
            self.snapshot.keep(
                self.watcher.revision,
                [(entry.key, entry.revision, entry.value) for entry in self.ledger.entries.values()],
            )
        except SnapshotError as error:
            log_event("registry", f"the snapshot was not written: {error}")
