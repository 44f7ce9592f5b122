"""`applevale`: check a configuration, look into a registry, run a rig. The program: `python -m applevale`."""

from __future__ import annotations

import sys

import typer

from .arguments import ConfigPath, read_config
from .exit_codes import EXIT_INTERRUPTED
from .experiments import experiment
from .members import members
from .registry import registry
from .rig import rig
from .zones import zones

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="A workload manager for query engines. The program itself: python -m applevale.",
)
app.add_typer(registry, name="registry")
app.add_typer(experiment, name="experiment")
app.add_typer(zones, name="zones")


@app.command()
def check(path: ConfigPath) -> None:
    """Check a configuration; on an error one line names the key, and the exit code is 2."""
    config = read_config(path)
    where = "the control feed" if config.feed else "known events only"
    if config.registry is not None:
        where = f"a registry ({config.registry.kind}, {len(config.registry.addresses)} addresses)"
    typer.echo(f"{path}: good. {len(config.settings.classes)} classes, the engine list from {where}")


app.command()(members)
app.command()(rig)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
