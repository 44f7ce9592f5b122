"""Actions: what the decision module asks its caller to do. All times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Send:
    """Send an attempt of a request to an engine."""

    request_id: int
    engine_id: int
    timeout: float = 0.0  # 0 means that only the client's timeout applies
    announce_to_peers: bool = False  # whether to tell peers; set if the engine looks less loaded than most


@dataclass(frozen=True)
class SetResources:
    """Set the priority and the memory of the attempts of a request."""

    request_id: int
    priority: int
    memory_mb: float = 0.0  # 0 means that the engine chooses the amount


@dataclass(frozen=True)
class Reject:
    """Reject a request: the client may send it again."""

    request_id: int
    retry_after: float = 0.0  # delay before a retry; 0 means no advice


@dataclass(frozen=True)
class Fail:
    """Fail a request, which may have been executed."""

    request_id: int


@dataclass(frozen=True)
class Cancel:
    """Cancel an attempt; its outcome is still reported."""

    request_id: int
    attempt_index: int


@dataclass(frozen=True)
class Probe:
    """Ask an engine for a load report."""

    engine_id: int


@dataclass(frozen=True)
class SetTimer:
    """Submit a `TimerFired` event with this token after a delay."""

    delay: float
    token: int


@dataclass(frozen=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True)
class SubscribeToEngineList:
    """Subscribe to the engine list, or end the subscription."""

    active: bool = True


@dataclass(frozen=True)
class FetchEngineList:
    """Fetch the engine list once."""


@dataclass(frozen=True)
class SendPeerMessage:
    """Send a message to another instance."""

    recipient_id: int | None  # None means all instances
    body: bytes


Action = (
    Send
    | SetResources
    | Reject
    | Fail
    | Cancel
    | Probe
    | SetTimer
    | Log
    | SubscribeToEngineList
    | FetchEngineList
    | SendPeerMessage
)
