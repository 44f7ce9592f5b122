"""`applevale members`: prints the membership views of the instances of a fleet."""

from __future__ import annotations

import sys
from typing import Annotated

import typer

from .exit_codes import fail


def members(
    path: Annotated[
        str, typer.Argument(help="Path of a history or of JSON log lines; - for standard input.")
    ],
) -> None:
    """Print the last membership view of each instance, from a history or from the log of a running fleet."""
    from ..checkers.views import describe_last_views, read_lines

    try:
        if path == "-":
            views = describe_last_views(read_lines(sys.stdin.buffer))
        else:
            with open(path, "rb") as file:
                views = describe_last_views(read_lines(file))
    except OSError as error:
        fail(f"{path}: {error.strerror}")
    if not views:
        fail(f"{path}: contains no membership events")
    for line in views:
        typer.echo(line)
