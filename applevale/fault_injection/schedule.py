"""A schedule of faults: typed steps, from a file or drawn from a seed, played in order and logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Annotated, Protocol

import msgspec

from ..errors import AppleValeError
from .link_conditions import LinkCondition

Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Patterns = Annotated[list[str], msgspec.Meta(min_length=1, max_length=256)]


class ScheduleError(AppleValeError, ValueError):
    """A step that makes no sense; the text names its place."""


class _Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """What all steps have. Names in files are those of `rename` and `tag`."""

    at: Seconds  # from the begin of the schedule


class ApplyLinkCondition(_Step, tag="link", rename={"condition": "fate", "duration": "span"}):
    """Apply a condition to all that `sources` send `targets`, for a time."""

    sources: Patterns
    targets: Patterns
    condition: LinkCondition
    duration: Seconds


class KillProcess(_Step, tag="kill", rename={"processes": "who", "restart_after": "back"}):
    """Send SIGKILL; start again under the same name after a time, or never."""

    processes: Patterns
    restart_after: Seconds | None = None


class PauseProcess(_Step, tag="stop", rename={"processes": "who", "duration": "span"}):
    """Send SIGSTOP, and SIGCONT after a time."""

    processes: Patterns
    duration: Seconds


class PauseRepeatedly(
    _Step,
    tag="stall",
    rename={"processes": "who", "duration": "span", "interval": "apart", "count": "times"},
):
    """Pause several times; `interval` is from one begin to the next."""

    processes: Patterns
    duration: Seconds
    interval: Seconds
    count: Annotated[int, msgspec.Meta(ge=1, le=1000)]


class TerminateProcess(_Step, tag="term", rename={"processes": "who", "restart_after": "back"}):
    """Send SIGTERM; start again under the same name a time after the process has ended, or never."""

    processes: Patterns
    restart_after: Seconds | None = None


class UpgradeProcess(_Step, tag="upgrade", rename={"processes": "who", "overlap": "both"}):
    """Start a second process under the same name and address; end the first by SIGTERM after a time."""

    processes: Patterns
    overlap: Seconds


class OrderRegistry(_Step, tag="service"):
    """Give an order to the fake registry: its name and its values, as the fake defines them."""

    order: str
    values: dict[str, float | str] = {}


Step = (
    ApplyLinkCondition
    | KillProcess
    | PauseProcess
    | PauseRepeatedly
    | TerminateProcess
    | UpgradeProcess
    | OrderRegistry
)


def read_schedule(data: bytes) -> list[Step]:
    """Return the steps of a file in the order of their times.

    Raises:
        ScheduleError: It is none.
    """
    try:
        steps = msgspec.json.decode(data, type=list[Step])
    except msgspec.MsgspecError as error:
        raise ScheduleError(f"schedule: {error}") from None
    return sorted(steps, key=lambda step: step.at)


def write_schedule(steps: list[Step]) -> bytes:
    """Return the steps as a file."""
    return msgspec.json.format(msgspec.json.encode(steps), indent=1)


# The kinds of faults that `draw_schedule` draws, each with the maximum duration of one of its steps, in s.
MAX_DURATIONS = {
    "kill": 0.0,
    "term": 0.0,
    "stop": 2.0,
    "stall": 0.3,
    "cut": 4.0,
    "late": 4.0,
    "down": 3.0,
    "slow": 0.3,
}
RESTART_DELAYS = (0.1, 1.0, 3.0)
STALL_COUNT = 5
LATE_CONDITION = LinkCondition(delay=0.4, jitter=0.1)
SLOW_ANSWERS_SECONDS = 3.0  # how long the registry answers slowly


def draw_schedule(seed: int, nodes: int, steps: int = 12, span: float = 24.0) -> list[Step]:
    """Return a schedule over `span` s from a seed alone: the same seed and size draw the same steps.

    Each run leaves out some of the kinds (swarm testing), so that no kind hides what another would have
    shown.
    """
    random = Random(f"{seed} {nodes}")
    kinds = random.sample(sorted(MAX_DURATIONS), k=random.randint(2, len(MAX_DURATIONS) - 1))
    drawn: list[Step] = []
    for _ in range(steps):
        kind = random.choice(kinds)
        at = round(random.uniform(0.0, span), 2)
        count = random.choice((1, max(1, nodes // 4), max(1, nodes // 3)))
        processes = [f"n{number}" for number in sorted(random.sample(range(nodes), count))]
        duration = round(random.uniform(0.1, 1.0) * MAX_DURATIONS[kind], 2)
        drawn += _draw_steps(kind, at, processes, duration, random)
    return sorted(drawn, key=lambda step: step.at)


def _draw_steps(kind: str, at: float, processes: list[str], duration: float, random: Random) -> list[Step]:
    match kind:
        case "kill":
            return [KillProcess(at=at, processes=processes, restart_after=random.choice(RESTART_DELAYS))]
        case "term":
            return [TerminateProcess(at=at, processes=processes, restart_after=0.1)]
        case "stop":
            return [PauseProcess(at=at, processes=processes, duration=duration)]
        case "stall":
            interval = 2 * duration + 0.2
            return [
                PauseRepeatedly(
                    at=at, processes=processes, duration=duration, interval=interval, count=STALL_COUNT
                )
            ]
        case "cut":
            return _draw_link_steps(LinkCondition(cut=True), at, processes, duration, random)
        case "late":
            return _draw_link_steps(LATE_CONDITION, at, processes, duration, random)
        case "down":
            return [
                OrderRegistry(at=at, order="down"),
                OrderRegistry(at=round(at + duration, 2), order="up"),
            ]
    return [
        OrderRegistry(at=at, order="late", values={"seconds": duration}),
        OrderRegistry(at=round(at + SLOW_ANSWERS_SECONDS, 2), order="late", values={"seconds": 0.0}),
    ]


def _draw_link_steps(
    condition: LinkCondition, at: float, processes: list[str], duration: float, random: Random
) -> list[Step]:
    """Return steps between processes and the registry: both ways, or one of them."""
    ways = [(processes, ["list*"]), (["list*"], processes)]
    chosen = random.choice((ways, ways[:1], ways[1:]))
    return [
        ApplyLinkCondition(at=at, sources=sources, targets=targets, condition=condition, duration=duration)
        for sources, targets in chosen
    ]


class FaultPlayer(Protocol):
    """Carries out the steps of a schedule."""

    async def execute(self, step: Step) -> None:
        """Carry out one step; return when it is over."""


async def play_schedule(
    steps: list[Step],
    player: FaultPlayer,
    log: Callable[[float, Step], None],
    clock: Callable[[], float],
) -> None:
    """Carry out each step at its time, beside those that last; return when all are over."""
    started_at = clock()
    running: list[asyncio.Task] = []
    try:
        for step in steps:
            await asyncio.sleep(max(0.0, started_at + step.at - clock()))
            log(clock(), step)
            running.append(asyncio.create_task(player.execute(step)))
        await asyncio.gather(*running)
    finally:
        for task in running:
            task.cancel()
