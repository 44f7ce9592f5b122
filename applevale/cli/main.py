"""`applevale`, the command line tool for operators; the workload manager itself is `python -m applevale`."""

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
    help="Tools for a workload manager for query engines, which itself is started by python -m applevale.",
)
app.add_typer(registry, name="registry")
app.add_typer(experiment, name="experiment")
app.add_typer(zones, name="zones")


@app.command()
def check(path: ConfigPath) -> None:
    """Check a configuration; an error is one line that names the key, with exit code 2."""
    config = read_config(path)
    list_source = "the control feed" if config.feed_address else "known events only"
    if config.registry is not None:
        list_source = f"a registry ({config.registry.kind}, {len(config.registry.addresses)} addresses)"
    typer.echo(f"{path}: good. {len(config.settings.classes)} classes, the engine list from {list_source}")


app.command()(members)
app.command()(rig)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
