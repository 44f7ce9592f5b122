"""Actions: what the decision module asks to be done. All times are seconds (float)."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Send:
    """Send an attempt of a request to an engine."""

    request: int
    engine: int
    timeout: float = 0.0  # 0: as long as the client waits
    announce: bool = False  # the engine looks less loaded than most: peers should hear of this send


@dataclass(frozen=True)
class Terms:
    """Set memory and priority for the request's attempts."""

    request: int
    priority: int
    memory_mb: float = 0.0  # 0: the engine chooses


@dataclass(frozen=True)
class Reject:
    """Answer a request as rejected."""

    request: int
    retry_after: float = 0.0  # 0: no advice


@dataclass(frozen=True)
class Fail:
    """Answer a request as failed."""

    request: int


@dataclass(frozen=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True)
class Probe:
    """Ask an engine for its load."""

    engine: int


@dataclass(frozen=True)
class SetTimer:
    """Send a `Timer` event with this token after a time."""

    after: float
    token: int


@dataclass(frozen=True)
class Log:
    """Log a line."""

    text: str


@dataclass(frozen=True)
class Subscribe:
    """Subscribe to the list of engines, or end the subscription."""

    active: bool = True


@dataclass(frozen=True)
class FetchList:
    """Call for the list of engines once."""


@dataclass(frozen=True)
class SendPeerMessage:
    """Send a message to another instance."""

    peer: int | None  # None: to all
    body: bytes


Action = (
    Send | Terms | Reject | Fail | Cancel | Probe | SetTimer | Log | Subscribe | FetchList | SendPeerMessage
)
