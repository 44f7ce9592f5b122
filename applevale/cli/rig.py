"""`applevale rig`: run the real program between fakes, cause failures and check what it guarantees."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from typing import TYPE_CHECKING, Annotated

import typer

from .exit_codes import exit_with, fail

if TYPE_CHECKING:
    from ..fault_injection.schedule import Step

RIGS = ("registry", "ops", "fleet")


def rig(
    name: Annotated[str, typer.Argument(help="Which rig: registry, ops or fleet.")],
    seed: Annotated[int, typer.Option(help="Decides all that is drawn.")] = 1,
    seconds: Annotated[float, typer.Option(help="How long it plays.")] = 60.0,
    nodes: Annotated[int, typer.Option(help="fleet: how many programs.", min=1, max=1000)] = 8,
    case: Annotated[str, typer.Option(help="fleet: what happens.")] = "coldstart",
    history: Annotated[str, typer.Option(help="fleet: where to write the history.")] = "",
    baseline: Annotated[str, typer.Option(help="fleet: a checkout to play first.")] = "",
    schedule: Annotated[str, typer.Option(help="fleet, case schedule: a file; else drawn.")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON line only.")] = False,
) -> None:
    """Run the real program between stand-ins, cause failures, check promises; exit code 1 if one broke."""
    if name not in RIGS:
        fail(f"rig: no rig is called {name!r}; there are: {', '.join(RIGS)}")
    if name == "fleet":
        result = _run_fleet(nodes, case, seed, history, baseline, schedule, as_json)
    else:
        result = _run_script(name, seed, seconds, as_json)
    typer.echo(json.dumps(result))
    exit_with(result["ok"])


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
        fail(f"--case: no case is called {case!r}; there are: {', '.join(CASES)}")
    if baseline and not os.path.isfile(os.path.join(baseline, "applevale", "__main__.py")):
        fail(f"--baseline: {baseline}: no checkout of the program")
    plan = FleetPlan(nodes, seed, schedule=_read_steps(schedule) if schedule else ())
    if not as_json:
        typer.echo(f"rig fleet: case {case}, {nodes} programs, seed {seed}", err=True)
    before = None
    if baseline:
        before = uvloop.run(run(replace(plan, checkout=os.path.abspath(baseline)), case))
    result = uvloop.run(run(plan, case, history))
    if before is not None:
        result["baseline"] = before
    return result


def _read_steps(path: str) -> tuple[Step, ...]:
    from ..fault_injection.schedule import ScheduleError, read_schedule

    try:
        with open(path, "rb") as file:
            return tuple(read_schedule(file.read()))
    except (OSError, ScheduleError) as error:
        fail(f"--schedule: {error}")
