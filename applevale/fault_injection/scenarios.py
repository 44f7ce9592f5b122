"""Named scenarios of faults among members, as schedules: the same ones for real processes and the simulation.

A scenario is drawn from the size of the fleet and a seed; times count from the moment at which all have
joined.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from .link_conditions import LinkCondition
from .schedule import (
    ApplyLinkCondition,
    KillProcess,
    PauseProcess,
    PauseRepeatedly,
    Step,
    TerminateProcess,
    UpgradeProcess,
)

Draw = Callable[[int, Random], list[Step]]  # number of instances, random numbers

CUT = LinkCondition(cut=True)
FIRST_FAULT_AT = 1.0  # s
INBOUND_CUT_SHARE = 0.5  # of the flapping links, that are cut towards the member; the others from it


def _choose(nodes: int, random: Random, share: float) -> list[str]:
    count = max(1, round(nodes * share))
    return [f"n{number}" for number in sorted(random.sample(range(nodes), count))]


def _kill(share: float) -> Draw:
    return lambda nodes, random: [KillProcess(at=FIRST_FAULT_AT, processes=_choose(nodes, random, share))]


def _rolling_restart(nodes: int, random: Random) -> list[Step]:
    """All ended and started again, a tenth at a time."""
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    step = max(1, nodes // 10)
    return [
        TerminateProcess(
            at=FIRST_FAULT_AT + 2.5 * turn, processes=names[first : first + step], restart_after=0.1
        )
        for turn, first in enumerate(range(0, nodes, step))
    ]


def _pause(share: float, duration: float) -> Draw:
    return lambda nodes, random: [
        PauseProcess(at=FIRST_FAULT_AT, processes=_choose(nodes, random, share), duration=duration)
    ]


def _between_all(condition: LinkCondition, duration: float) -> Draw:
    return lambda nodes, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=["n*"], targets=["n*"], condition=condition, duration=duration
        )
    ]


def _from_one(condition: LinkCondition, duration: float) -> Draw:
    """What one member sends."""
    return lambda nodes, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT,
            sources=_choose(nodes, random, 0),
            targets=["n*"],
            condition=condition,
            duration=duration,
        )
    ]


def _to_one(condition: LinkCondition, duration: float) -> Draw:
    """What one member is sent."""
    return lambda nodes, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT,
            sources=["n*"],
            targets=_choose(nodes, random, 0),
            condition=condition,
            duration=duration,
        )
    ]


def _cut_one_pair(nodes: int, random: Random) -> list[Step]:
    source, target = random.sample(range(nodes), 2)
    return [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=[f"n{source}"], targets=[f"n{target}"], condition=CUT, duration=12.0
        )
    ]


def _flapping_links(nodes: int, random: Random) -> list[Step]:
    """A tenth of the members are cut off in one way, for 2 s of every 4."""
    steps: list[Step] = []
    for name in _choose(nodes, random, 0.1):
        into = random.random() < INBOUND_CUT_SHARE
        for turn in range(4):
            sources, targets = (["n*"], [name]) if into else ([name], ["n*"])
            steps.append(
                ApplyLinkCondition(
                    at=FIRST_FAULT_AT + 4.0 * turn,
                    sources=sources,
                    targets=targets,
                    condition=CUT,
                    duration=2.0,
                )
            )
    return steps


def _partition(nodes: int, random: Random, parts: int) -> list[list[str]]:
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    return [names[part::parts] for part in range(parts)]


def _cut_both_ways(first: list[str], second: list[str], duration: float) -> list[Step]:
    return [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=first, targets=second, condition=CUT, duration=duration
        ),
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=second, targets=first, condition=CUT, duration=duration
        ),
    ]


def _two_halves(nodes: int, random: Random) -> list[Step]:
    return _cut_both_ways(*_partition(nodes, random, 2), duration=10.0)


def _three_groups(nodes: int, random: Random) -> list[Step]:
    """Of three groups, two do not reach each other, and the third reaches both."""
    first, _, third = _partition(nodes, random, 3)
    return _cut_both_ways(first, third, duration=10.0)


def _one_way_cut(nodes: int, random: Random) -> list[Step]:
    """What four of ten members send one member does not come."""
    names = _choose(nodes, random, 0.4)
    target = random.choice([f"n{number}" for number in range(nodes) if f"n{number}" not in names])
    return [
        ApplyLinkCondition(at=FIRST_FAULT_AT, sources=names, targets=[target], condition=CUT, duration=12.0)
    ]


def _repeated_pauses(nodes: int, random: Random) -> list[Step]:
    return [
        PauseRepeatedly(
            at=FIRST_FAULT_AT, processes=_choose(nodes, random, 0.25), duration=0.3, interval=0.7, count=15
        )
    ]


def _quick_restart(nodes: int, random: Random) -> list[Step]:
    return [KillProcess(at=FIRST_FAULT_AT, processes=_choose(nodes, random, 0), restart_after=0.1)]


def _quick_restarts(nodes: int, random: Random) -> list[Step]:
    """One is killed and comes back within 100 ms, three times."""
    name = _choose(nodes, random, 0)
    return [
        KillProcess(at=FIRST_FAULT_AT + 3.0 * turn, processes=name, restart_after=0.1) for turn in range(3)
    ]


def _two_waves_of_pauses(nodes: int, random: Random) -> list[Step]:
    """A quarter is paused for 6 s, and another one too, from a little later on."""
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    quarter = max(1, nodes // 4)
    return [
        PauseProcess(at=FIRST_FAULT_AT, processes=names[:quarter], duration=6.0),
        PauseProcess(at=FIRST_FAULT_AT + 1.5, processes=names[quarter : 2 * quarter], duration=6.0),
    ]


def _late_restart(nodes: int, random: Random) -> list[Step]:
    """One is killed, and is started again long after all know it to be dead."""
    return [KillProcess(at=FIRST_FAULT_AT, processes=_choose(nodes, random, 0), restart_after=8.0)]


def _upgrades(nodes: int, random: Random) -> list[Step]:
    return [UpgradeProcess(at=FIRST_FAULT_AT, processes=_choose(nodes, random, 0.1), overlap=6.0)]


def _sequence(nodes: int, random: Random) -> list[Step]:
    """One after the other: a death, a pause of a quarter, loss, a one-sided cut, a quick restart."""
    parts: list[tuple[float, Draw]] = [
        (0.0, _kill(0)),
        (7.0, _pause(0.25, 2.0)),
        (13.0, _between_all(LinkCondition(loss=0.2), 8.0)),
        (22.0, _one_way_cut),
        (35.0, _quick_restart),
    ]
    steps: list[Step] = []
    for offset, draw in parts:
        for step in draw(nodes, random):
            steps.append(msgspec.structs.replace(step, at=step.at + offset))
    return steps


LATE = LinkCondition(reorder=0.4, reorder_delay=1.5, duplication=0.3)

SCENARIOS: dict[str, Draw] = {
    "membership": _sequence,
    "calm": lambda nodes, random: [],
    "killed": _kill(0),
    "killed-47": _kill(0.47),
    "rolling": _rolling_restart,
    "pause-0.5": _pause(0, 0.5),
    "pause-2": _pause(0, 2.0),
    "pause-6": _pause(0, 6.0),
    "quarter-0.5": _pause(0.25, 0.5),
    "quarter-2": _pause(0.25, 2.0),
    "quarter-6": _pause(0.25, 6.0),
    "loss-5": _between_all(LinkCondition(loss=0.05), 12.0),
    "loss-20": _between_all(LinkCondition(loss=0.2), 12.0),
    "loss-40": _between_all(LinkCondition(loss=0.4), 12.0),
    "loss-60": _between_all(LinkCondition(loss=0.6), 12.0),
    "loss-out-80": _from_one(LinkCondition(loss=0.8), 12.0),
    "deaf": _to_one(CUT, 8.0),
    "mute": _from_one(CUT, 8.0),
    "pair": _cut_one_pair,
    "toggles": _flapping_links,
    "one-sided": _one_way_cut,
    "halves": _two_halves,
    "three-groups": _three_groups,
    "late": _between_all(LATE, 12.0),
    "all-late": _between_all(LinkCondition(delay=1.5), 8.0),
    "stalls": _repeated_pauses,
    "again": _quick_restarts,
    "back": _late_restart,
    "waves": _two_waves_of_pauses,
    "upgrade": _upgrades,
}


def scenario_steps(name: str, nodes: int, seed: int) -> list[Step]:
    """Return the steps of a scenario, in the order of their times."""
    steps = SCENARIOS[name](nodes, Random(f"{name} {nodes} {seed}"))
    return sorted(steps, key=lambda step: step.at)


def scenario_duration(steps: list[Step]) -> float:
    """Return the s until the last step is over, without what follows from it."""
    return max((_end_of(step) for step in steps), default=0.0)


def _end_of(step: Step) -> float:
    match step:
        case PauseRepeatedly():
            return step.at + step.interval * step.count
        case ApplyLinkCondition() | PauseProcess():
            return step.at + step.duration
        case UpgradeProcess():
            return step.at + step.overlap
        case KillProcess() | TerminateProcess():
            return step.at + (step.restart_after or 0.0)
    return step.at
