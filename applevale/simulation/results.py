"""Results of experiments: read, compared seed by seed, and drawn."""

from __future__ import annotations

import csv
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from ..errors import AppleValeError

INPUTS = ("code", "version", "settings", "size", "case", "seed")
CONFIDENCE = 0.95

Row = dict[str, str]


class ExperimentError(AppleValeError, ValueError):
    """The experiment file, or the results, cannot be used; the text names the place."""


@dataclass(frozen=True)
class Comparison:
    """A figure in two sets of results, over the pairs with the same case, size and seed.

    Attributes:
        case: Name of the scenario.
        size: Members.
        figure: Name of the figure.
        pair_count: Pairs that were compared.
        mean: Mean of the second less the first.
        low: Lower bound of the mean, at 95% confidence by Student's t over the pairs.
        high: Upper bound, likewise.
    """

    case: str
    size: str
    figure: str
    pair_count: int
    mean: float
    low: float
    high: float


def read_results(path: Path) -> list[Row]:
    """Read `results.csv`; a last row that was cut off by a stop is left out.

    Raises:
        ExperimentError: The file cannot be read, or holds no results of an experiment.
    """
    try:
        with open(path, newline="", encoding="utf-8") as file:
            rows = list(csv.DictReader(file))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    if rows and not set(INPUTS) <= rows[0].keys():
        raise ExperimentError(f"{path}: no results of an experiment")
    return [row for row in rows if None not in row and None not in row.values()]


def figures(rows: list[Row]) -> list[str]:
    """Return the names of all figures, in the order of the columns."""
    return [name for name in rows[0] if name not in INPUTS] if rows else []


def compare(first_rows: list[Row], second_rows: list[Row], names: list[str]) -> list[Comparison]:
    """Compare figures of two sets of results, pair by pair, for each case and size."""
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
    low = high = mean
    if len(values) > 1 and len(set(values)) > 1:
        low, high = stats.t.interval(CONFIDENCE, len(values) - 1, loc=mean, scale=stats.sem(values))
    return Comparison(case, size, name, len(values), mean, float(low), float(high))


def chart(rows: list[Row], name: str, path: Path) -> None:
    """Draw one figure over the sizes: for each version and case, the mean and the greatest over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(figsize=(8, 5))
    for (version, case), values_by_size in sorted(_values_by_series(rows, name).items()):
        sizes = sorted(values_by_size)
        means = [sum(values_by_size[size]) / len(values_by_size[size]) for size in sizes]
        greatest = [max(values_by_size[size]) for size in sizes]
        (plotted,) = axes.plot(sizes, means, marker="o", label=f"{version}, {case}")
        axes.fill_between(sizes, means, greatest, alpha=0.1, color=plotted.get_color())
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
