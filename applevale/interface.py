"""The types that applevale.policy.Gateway takes and gives. All times are seconds (float).

`Gateway(settings, seed).handle(now, events) -> actions` is the whole surface. There are no decisions here:
only the settings of a deployment, what can happen (events) and what can be done (actions).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from enum import Enum
from math import isfinite


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the text names its key."""


class Repeat(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class State(Enum):
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
class ClassSpec:
    name: str = ""
    aim: float = 1.0  # an answer within this (plus the stretch) earns full worth
    aim_stretch: float = 0.0  # times work / threads, added to the aim
    deadline: float = 4.0
    worth: float = 1.0
    late_share: float = 0.0  # of the worth, for an answer past its aim
    repeat: Repeat = Repeat.SAFE
    group: str = "all"  # keyed only: all, zone or cell drop repeats
    repeat_window: float = 0.0
    ordered: bool = False
    zones: frozenset[int] | None = None  # the only zones allowed, if bound
    kinds: frozenset[int] | None = None  # the only machine kinds allowed, if bound
    stream: bool = False
    threads: int = 1
    load: bool = False  # holds its table group on its engine while it runs
    yields: bool = False  # stands still while a load holds its group


@dataclass(frozen=True)
class KindSpec:
    name: str = ""
    cores: float = 0.0  # 0: not told
    memory_mb: float = 0.0  # 0: not told


@dataclass(frozen=True)
class TenantSpec:
    name: str = ""
    quota_rps: float = 0.0  # over all gateways; 0: no share stated


@dataclass(frozen=True)
class Settings:
    classes: tuple[ClassSpec, ...]
    kinds: tuple[KindSpec, ...]
    tenants: tuple[TenantSpec, ...] = ()
    me: int = 0
    gateways: int = 1
    zone: int = 0
    discovery_push: bool = True
    tick: float = 0.005
    answer_slack: float = 0.02
    ask_within: float = 10.0
    drain_grace: float = 1.0
    cold_share: float = 0.3
    warm_up: float = 15.0
    fall: float = 1.5
    fall_multiple: float = 2.0
    order_pause: float = 0.0
    order_gap: float = 0.0  # from any end of a request to the next of its key, after its `Answered`
    budget_share: float | None = None  # None: further attempts are not rationed
    budget_free: float = 0.0
    budget_span: float = 5.0
    try_limit: int = 3
    max_open: int = 20000
    max_retry_after: float = 1.0
    may_cancel: bool = False
    may_probe: bool = False
    probe_price: float = 0.0  # points of the result for one probe a request
    peer_price: float = 0.0  # points of the result for 256 bytes delivered to peers a request
    may_tell_peers: bool = False
    retry_after: bool = False
    parallel_tries: bool = False
    over_share_worth: float = 1.0
    report_columns: tuple[str, ...] = ()  # of active, waiting, cpu, memory_used, disk_busy, ...
    report_how: str = "none"  # answers, probe or none
    memory_heeded: bool = False
    ranks_heeded: bool = False
    tells_cost: bool = False
    progress: float = 0.0
    largest_share: float = 1.0
    when_short: str = "wait"

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes: at least one class is needed")
        if not self.kinds:
            raise SettingsError("kinds: at least one machine kind is needed")
        _check(self, "")
        for at, spec in enumerate(self.classes):
            _check(spec, f"classes[{at}].")
            if spec.aim <= 0 or spec.deadline <= 0 or spec.threads < 1:
                raise SettingsError(f"classes[{at}]: aim, deadline and threads must be above 0")
            if spec.group not in ("all", "zone", "cell"):
                raise SettingsError(f"classes[{at}].group: all, zone or cell, not {spec.group!r}")
        for at, kind in enumerate(self.kinds):
            _check(kind, f"kinds[{at}].")
        for at, tenant in enumerate(self.tenants):
            _check(tenant, f"tenants[{at}].")
        for key in ("gateways", "try_limit", "warm_up", "fall", "fall_multiple", "tick"):
            if getattr(self, key) <= 0:
                raise SettingsError(f"{key}: must be above 0")


def _check(holder, prefix: str) -> None:
    for item in fields(holder):
        value = getattr(holder, item.name)
        if (
            isinstance(value, (int, float))
            and not isinstance(value, bool)
            and not (isfinite(value) and value >= 0)
        ):
            raise SettingsError(f"{prefix}{item.name}: a number of 0 or more is needed, not {value!r}")


class Guide:
    """Whether a zone may take work, and which zones come first: without zones, all and none."""

    def tier(self, cls: int, zone: int) -> int:
        """0: the first choice."""
        return 0

    def may_take(self, now: float, cls: int, zone: int, work: float) -> bool:
        return True

    def full(self, now: float, cls: int, work: float) -> bool:
        """The home zone is not whole, and no zone may take this now: it is refused at once."""
        return False

    def room(self, now: float, cores: float) -> float:
        """Work a second that finds room for this gateway; `cores`: its part of all ready ones."""
        return cores

    def listed(self, now: float, engines: Iterable[tuple[EngineEntry, float]]) -> None:
        """The ready engines, and their cores."""

    def sent(self, now: float, zone: int, work: float) -> None: ...

    def ended(self, now: float, entry: EngineEntry, result: Result) -> None:
        """What came of an attempt or a probe."""


# --- events -------------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class EngineEntry:
    engine: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    size: float = 1.0
    state: State = State.READY
    started: float = 0.0  # the clock when it last started; 0: long ago


@dataclass(frozen=True)
class EngineList:
    """News of the engine list. `failed`: a call failed or the subscription dropped; no entries."""

    entries: tuple[EngineEntry, ...] = ()
    whole: bool = False  # replaces the old list; otherwise changed entries only
    failed: bool = False


@dataclass(frozen=True)
class Request:
    request: int
    cls: int
    tenant: int = 0
    key: int = 0
    ttl: float = 0.0
    work: float = 0.0  # estimated, seconds of one thread; 0: none
    memory_mb: float = 0.0  # estimated; 0: none
    tables: float = 0.0
    client_retry: bool = False
    unsure: bool = False  # it may have come before one of its key that was told earlier


@dataclass(frozen=True)
class Answered:
    """The final answer has left whole, or no one is there to read it; for the settings' `order_gap` only."""

    request: int
    key: int
    rest: float  # s from now until its client surely has it


@dataclass(frozen=True)
class Outcome:
    request: int
    attempt: int
    engine: int
    result: Result
    took: float = 0.0
    final: bool = False
    work: float = 0.0  # needed, seconds of one thread; 0: not told
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class Started:
    """A stream flows: the request is bound to this attempt."""

    request: int
    attempt: int
    engine: int


class NoteKind(Enum):
    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


@dataclass(frozen=True)
class Note:
    request: int
    attempt: int
    engine: int
    kind: NoteKind
    value: float = 0.0


@dataclass(frozen=True)
class ProbeResult:
    engine: int
    result: Result
    took: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True)
