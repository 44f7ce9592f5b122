"""`applevale rig`: runs the real program with fakes, injects faults and checks guarantees."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from typing import TYPE_CHECKING, Annotated

import typer

from .exit_codes import exit_with_result, fail

if TYPE_CHECKING:
    from ..fault_injection.schedule import Step

RIGS = ("registry", "ops", "fleet")


def rig(
    name: Annotated[str, typer.Argument(help="The rig to run: registry, ops or fleet.")],
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
    seconds: Annotated[float, typer.Option(help="registry and ops: duration in seconds.")] = 60.0,
    nodes: Annotated[int, typer.Option(help="fleet: number of processes.", min=1, max=1000)] = 8,
    case: Annotated[str, typer.Option(help="fleet: the case to run.")] = "coldstart",
    history: Annotated[str, typer.Option(help="fleet: path of the history to write.")] = "",
    baseline: Annotated[
        str, typer.Option(help="fleet: a checkout of another version to run first, for comparison.")
    ] = "",
    schedule: Annotated[
        str, typer.Option(help="fleet, case schedule: a fault schedule file; by default one is drawn.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print only one JSON line, the result.")] = False,
) -> None:
    """Run the program with fakes, inject faults and check guarantees; exit code 1 if one is violated."""
    if name not in RIGS:
        fail(f"rig: {name!r} is unknown; expected one of: {', '.join(RIGS)}")
    if name == "fleet":
        result = _run_fleet(nodes, case, seed, history, baseline, schedule, as_json)
    else:
        result = _run_script(name, seed, seconds, as_json)
    typer.echo(json.dumps(result))
    exit_with_result(result["ok"])


def _run_script(name: str, seed: int, seconds: float, as_json: bool) -> dict:
    from ..harness import ops
    from ..harness.registry import runner

    if not as_json:
        typer.echo(f"rig {name}: seed {seed}, {seconds:g} s", err=True)
    script = ops if name == "ops" else runner
    return asyncio.run(script.run(seed, seconds))


def _run_fleet(
    nodes: int, case: str, seed: int, history: str, baseline: str, schedule: str, as_json: bool
) -> dict:
    import uvloop

    from ..harness.fleet_plan import FleetPlan
    from ..harness.scenarios.cases import CASES
    from ..harness.scenarios.runner import run

    if case not in CASES:
        fail(f"--case: {case!r} is unknown; expected one of: {', '.join(CASES)}")
    if baseline and not os.path.isfile(os.path.join(baseline, "applevale", "__main__.py")):
        fail(f"--baseline: {baseline}: not a checkout of this project")
    plan = FleetPlan(nodes, seed, fault_steps=_read_steps(schedule) if schedule else ())
    if not as_json:
        typer.echo(f"rig fleet: case {case}, {nodes} processes, seed {seed}", err=True)
    baseline_result = None
    if baseline:
        baseline_result = uvloop.run(run(replace(plan, checkout=os.path.abspath(baseline)), case))
    result = uvloop.run(run(plan, case, history))
    if baseline_result is not None:
        result["baseline"] = baseline_result
    return result


def _read_steps(path: str) -> tuple[Step, ...]:
    from ..fault_injection.schedule import ScheduleError, read_schedule

    try:
        with open(path, "rb") as file:
            return tuple(read_schedule(file.read()))
    except (OSError, ScheduleError) as error:
        fail(f"--schedule: {error}")
