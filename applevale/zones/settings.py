"""The zones file: the order of zones, the limits on spill, and the recovery of a lost zone.

`rename` maps the names of the fields to the keys of the file, which stay as they are.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from ..errors import AppleValeError

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Instances = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Cores = Annotated[float, msgspec.Meta(ge=0)]


class ZonesError(AppleValeError, ValueError):
    """A zones file or a plan cannot be used.

    Attributes:
        place: The key at fault, or the file itself: `zones` or `plan`.
        reason: What is wrong there.
    """

    def __init__(self, place: str, reason: str):
        """Build the error of one place in a file."""
        super().__init__(place, reason)
        self.place = place
        self.reason = reason

    def __str__(self) -> str:
        """Return both in one line."""
        return f"{self.place}: {self.reason}"


class SpillLimit(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"home": "from", "target": "to"}
):
    """Limit on the work that one zone may send to another.

    Attributes:
        home: The zone that the work comes from.
        target: The zone that receives it.
        share: Share of the target's capacity, for all instances of the home zone together.
    """

    home: str
    target: str
    share: Share


class RecoverySettings(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "initial_share": "first",
        "ramp_duration": "over",
        "min_cooldown": "rest",
        "max_cooldown": "rest_most",
        "relapse_window": "again",
    },
):
    """How a lost zone returns. All times are in s.

    Attributes:
        initial_share: Share of its capacity that may be used as the ramp begins.
        ramp_duration: Time from the begin of the ramp to the full capacity.
        min_cooldown: Time after a loss before the zone is tried again.
        max_cooldown: Upper bound of the cooldown, which doubles with each relapse.
        relapse_window: Time after the begin of a ramp within which a loss counts as a relapse.
    """

    initial_share: Share = 0.1
    ramp_duration: Seconds = 15.0
    min_cooldown: Seconds = 2.0
    max_cooldown: Seconds = 30.0
    relapse_window: Seconds = 10.0


class ZoneSettings(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={"spill_limits": "spill", "pinned_classes": "stay", "recovery": "back"},
):
    """The zones file.

    Attributes:
        tiers: For each home zone its choices in order; the first tier holds the home zone itself.
        spill_limits: Limits by pair of zones; a pair that is absent may take nothing.
        instances: Number of instances by home zone; 1 where absent.
        capacity: Cores by zone; those of its ready engines where absent.
        pinned_classes: Classes that may not leave their zone.
        window: Time over which spill is counted, in s.
        recovery: How a lost zone returns.
    """

    tiers: dict[str, list[list[str]]]
    spill_limits: list[SpillLimit] = []
    instances: dict[str, Instances] = {}
    capacity: dict[str, Cores] = {}
    pinned_classes: list[str] = []
    window: Seconds = 1.0
    recovery: RecoverySettings = RecoverySettings()

    def instance_share(self, home: str, target: str) -> float:
        """Return the share of the target's capacity that one instance of the home zone may use."""
        return find_share(self.spill_limits, home, target, default=0.0) / self.instances.get(home, 1)


def find_share(limits: Iterable[SpillLimit], home: str, target: str, default: float) -> float:
    """Return the limited share of a pair of zones; `default` if no limit names the pair."""
    for limit in limits:
        if limit.home == home and limit.target == target:
            return limit.share
    return default


def read_zones(raw: bytes, zone_names: tuple[str, ...], class_names: tuple[str, ...]) -> ZoneSettings:
    """Decode a zones file and check it against the zones and classes of the settings.

    Raises:
        ZonesError: The file cannot be used.
    """
    try:
        zones = msgspec.json.decode(raw, type=ZoneSettings)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ZonesError("zones", str(error)) from None
    _check_tiers(zones.tiers, zone_names)
    _check_spill_limits(zones.spill_limits, zone_names)
    _check_zone_names(zones.instances, zone_names, "instances")
    _check_zone_names(zones.capacity, zone_names, "capacity")
    for name in zones.pinned_classes:
        if name not in class_names:
            raise ZonesError("stay", f"{name!r} is no class of the settings")
    if zones.recovery.max_cooldown < zones.recovery.min_cooldown:
        raise ZonesError("back.rest_most", "under back.rest")
    return zones


def _check_tiers(tiers_by_home: dict[str, list[list[str]]], zone_names: tuple[str, ...]) -> None:
    _check_zone_names(tiers_by_home, zone_names, "tiers")
    for home, tiers in tiers_by_home.items():
        members = [name for tier in tiers for name in tier]
        _check_zone_names(members, zone_names, f"tiers.{home}")
        if len(set(members)) < len(members):
            raise ZonesError(f"tiers.{home}", "a zone stands twice")
        if not tiers or home not in tiers[0]:
            raise ZonesError(f"tiers.{home}", "its own zone must be in the first tier")


def _check_spill_limits(limits: list[SpillLimit], zone_names: tuple[str, ...]) -> None:
    pairs = [(limit.home, limit.target) for limit in limits]
    for index, (home, target) in enumerate(pairs):
        _check_zone_names((home, target), zone_names, f"spill[{index}]")
        if home == target or (home, target) in pairs[:index]:
            raise ZonesError(f"spill[{index}]", f"{home} to {target} is its own zone, or stands twice")


def _check_zone_names(given: Iterable[str], zone_names: tuple[str, ...], place: str) -> None:
    for name in given:
        if name not in zone_names:
            raise ZonesError(place, f"{name!r} is no zone of the settings")
