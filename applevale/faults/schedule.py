"""A schedule of faults: typed steps, from a file or drawn from a seed, played in order and logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Annotated, Protocol

import msgspec

from .fates import Fate

Span = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Names = Annotated[list[str], msgspec.Meta(min_length=1, max_length=256)]


class ScheduleError(ValueError):
    """A step that makes no sense; the text names its place."""


class _Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True,
            tag_field="do", tag=str.lower):
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


class Service(_Step):
    """An order to the list service: its word and its figures, as the stand-in knows them."""

    order: str
    values: dict[str, float | str] = {}


Step = Link | Kill | Stop | Stall | Term | Service


def read_schedule(data: bytes) -> list[Step]:
    """Steps in the order of their times. Raises ScheduleError."""
    try:
        steps = msgspec.json.decode(data, type=list[Step])
    except msgspec.MsgspecError as error:
        raise ScheduleError(f"schedule: {error}") from None
    return sorted(steps, key=lambda step: step.at)


def write_schedule(steps: list[Step]) -> bytes:
    return msgspec.json.format(msgspec.json.encode(steps), indent=1)


class Stage(Protocol):
    """Where steps are carried out. `done` is called once each has been, with what it came to."""

    async def carry_out(self, step: Step) -> None: ...


async def play(steps: list[Step], stage: Stage, log: Callable[[float, Step], None],
               clock: Callable[[], float]) -> None:
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
