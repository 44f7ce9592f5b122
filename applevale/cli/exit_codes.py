"""Exit codes, and how a command ends on what it cannot use."""

from typing import NoReturn

import typer

EXIT_OK = 0
EXIT_CHECK_FAILED = 1
EXIT_UNUSABLE_INPUT = 2
EXIT_INTERRUPTED = 130  # as shells have it for SIGINT


def fail(text: str) -> NoReturn:
    """Print one line on standard error and end with exit code 2."""
    typer.echo(f"applevale: {text}", err=True)
    raise typer.Exit(EXIT_UNUSABLE_INPUT)


def exit_with(passed: bool) -> NoReturn:
    """End with exit code 0, or 1 where a check failed."""
    raise typer.Exit(EXIT_OK if passed else EXIT_CHECK_FAILED)
