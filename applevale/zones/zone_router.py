"""Routing among zones, for one instance with a home zone. No I/O and no clock.

Invariants:

- Work that is sent to another zone counts against the spill window of that zone. Work that is sent to a zone
  while it ramps up counts against the ramp window of that zone.
- Work of a pinned class is sent to the home zone only.
- A lost zone receives no work; a zone on trial receives one attempt at a time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import api
from .health import ZoneHealth, find_lost_zones
from .recovery import RecoveryPhase, ZoneRecovery
from .settings import ZoneSettings
from .sliding_window import SlidingWindow

SUCCESSES = frozenset({api.Result.OK, api.Result.REJECTED})  # Results with a response from the engine.
FAILURES = frozenset({api.Result.CONNECT_FAILED, api.Result.RESET, api.Result.TIMEOUT})


@dataclass
class ZoneState:
    """One zone as seen by this instance.

    Attributes:
        recovery: The phase of the zone's recovery.
        spill_window: Work that this instance sent to the zone, if it is not the home zone.
        ramp_window: Work that this instance sent to the zone while it was ramping up.
        health: Recent results of the zone's engines.
        ready_cores: Number of cores of the zone's ready engines.
        trial_attempts: Attempts in flight that were sent while the zone was on trial.
    """

    recovery: ZoneRecovery
    spill_window: SlidingWindow
    ramp_window: SlidingWindow
    health: ZoneHealth = field(default_factory=ZoneHealth)
    ready_cores: float = 0.0
    trial_attempts: int = 0


class ZoneRouter(api.Router):
    """A router that prefers the home zone and limits the work sent to other zones.

    Zones and classes are indices into their lists of names. Work is in core seconds, times are in seconds.
    """

    def __init__(
        self,
        settings: ZoneSettings,
        zone_names: tuple[str, ...],
        class_names: tuple[str, ...],
        home: int,
        counters: Counter | None = None,
    ):
        """Create a router; all zones start healthy and without engines.

        Args:
            settings: The zones file.
            zone_names: The names of all zones.
            class_names: The names of all classes of requests.
            home: The home zone of this instance.
            counters: The counters of spilled attempts and lost zones; None for counters of its own.
        """
        home_name = zone_names[home]
        tiers = settings.tiers.get(home_name, [[home_name]])
        self.settings = settings
        self.zone_names = zone_names
        self.home = home
        self.counters = Counter() if counters is None else counters
        self.zones = {zone: _new_zone_state(settings) for zone in range(len(zone_names))}
        self.pinned_classes = {
            index for index, name in enumerate(class_names) if name in settings.pinned_classes
        }
        self.tiers = {zone_names.index(name): index for index, tier in enumerate(tiers) for name in tier}
        # Share of each zone's capacity that this instance may use from its home zone.
        self.spill_shares = {
            zone: settings.instance_share(home_name, name) for zone, name in enumerate(zone_names)
        }

    def zone_tier(self, class_index: int, zone: int) -> int:
        """Return the tier of a zone: 0 for the first choice; a zone in no tier is ranked last."""
        return self.tiers.get(zone, len(self.tiers))

    def can_accept_work(self, now: float, class_index: int, zone: int, work: float) -> bool:
        """Return whether a zone may receive this much work of a class now."""
        state = self.zones[zone]
        state.recovery.advance(now)
        phase = state.recovery.phase
        if zone not in self.tiers or (zone != self.home and class_index in self.pinned_classes):
            return False
        if phase is RecoveryPhase.LOST or (phase is RecoveryPhase.TRIAL and state.trial_attempts):
            return False
        if zone != self.home and not state.spill_window.fits(now, work, self.spill_limit(zone)):
            return False
        return phase is not RecoveryPhase.RAMPING or state.ramp_window.fits(
            now, work, self.ramp_limit(now, zone)
        )

    def is_saturated(self, now: float, class_index: int, work: float) -> bool:
        """Return whether the home zone is not healthy and no zone may receive the work now."""
        home_recovery = self.zones[self.home].recovery
        home_recovery.advance(now)
        if home_recovery.phase is RecoveryPhase.HEALTHY:
            return False
        return not any(self.can_accept_work(now, class_index, zone, work) for zone in self.tiers)

    def available_rate(self, now: float, cores: float) -> float:
        """Return the work per second, in cores, that this instance may send; `cores` is not used."""
        home_share = self.zones[self.home].recovery.usable_share(now)
        home_rate = home_share * self.capacity(self.home) / self.home_instances()
        return home_rate + sum(
            self.spill_shares[zone] * self.capacity(zone)
            for zone, state in self.zones.items()
            if zone != self.home and zone in self.tiers and state.recovery.usable_share(now) > 0
        )

    def on_engine_list(self, now: float, engines: Iterable[tuple[api.EngineEntry, float]]) -> None:
        """Replace the ready engines and their cores; a zone that has no ready engines left is lost."""
        engine_ids: dict[int, set[int]] = {zone: set() for zone in self.zones}
        ready_cores = dict.fromkeys(self.zones, 0.0)
        for entry, cores in engines:
            engine_ids[entry.zone].add(entry.engine_id)
            ready_cores[entry.zone] += cores
        for zone, state in self.zones.items():
            if state.ready_cores and not ready_cores[zone]:
                # This includes a planned drain: the zone's engines are cold when they return.
                self._mark_lost(now, state)
            state.ready_cores = ready_cores[zone]
            state.health.set_engines(engine_ids[zone])

    def on_send(self, now: float, zone: int, work: float) -> None:
        """Count the work of an attempt sent to a zone against the zone's windows."""
        state = self.zones[zone]
        if zone != self.home:
            state.spill_window.add(now, work)
            self.counters["spilled"] += 1
        if state.recovery.phase is RecoveryPhase.RAMPING:
            state.ramp_window.add(now, work)
        if state.recovery.phase is RecoveryPhase.TRIAL:
            state.trial_attempts += 1

    def on_result(self, now: float, entry: api.EngineEntry, result: api.Result) -> None:
        """Record the result of an attempt or a probe; a failure may mark zones as lost."""
        state = self.zones[entry.zone]
        state.trial_attempts = max(0, state.trial_attempts - 1)
        is_success = result in SUCCESSES
        is_failure = result in FAILURES
        if not is_success and not is_failure:
            return
        state.health.record_result(now, entry.engine_id, is_success)
        state.recovery.record_result(now, is_success)
        if is_failure:
            health_by_zone = {zone: other.health for zone, other in self.zones.items()}
            for zone in find_lost_zones(health_by_zone, now):
                self._mark_lost(now, self.zones[zone])

    def home_instances(self) -> int:
        """Return the number of instances that share the home zone."""
        return self.settings.instances.get(self.zone_names[self.home], 1)

    def capacity(self, zone: int) -> float:
        """Return the cores of a zone: the configured number, but at most those of its ready engines."""
        ready_cores = self.zones[zone].ready_cores
        return min(self.settings.capacity.get(self.zone_names[zone], ready_cores), ready_cores)

    def spill_limit(self, zone: int) -> float:
        """Return the work that this instance may send to another zone within one window."""
        return self.spill_shares[zone] * self.capacity(zone) * self.settings.window

    def ramp_limit(self, now: float, zone: int) -> float:
        """Return the work that this instance may send to a zone within one window while it ramps up."""
        usable_share = self.zones[zone].recovery.usable_share(now)
        usable_work = usable_share * self.capacity(zone) * self.settings.window
        if zone == self.home:
            return usable_work / self.home_instances()
        return usable_work * self.spill_shares[zone]

    def _mark_lost(self, now: float, state: ZoneState) -> None:
        if state.recovery.phase is not RecoveryPhase.LOST:
            self.counters["zones_lost"] += 1
        state.recovery.mark_lost(now)
        state.trial_attempts = 0


def _new_zone_state(settings: ZoneSettings) -> ZoneState:
    return ZoneState(
        recovery=ZoneRecovery(settings.recovery),
        spill_window=SlidingWindow(settings.window),
        ramp_window=SlidingWindow(settings.window),
    )
