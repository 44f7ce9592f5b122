"""Events: what can happen, as the decision module is told of it. All times are seconds (float)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The state of an engine in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # the engine answered with an error; it may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.MOOT})
MAY_RUN_ON = frozenset({Result.TIMEOUT, Result.RESET, Result.CANCELLED})


@dataclass(frozen=True)
class EngineEntry:
    """One engine of the list; zone and kind are indices into the settings."""

    engine: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    state: State = State.READY
    started: float = 0.0  # Unix time of its last start; 0: long ago


@dataclass(frozen=True)
class EngineList:
    """A change of the list of engines, or a failure to get it."""

    entries: tuple[EngineEntry, ...] = ()
    whole: bool = False  # replaces the old list; otherwise changed entries only
    failed: bool = False  # a call failed or the subscription dropped; there are no entries


@dataclass(frozen=True)
class Request:
    """A client's request has come in."""

    request: int  # its id
    cls: int  # index of its class
    tenant: int = 0  # index of its tenant
    key: int = 0  # of its order; 0: none
    ttl: float = 0.0  # until its client gives up
    work: float = 0.0  # estimated, seconds of one thread; 0: none
    memory_mb: float = 0.0  # estimated; 0: none
    tables: float = 0.0  # the group of tables that it reads
    client_retry: bool = False
    order_unknown: bool = False  # it may have come before one of its key that was handed in earlier


@dataclass(frozen=True)
class AnswerSent:
    """The final answer has been sent whole, or no one is there to read it; serves `Settings.order_gap`."""

    request: int
    key: int
    delivery_time: float  # from now until its client surely has it


@dataclass(frozen=True)
class Outcome:
    """An attempt has ended."""

    request: int
    attempt: int
    engine: int
    result: Result
    duration: float = 0.0
    final: bool = False  # the request is over with it
    work: float = 0.0  # needed, seconds of one thread; 0: unknown
    memory_mb: float = 0.0  # needed; 0: unknown
    report: tuple[float, ...] = ()  # of the engine's load, by `Settings.report_columns`


@dataclass(frozen=True)
class Started:
    """A stream flows: the request is bound to this attempt."""

    request: int
    attempt: int
    engine: int


class NoteKind(Enum):
    """What a note is about."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


@dataclass(frozen=True)
class Note:
    """News of an attempt that is in flight."""

    request: int
    attempt: int
    engine: int
    kind: NoteKind
    value: float = 0.0  # share done, missing MB, or what it waits for (1: memory, 2: a load)


@dataclass(frozen=True)
class ProbeResult:
    """A probe has been answered, or has failed."""

    engine: int
    result: Result
    duration: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class Timer:
    """A timer that was set has run out."""

    token: int


@dataclass(frozen=True)
class ClientGone:
    """The client has cancelled the request or closed its connection."""

    request: int


@dataclass(frozen=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    body: bytes = b""


@dataclass(frozen=True)
class FleetSize:
    """From now on so many instances share the fleet's budgets, in place of the settings' number."""

    gateways: int


@dataclass(frozen=True)
class PeerLoadReport:
    """What another instance has reported of an engine."""

    engine: int
    report: tuple[float, ...] = ()  # that it had from the engine, as in an outcome
    threads: int = 0  # that it has just sent there


Event = (
    EngineList
    | Request
    | Outcome
    | Started
    | Note
    | ProbeResult
    | Timer
    | ClientGone
    | PeerMessage
    | AnswerSent
    | PeerLoadReport
    | FleetSize
)
