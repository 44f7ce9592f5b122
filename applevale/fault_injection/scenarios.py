"""Courses of faults among members, as schedules: the same ones for real programs and for the emulator.

A course is drawn from the size of the fleet and a seed; times count from the moment at which all have joined.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec

from .link_conditions import Fate
from .schedule import Kill, Link, Stall, Step, Stop, Term, Upgrade

Draw = Callable[[int, Random], list[Step]]

CUT = Fate(cut=True)
BEGIN = 1.0  # s


def _some(nodes: int, random: Random, share: float) -> list[str]:
    count = max(1, round(nodes * share))
    return [f"n{number}" for number in sorted(random.sample(range(nodes), count))]


def _killed(share: float) -> Draw:
    return lambda nodes, random: [Kill(at=BEGIN, who=_some(nodes, random, share))]


def _rolling(nodes: int, random: Random) -> list[Step]:
    """All ended and started again, a tenth at a time."""
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    step = max(1, nodes // 10)
    return [
        Term(at=BEGIN + 2.5 * turn, who=names[first : first + step], back=0.1)
        for turn, first in enumerate(range(0, nodes, step))
    ]


def _paused(share: float, span: float) -> Draw:
    return lambda nodes, random: [Stop(at=BEGIN, who=_some(nodes, random, share), span=span)]


def _all(fate: Fate, span: float) -> Draw:
    return lambda nodes, random: [Link(at=BEGIN, sources=["n*"], targets=["n*"], fate=fate, span=span)]


def _out(fate: Fate, span: float) -> Draw:
    """What one member sends."""
    return lambda nodes, random: [
        Link(at=BEGIN, sources=_some(nodes, random, 0), targets=["n*"], fate=fate, span=span)
    ]


def _into(fate: Fate, span: float) -> Draw:
    """What one member is sent."""
    return lambda nodes, random: [
        Link(at=BEGIN, sources=["n*"], targets=_some(nodes, random, 0), fate=fate, span=span)
    ]


def _pair(nodes: int, random: Random) -> list[Step]:
    one, other = random.sample(range(nodes), 2)
    return [Link(at=BEGIN, sources=[f"n{one}"], targets=[f"n{other}"], fate=CUT, span=12.0)]


def _toggles(nodes: int, random: Random) -> list[Step]:
    """A tenth of the members are cut off in one way, for 2 s of every 4."""
    steps: list[Step] = []
    for name in _some(nodes, random, 0.1):
        into = random.random() < 0.5
        for turn in range(4):
            sources, targets = (["n*"], [name]) if into else ([name], ["n*"])
            steps.append(Link(at=BEGIN + 4.0 * turn, sources=sources, targets=targets, fate=CUT, span=2.0))
    return steps


def _apart(nodes: int, random: Random, parts: int) -> list[list[str]]:
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    return [names[part::parts] for part in range(parts)]


def _both_ways(one: list[str], other: list[str], span: float) -> list[Step]:
    return [
        Link(at=BEGIN, sources=one, targets=other, fate=CUT, span=span),
        Link(at=BEGIN, sources=other, targets=one, fate=CUT, span=span),
    ]


def _halves(nodes: int, random: Random) -> list[Step]:
    return _both_ways(*_apart(nodes, random, 2), span=10.0)


def _three_groups(nodes: int, random: Random) -> list[Step]:
    """Of three groups, two do not reach each other, and the third reaches both."""
    one, _, other = _apart(nodes, random, 3)
    return _both_ways(one, other, span=10.0)


def _one_sided(nodes: int, random: Random) -> list[Step]:
    """What four of ten members send one member does not come."""
    names = _some(nodes, random, 0.4)
    target = random.choice([f"n{number}" for number in range(nodes) if f"n{number}" not in names])
    return [Link(at=BEGIN, sources=names, targets=[target], fate=CUT, span=12.0)]


def _stalls(nodes: int, random: Random) -> list[Step]:
    return [Stall(at=BEGIN, who=_some(nodes, random, 0.25), span=0.3, apart=0.7, times=15)]


def _again(nodes: int, random: Random) -> list[Step]:
    """One is killed and comes back within 100 ms, three times."""
    name = _some(nodes, random, 0)
    return [Kill(at=BEGIN + 3.0 * turn, who=name, back=0.1) for turn in range(3)]


def _waves(nodes: int, random: Random) -> list[Step]:
    """A quarter stands still for 6 s, and another one too, from a little later on."""
    names = [f"n{number}" for number in range(nodes)]
    random.shuffle(names)
    quarter = max(1, nodes // 4)
    return [
        Stop(at=BEGIN, who=names[:quarter], span=6.0),
        Stop(at=BEGIN + 1.5, who=names[quarter : 2 * quarter], span=6.0),
    ]


def _back(nodes: int, random: Random) -> list[Step]:
    """One is killed, and is back long after all hold it dead."""
    return [Kill(at=BEGIN, who=_some(nodes, random, 0), back=8.0)]


def _upgrade(nodes: int, random: Random) -> list[Step]:
    return [Upgrade(at=BEGIN, who=_some(nodes, random, 0.1), both=6.0)]


def _all_of_it(nodes: int, random: Random) -> list[Step]:
    """One after the other: a death, a quarter that stands still, loss, a one-sided cut, a quick restart."""
    parts: list[tuple[float, Draw]] = [
        (0.0, _killed(0)),
        (7.0, _paused(0.25, 2.0)),
        (13.0, _all(Fate(loss=0.2), 8.0)),
        (22.0, _one_sided),
        (35.0, lambda nodes, random: [Kill(at=BEGIN, who=_some(nodes, random, 0), back=0.1)]),
    ]
    return [
        msgspec.structs.replace(step, at=step.at + at) for at, part in parts for step in part(nodes, random)
    ]


LATE = Fate(reorder=0.4, held=1.5, copies=0.3)

COURSES: dict[str, Draw] = {
    "membership": _all_of_it,
    "calm": lambda nodes, random: [],
    "killed": _killed(0),
    "killed-47": _killed(0.47),
    "rolling": _rolling,
    "pause-0.5": _paused(0, 0.5),
    "pause-2": _paused(0, 2.0),
    "pause-6": _paused(0, 6.0),
    "quarter-0.5": _paused(0.25, 0.5),
    "quarter-2": _paused(0.25, 2.0),
    "quarter-6": _paused(0.25, 6.0),
    "loss-5": _all(Fate(loss=0.05), 12.0),
    "loss-20": _all(Fate(loss=0.2), 12.0),
    "loss-40": _all(Fate(loss=0.4), 12.0),
    "loss-60": _all(Fate(loss=0.6), 12.0),
    "loss-out-80": _out(Fate(loss=0.8), 12.0),
    "deaf": _into(CUT, 8.0),
    "mute": _out(CUT, 8.0),
    "pair": _pair,
    "toggles": _toggles,
    "one-sided": _one_sided,
    "halves": _halves,
    "three-groups": _three_groups,
    "late": _all(LATE, 12.0),
    "all-late": _all(Fate(delay=1.5), 8.0),
    "stalls": _stalls,
    "again": _again,
    "back": _back,
    "waves": _waves,
    "upgrade": _upgrade,
}


def course(name: str, nodes: int, seed: int) -> list[Step]:
    return sorted(COURSES[name](nodes, Random(f"{name} {nodes} {seed}")), key=lambda step: step.at)


def lasts(steps: list[Step]) -> float:
    """s until the last of it is over, but for what comes of it."""
    ends = [0.0]
    for step in steps:
        span = getattr(step, "span", getattr(step, "both", 0.0))
        if isinstance(step, Stall):
            span = step.apart * step.times
        ends.append(step.at + span + (getattr(step, "back", 0.0) or 0.0))
    return max(ends)
