"""Reports on plans and zones files as text."""

from __future__ import annotations

from dataclasses import dataclass

from .plan import ZonePlan
from .planner import TOLERANCE_CORES, LossPlan
from .settings import ZoneSettings

TABLE_HEADER = "lost             from -> to         cores   load of the receiver"


@dataclass(frozen=True)
class Overload:
    """Spill beyond the headroom that a zones file allows if one zone is lost.

    Attributes:
        lost: The zone that is lost.
        target: The zone that may exceed its headroom.
        used_share: Share of the target's capacity that may then be in use.
        headroom: Share of the target's capacity that the plan allows to be in use.
    """

    lost: str
    target: str
    used_share: float
    headroom: float

    def __str__(self) -> str:
        """Return the overload as one sentence."""
        return (
            f"if {self.lost} is lost, {self.target} may be used up to {self.used_share:.0%}, "
            f"over the headroom of {self.headroom:.0%}"
        )


def find_overloads(plan: ZonePlan, zones: ZoneSettings) -> list[Overload]:
    """Return the overloads that a zones file allows if any single zone is lost."""
    overloads = []
    for lost in sorted(plan.zones):
        for limit in zones.spill_limits:
            if limit.home != lost:
                continue
            target = plan.zones[limit.target]
            used_share = target.total_demand() / target.capacity + limit.share
            if used_share > plan.headroom + TOLERANCE_CORES:
                overloads.append(Overload(lost, limit.target, used_share, plan.headroom))
    return overloads


def format_table(loss_plans: list[LossPlan]) -> str:
    """Return the spill for all losses as a table."""
    lines = [TABLE_HEADER]
    for loss in loss_plans:
        lines += _format_loss(loss)
    return "\n".join(lines)


def _format_loss(loss: LossPlan) -> list[str]:
    name = "+".join(loss.lost)
    lines = [
        f"{name:16} {pair.home} -> {pair.target:12} {cores:7.2f}   {loss.load[pair.target]:.0%}"
        for pair, cores in sorted(loss.flows.items())
    ]
    lines += [
        f"{name:16} {home} -> nowhere      {cores:7.2f}   pinned classes"
        for home, cores in loss.pinned.items()
        if cores > TOLERANCE_CORES
    ]
    lines += [
        f"{name:16} {home}: {cores:.2f} cores cannot be placed: {'; '.join(loss.binding)}"
        for home, cores in loss.unplaced.items()
        if cores > TOLERANCE_CORES
    ]
    return lines
