"""Reports on plans and zones files, for people to read."""

from __future__ import annotations

from dataclasses import dataclass

from .plan import ZonePlan
from .planner import TOLERANCE_CORES, LossPlan
from .settings import ZoneSettings

TABLE_HEADER = "lost             from -> to         cores   load of the receiver"


@dataclass(frozen=True)
class Overload:
    """Work that a zones file allows beyond the headroom when one zone is lost.

    Attributes:
        lost: The zone that is lost.
        target: The zone that may exceed its headroom.
        used_share: Share of the target's capacity that may be used then.
        headroom: Share that may be used by the plan.
    """

    lost: str
    target: str
    used_share: float
    headroom: float

    def __str__(self) -> str:
        """Return the finding as one sentence."""
        return (
            f"the loss of {self.lost} may bring {self.target} to {self.used_share:.0%}, "
            f"over {self.headroom:.0%}"
        )


def find_overloads(plan: ZonePlan, zones: ZoneSettings) -> list[Overload]:
    """Return what a zones file allows beyond the headroom if any one zone is lost."""
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
    """Return the plans of all losses as a table."""
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
        f"{name:16} {home} -> nowhere      {cores:7.2f}   classes that stay"
        for home, cores in loss.pinned.items()
        if cores > TOLERANCE_CORES
    ]
    lines += [
        f"{name:16} {home}: {cores:.2f} cores find no room: {'; '.join(loss.binding)}"
        for home, cores in loss.unplaced.items()
        if cores > TOLERANCE_CORES
    ]
    return lines
