"""`applevale members`: what the instances of a fleet hold of each other."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from .exit_codes import fail


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
