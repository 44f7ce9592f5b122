"""Grids of simulated runs: all cores, results kept as they come, resumed after a stop, compared by seed.

Nothing here knows what is run: a runner takes a version's settings, a size, a case and a seed, and returns
figures by name. Each row of `results.csv` holds the inputs that made it, beside a digest of the code that
ran, so that rows of other code are never taken for this one's.
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

from .results import INPUTS, ExperimentError, Row, read_results

# Packages that a run may depend on.
DIGESTED_PACKAGES = ("membership", "startup", "simulation", "fault_injection", "checkers")
CODE_DIGEST_BYTES = 6
RESULTS_FILE = "results.csv"
EXPERIMENT_FILE = "experiment.json"

Runner = Callable[[str, dict[str, float], int, str, int], dict[str, float]]
Positive = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


@dataclass(frozen=True)
class Job:
    """One run of a grid.

    Attributes:
        version: Name of the version, as the runner knows it.
        settings: Its settings, as JSON with sorted keys.
        size: Members.
        case: Name of the scenario.
        seed: Seed of all random draws.
    """

    version: str
    settings: str
    size: int
    case: str
    seed: int

    def inputs(self, code: str) -> Row:
        """Return the columns of a result that name the run, with the digest of the code."""
        values = (code, self.version, self.settings, str(self.size), self.case, str(self.seed))
        return dict(zip(INPUTS, values))


@dataclass(frozen=True)
class RunCounts:
    """What a call of `run` did.

    Attributes:
        completed: Runs played now.
        known: Results that the folder held before.
    """

    completed: int
    known: int


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An experiment file.

    Attributes:
        machine: Name of the runner.
        sizes: Numbers of members.
        cases: Names of scenarios.
        seeds: The first and the last seed.
        versions: A name of the runner's, with settings of its own.
    """

    machine: str
    sizes: Annotated[list[Positive], msgspec.Meta(min_length=1, max_length=100)]
    cases: Annotated[list[str], msgspec.Meta(min_length=1, max_length=100)]
    seeds: tuple[Positive, Positive]
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
    """Parse an experiment file.

    Raises:
        ExperimentError: It is not valid; the text names the place.
    """
    try:
        return msgspec.json.decode(data, type=Experiment)
    except msgspec.MsgspecError as error:
        raise ExperimentError(f"experiment: {error}") from None


def code_digest(root: Path = Path(__file__).parent.parent) -> str:
    """Return a digest of all code that a run may depend on."""
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
    watch: Callable[[Iterable, int], Iterable] = lambda done, total: done,
) -> RunCounts:
    """Play the runs whose results are not in the folder yet.

    Args:
        experiment: The grid.
        runner: Plays one run; called in another process.
        folder: Folder of the results; created where it is missing.
        process_count: Processes; None: one for each core.
        watch: Wraps the finished runs, given with their number, for a progress bar.

    Raises:
        ExperimentError: The folder's results cannot be read.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / RESULTS_FILE
    code = code_digest()
    known = {_key(row) for row in read_results(path)} if path.exists() else set()
    pending = _pending_jobs(experiment, code, known)
    (folder / EXPERIMENT_FILE).write_bytes(msgspec.json.format(msgspec.json.encode(experiment), indent=1))
    with (
        ProcessPoolExecutor(process_count or os.cpu_count()) as pool,
        open(path, "a", newline="", encoding="utf-8") as file,
    ):
        running = {_submit(pool, runner, job): job for job in pending}
        finished = watch(as_completed(running), len(running))
        _append_rows(file, (running[future].inputs(code) | future.result() for future in finished))
    return RunCounts(len(pending), len(known))


def _pending_jobs(experiment: Experiment, code: str, known: set[tuple[str, ...]]) -> list[Job]:
    """Return the runs without a result, the largest first: the last to end should not take long."""
    pending = [job for job in experiment.jobs() if _key(job.inputs(code)) not in known]
    return sorted(pending, key=lambda job: -job.size)


def _key(row: Row) -> tuple[str, ...]:
    return tuple(row[name] for name in INPUTS)


def _submit(pool: ProcessPoolExecutor, runner: Runner, job: Job) -> Future:
    settings = msgspec.json.decode(job.settings)
    return pool.submit(runner, job.version, settings, job.size, job.case, job.seed)


def _append_rows(file: IO[str], rows: Iterable[dict]) -> None:
    """Write rows as they come, each flushed; a header only where the file is empty."""
    writer = None
    for row in rows:
        if writer is None:
            writer = csv.DictWriter(file, list(row))
            if not file.tell():
                writer.writeheader()
        writer.writerow(row)
        file.flush()
