"""Named fault scenarios for members, as schedules for both real processes and the simulation.

The steps of a scenario depend on the number of members and a seed. Step times count from the moment at which
all members have joined.
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

# Takes the number of members and a source of random numbers.
StepGenerator = Callable[[int, Random], list[Step]]

CUT = LinkCondition(cut=True)
FIRST_FAULT_AT = 1.0  # seconds after all members have joined
INBOUND_CUT_SHARE = 0.5  # probability that the flapping links of a member are its inbound ones


def _choose_members(member_count: int, random: Random, share: float) -> list[str]:
    count = max(1, round(member_count * share))
    return [f"n{number}" for number in sorted(random.sample(range(member_count), count))]


def _kill(share: float) -> StepGenerator:
    return lambda member_count, random: [
        KillProcess(at=FIRST_FAULT_AT, processes=_choose_members(member_count, random, share))
    ]


def _rolling_restart(member_count: int, random: Random) -> list[Step]:
    """Terminate and restart all members, a tenth of them every 2.5 s."""
    names = [f"n{number}" for number in range(member_count)]
    random.shuffle(names)
    group_size = max(1, member_count // 10)
    return [
        TerminateProcess(
            at=FIRST_FAULT_AT + 2.5 * group,
            processes=names[first : first + group_size],
            restart_after=0.1,
        )
        for group, first in enumerate(range(0, member_count, group_size))
    ]


def _pause(share: float, duration: float) -> StepGenerator:
    return lambda member_count, random: [
        PauseProcess(
            at=FIRST_FAULT_AT, processes=_choose_members(member_count, random, share), duration=duration
        )
    ]


def _between_all(condition: LinkCondition, duration: float) -> StepGenerator:
    return lambda member_count, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=["n*"], targets=["n*"], condition=condition, duration=duration
        )
    ]


def _from_one_member(condition: LinkCondition, duration: float) -> StepGenerator:
    """Apply a condition to all traffic from one member."""
    return lambda member_count, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT,
            sources=_choose_members(member_count, random, 0),
            targets=["n*"],
            condition=condition,
            duration=duration,
        )
    ]


def _to_one_member(condition: LinkCondition, duration: float) -> StepGenerator:
    """Apply a condition to all traffic to one member."""
    return lambda member_count, random: [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT,
            sources=["n*"],
            targets=_choose_members(member_count, random, 0),
            condition=condition,
            duration=duration,
        )
    ]


def _cut_one_pair(member_count: int, random: Random) -> list[Step]:
    source, target = random.sample(range(member_count), 2)
    return [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=[f"n{source}"], targets=[f"n{target}"], condition=CUT, duration=12.0
        )
    ]


def _flapping_links(member_count: int, random: Random) -> list[Step]:
    """Cut off a tenth of the members in one direction for 2 of every 4 seconds, four times."""
    steps: list[Step] = []
    for name in _choose_members(member_count, random, 0.1):
        is_inbound = random.random() < INBOUND_CUT_SHARE
        for repetition in range(4):
            sources, targets = (["n*"], [name]) if is_inbound else ([name], ["n*"])
            steps.append(
                ApplyLinkCondition(
                    at=FIRST_FAULT_AT + 4.0 * repetition,
                    sources=sources,
                    targets=targets,
                    condition=CUT,
                    duration=2.0,
                )
            )
    return steps


def _partition(member_count: int, random: Random, group_count: int) -> list[list[str]]:
    names = [f"n{number}" for number in range(member_count)]
    random.shuffle(names)
    return [names[group::group_count] for group in range(group_count)]


def _cut_both_ways(first: list[str], second: list[str], duration: float) -> list[Step]:
    return [
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=first, targets=second, condition=CUT, duration=duration
        ),
        ApplyLinkCondition(
            at=FIRST_FAULT_AT, sources=second, targets=first, condition=CUT, duration=duration
        ),
    ]


def _two_halves(member_count: int, random: Random) -> list[Step]:
    return _cut_both_ways(*_partition(member_count, random, 2), duration=10.0)


def _three_groups(member_count: int, random: Random) -> list[Step]:
    """Cut two of three groups off from each other; the third group reaches both."""
    first, _, third = _partition(member_count, random, 3)
    return _cut_both_ways(first, third, duration=10.0)


def _one_way_cut(member_count: int, random: Random) -> list[Step]:
    """Cut all traffic from 40% of the members to one other member."""
    names = _choose_members(member_count, random, 0.4)
    target = random.choice([f"n{number}" for number in range(member_count) if f"n{number}" not in names])
    return [
        ApplyLinkCondition(at=FIRST_FAULT_AT, sources=names, targets=[target], condition=CUT, duration=12.0)
    ]


def _repeated_pauses(member_count: int, random: Random) -> list[Step]:
    return [
        PauseRepeatedly(
            at=FIRST_FAULT_AT,
            processes=_choose_members(member_count, random, 0.25),
            duration=0.3,
            interval=0.7,
            count=15,
        )
    ]


def _quick_restart(member_count: int, random: Random) -> list[Step]:
    return [
        KillProcess(at=FIRST_FAULT_AT, processes=_choose_members(member_count, random, 0), restart_after=0.1)
    ]


def _quick_restarts(member_count: int, random: Random) -> list[Step]:
    """Kill a member and restart it 100 ms later, three times."""
    name = _choose_members(member_count, random, 0)
    return [
        KillProcess(at=FIRST_FAULT_AT + 3.0 * repetition, processes=name, restart_after=0.1)
        for repetition in range(3)
    ]


def _two_waves_of_pauses(member_count: int, random: Random) -> list[Step]:
    """Pause a quarter of the members for 6 s, and another quarter from 1.5 s later on."""
    names = [f"n{number}" for number in range(member_count)]
    random.shuffle(names)
    quarter = max(1, member_count // 4)
    return [
        PauseProcess(at=FIRST_FAULT_AT, processes=names[:quarter], duration=6.0),
        PauseProcess(at=FIRST_FAULT_AT + 1.5, processes=names[quarter : 2 * quarter], duration=6.0),
    ]


def _late_restart(member_count: int, random: Random) -> list[Step]:
    """Kill a member and restart it long after all others have detected its death."""
    return [
        KillProcess(at=FIRST_FAULT_AT, processes=_choose_members(member_count, random, 0), restart_after=8.0)
    ]


def _upgrades(member_count: int, random: Random) -> list[Step]:
    return [
        UpgradeProcess(at=FIRST_FAULT_AT, processes=_choose_members(member_count, random, 0.1), overlap=6.0)
    ]


def _mixed_faults(member_count: int, random: Random) -> list[Step]:
    """Combine, in this order: a kill, a pause of a quarter, loss, a one-way cut and a quick restart."""
    parts: list[tuple[float, StepGenerator]] = [
        (0.0, _kill(0)),
        (7.0, _pause(0.25, 2.0)),
        (13.0, _between_all(LinkCondition(loss=0.2), 8.0)),
        (22.0, _one_way_cut),
        (35.0, _quick_restart),
    ]
    steps: list[Step] = []
    for offset, generate_steps in parts:
        for step in generate_steps(member_count, random):
            steps.append(msgspec.structs.replace(step, at=step.at + offset))
    return steps


REORDERED_AND_DUPLICATED = LinkCondition(reorder=0.4, reorder_delay=1.5, duplication=0.3)

SCENARIOS: dict[str, StepGenerator] = {
    "membership": _mixed_faults,
    "calm": lambda member_count, random: [],
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
    "loss-out-80": _from_one_member(LinkCondition(loss=0.8), 12.0),
    "deaf": _to_one_member(CUT, 8.0),
    "mute": _from_one_member(CUT, 8.0),
    "pair": _cut_one_pair,
    "toggles": _flapping_links,
    "one-sided": _one_way_cut,
    "halves": _two_halves,
    "three-groups": _three_groups,
    "late": _between_all(REORDERED_AND_DUPLICATED, 12.0),
    "all-late": _between_all(LinkCondition(delay=1.5), 8.0),
    "stalls": _repeated_pauses,
    "again": _quick_restarts,
    "back": _late_restart,
    "waves": _two_waves_of_pauses,
    "upgrade": _upgrades,
}


def scenario_steps(name: str, member_count: int, seed: int) -> list[Step]:
    """Return the steps of a scenario, sorted by time."""
    steps = SCENARIOS[name](member_count, Random(f"{name} {member_count} {seed}"))
    return sorted(steps, key=lambda step: step.at)


def scenario_duration(steps: list[Step]) -> float:
    """Return the seconds until the last step ends; members may take longer to recover from it."""
    return max((_step_end(step) for step in steps), default=0.0)


def _step_end(step: Step) -> float:
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
