"""Endpoints, updates of the engine list, and the interface of its sources."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .. import api

INSTANCE_ID_PREFIX = "s-"


def format_instance_id(engine: int) -> str:
    """Return the instance id of an engine, which operators and engine lists use."""
    return f"{INSTANCE_ID_PREFIX}{engine:08x}"


def parse_instance_id(text: str) -> int:
    """Return the engine that an instance id names.

    Raises:
        ValueError: The text is not an instance id.
    """
    return int(text.removeprefix(INSTANCE_ID_PREFIX), 16)


@dataclass(frozen=True)
class AttributeNames:
    """Names of the zones and machine kinds; engine attributes are indexes into them."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True)
class Endpoint:
    """An engine in the list: its attributes, and the host and port on which it listens."""

    entry: api.EngineEntry
    address: tuple[str, int]


@dataclass(frozen=True)
class EndpointUpdate:
    """A change of the engine list.

    Attributes:
        number: Sequence number of the update within its source.
        is_full: Whether `endpoints` replaces the whole list; otherwise it contains only changed engines.
        endpoints: Engines in the order of the source.
    """

    number: int
    is_full: bool
    endpoints: tuple[Endpoint, ...]


class EndpointSource(Protocol):
    """A source of the engine list.

    It passes each `EndpointUpdate` once and in order to a callback that its constructor receives. A failure
    of the source never empties the list.
    """

    def start(self) -> None:
        """Start to follow the engine list."""

    def reconfigure(self, target: object) -> None:
        """Follow the list at another place, starting after the last published update.

        Args:
            target: New address or settings, of the type that the source uses.
        """

    def may_send_requests(self) -> bool:
        """Return whether the published list is recent enough to send new requests to its engines."""

    def list_age(self) -> float:
        """Return the seconds since the list was last confirmed; infinite if it never was."""

    async def stop(self) -> None:
        """Stop following the list and close all connections."""
