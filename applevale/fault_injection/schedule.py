"""Fault schedules: typed steps that are read from a file or drawn from a seed, then executed and logged."""

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
    """A schedule that cannot be read; the text names the place of the error in the file."""


class _Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, tag_field="do"):
    """Base of all steps. In files, steps and fields have the names given by `tag` and `rename`.

    Attributes:
        at: When the step starts, in seconds from the start of the schedule.
    """

    at: Seconds


class ApplyLinkCondition(_Step, tag="link", rename={"condition": "fate", "duration": "span"}):
    """Apply a condition to all traffic from `sources` to `targets` for `duration` seconds."""

    sources: Patterns
    targets: Patterns
    condition: LinkCondition
    duration: Seconds


class KillProcess(_Step, tag="kill", rename={"processes": "who", "restart_after": "back"}):
    """Send SIGKILL; restart under the same name after `restart_after` seconds, or never if that is None."""

    processes: Patterns
    restart_after: Seconds | None = None


class PauseProcess(_Step, tag="stop", rename={"processes": "who", "duration": "span"}):
    """Send SIGSTOP, and SIGCONT after `duration` seconds."""

    processes: Patterns
    duration: Seconds


class PauseRepeatedly(
    _Step,
    tag="stall",
    rename={"processes": "who", "duration": "span", "interval": "apart", "count": "times"},
):
    """Pause `count` times for `duration` seconds; `interval` is the time from one start to the next."""

    processes: Patterns
    duration: Seconds
    interval: Seconds
    count: Annotated[int, msgspec.Meta(ge=1, le=1000)]


class TerminateProcess(_Step, tag="term", rename={"processes": "who", "restart_after": "back"}):
    """Send SIGTERM; restart under the same name `restart_after` seconds after the exit, or never if None."""

    processes: Patterns
    restart_after: Seconds | None = None


class UpgradeProcess(_Step, tag="upgrade", rename={"processes": "who", "overlap": "both"}):
    """Start a second process of the same name and address; SIGTERM the first `overlap` seconds later."""

    processes: Patterns
    overlap: Seconds


class SendRegistryCommand(_Step, tag="service", rename={"command": "order"}):
    """Send a command to the fake registry, with the values that it requires.

    `applevale.fakes.registry_host` defines the commands and their values.
    """

    command: str
    values: dict[str, float | str] = {}


Step = (
    ApplyLinkCondition
    | KillProcess
    | PauseProcess
    | PauseRepeatedly
    | TerminateProcess
    | UpgradeProcess
    | SendRegistryCommand
)


def read_schedule(data: bytes) -> list[Step]:
    """Return the steps of a schedule file, sorted by time.

    Raises:
        ScheduleError: If the data is not a valid schedule.
    """
    try:
        steps = msgspec.json.decode(data, type=list[Step])
    except msgspec.MsgspecError as error:
        raise ScheduleError(f"schedule: {error}") from None
    return sorted(steps, key=lambda step: step.at)


def write_schedule(steps: list[Step]) -> bytes:
    """Return the contents of a schedule file with these steps."""
    return msgspec.json.format(msgspec.json.encode(steps), indent=1)


# Kinds of faults that `draw_schedule` draws, with the maximum duration of a step of each kind.
MAX_STEP_SECONDS = {
    "kill": 0.0,
    "term": 0.0,
    "stop": 2.0,
    "stall": 0.3,
    "cut": 4.0,
    "late": 4.0,
    "down": 3.0,
    "slow": 0.3,
}
RESTART_DELAYS_SECONDS = (0.1, 1.0, 3.0)
PAUSE_COUNT = 5
SLOW_LINK = LinkCondition(delay=0.4, jitter=0.1)
SLOW_REGISTRY_SECONDS = 3.0  # duration of a phase in which the registry answers slowly


def draw_schedule(
    seed: int, process_count: int, step_count: int = 12, total_duration: float = 24.0
) -> list[Step]:
    """Return random steps over `total_duration` seconds; the same arguments always return the same steps.

    Each schedule leaves out some kinds of faults (swarm testing), so that one kind cannot mask the failures
    that another would reveal.
    """
    random = Random(f"{seed} {process_count}")
    kinds = random.sample(sorted(MAX_STEP_SECONDS), k=random.randint(2, len(MAX_STEP_SECONDS) - 1))
    drawn_steps: list[Step] = []
    for _ in range(step_count):
        kind = random.choice(kinds)
        at = round(random.uniform(0.0, total_duration), 2)
        count = random.choice((1, max(1, process_count // 4), max(1, process_count // 3)))
        processes = [f"n{number}" for number in sorted(random.sample(range(process_count), count))]
        duration = round(random.uniform(0.1, 1.0) * MAX_STEP_SECONDS[kind], 2)
        drawn_steps += _draw_steps(kind, at, processes, duration, random)
    return sorted(drawn_steps, key=lambda step: step.at)


def _draw_steps(kind: str, at: float, processes: list[str], duration: float, random: Random) -> list[Step]:
    match kind:
        case "kill":
            return [
                KillProcess(at=at, processes=processes, restart_after=random.choice(RESTART_DELAYS_SECONDS))
            ]
        case "term":
            return [TerminateProcess(at=at, processes=processes, restart_after=0.1)]
        case "stop":
            return [PauseProcess(at=at, processes=processes, duration=duration)]
        case "stall":
            interval = 2 * duration + 0.2
            return [
                PauseRepeatedly(
                    at=at, processes=processes, duration=duration, interval=interval, count=PAUSE_COUNT
                )
            ]
        case "cut":
            return _draw_link_steps(LinkCondition(cut=True), at, processes, duration, random)
        case "late":
            return _draw_link_steps(SLOW_LINK, at, processes, duration, random)
        case "down":
            return [
                SendRegistryCommand(at=at, command="down"),
                SendRegistryCommand(at=round(at + duration, 2), command="up"),
            ]
    return [
        SendRegistryCommand(at=at, command="late", values={"seconds": duration}),
        SendRegistryCommand(at=round(at + SLOW_REGISTRY_SECONDS, 2), command="late", values={"seconds": 0.0}),
    ]


def _draw_link_steps(
    condition: LinkCondition, at: float, processes: list[str], duration: float, random: Random
) -> list[Step]:
    """Return steps that apply a condition between processes and the registry, in one or both directions."""
    directions = [(processes, ["list*"]), (["list*"], processes)]
    chosen = random.choice((directions, directions[:1], directions[1:]))
    return [
        ApplyLinkCondition(at=at, sources=sources, targets=targets, condition=condition, duration=duration)
        for sources, targets in chosen
    ]


class StepExecutor(Protocol):
    """Executes the steps of a schedule."""

    async def execute(self, step: Step) -> None:
        """Execute one step; return when its fault has ended."""


async def play_schedule(
    steps: list[Step],
    executor: StepExecutor,
    log: Callable[[float, Step], None],
    clock: Callable[[], float],
) -> None:
    """Execute each step at its time, concurrently with earlier ones; return when all have ended.

    Args:
        steps: The steps, sorted by time.
        executor: Executes the steps.
        log: Called with the time and the step when a step starts.
        clock: Returns the time in seconds.
    """
    started_at = clock()
    step_tasks: list[asyncio.Task] = []
    try:
        for step in steps:
            await asyncio.sleep(max(0.0, started_at + step.at - clock()))
            log(clock(), step)
            step_tasks.append(asyncio.create_task(executor.execute(step)))
        await asyncio.gather(*step_tasks)
    finally:
        for task in step_tasks:
            task.cancel()
