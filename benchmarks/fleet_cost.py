"""CPU time that one request and one engine list event cost the decision module, by the number of engines.

    python benchmarks/fleet_cost.py [OTHER]

OTHER is a folder with another version of the package (`git worktree add OTHER REV`). Each round runs in a
process of its own; the minimum of all rounds is printed for each version.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from operator import attrgetter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
ENGINE_COUNTS = (8, 60, 1000)
REQUEST_COUNT = 300
LIST_EVENT_COUNT = 40
ROUND_COUNT = 3
INTERVAL_SECONDS = 0.1  # between two requests or events, by the clock of the decision module
START_SECONDS = 100.0
MICROSECONDS = 1e6
MEASURE_OPTION = "--measure"
SETTINGS = {  # A version is given only the settings that it has.
    "gateways": 40,
    "may_probe": True,
    "may_cancel": True,
    "report_columns": ("active",),
    "report_how": "answers",  # the former name of the next one
    "load_report_mode": "answers",
    "probe_price": 0.08,
}


class PolicyBenchmark:
    """A decision module with a number of engines and a simulated clock."""

    def __init__(self, engine_count: int):
        """Create the module and list its engines."""
        from applevale import api  # the version under test, whose folder is first on the path
        from applevale.policy import AdmissionController

        self.api: Any = api
        # Fields are found by their positions, since other versions have other names for some of them.
        self.probed_engine = attrgetter(api.Probe.__match_args__[0])
        self.receiving_engine = attrgetter(api.Send.__match_args__[1])
        self.outcome_type = getattr(api, "AttemptOutcome", None) or api.Outcome  # its former name
        self.engine_states = type(api.EngineEntry(1).state)
        known = api.Settings.__dataclass_fields__
        settings = api.Settings(
            classes=(api.ClassSpec(name="lookup", aim=0.75, aim_stretch=2.0, deadline=4.0, worth=1.0),),
            kinds=(api.KindSpec("k", 8.0, 16384.0),),
            **{key: value for key, value in SETTINGS.items() if key in known},
        )
        self.controller = AdmissionController(settings, 1)
        self.now = START_SECONDS
        engines = tuple(api.EngineEntry(number) for number in range(engine_count))
        self.controller.handle(self.now, [api.EngineList(engines, True)])

    def time_requests(self) -> float:
        """Return the mean time of a request with its outcome, in microseconds."""
        started_at = time.perf_counter()
        for number in range(REQUEST_COUNT):
            self.now += INTERVAL_SECONDS
            self._serve_request(number)
        return (time.perf_counter() - started_at) / REQUEST_COUNT * MICROSECONDS

    def _serve_request(self, number: int) -> None:
        api = self.api
        request = api.Request(number, 0, 0, 0, 4.0, 0.2, 50.0, float(number % 40))
        actions = self.controller.handle(self.now, [request])
        # A version that probes before it sends needs the results, or its requests would stay in the queue.
        while probed := [self.probed_engine(action) for action in actions if isinstance(action, api.Probe)]:
            results = [api.ProbeResult(engine, api.Result.OK, 0.001, (5.0,)) for engine in probed]
            actions = self.controller.handle(self.now, results)
        for send in (action for action in actions if isinstance(action, api.Send)):
            engine = self.receiving_engine(send)
            outcome = self.outcome_type(number, 0, engine, api.Result.OK, 0.1, True, 0.2, 40.0, (5.0,))
            self.controller.handle(self.now + 0.05, [outcome])

    def time_list_events(self) -> float:
        """Return the mean time of a list event that changes one engine, in microseconds."""
        api = self.api
        started_at = time.perf_counter()
        for turn in range(LIST_EVENT_COUNT):
            self.now += INTERVAL_SECONDS
            state = self.engine_states.DRAINING if turn % 2 == 0 else self.engine_states.READY
            self.controller.handle(self.now, [api.EngineList((api.EngineEntry(1, state=state),))])
        return (time.perf_counter() - started_at) / LIST_EVENT_COUNT * MICROSECONDS


def measure() -> dict[str, list[float]]:
    """Return the microseconds per request and per list event, for each of `ENGINE_COUNTS`."""
    figures: dict[str, list[float]] = {"request": [], "list_event": []}
    for engine_count in ENGINE_COUNTS:
        benchmark = PolicyBenchmark(engine_count)
        figures["request"].append(benchmark.time_requests())
        figures["list_event"].append(benchmark.time_list_events())
    return figures


def run(folder: Path) -> dict[str, list[float]]:
    """Measure the version in a folder in a separate process."""
    completed = subprocess.run(
        [sys.executable, __file__, MEASURE_OPTION, str(folder)], check=True, capture_output=True, text=True
    )
    return json.loads(completed.stdout)


def main(arguments: list[str]) -> int:
    """Measure this version and, if given, another one; return the exit code."""
    if arguments[:1] == [MEASURE_OPTION]:
        sys.path.insert(0, arguments[1])
        print(json.dumps(measure()))
        return 0
    folders = {"here": ROOT}
    if arguments:
        folders["other"] = Path(arguments[0]).resolve()
    rounds = {name: [run(folder) for _ in range(ROUND_COUNT)] for name, folder in folders.items()}
    print(f"{'us at engines':>20} " + " ".join(f"{count:>8}" for count in ENGINE_COUNTS))
    for kind in ("request", "list_event"):
        for name, results in rounds.items():
            minimums = [min(result[kind][index] for result in results) for index in range(len(ENGINE_COUNTS))]
            print(f"{kind + ' ' + name:>20} " + " ".join(f"{value:8.0f}" for value in minimums))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
