"""Events: what has happened, as input of the decision module. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EngineState(Enum):
    """The state of an engine in the engine list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # error reply of the engine, which may have executed the request
    REJECTED = "full"  # rejected by an overloaded engine, without execution
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "moot"  # withdrawn or expired before its execution


# Results of attempts that were certainly not executed, and of attempts that may still be running.
NEVER_EXECUTED = frozenset({Result.REJECTED, Result.CONNECT_FAILED, Result.WITHDRAWN})
POSSIBLY_RUNNING = frozenset({Result.TIMEOUT, Result.RESET, Result.CANCELLED})


@dataclass(frozen=True)
class EngineEntry:
    """One engine of the engine list; zone and kind are indices into the settings."""

    engine_id: int
    zone: int = 0
    kind: int = 0
    cell: int = 0  # number of its cell, a group of engines; see `ClassSpec.repeat_group`
    size: float = 1.0  # number of cores, if the settings state none for its kind
    state: EngineState = EngineState.READY
    started_at: float = 0.0  # Unix time of its last start; 0 means long ago


@dataclass(frozen=True)
class EngineList:
    """The engine list, a change of it, or a failure to get it."""

    entries: tuple[EngineEntry, ...] = ()
    is_full: bool = False  # whether the entries replace the whole list; otherwise they are the changed ones
    has_failed: bool = False  # whether a call failed or the subscription ended; if so, there are no entries


@dataclass(frozen=True)
class Request:
    """A request of a client has been received.

    The table group is the number at the end of a schema name: 17 for the table `sales_17.orders`.
    """

    request_id: int
    class_index: int  # index of the class in the settings
    tenant_index: int = 0  # index of the tenant in the settings
    order_key: int = 0  # 0 means none
    timeout: float = 0.0  # time until the client gives up
    estimated_work: float = 0.0  # time on one core; 0 means no estimate
    estimated_memory_mb: float = 0.0  # 0 means no estimate
    table_group: float = 0.0  # number of the table group that the request uses; 0 means none
    is_client_retry: bool = False  # whether the client says that it sends the request again
    # Whether it may have arrived before a request with its order key that was submitted earlier.
    is_order_unknown: bool = False


@dataclass(frozen=True)
class ResponseSent:
    """The final answer to a request with an order key has been sent, or its client is gone.

    It ends the wait of the next request of the key; see `Settings.order_gap`.
    """

    request_id: int
    order_key: int
    delivery_seconds: float  # time from now after which the client has certainly received the answer


@dataclass(frozen=True)
class AttemptOutcome:
    """An attempt has ended."""

    request_id: int
    attempt_index: int
    engine_id: int
    result: Result
    duration: float = 0.0
    is_final: bool = False  # whether it ends the request
    used_work: float = 0.0  # time on one core; 0 if unknown
    used_memory_mb: float = 0.0  # 0 if unknown
    load_report: tuple[float, ...] = ()  # values in the order of `Settings.report_columns`


@dataclass(frozen=True)
class StreamStarted:
    """An attempt streams rows to the client, so that no other attempt can answer the request."""

    request_id: int
    attempt_index: int
    engine_id: int


class AttemptUpdateKind(Enum):
    """The subject of an `AttemptUpdate`."""

    PROGRESS = 1  # the value is the share of the work that is done
    SPILLING = 2  # the attempt spills to disk; the value is the memory that it lacks, in MB
    WAITING = 3  # the attempt waits; the value is the cause: 1 for memory, 2 for a table load


@dataclass(frozen=True)
class AttemptUpdate:
    """A status report on an attempt in flight."""

    request_id: int
    attempt_index: int
    engine_id: int
    kind: AttemptUpdateKind
    value: float = 0.0  # its meaning depends on the kind, see `AttemptUpdateKind`


@dataclass(frozen=True)
class ProbeResult:
    """A probe has been answered, or has failed."""

    engine_id: int
    result: Result
    duration: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """A timer set by `SetTimer` has fired."""

    token: int


@dataclass(frozen=True)
class ClientGone:
    """The client has cancelled the request or closed its connection."""

    request_id: int


@dataclass(frozen=True)
class PeerMessage:
    """A message from another instance."""

    sender_id: int
    body: bytes = b""


@dataclass(frozen=True)
class FleetSize:
    """The number of instances that share the fleet's budgets; it replaces the number in the settings."""

    instance_count: int


@dataclass(frozen=True)
class PeerLoadReport:
    """What another instance has sent to an engine, and the load report that it received from the engine."""

    engine_id: int
    load_report: tuple[float, ...] = ()  # values in the order of `Settings.report_columns`
    sent_threads: int = 0  # threads of the attempts that it has just sent to the engine


Event = (
    EngineList
    | Request
    | AttemptOutcome
    | StreamStarted
    | AttemptUpdate
    | ProbeResult
    | TimerFired
    | ClientGone
    | PeerMessage
    | ResponseSent
    | PeerLoadReport
    | FleetSize
)
