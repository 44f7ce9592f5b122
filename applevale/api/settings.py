"""The settings of a deployment, as input of the decision module. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from math import isfinite

from ..errors import AppleValeError

REPEAT_GROUPS = ("all", "zone", "cell")
POSITIVE_SETTINGS = ("gateways", "try_limit", "warm_up", "fall", "fall_multiple", "tick")


class SettingsError(AppleValeError, ValueError):
    """A setting is missing or invalid; the text names its key."""


class RepeatPolicy(Enum):
    """Whether a request of a class may be executed more than once."""

    SAFE = "safe"  # it may; a repetition is harmless
    KEYED = "keyed"  # it may; engines recognize repetitions by an idempotency key
    UNSAFE = "unsafe"  # it must not


@dataclass(frozen=True)
class ClassSpec:
    """One class of requests: its target latency, its value, and the rules of its attempts."""

    name: str = ""
    aim: float = 1.0  # target latency: an answer within this time plus the stretch earns its full value
    aim_stretch: float = 0.0  # added to the target latency per second of work / threads
    deadline: float = 4.0  # timeout of requests that state none
    worth: float = 1.0  # value of an answer in time
    late_share: float = 0.0  # share of the value that an answer after the target latency earns
    repeat: RepeatPolicy = RepeatPolicy.SAFE
    repeat_group: str = "all"  # engines that recognize a repetition (KEYED only), one of REPEAT_GROUPS
    repeat_window: float = 0.0  # time for which engines recognize a repetition (KEYED only)
    is_ordered: bool = False  # whether requests of one order key are executed in the order of arrival
    zones: frozenset[int] | None = None  # zones that are allowed; None means all
    kinds: frozenset[int] | None = None  # machine kinds that are allowed; None means all
    stream: bool = False
    threads: int = 1  # threads of one request
    load: bool = False  # table load: locks its table group on its engine while it runs
    yields: bool = False  # whether requests wait while a table load locks their table group


@dataclass(frozen=True)
class KindSpec:
    """One kind of machines that engines run on."""

    name: str = ""
    cores: float = 0.0  # number of cores; 0 if unknown
    memory_mb: float = 0.0  # 0 if unknown


@dataclass(frozen=True)
class TenantSpec:
    """One tenant and its quota."""

    name: str = ""
    quota_rps: float = 0.0  # requests per second to all instances together; 0 means no quota


@dataclass(frozen=True)
class Settings:
    """What the decision module knows of a deployment.

    Raises:
        SettingsError: A value is missing, negative or not finite; the text begins with its key.
    """

    classes: tuple[ClassSpec, ...]
    kinds: tuple[KindSpec, ...]
    tenants: tuple[TenantSpec, ...] = ()
    me: int = 0  # number of this instance
    gateways: int = 1  # number of instances
    zone: int = 0  # zone of this instance
    discovery_push: bool = True  # whether the engine list is pushed without a subscription
    tick: float = 0.005
    answer_slack: float = 0.02
    ask_within: float = 10.0  # time limit of a call for the engine list
    drain_grace: float = 1.0  # time from the start of a drain after which the engine must get no requests
    cold_share: float = 0.3  # share of its full capacity that an engine has at its start
    warm_up: float = 15.0  # time from the start of an engine to its full capacity
    fall: float = 1.5  # window in which the work for a cold engine is limited
    fall_multiple: float = 2.0  # limit of that work, as a multiple of the engine's present capacity
    order_pause: float = 0.0  # pause of an order key after an attempt that may still be in execution
    order_gap: float = 0.0  # pause of an order key after a request; it also lasts until its `ResponseSent`
    budget_share: float | None = None  # largest share of requests with a further attempt; None means no limit
    budget_free: float = 0.0  # further attempts that are allowed in addition to that share
    budget_span: float = 5.0  # window of both limits
    try_limit: int = 3  # attempts of one request
    max_open: int = 20000  # requests without a final answer
    max_retry_after: float = 1.0  # longest delay before a retry that a rejection advises
    may_cancel: bool = False  # whether attempts can be cancelled
    may_probe: bool = False  # whether engines can be probed
    probe_price: float = 0.0  # share of a request's value that one probe per request costs
    peer_price: float = 0.0  # share of a request's value that 256 bytes to peers per request cost
    may_message_peers: bool = False  # whether messages to other instances are allowed
    may_advise_retry_after: bool = False  # whether a rejection may advise a delay before a retry
    allows_parallel_attempts: bool = False  # whether two attempts of a request may be in flight at a time
    over_share_worth: float = 1.0  # multiplies the value of requests beyond their tenant's quota
    report_columns: tuple[str, ...] = ()  # columns: active, waiting, cpu, memory_used, disk_busy, ...
    load_report_mode: str = "none"  # what carries load reports: "answers", "probe", or "none"
    engines_honor_memory: bool = False  # whether engines honor the memory in `SetResources`
    engines_honor_priority: bool = False  # whether engines honor the priority in `SetResources`
    engines_report_cost: bool = False  # whether answers state the work and the memory that were used
    progress: float = 0.0  # time between progress reports of an attempt; 0 means that there are none
    largest_share: float = 1.0  # largest share of an engine's memory that one request can get
    memory_shortage_mode: str = "wait"  # what engines do when they have too little memory

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
    if spec.repeat_group not in REPEAT_GROUPS:
        raise SettingsError(f"{place}.group: must be all, zone or cell, not {spec.repeat_group!r}")


def _check_numbers(holder: object, prefix: str) -> None:
    for item in fields(holder):
        value = getattr(holder, item.name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and not (isfinite(value) and value >= 0):
            raise SettingsError(f"{prefix}{item.name}: must be a finite number of 0 or more, not {value!r}")
