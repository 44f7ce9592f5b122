"""The plan file: capacity and demand of the zones, from which the limits on spill are computed.

`rename` maps the names of the fields to the keys of the file, which stay as they are.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from .settings import RecoverySettings, Share, SpillLimit, ZonesError, find_share


class ZonePair(NamedTuple):
    """The zone that work leaves and the zone that receives it."""

    home: str
    target: str


class PlannedZone(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One zone of a plan.

    Attributes:
        capacity: Cores.
        demand: Cores in use, by class.
        instances: Number of instances whose home it is.
    """

    capacity: Annotated[float, msgspec.Meta(gt=0)]
    demand: dict[str, Annotated[float, msgspec.Meta(ge=0)]]
    instances: Annotated[int, msgspec.Meta(ge=1)] = 1

    def total_demand(self) -> float:
        """Return the cores that all classes use together."""
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
        tiers: For each home zone its choices in order.
        spill_limits: Upper limits by pair of zones; where absent, the headroom alone limits a pair.
        headroom: Share of a zone's capacity that may be used.
        pinned_classes: Classes that may not leave their zone.
        recovery: How a lost zone returns; taken over into the zones file.
    """

    zones: dict[str, PlannedZone]
    tiers: dict[str, list[list[str]]]
    spill_limits: list[SpillLimit] = []
    headroom: Share = 0.85
    pinned_classes: list[str] = []
    recovery: RecoverySettings = RecoverySettings()

    def tier(self, pair: ZonePair) -> int | None:
        """Return the tier of the target for the home zone, 0 for the first choice; None: it is in no tier."""
        for index, tier in enumerate(self.tiers.get(pair.home, [[pair.home]])):
            if pair.target in tier:
                return index
        return None

    def max_flow(self, pair: ZonePair) -> float:
        """Return the upper limit on the cores that a pair may use of the target."""
        share = find_share(self.spill_limits, pair.home, pair.target, default=1.0)
        return share * self.zones[pair.target].capacity

    def movable_demand(self, zone: str) -> float:
        """Return the cores of a zone's classes that may leave it."""
        demand = self.zones[zone].demand
        return sum(cores for name, cores in demand.items() if name not in self.pinned_classes)

    def pinned_demand(self, zone: str) -> float:
        """Return the cores of a zone's classes that may not leave it."""
        demand = self.zones[zone].demand
        return sum(cores for name, cores in demand.items() if name in self.pinned_classes)


def read_plan(raw: bytes) -> ZonePlan:
    """Decode a plan and check that it names known zones only.

    Raises:
        ZonesError: The plan cannot be used.
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
            raise ZonesError(place, f"{name!r} is not under zones")
