"""Grids of emulated runs: all cores, results kept as they come, resumed after a stop, compared seed by seed.

Nothing here knows what is played: a player takes a version's settings, a size, a case and a seed, and returns
figures by name. Each row of `results.csv` holds the inputs that made it, beside a mark of the whole code that
played it, so that rows of another code are never taken for this one's.
"""

from __future__ import annotations

import csv
import os
from collections import defaultdict
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, as_completed
from hashlib import blake2b
from pathlib import Path
from typing import Annotated

import msgspec

INPUTS = ("code", "version", "settings", "size", "case", "seed")
Player = Callable[[str, dict[str, float], int, str, int], dict[str, float]]
Job = tuple[str, str, int, str, int]  # version, its settings as text, size, case, seed
Positive = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Confidence = 0.95


class ExperimentError(ValueError):
    """The file, or the results, cannot be used; the text names the place."""


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`versions`: a name of the player's, with settings of its own; `seeds`: the first and the last."""

    machine: str
    sizes: Annotated[list[Positive], msgspec.Meta(min_length=1, max_length=100)]
    cases: Annotated[list[str], msgspec.Meta(min_length=1, max_length=100)]
    seeds: tuple[Positive, Positive]
    versions: Annotated[dict[str, dict[str, float]], msgspec.Meta(min_length=1, max_length=20)]

    def jobs(self) -> list[Job]:
        return [
            (version, msgspec.json.encode(settings, order="sorted").decode(), size, case, seed)
            for size in self.sizes
            for case in self.cases
            for version, settings in self.versions.items()
            for seed in range(self.seeds[0], self.seeds[1] + 1)
        ]


def read_experiment(data: bytes) -> Experiment:
    """Raises ExperimentError."""
    try:
        return msgspec.json.decode(data, type=Experiment)
    except msgspec.MsgspecError as error:
        raise ExperimentError(f"experiment: {error}") from None


def code_mark(root: Path = Path(__file__).parent.parent) -> str:
    """Of all that a run may depend on."""
    digest = blake2b(digest_size=6)
    for part in ("membership", "startup", "leases", "simulation", "fault_injection", "checkers"):
        for path in sorted((root / part).glob("*.py")):
            digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


def _key(row: dict[str, str]) -> tuple[str, ...]:
    return tuple(row[name] for name in INPUTS)


def read_results(path: Path) -> list[dict[str, str]]:
    """Raises ExperimentError."""
    try:
        with open(path, newline="", encoding="utf-8") as file:
            rows = list(csv.DictReader(file))
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    if rows and not set(INPUTS) <= rows[0].keys():
        raise ExperimentError(f"{path}: no results of an experiment")
    return [row for row in rows if None not in row and None not in row.values()]  # one may be cut off


def run(
    experiment: Experiment,
    player: Player,
    folder: Path,
    jobs: int | None = None,
    watch: Callable[[Iterable, int], Iterable] = lambda done, total: done,
) -> tuple[int, int]:
    """Plays what is not in the folder's results yet; returns how many were played, and how many were there.
    `watch` is given what comes and its number, for a progress bar."""
    folder.mkdir(parents=True, exist_ok=True)
    path, code = folder / "results.csv", code_mark()
    known = {_key(row) for row in read_results(path)} if path.exists() else set()
    wanted = [
        job
        for job in experiment.jobs()
        if (code, job[0], job[1], str(job[2]), job[3], str(job[4])) not in known
    ]
    # The longest first: the last ones to end should not be those that take long.
    wanted.sort(key=lambda job: -job[2])
    (folder / "experiment.json").write_bytes(msgspec.json.format(msgspec.json.encode(experiment), indent=1))
    with (
        ProcessPoolExecutor(jobs or os.cpu_count()) as pool,
        open(path, "a", newline="", encoding="utf-8") as file,
    ):
        running = {
            pool.submit(player, version, msgspec.json.decode(settings), size, case, seed): (
                version,
                settings,
                size,
                case,
                seed,
            )
            for version, settings, size, case, seed in wanted
        }
        writer = None
        for done in watch(as_completed(running), len(running)):
            inputs = dict(zip(INPUTS, (code, *running[done])))
            row = inputs | done.result()
            if writer is None:
                writer = csv.DictWriter(file, list(row))
                if not file.tell():
                    writer.writeheader()
            writer.writerow(row)
            file.flush()
    return len(wanted), len(known)


def figures(rows: list[dict[str, str]]) -> list[str]:
    return [name for name in rows[0] if name not in INPUTS] if rows else []


def compare(
    one: list[dict[str, str]], other: list[dict[str, str]], names: list[str]
) -> list[tuple[str, str, str, int, float, float, float]]:
    """Two sets of results, seed by seed: for each case and size and figure the number of pairs, the mean of
    the second less the first, and the bounds between which it lies (95%, by Student's t over the pairs)."""
    from scipy import stats

    def by_place(rows: list[dict[str, str]]) -> dict[tuple[str, str, str], dict[str, str]]:
        return {(row["case"], row["size"], row["seed"]): row for row in rows}

    first, second = by_place(one), by_place(other)
    pairs: dict[tuple[str, str, str], list[float]] = defaultdict(list)
    for place in sorted(first.keys() & second.keys()):
        case, size, _ = place
        for name in names:
            pairs[case, size, name].append(float(second[place][name]) - float(first[place][name]))
    found = []
    for (case, size, name), values in pairs.items():
        mean = sum(values) / len(values)
        low = high = mean
        if len(values) > 1 and len(set(values)) > 1:
            low, high = stats.t.interval(Confidence, len(values) - 1, loc=mean, scale=stats.sem(values))
        found.append((case, size, name, len(values), mean, float(low), float(high)))
    return found


def chart(rows: list[dict[str, str]], name: str, path: Path) -> None:
    """One figure over sizes, a line for each version and case: the mean and the most over the seeds."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    lines: dict[tuple[str, str], dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        lines[row["version"], row["case"]][int(row["size"])].append(float(row[name]))
    drawn, axes = pyplot.subplots(figsize=(8, 5))
    for (version, case), sizes in sorted(lines.items()):
        places = sorted(sizes)
        means = [sum(sizes[size]) / len(sizes[size]) for size in places]
        (line,) = axes.plot(places, means, marker="o", label=f"{version}, {case}")
        axes.fill_between(
            places, means, [max(sizes[size]) for size in places], alpha=0.1, color=line.get_color()
        )
    axes.set(xlabel="members", ylabel=name, xscale="log", ylim=(0, None))
    axes.legend(fontsize="small")
    drawn.savefig(path, bbox_inches="tight")
    pyplot.close(drawn)
