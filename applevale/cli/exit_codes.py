"""Exit codes, and functions that end a command with one of them."""

from typing import NoReturn

import typer

EXIT_OK = 0
EXIT_CHECK_FAILED = 1
EXIT_INVALID_INPUT = 2
EXIT_INTERRUPTED = 130  # the convention of shells for SIGINT


def fail(message: str) -> NoReturn:
    """Print a one-line message on standard error and exit with code 2."""
    typer.echo(f"applevale: {message}", err=True)
    raise typer.Exit(EXIT_INVALID_INPUT)


def exit_with_result(passed: bool) -> NoReturn:
    """Exit with code 0 if all checks passed, else with code 1."""
    raise typer.Exit(EXIT_OK if passed else EXIT_CHECK_FAILED)
