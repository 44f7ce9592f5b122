"""Endpoints, their updates, and the interface that every source of the list of engines implements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .. import api

INSTANCE_ID_PREFIX = "s-"


def format_instance_id(engine: int) -> str:
    """Return the id by which operators and lists name an engine."""
    return f"{INSTANCE_ID_PREFIX}{engine:08x}"


def parse_instance_id(text: str) -> int:
    """Return the engine that an instance id names; raises ValueError for what is none."""
    return int(text.removeprefix(INSTANCE_ID_PREFIX), 16)


@dataclass(frozen=True)
class AttributeNames:
    """The names of zones and machine kinds; an engine's attributes are positions among them."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True)
class Endpoint:
    """One engine as listed: its attributes, and the host and port that it listens on."""

    entry: api.EngineEntry
    address: tuple[str, int]


@dataclass(frozen=True)
class EndpointUpdate:
    """A change of the list of engines.

    Attributes:
        number: The position in the source's sequence of updates.
        is_full: Whether `endpoints` replaces the whole list; otherwise it has only engines that changed.
        endpoints: The engines, in the order of the source.
    """

    number: int
    is_full: bool
    endpoints: tuple[Endpoint, ...]


class EndpointSource(Protocol):
    """A source of the list of engines.

    It publishes each `EndpointUpdate` once and in order, to the callback that it was constructed with. A
    failure of the source never empties the list.
    """

    def start(self) -> None:
        """Start to follow the source."""

    def reconfigure(self, target: object) -> None:
        """Follow the source elsewhere, from the last published update on.

        Args:
            target: Where the source is from now on, in its own form: an address or its settings.
        """

    def is_fresh(self) -> bool:
        """Return whether the published list is known to be current."""

    async def stop(self) -> None:
        """Stop following and close all connections."""
