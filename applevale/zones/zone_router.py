"""What the decision module asks of zones. No I/O and no clock.

It answers for one instance with a home zone: of which tier a zone is, whether it may take this work now, and
how much work finds room in all. Invariants:

- Work for another zone passes that pair's window, and work for a zone that comes back passes the zone's ramp.
- A class that stays goes to the home zone or nowhere.
- A lost zone takes nothing; one on trial takes one attempt at a time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import api
from .health import Health, lost_zones
from .recovery import Course, Phase
from .settings import Zones
from .spill import Window

GOOD = frozenset({api.Result.OK, api.Result.FULL})  # someone is there
BAD = frozenset({api.Result.CONNECT_FAILED, api.Result.RESET, api.Result.TIMEOUT})


@dataclass
class Zone:
    """One zone as this instance sees it."""

    course: Course
    spill: Window  # work that this instance sent there from its home zone
    ramp: Window  # all its work there while it comes back
    health: Health = field(default_factory=Health)
    ready: float = 0.0  # cores of its ready engines
    trying: int = 0  # attempts out on trial


class ZoneRouter(api.Router):
    def __init__(
        self,
        zones: Zones,
        names: tuple[str, ...],
        classes: tuple[str, ...],
        home: int,
        counters: Counter | None = None,
    ):
        self.settings, self.names, self.home = zones, names, home
        self.zones = {
            number: Zone(Course(zones.back), Window(zones.window), Window(zones.window))
            for number in range(len(names))
        }
        self.stay = {at for at, name in enumerate(classes) if name in zones.stay}
        tiers = zones.tiers.get(names[home], [[names[home]]])
        self.tiers = {names.index(name): at for at, tier in enumerate(tiers) for name in tier}
        self.limits = {number: zones.limit(names[home], name) for number, name in enumerate(names)}
        self.counters = Counter() if counters is None else counters

    # --- what the module asks -------------------------------------------------------------------------------

    def tier(self, cls: int, zone: int) -> int:
        """0 is the first choice; a zone that is in no tier comes last, and takes nothing."""
        return self.tiers.get(zone, len(self.tiers))

    def may_take(self, now: float, cls: int, zone: int, work: float) -> bool:
        """Whether so much work (core s) of a class may go to a zone now."""
        one = self.zones[zone]
        one.course.looked(now)
        if zone not in self.tiers or (zone != self.home and cls in self.stay):
            return False
        if one.course.phase is Phase.LOST or (one.course.phase is Phase.TRIAL and one.trying):
            return False
        if zone != self.home and not one.spill.fits(now, work, self.spill_limit(zone)):
            return False
        return one.course.phase is not Phase.BACK or one.ramp.fits(now, work, self.ramp_limit(now, zone))

    def is_saturated(self, now: float, cls: int, work: float) -> bool:
        self.zones[self.home].course.looked(now)
        if self.zones[self.home].course.phase is Phase.HOME:
            return False
        return not any(self.may_take(now, cls, zone, work) for zone in self.tiers)

    def available_rate(self, now: float, cores: float) -> float:
        """Work a second (cores) that finds room for this instance; `cores` without zones."""
        own = self.zones[self.home]
        part = own.course.share(now) * self.capacity(self.home) / self.instances()
        return part + sum(
            self.limits[number] * self.capacity(number)
            for number, one in self.zones.items()
            if number != self.home and number in self.tiers and one.course.share(now) > 0
        )

    # --- what it is told ------------------------------------------------------------------------------------

    def on_engine_list(self, now: float, engines: Iterable[tuple[api.EngineEntry, float]]) -> None:
        """The ready engines of the list and their cores."""
        numbers: dict[int, set[int]] = {number: set() for number in self.zones}
        ready = dict.fromkeys(self.zones, 0.0)
        for entry, cores in engines:
            numbers[entry.zone].add(entry.engine)
            ready[entry.zone] += cores
        for number, one in self.zones.items():
            if one.ready and not ready[number]:  # planned or not: it comes back cold
                self._lose(now, one)
            one.ready = ready[number]
            one.health.listed(numbers[number])

    def on_send(self, now: float, zone: int, work: float) -> None:
        one = self.zones[zone]
        if zone != self.home:
            one.spill.add(now, work)
            self.counters["spilled"] += 1
        if one.course.phase is Phase.BACK:
            one.ramp.add(now, work)
        one.trying += one.course.phase is Phase.TRIAL

    def on_result(self, now: float, entry: api.EngineEntry, result: api.Result) -> None:
        """What came of an attempt or of a probe."""
        one = self.zones[entry.zone]
        one.trying = max(0, one.trying - 1)
        if result not in GOOD and result not in BAD:
            return
        one.health.sign(now, entry.engine, result in GOOD)
        one.course.answered(now, result in GOOD)
        if result in BAD:
            for number in lost_zones({at: zone.health for at, zone in self.zones.items()}, now):
                self._lose(now, self.zones[number])

    # --- figures --------------------------------------------------------------------------------------------

    def instances(self) -> int:
        return self.settings.instances.get(self.names[self.home], 1)

    def capacity(self, zone: int) -> float:
        """Cores: as stated, but no more than its ready engines have."""
        ready = self.zones[zone].ready
        return min(self.settings.capacity.get(self.names[zone], ready), ready)

    def spill_limit(self, zone: int) -> float:
        """Core s that this instance may send there in one window."""
        return self.limits[zone] * self.capacity(zone) * self.settings.window

    def ramp_limit(self, now: float, zone: int) -> float:
        """Of a zone that comes back: this instance's part of what may go there in one window."""
        share = self.zones[zone].course.share(now) * self.capacity(zone) * self.settings.window
        return share / self.instances() if zone == self.home else share * self.limits[zone]

    def _lose(self, now: float, one: Zone) -> None:
        if one.course.phase is not Phase.LOST:
            self.counters["zones_lost"] += 1
        one.course.lost(now)
        one.trying = 0
