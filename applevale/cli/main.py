"""`applevale`: check a configuration, look into a registry, run a rig. The program: `python -m applevale`."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from typing import Annotated

import msgspec
import typer

from ..config.loader import load_config
from ..config.model import Config, ConfigError
from .exit_codes import fail
from .experiments import experiment

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="A workload manager for query engines. The program itself: python -m applevale.",
)
registry = typer.Typer(no_args_is_help=True, help="Look into the registry that a configuration names.")
app.add_typer(registry, name="registry")
app.add_typer(experiment, name="experiment")

ConfigPath = Annotated[str, typer.Argument(help="Path of the JSON configuration.")]
Seconds = Annotated[float, typer.Option(help="How long to wait or to watch, in s.")]


def read_config(path: str) -> Config:
    """The configuration at `path`; ends with exit code 2 and one line if it cannot be used."""
    try:
        return load_config(os.environ | {"BALANCER_CONFIG": path})
    except ConfigError as error:
        fail(str(error))


@app.command()
def check(path: ConfigPath) -> None:
    """Check a configuration; on an error one line names the key, and the exit code is 2."""
    config = read_config(path)
    where = "the control feed" if config.feed else "known events only"
    if config.registry is not None:
        where = f"a registry ({config.registry.kind}, {len(config.registry.addresses)} addresses)"
    typer.echo(f"{path}: good. {len(config.settings.classes)} classes, the engine list from {where}")


def registry_config(path: str) -> Config:
    config = read_config(path)
    if config.registry is None:
        fail("registry: missing")
    return config


async def follow(config: Config, seconds: float, show: bool) -> dict | None:
    """Follows the registry until its list is confirmed, or with `show` for the whole time and told as it
    changes. None: it could not be confirmed."""
    from ..discovery.endpoints import Change
    from ..discovery.registry.source import RegistrySource
    from ..observability.counters import Counters

    confirmed = asyncio.Event()

    def tell(change: Change) -> None:
        for member in change.members if show else ():
            host, port = member.address
            typer.echo(f"s-{member.entry.engine:08x} {member.entry.state.value:9} {host}:{port}")

    def turned(fresh: bool) -> None:
        if show:
            typer.echo("confirmed" if fresh else "not confirmed")
        if fresh:
            confirmed.set()

    source = RegistrySource(config.registry, config.names, Counters(), tell, turned, config.seed)
    source.start()
    try:
        async with asyncio.timeout(seconds):
            await (asyncio.Event() if show else confirmed).wait()
    except TimeoutError:
        pass
    found = None
    if confirmed.is_set():
        source.note()
        found = {
            "revision": source.follower.revision,
            "digest": source.counters["registry_digest"],
            "entries": list(source.ledger.entries.values()),
            "bad": dict(source.ledger.bad),
        }
    await source.stop()
    return found


@registry.command()
def watch(path: ConfigPath, seconds: Seconds = 60.0) -> None:
    """Tell each change of the engine list as it comes, and whether the list is confirmed."""
    if asyncio.run(follow(registry_config(path), seconds, show=True)) is None:
        fail("registry: no member confirmed the list")


@registry.command()
def dump(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Print the engine list as JSON lines: key, revision, id, state, address."""
    found = asyncio.run(follow(registry_config(path), seconds, show=False))
    if found is None:
        fail("registry: no member confirmed the list")
    for entry in sorted(found["entries"], key=lambda one: one.key):
        host, port = entry.member.address
        typer.echo(
            json.dumps(
                {
                    "key": entry.key,
                    "revision": entry.revision,
                    "id": f"s-{entry.member.entry.engine:08x}",
                    "state": entry.member.entry.state.value,
                    "address": f"{host}:{port}",
                }
            )
        )


@registry.command()
def verify(path: ConfigPath, seconds: Seconds = 5.0) -> None:
    """Check every record, and print the revision and the digest to compare with a program's counters; exit
    code 1 if a record cannot be used."""
    found = asyncio.run(follow(registry_config(path), seconds, show=False))
    if found is None:
        fail("registry: no member confirmed the list")
    for key, why in sorted(found["bad"].items()):
        typer.echo(f"{key}: {why}")
    typer.echo(
        f"revision {found['revision']}, digest {found['digest']}, {len(found['entries'])} engines, "
        f"{len(found['bad'])} records that cannot be used"
    )
    raise typer.Exit(1 if found["bad"] else 0)


zones = typer.Typer(no_args_is_help=True, help="Plan how work leaves a zone that is lost.")
app.add_typer(zones, name="zones")


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
    raise typer.Exit(1 if any(sum(loss.unplaced.values()) > planner.TIGHT for loss in found) else 0)


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
    raise typer.Exit(1 if found else 0)


@app.command()
def members(
    path: Annotated[str, typer.Argument(help="A history, or JSON events; -: standard input.")],
) -> None:
    """Print what each instance last said of who lives: from a history, or the events of a running fleet."""
    from ..checkers.views import last_views, read_lines

    try:
        if path == "-":
            views = last_views(read_lines(sys.stdin.buffer))
        else:
            with open(path, "rb") as file:
                views = last_views(read_lines(file))
    except OSError as error:
        fail(f"{path}: {error.strerror}")
    if not views:
        fail(f"{path}: no word on members")
    for line in views:
        typer.echo(line)


@app.command()
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
    if name == "fleet":
        fleet_rig(nodes, case, seed, history, baseline, schedule, as_json)
    if name not in ("registry", "ops"):
        fail(f"rig: no rig is called {name!r}; there are: registry, ops, fleet")
    from ..harness import ops, registry

    if not as_json:
        typer.echo(f"rig {name}: seed {seed}, {seconds:g} s", err=True)
    result = asyncio.run((ops if name == "ops" else registry).run(seed, seconds))
    typer.echo(json.dumps(result))
    raise typer.Exit(0 if result["ok"] else 1)


def read_steps(path: str) -> tuple:
    from ..fault_injection.schedule import ScheduleError, read_schedule

    try:
        with open(path, "rb") as file:
            return tuple(read_schedule(file.read()))
    except (OSError, ScheduleError) as error:
        fail(f"--schedule: {error}")


def fleet_rig(
    nodes: int, case: str, seed: int, history: str, baseline: str, schedule: str, as_json: bool
) -> None:
    import uvloop

    from ..harness import scenarios as cases
    from ..harness.fleet import Plan

    if case not in cases.CASES:
        fail(f"--case: no case is called {case!r}; there are: {', '.join(cases.CASES)}")
    if baseline and not os.path.isfile(os.path.join(baseline, "applevale", "__main__.py")):
        fail(f"--baseline: {baseline}: no checkout of the program")
    steps = read_steps(schedule) if schedule else ()
    if not as_json:
        typer.echo(f"rig fleet: case {case}, {nodes} programs, seed {seed}", err=True)
    before = None
    if baseline:
        before = uvloop.run(
            cases.run(Plan(nodes, seed, checkout=os.path.abspath(baseline), schedule=steps), case)
        )
    result = uvloop.run(cases.run(Plan(nodes, seed, schedule=steps), case, history))
    if before is not None:
        result["baseline"] = before
    typer.echo(json.dumps(result))
    raise typer.Exit(0 if result["ok"] else 1)


def main() -> None:
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(130)
