"""Grids of simulated runs, which use all cores and can be resumed after an interruption.

This module is independent of what is simulated: a runner takes a version with its settings, a size, a case
and a seed, and returns figures by name. Each row of `results.csv` holds the inputs of its run and a digest of
the code that ran, so that results of other code are not taken for those of the present code.
"""

from __future__ import annotations

import csv
import os
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import IO, Annotated

import msgspec

from .results import INPUT_COLUMNS, ExperimentError, Row, read_results

# Packages on whose code the result of a run may depend.
DIGESTED_PACKAGES = ("membership", "startup", "simulation", "fault_injection", "checkers")
CODE_DIGEST_BYTES = 6
RESULTS_FILE = "results.csv"
EXPERIMENT_FILE = "experiment.json"

Runner = Callable[[str, dict[str, float], int, str, int], dict[str, float]]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


@dataclass(frozen=True)
class Job:
    """The inputs of one run of a grid.

    Attributes:
        version: Name of the version in the experiment file.
        settings: Settings of the version, as JSON with sorted keys.
        size: Number of members.
        case: Name of the scenario.
        seed: Seed of all random draws.
    """

    version: str
    settings: str
    size: int
    case: str
    seed: int

    def inputs(self, code: str) -> Row:
        """Return the input columns of the result; `code` is the digest of the code."""
        values = (code, self.version, self.settings, str(self.size), self.case, str(self.seed))
        return dict(zip(INPUT_COLUMNS, values))


@dataclass(frozen=True)
class RunCounts:
    """The numbers of runs that a call of `run` completed, and of results that it found.

    Attributes:
        completed: Runs completed by the call.
        already_stored: Results that the folder already held, also those of other code or grids.
    """

    completed: int
    already_stored: int


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The content of an experiment file: a grid of runs.

    Attributes:
        machine: Name of the state machine, a key of `RUNNERS`.
        sizes: Numbers of members.
        cases: Names of scenarios.
        seeds: First and last seed, both included.
        versions: Settings of each version, by its name.
    """

    machine: str
    sizes: Annotated[list[PositiveCount], msgspec.Meta(min_length=1, max_length=100)]
    cases: Annotated[list[str], msgspec.Meta(min_length=1, max_length=100)]
    seeds: tuple[PositiveCount, PositiveCount]
    versions: Annotated[dict[str, dict[str, float]], msgspec.Meta(min_length=1, max_length=20)]

    def jobs(self) -> list[Job]:
        """Return all runs of the grid."""
        return [
            Job(version, msgspec.json.encode(settings, order="sorted").decode(), size, case, seed)
            for size in self.sizes
            for case in self.cases
            for version, settings in self.versions.items()
            for seed in range(self.seeds[0], self.seeds[1] + 1)
        ]


def read_experiment(data: bytes) -> Experiment:
    """Parse the content of an experiment file.

    Raises:
        ExperimentError: It is invalid; the text names the place.
    """
    try:
        return msgspec.json.decode(data, type=Experiment)
    except msgspec.MsgspecError as error:
        raise ExperimentError(f"experiment: {error}") from None


def code_digest(root: Path = Path(__file__).parent.parent) -> str:
    """Return a digest of all code on which the result of a run may depend."""
    digest = blake2b(digest_size=CODE_DIGEST_BYTES)
    for package in DIGESTED_PACKAGES:
        for path in sorted((root / package).glob("*.py")):
            digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()


def run(
    experiment: Experiment,
    runner: Runner,
    folder: Path,
    process_count: int | None = None,
    track_progress: Callable[[Iterable, int], Iterable] = lambda done, total: done,
) -> RunCounts:
    """Run all jobs of a grid whose results are not in the folder yet.

    Args:
        experiment: The grid.
        runner: Performs one run; called in another process.
        folder: Folder of the results; created if it does not exist.
        process_count: Number of processes; None: one for each core.
        track_progress: Wraps the iterable of finished runs, given with their number; for a progress bar.

    Raises:
        ExperimentError: The results in the folder cannot be read.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULTS_FILE
    code = code_digest()
    known_keys = {_key(row) for row in read_results(path)} if path.exists() else set()
    pending = _pending_jobs(experiment, code, known_keys)
    (folder / EXPERIMENT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(experiment), indent=1))
    with (
        ProcessPoolExecutor(process_count or os.cpu_count()) as pool,
        open(path, "a", newline="", encoding="utf-8") as file,
    ):
        running = {_submit(pool, runner, job): job for job in pending}
        finished = track_progress(as_completed(running), len(running))
        _append_rows(file, (running[future].inputs(code) | future.result() for future in finished))
    return RunCounts(len(pending), len(known_keys))


def _pending_jobs(experiment: Experiment, code: str, known_keys: set[tuple[str, ...]]) -> list[Job]:
    """Return the jobs without a result, largest first, so that no long run is left for the end."""
    pending = [job for job in experiment.jobs() if _key(job.inputs(code)) not in known_keys]
    return sorted(pending, key=lambda job: -job.size)


def _key(row: Row) -> tuple[str, ...]:
    return tuple(row[name] for name in INPUT_COLUMNS)


def _submit(pool: ProcessPoolExecutor, runner: Runner, job: Job) -> Future:
    settings = msgspec.json.decode(job.settings)
    return pool.submit(runner, job.version, settings, job.size, job.case, job.seed)


def _append_rows(file: IO[str], rows: Iterable[dict]) -> None:
    """Write and flush each row as it arrives, after a header if the file is empty."""
    writer = None
    for row in rows:
        if writer is None:
            writer = csv.DictWriter(file, list(row))
            if not file.tell():
                writer.writeheader()
        writer.writerow(row)
        file.flush()
