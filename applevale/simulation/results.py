"""Reading, comparison and charts of the results of experiments."""

from __future__ import annotations

import csv
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from ..errors import AppleValeError

INPUT_COLUMNS = ("code", "version", "settings", "size", "case", "seed")
CONFIDENCE_LEVEL = 0.95

Row = dict[str, str]


class ExperimentError(AppleValeError, ValueError):
    """An experiment file or a results file is invalid; the text names the place."""


@dataclass(frozen=True)
class Comparison:
    """A comparison of one figure in two sets of results, for one case and size.

    Pairs of runs with the same seed are compared.

    Attributes:
        case: Name of the scenario.
        size: Number of members.
        figure: Name of the figure.
        pair_count: Number of pairs compared.
        mean: Mean of the differences, second minus first.
        lower_bound: Lower bound of the 95% confidence interval of the mean, by Student's t distribution.
        upper_bound: Upper bound of this interval.
    """

    case: str
    size: str
    figure: str
    pair_count: int
    mean: float
    lower_bound: float
    upper_bound: float


def read_results(path: Path) -> list[Row]:
    """Read the rows of a results file, without a last row that an interruption truncated.

    Raises:
        ExperimentError: The file cannot be read, or is not a results file.
    """
    try:
        with open(path, newline="", encoding="utf-8") as file:
            rows = list(csv.DictReader(file))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    if rows and not set(INPUT_COLUMNS) <= rows[0].keys():
        raise ExperimentError(f"{path}: not a results file; expected the columns {', '.join(INPUT_COLUMNS)}")
    return [row for row in rows if None not in row and None not in row.values()]


def figure_names(rows: list[Row]) -> list[str]:
    """Return the names of all figures, in the order of the columns."""
    return [name for name in rows[0] if name not in INPUT_COLUMNS] if rows else []


def compare(first_rows: list[Row], second_rows: list[Row], names: list[str]) -> list[Comparison]:
    """Compare figures of two sets of results by seed, for each case and size."""
    first = _by_run(first_rows)
    second = _by_run(second_rows)
    differences: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    for run in sorted(first.keys() & second.keys()):
        case, size, _ = run
        for name in names:
            differences[case, size, name].append(float(second[run][name]) - float(first[run][name]))
    return [_comparison(case, size, name, values) for (case, size, name), values in differences.items()]


def _by_run(rows: list[Row]) -> dict[tuple[str, str, str], Row]:
    return {(row["case"], row["size"], row["seed"]): row for row in rows}


def _comparison(case: str, size: str, name: str, values: list[float]) -> Comparison:
    from scipy import stats

    mean = sum(values) / len(values)
    lower_bound = upper_bound = mean
    if len(values) > 1 and len(set(values)) > 1:
        lower_bound, upper_bound = stats.t.interval(
            CONFIDENCE_LEVEL, len(values) - 1, loc=mean, scale=stats.sem(values)
        )
    return Comparison(case, size, name, len(values), mean, float(lower_bound), float(upper_bound))


def draw_chart(rows: list[Row], name: str, path: Path) -> None:
    """Draw a chart of one figure over the sizes: mean and maximum over the seeds, by version and case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(figsize=(8, 5))
    for (version, case), values_by_size in sorted(_values_by_series(rows, name).items()):
        sizes = sorted(values_by_size)
        means = [sum(values_by_size[size]) / len(values_by_size[size]) for size in sizes]
        maxima = [max(values_by_size[size]) for size in sizes]
        (plotted,) = axes.plot(sizes, means, marker="o", label=f"{version}, {case}")
        axes.fill_between(sizes, means, maxima, alpha=0.1, color=plotted.get_color())
    axes.set(xlabel="members", ylabel=name, xscale="log", ylim=(0, None))
    axes.legend(fontsize="small")
    drawing.savefig(path, bbox_inches="tight")
    pyplot.close(drawing)


def _values_by_series(rows: list[Row], name: str) -> dict[tuple[str, str], dict[int, list[float]]]:
    """Return the values of a figure by version and case, then by size."""
    series: dict[tuple[str, str], dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        series[row["version"], row["case"]][int(row["size"])].append(float(row[name]))
    return series
