"""The plan file: capacity and demand of the zones, from which the spill limits are computed.

`rename` maps field names to the keys of the file, which are part of the stored format.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from .settings import RecoverySettings, Share, SpillLimit, ZonesError, find_share


class ZonePair(NamedTuple):
    """The home zone of spilled work, and the zone that receives it."""

    home: str
    target: str


class PlannedZone(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One zone of a plan.

    Attributes:
        capacity: Number of cores.
        demand: Number of cores in use, by class.
        instances: Number of instances whose home zone this is.
    """

    capacity: Annotated[float, msgspec.Meta(gt=0)]
    demand: dict[str, Annotated[float, msgspec.Meta(ge=0)]]
    instances: Annotated[int, msgspec.Meta(ge=1)] = 1

    def total_demand(self) -> float:
        """Return the number of cores that all classes use together."""
        return sum(self.demand.values())


class ZonePlan(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"spill_limits": "limits", "pinned_classes": "stay", "recovery": "back"},
):
    """The plan file.

    Attributes:
        zones: The zones by name.
        tiers: For each home zone, the tiers of zones that may take its work, in order of preference.
        spill_limits: Limits for pairs of zones; a pair without one is limited by the headroom only.
        headroom: Share of a zone's capacity that may be used.
        pinned_classes: Classes whose work must stay in its home zone.
        recovery: How a lost zone returns; copied to the zones file.
    """

    zones: dict[str, PlannedZone]
    tiers: dict[str, list[list[str]]]
    spill_limits: list[SpillLimit] = []
    headroom: Share = 0.85
    pinned_classes: list[str] = []
    recovery: RecoverySettings = RecoverySettings()

    def tier(self, pair: ZonePair) -> int | None:
        """Return the index of the home zone's tier that contains the target; None if no tier does."""
        for index, tier in enumerate(self.tiers.get(pair.home, [[pair.home]])):
            if pair.target in tier:
                return index
        return None

    def max_flow(self, pair: ZonePair) -> float:
        """Return how many cores of the target zone the limit of the pair lets the home zone use."""
        share = find_share(self.spill_limits, pair.home, pair.target, default=1.0)
        return share * self.zones[pair.target].capacity

    def movable_demand(self, zone: str) -> float:
        """Return the cores used by classes whose work may leave the zone."""
        demand = self.zones[zone].demand
        return sum(cores for name, cores in demand.items() if name not in self.pinned_classes)

    def pinned_demand(self, zone: str) -> float:
        """Return the cores that pinned classes use in the zone."""
        demand = self.zones[zone].demand
        return sum(cores for name, cores in demand.items() if name in self.pinned_classes)


def read_plan(raw: bytes) -> ZonePlan:
    """Decode a plan and check that all zones it refers to are defined.

    Raises:
        ZonesError: The plan is malformed or refers to an undefined zone.
    """
    try:
        plan = msgspec.json.decode(raw, type=ZonePlan)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZonesError("plan", str(error)) from None
    for home, tiers in plan.tiers.items():
        _check_zone_names(plan, [home], f"tiers.{home}")
        for tier in tiers:
            _check_zone_names(plan, tier, f"tiers.{home}")
    for index, limit in enumerate(plan.spill_limits):
        _check_zone_names(plan, [limit.home, limit.target], f"limits[{index}]")
    return plan


def _check_zone_names(plan: ZonePlan, names: list[str], place: str) -> None:
    for name in names:
        if name not in plan.zones:
            raise ZonesError(place, f"zone {name!r} is not defined under 'zones'")
