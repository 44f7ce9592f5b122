"""A schedule of faults: typed steps, from a file or drawn from a seed, played in order and logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Annotated, Protocol

import msgspec

from .link_conditions import Fate

Span = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Names = Annotated[list[str], msgspec.Meta(min_length=1, max_length=256)]


class ScheduleError(ValueError):
    """A step that makes no sense; the text names its place."""


class _Step(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do", tag=str.lower
):
    at: Span  # s from the begin of the play


class Link(_Step):
    """The fate of all that `sources` send `targets`, for `span` s."""

    sources: Names
    targets: Names
    fate: Fate
    span: Span


class Kill(_Step):
    """SIGKILL; started again under the same name after `back` s, or never."""

    who: Names
    back: Span | None = None


class Stop(_Step):
    """SIGSTOP for `span` s, then SIGCONT."""

    who: Names
    span: Span


class Stall(_Step):
    """Stands still `times` times for `span` s each, `apart` s from one begin to the next."""

    who: Names
    span: Span
    apart: Span
    times: Annotated[int, msgspec.Meta(ge=1, le=1000)]


class Term(_Step):
    """SIGTERM; started again under the same name once it has ended, `back` s later."""

    who: Names
    back: Span | None = None


class Upgrade(_Step):
    """A second process under the same name and address; the first is ended by SIGTERM after `both` s."""

    who: Names
    both: Span


class Service(_Step):
    """An order to the list service: its word and its figures, as the stand-in knows them."""

    order: str
    values: dict[str, float | str] = {}


Step = Link | Kill | Stop | Stall | Term | Upgrade | Service


def read_schedule(data: bytes) -> list[Step]:
    """Steps in the order of their times. Raises ScheduleError."""
    try:
        steps = msgspec.json.decode(data, type=list[Step])
    except msgspec.MsgspecError as error:
        raise ScheduleError(f"schedule: {error}") from None
    return sorted(steps, key=lambda step: step.at)


def write_schedule(steps: list[Step]) -> bytes:
    return msgspec.json.format(msgspec.json.encode(steps), indent=1)


# What `drawn` may draw: each kind with the most that one of its steps lasts, in s.
KINDS = {
    "kill": 0.0,
    "term": 0.0,
    "stop": 2.0,
    "stall": 0.3,
    "cut": 4.0,
    "late": 4.0,
    "down": 3.0,
    "slow": 0.3,
}


def drawn(seed: int, nodes: int, steps: int = 12, span: float = 24.0) -> list[Step]:
    """A schedule over `span` s from a seed alone: the same seed and size draw the same steps. Each run leaves
    out some of the kinds (swarm testing), so that no kind hides what another would have shown."""
    random = Random(f"{seed} {nodes}")
    kinds = random.sample(sorted(KINDS), k=random.randint(2, len(KINDS) - 1))
    found: list[Step] = []
    for _ in range(steps):
        kind, at = random.choice(kinds), round(random.uniform(0.0, span), 2)
        many = random.choice((1, max(1, nodes // 4), max(1, nodes // 3)))
        who = [f"n{number}" for number in sorted(random.sample(range(nodes), many))]
        lasts = round(random.uniform(0.1, 1.0) * KINDS[kind], 2)
        found += _steps(kind, at, who, lasts, random)
    return sorted(found, key=lambda step: step.at)


def _steps(kind: str, at: float, who: list[str], lasts: float, random: Random) -> list[Step]:
    match kind:
        case "kill":
            return [Kill(at=at, who=who, back=random.choice((0.1, 1.0, 3.0)))]
        case "term":
            return [Term(at=at, who=who, back=0.1)]
        case "stop":
            return [Stop(at=at, who=who, span=lasts)]
        case "stall":
            return [Stall(at=at, who=who, span=lasts, apart=2 * lasts + 0.2, times=5)]
        case "cut" | "late":
            fate = Fate(cut=True) if kind == "cut" else Fate(delay=0.4, jitter=0.1)
            ways = [(who, ["list*"]), (["list*"], who)]
            return [
                Link(at=at, sources=one, targets=other, fate=fate, span=lasts)
                for one, other in random.choice((ways, ways[:1], ways[1:]))
            ]
        case "down":
            return [Service(at=at, order="down"), Service(at=round(at + lasts, 2), order="up")]
    return [
        Service(at=at, order="late", values={"seconds": lasts}),
        Service(at=round(at + 3.0, 2), order="late", values={"seconds": 0.0}),
    ]


class Stage(Protocol):
    """Where steps are carried out. `done` is called once each has been, with what it came to."""

    async def carry_out(self, step: Step) -> None: ...


async def play(
    steps: list[Step], stage: Stage, log: Callable[[float, Step], None], clock: Callable[[], float]
) -> None:
    """Each step at its time; those that last are carried out beside the ones behind them, and all are done at
    the end."""
    began = clock()
    running: list[asyncio.Task] = []
    try:
        for step in steps:
            await asyncio.sleep(max(0.0, began + step.at - clock()))
            log(clock(), step)
            running.append(asyncio.create_task(stage.carry_out(step)))
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()