class Timer:
    token: int


@dataclass(frozen=True)
class ClientGone:
    request: int


@dataclass(frozen=True)
class PeerMessage:
    sender: int
    body: bytes = field(default=b"")


@dataclass(frozen=True)
class FleetSize:
    """So many gateways share from now on what all may use together, in place of the settings' number."""

    gateways: int


@dataclass(frozen=True)
class PeerNews:
    """What a peer told of an engine."""

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
    | Answered
    | PeerNews
    | FleetSize
)


# --- actions ------------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class Send:
    request: int
    engine: int
    try_for: float = 0.0  # 0: as long as the client waits
    draws: bool = False  # the engine looks emptier than most while room is scarce: siblings may go there too


@dataclass(frozen=True)
class Terms:
    """Memory (0: the engine chooses) and priority for the request's attempts."""

    request: int
    priority: int
    memory_mb: float = 0.0


@dataclass(frozen=True)
class Refuse:
    request: int
    retry_in: float = 0.0


@dataclass(frozen=True)
class Fail:
    request: int


@dataclass(frozen=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True)
class Probe:
    engine: int


@dataclass(frozen=True)
class SetTimer:
    after: float
    token: int


@dataclass(frozen=True)
class Log:
    text: str


@dataclass(frozen=True)
class Subscribe:
    active: bool = True


@dataclass(frozen=True)
class FetchList:
    pass


@dataclass(frozen=True)
class TellPeer:
    peer: int | None  # None: all
    body: bytes


Action = Send | Terms | Refuse | Fail | Cancel | Probe | SetTimer | Log | Subscribe | FetchList | TellPeer
