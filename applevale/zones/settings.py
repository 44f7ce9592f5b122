"""The zones file: tiers, limits on spill, and how a zone comes back."""

from __future__ import annotations

from typing import Annotated

import msgspec

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Instances = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class ZonesError(ValueError):
    """The file cannot be used; the text names the place."""


class Spill(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"home": "from", "to": "to"}):
    home: str
    to: str
    share: Share  # of the receiver's capacity, for all instances of the home zone together


class Return(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    first: Share = 0.1  # of its capacity, as the ramp begins
    over: Positive = 15.0  # s until all of it
    rest: Positive = 2.0  # s before a lost zone is tried
    rest_most: Positive = 30.0  # s that the rest doubles to
    again: Positive = 10.0  # s after the return within which a loss doubles the rest


class Zones(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    tiers: dict[str, list[list[str]]]  # by home zone: first choice, second, ...
    spill: list[Spill] = []
    instances: dict[str, Instances] = {}  # by home zone; absent: 1
    capacity: dict[str, Annotated[float, msgspec.Meta(ge=0)]] = {}  # cores; absent: of its ready engines
    stay: list[str] = []  # classes that may not leave their zone
    window: Positive = 1.0  # s over which spill is counted
    back: Return = Return()

    def limit(self, home: str, to: str) -> float:
        """The share of `to` that one instance of `home` may take up."""
        found = next((one.share for one in self.spill if (one.home, one.to) == (home, to)), 0.0)
        return found / self.instances.get(home, 1)


def read_zones(raw: bytes, names: tuple[str, ...], classes: tuple[str, ...]) -> Zones:
    """Reads and checks it against the settings' zones and classes. Raises ZonesError."""
    try:
        zones = msgspec.json.decode(raw, type=Zones)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZonesError(f"zones: {error}") from None
    _known(zones.tiers, names, "tiers")
    for home, tiers in zones.tiers.items():
        flat = [name for tier in tiers for name in tier]
        _known(flat, names, f"tiers.{home}")
        if len(set(flat)) < len(flat):
            raise ZonesError(f"tiers.{home}: a zone stands twice")
        if not tiers or home not in tiers[0]:
            raise ZonesError(f"tiers.{home}: its own zone must be in the first tier")
    pairs = [(one.home, one.to) for one in zones.spill]
    for at, (home, to) in enumerate(pairs):
        _known((home, to), names, f"spill[{at}]")
        if home == to or (home, to) in pairs[:at]:
            raise ZonesError(f"spill[{at}]: {home} to {to} is its own zone, or stands twice")
    _known(zones.instances, names, "instances")
    _known(zones.capacity, names, "capacity")
    for name in zones.stay:
        if name not in classes:
            raise ZonesError(f"stay: {name!r} is no class of the settings")
    if zones.back.rest_most < zones.back.rest:
        raise ZonesError("back.rest_most: under back.rest")
    return zones


def _known(given: object, names: tuple[str, ...], place: str) -> None:
    for name in given:
        if name not in names:
            raise ZonesError(f"{place}: {name!r} is no zone of the settings")
