"""`applevale zones`: plan how work leaves a zone that is lost."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from .exit_codes import exit_with, fail

zones = typer.Typer(no_args_is_help=True, help="Plan how work leaves a zone that is lost.")


@zones.command()
def plan(
    path: Annotated[str, typer.Argument(help="Path of the plan: capacities, demand, tiers, limits.")],
    out: Annotated[str, typer.Option(help="Where to write the zones file.")] = "",
) -> None:
    """Find the shares of spill for every loss of one zone and of two; exit code 1 if work finds no room."""
    try:
        from ..zones import planner
    except ImportError as error:
        fail(f"zones plan: {error.name} is missing: install the extra 'planner'")
    from ..zones.settings import ZonesError

    try:
        with open(path, "rb") as file:
            wanted = planner.read_plan(file.read())
        found = [planner.solve(wanted, lost) for lost in planner.losses(wanted)]
    except (OSError, ZonesError) as error:
        fail(str(error))
    typer.echo(planner.table(found))
    made = planner.zones_file(wanted, found)
    if out:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(made), indent=2))
    exit_with(all(sum(loss.unplaced.values()) <= planner.TIGHT for loss in found))


@zones.command("check")
def check_zones(
    path: Annotated[str, typer.Argument(help="Path of the plan.")],
    zones_path: Annotated[str, typer.Argument(help="Path of the zones file.")],
) -> None:
    """Whether a zones file keeps every zone under the plan's headroom at the loss of any one; exit code 1 if
    not, with a line for each that it does not."""
    from ..zones import planner
    from ..zones.settings import ZonesError, read_zones

    try:
        with open(path, "rb") as file:
            wanted = planner.read_plan(file.read())
        classes = {name for zone in wanted.zones.values() for name in zone.demand}
        with open(zones_path, "rb") as file:
            given = read_zones(file.read(), tuple(wanted.zones), tuple(classes))
    except (OSError, ZonesError) as error:
        fail(str(error))
    found = planner.too_much(wanted, given)
    for line in found:
        typer.echo(line)
    typer.echo(f"{zones_path}: {'over the headroom' if found else 'good'}")
    exit_with(not found)
