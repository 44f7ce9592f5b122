"""`applevale experiment`: runs grids of simulations, and compares and charts their results."""

from __future__ import annotations

from collections.abc import Iterable
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from .exit_codes import fail

if TYPE_CHECKING:
    from ..simulation.experiment import Experiment
    from ..simulation.runners import StateMachine

experiment = typer.Typer(no_args_is_help=True, help="Simulate state machines over a grid of parameters.")

Folder = Annotated[str, typer.Argument(help="Folder of the results.")]


def require_module(module: str) -> None:
    """Print one line and exit with code 2 if a module of the extra 'experiments' is missing."""
    if find_spec(module) is None:
        fail(f"experiment: {module} is missing: install the extra 'experiments'")


@experiment.command("run")
def run_experiment(
    path: Annotated[str, typer.Argument(help="Path of the experiment file.")],
    folder: Folder,
    jobs: Annotated[int, typer.Option(help="Number of processes; 0 for one per core.", min=0)] = 0,
) -> None:
    """Run a grid of sizes, cases, seeds and versions; runs whose results the folder has are skipped."""
    require_module("tqdm")
    from tqdm import tqdm

    from ..simulation import experiment as grid
    from ..simulation.results import ExperimentError

    def show_progress(finished: Iterable, total: int) -> Iterable:
        return tqdm(finished, total=total, unit="run", smoothing=0.05)

    try:
        specification, machine = _read_experiment(path)
        counts = grid.run(specification, machine.run, Path(folder), jobs or None, show_progress)
    except (OSError, ExperimentError) as error:
        fail(str(error))
    typer.echo(f"{folder}: {counts.completed} runs completed, {counts.already_stored} already had results")


def _read_experiment(path: str) -> tuple[Experiment, StateMachine]:
    """Read and check an experiment file, and return the experiment and its state machine.

    Raises:
        ExperimentError: The experiment is invalid.
        OSError: The file cannot be read.
    """
    from ..simulation.experiment import read_experiment
    from ..simulation.results import ExperimentError
    from ..simulation.runners import RUNNERS

    with open(path, "rb") as file:
        specification = read_experiment(file.read())
    if specification.machine not in RUNNERS:
        raise ExperimentError(
            f"machine: {specification.machine!r} is unknown; expected one of: {', '.join(RUNNERS)}"
        )
    machine = RUNNERS[specification.machine]
    machine.check(specification.versions, specification.cases)
    return specification, machine


@experiment.command("compare")
def compare_experiments(
    one: Folder,
    other: Folder,
    figure: Annotated[
        list[str], typer.Option(help="A figure to compare; may be repeated; by default all are.")
    ] = [],  # noqa: B006
) -> None:
    """Compare the results in two folders by seed: print mean differences with 95% confidence bounds."""
    require_module("scipy")
    from ..simulation import results

    try:
        first, second = (results.read_results(Path(folder) / "results.csv") for folder in (one, other))
        unknown = set(figure) - set(results.figure_names(first))
        if unknown:
            raise results.ExperimentError(f"--figure: {one} has no figure {', '.join(sorted(unknown))}")
    except results.ExperimentError as error:
        fail(str(error))
    names = figure or results.figure_names(first)
    for row in results.compare(first, second, names):
        typer.echo(
            f"{row.case:14} {row.size:>6} {row.figure:22} {row.pair_count:4} pairs  "
            f"{row.mean:+10.3f}  {row.lower_bound:+10.3f} to {row.upper_bound:+10.3f}"
        )


@experiment.command("chart")
def chart_experiment(
    folder: Folder,
    figure: Annotated[str, typer.Argument(help="The figure to chart.")],
    out: Annotated[str, typer.Argument(help="Path of the image to write.")],
) -> None:
    """Chart a figure over the sizes, with one line for each version and case."""
    require_module("matplotlib")
    from ..simulation import results

    try:
        rows = results.read_results(Path(folder) / "results.csv")
        if figure not in results.figure_names(rows):
            raise results.ExperimentError(f"figure: {folder} has no figure {figure}")
        results.draw_chart(rows, figure, Path(out))
    except (OSError, results.ExperimentError) as error:
        fail(str(error))
