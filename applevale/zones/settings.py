"""The zones file: the preferred order of zones, the spill limits, and the recovery of a lost zone.

`rename` maps field names to the keys of the file, which are part of the stored format.
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
        place: The invalid key, or `zones` or `plan` for the file as a whole.
        reason: What is wrong with it.
    """

    def __init__(self, place: str, reason: str):
        """Create an error for one key of a file."""
        super().__init__(place, reason)
        self.place = place
        self.reason = reason

    def __str__(self) -> str:
        """Return place and reason in one line."""
        return f"{self.place}: {self.reason}"


class SpillLimit(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"home": "from", "target": "to"}
):
    """Limit on the work that one zone may send to another.

    Attributes:
        home: The zone that sends the work.
        target: The zone that receives the work.
        share: Share of the target's capacity that all instances of the home zone may use together.
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
    """How a lost zone returns. All times are in seconds.

    Attributes:
        initial_share: Share of the zone's capacity that may be used at the start of the ramp.
        ramp_duration: Time from the start of the ramp until the full capacity may be used.
        min_cooldown: Time from a loss that is not a relapse until the trial.
        max_cooldown: Upper bound of the cooldown, which doubles with each relapse.
        relapse_window: Time after the start of a ramp in which another loss counts as a relapse.
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
        tiers: For each home zone, the tiers of zones that may take its work, in order of preference. The
            first tier contains the home zone itself.
        spill_limits: Limits for pairs of zones; a pair without one may not spill at all.
        instances: Number of instances by home zone; 1 for a zone without an entry.
        capacity: Number of cores by zone; for a zone without an entry, the cores of its ready engines.
        pinned_classes: Classes whose work must stay in its home zone.
        window: Length of the sliding window over which spill is limited, in seconds.
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
    """Return the share that the limit of a pair of zones allows; `default` if the pair has no limit."""
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
            raise ZonesError("stay", f"the settings have no class {name!r}")
    if zones.recovery.max_cooldown < zones.recovery.min_cooldown:
        raise ZonesError("back.rest_most", "must not be less than back.rest")
    return zones


def _check_tiers(tiers_by_home: dict[str, list[list[str]]], zone_names: tuple[str, ...]) -> None:
    _check_zone_names(tiers_by_home, zone_names, "tiers")
    for home, tiers in tiers_by_home.items():
        tier_zones = [name for tier in tiers for name in tier]
        _check_zone_names(tier_zones, zone_names, f"tiers.{home}")
        if len(set(tier_zones)) < len(tier_zones):
            raise ZonesError(f"tiers.{home}", "must not contain a zone more than once")
        if not tiers or home not in tiers[0]:
            raise ZonesError(f"tiers.{home}", f"the first tier must contain {home!r} itself")


def _check_spill_limits(limits: list[SpillLimit], zone_names: tuple[str, ...]) -> None:
    pairs = [(limit.home, limit.target) for limit in limits]
    for index, (home, target) in enumerate(pairs):
        _check_zone_names((home, target), zone_names, f"spill[{index}]")
        if home == target:
            raise ZonesError(f"spill[{index}]", f"'from' and 'to' must differ, but both are {home!r}")
        if (home, target) in pairs[:index]:
            raise ZonesError(f"spill[{index}]", f"an earlier entry also limits {home!r} to {target!r}")


def _check_zone_names(names: Iterable[str], zone_names: tuple[str, ...], place: str) -> None:
    for name in names:
        if name not in zone_names:
            raise ZonesError(place, f"the settings have no zone {name!r}")
