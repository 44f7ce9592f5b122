"""The settings of a deployment, as the decision module takes them. All times are seconds (float)."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from math import isfinite

from ..errors import AppleValeError

REPEAT_GROUPS = ("all", "zone", "cell")
POSITIVE_SETTINGS = ("gateways", "try_limit", "warm_up", "fall", "fall_multiple", "tick")


class SettingsError(AppleValeError, ValueError):
    """A setting is missing or makes no sense; the text names its key."""


class Repeat(Enum):
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"
    KEYED = "keyed"  # engines drop repeats by an idempotency key
    UNSAFE = "unsafe"


@dataclass(frozen=True)
class ClassSpec:
    """One class of requests: its aim, its worth, and the rules of its attempts."""

    name: str = ""
    aim: float = 1.0  # an answer within this time (plus the stretch) earns full worth
    aim_stretch: float = 0.0  # times work / threads, added to the aim
    deadline: float = 4.0
    worth: float = 1.0
    late_share: float = 0.0  # share of the worth that an answer past its aim earns
    repeat: Repeat = Repeat.SAFE
    group: str = "all"  # keyed classes only: which engines drop repeats, one of REPEAT_GROUPS
    repeat_window: float = 0.0  # keyed classes only: how long engines remember a key
    ordered: bool = False  # requests of one key are executed in the order of arrival
    zones: frozenset[int] | None = None  # the only zones allowed; None: all
    kinds: frozenset[int] | None = None  # the only machine kinds allowed; None: all
    stream: bool = False
    threads: int = 1  # on which a request runs
    load: bool = False  # holds its table group on its engine while it runs
    yields: bool = False  # stands still while a load holds its group


@dataclass(frozen=True)
class KindSpec:
    """One kind of engine machines."""

    name: str = ""
    cores: float = 0.0  # 0: unknown
    memory_mb: float = 0.0  # 0: unknown


@dataclass(frozen=True)
class TenantSpec:
    """One tenant and its share."""

    name: str = ""
    quota_rps: float = 0.0  # requests a second over all instances; 0: no share stated


@dataclass(frozen=True)
class Settings:
    """All that the decision module knows of a deployment.

    Raises:
        SettingsError: A value is missing, negative or not finite; the text begins with its key.
    """

    classes: tuple[ClassSpec, ...]
    kinds: tuple[KindSpec, ...]
    tenants: tuple[TenantSpec, ...] = ()
    me: int = 0  # number of this instance
    gateways: int = 1  # number of instances
    zone: int = 0  # of this instance
    discovery_push: bool = True  # the list of engines is pushed; else it is subscribed to
    tick: float = 0.005
    answer_slack: float = 0.02
    ask_within: float = 10.0  # within which a call for the list must be answered
    drain_grace: float = 1.0  # within which nothing new may reach an engine that drains
    cold_share: float = 0.3  # of its capacity that an engine has at its start
    warm_up: float = 15.0  # from an engine's start until its full capacity
    fall: float = 1.5  # the window in which a cold engine can be overloaded
    fall_multiple: float = 2.0  # of its present capacity that a cold engine bears in that window
    order_pause: float = 0.0  # after an attempt that may run on, before the next request of its key
    order_gap: float = 0.0  # from any end of a request to the next of its key, after its `AnswerSent`
    budget_share: float | None = None  # of requests that may have a further attempt; None: no budget
    budget_free: float = 0.0  # further attempts allowed beside that share
    budget_span: float = 5.0  # the window of the budget
    try_limit: int = 3  # attempts of one request
    max_open: int = 20000
    max_retry_after: float = 1.0
    may_cancel: bool = False
    may_probe: bool = False
    probe_price: float = 0.0  # points of the result for one probe a request
    peer_price: float = 0.0  # points of the result for 256 bytes delivered to peers a request
    may_tell_peers: bool = False
    retry_after: bool = False  # a rejection may carry the time to come back
    parallel_tries: bool = False  # two attempts of a request may run at a time
    over_share_worth: float = 1.0  # share of the worth of what a tenant sends beyond its share
    report_columns: tuple[str, ...] = ()  # of active, waiting, cpu, memory_used, disk_busy, ...
    report_how: str = "none"  # load reports come with "answers", by "probe" or not at all ("none")
    memory_heeded: bool = False  # engines heed the memory in `Terms`
    ranks_heeded: bool = False  # engines heed the priority in `Terms`
    tells_cost: bool = False  # answers tell the work and memory that were needed
    progress: float = 0.0  # between two notes of an attempt's progress; 0: there are none
    largest_share: float = 1.0  # of an engine's memory that one request can get
    when_short: str = "wait"  # what an engine does that is short of memory

    def __post_init__(self) -> None:
        """Check all values."""
        if not self.classes:
            raise SettingsError("classes: at least one class is needed")
        if not self.kinds:
            raise SettingsError("kinds: at least one machine kind is needed")
        _check_numbers(self, "")
        for index, spec in enumerate(self.classes):
            _check_class(spec, f"classes[{index}]")
        for index, kind in enumerate(self.kinds):
            _check_numbers(kind, f"kinds[{index}].")
        for index, tenant in enumerate(self.tenants):
            _check_numbers(tenant, f"tenants[{index}].")
        for key in POSITIVE_SETTINGS:
            if getattr(self, key) <= 0:
                raise SettingsError(f"{key}: must be above 0")


def _check_class(spec: ClassSpec, place: str) -> None:
    _check_numbers(spec, f"{place}.")
    if spec.aim <= 0 or spec.deadline <= 0 or spec.threads < 1:
        raise SettingsError(f"{place}: aim, deadline and threads must be above 0")
    if spec.group not in REPEAT_GROUPS:
        raise SettingsError(f"{place}.group: all, zone or cell, not {spec.group!r}")


def _check_numbers(holder: object, prefix: str) -> None:
    for item in fields(holder):
        value = getattr(holder, item.name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and not (isfinite(value) and value >= 0):
            raise SettingsError(f"{prefix}{item.name}: a number of 0 or more is needed, not {value!r}")
