"""How a command ends on what it cannot use."""

import typer


def fail(text: str) -> None:
    """One line, and exit code 2."""
    typer.echo(f"applevale: {text}", err=True)
    raise typer.Exit(2)
