"""`applevale zones`: plans where the work of a lost zone goes."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from .exit_codes import exit_with_result, fail

CHECK_HELP = (
    "Check that a zones file keeps every zone within the plan's headroom when any one zone is lost. Each "
    "violation is printed as a line; the exit code is 1 if there is one."
)

zones = typer.Typer(no_args_is_help=True, help="Plan where the work of a lost zone goes.")


@zones.command()
def plan(
    path: Annotated[str, typer.Argument(help="Path of the plan: capacities, demand, tiers, limits.")],
    out: Annotated[str, typer.Option(help="Path of the zones file to write.")] = "",
) -> None:
    """Compute the spill shares for the loss of any one or two zones; exit code 1 if work cannot be placed."""
    try:
        from ..zones import planner
    except ImportError as error:
        fail(f"zones plan: {error.name} is missing: install the extra 'planner'")
    from ..zones.plan import read_plan
    from ..zones.plan_report import format_table
    from ..zones.settings import ZonesError

    try:
        with open(path, "rb") as file:
            zone_plan = read_plan(file.read())
        loss_plans = [planner.solve(zone_plan, lost) for lost in planner.list_losses(zone_plan)]
    except (OSError, ZonesError) as error:
        fail(str(error))
    typer.echo(format_table(loss_plans))
    settings = planner.build_zone_settings(zone_plan, loss_plans)
    if out:
        with open(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(settings), indent=2))
    exit_with_result(not any(loss.has_unplaced_work() for loss in loss_plans))


@zones.command("check", help=CHECK_HELP)
def check_zones(
    path: Annotated[str, typer.Argument(help="Path of the plan.")],
    zones_path: Annotated[str, typer.Argument(help="Path of the zones file.")],
) -> None:
    """Check that a zones file keeps every zone within the plan's headroom when any one zone is lost."""
    from ..zones.plan import read_plan
    from ..zones.plan_report import find_overloads
    from ..zones.settings import ZonesError, read_zones

    try:
        with open(path, "rb") as file:
            zone_plan = read_plan(file.read())
        classes = {name for zone in zone_plan.zones.values() for name in zone.demand}
        with open(zones_path, "rb") as file:
            settings = read_zones(file.read(), tuple(zone_plan.zones), tuple(classes))
    except (OSError, ZonesError) as error:
        fail(str(error))
    overloads = find_overloads(zone_plan, settings)
    for overload in overloads:
        typer.echo(str(overload))
    typer.echo(f"{zones_path}: {'over the headroom' if overloads else 'good'}")
    exit_with_result(not overloads)
