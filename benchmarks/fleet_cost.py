"""What one request and one event of the list cost the decision module, by the number of engines.

    python benchmarks/fleet_cost.py [OTHER]

OTHER is a folder with another version of the package (`git worktree add OTHER REV`); both versions then run
in turns, each in a process of its own, and the least of several rounds is told for each.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent.parent
SIZES = (8, 60, 1000)
REQUESTS, EVENTS, ROUNDS = 300, 40, 3


def measure() -> dict[str, list[float]]:
    """Microseconds of a request with its outcome, and of a change of one engine, at each size."""
    from applevale import api
    from applevale.policy import AdmissionController

    classes = (api.ClassSpec(name="lookup", aim=0.75, aim_stretch=2.0, deadline=4.0, worth=1.0),)
    known = api.Settings.__dataclass_fields__
    wanted = {
        "gateways": 40,
        "may_probe": True,
        "may_cancel": True,
        "report_columns": ("active",),
        "report_how": "answers",
        "probe_price": 0.08,
    }
    settings = api.Settings(
        classes=classes,
        kinds=(api.KindSpec("k", 8.0, 16384.0),),
        **{key: value for key, value in wanted.items() if key in known},
    )
    figures: dict[str, list[float]] = {"request": [], "list_event": []}
    for size in SIZES:
        controller, now = AdmissionController(settings, 1), 100.0
        controller.handle(now, [api.EngineList(tuple(api.EngineEntry(n) for n in range(size)), whole=True)])
        began = time.perf_counter()
        for number in range(REQUESTS):
            now += 0.1
            asked = api.Request(number, 0, ttl=4.0, work=0.2, memory_mb=50.0, tables=float(number % 40))
            actions = controller.handle(now, [asked])
            # A version that looks first gets its answers, else its requests would pile up in the line.
            while looks := [a.engine for a in actions if isinstance(a, api.Probe)]:
                told = [api.ProbeResult(one, api.Result.OK, 0.001, (5.0,)) for one in looks]
                actions = controller.handle(now, told)
            for send in (a for a in actions if isinstance(a, api.Send)):
                done = api.Outcome(number, 0, send.engine, api.Result.OK, 0.1, True, 0.2, 40.0, (5.0,))
                controller.handle(now + 0.05, [done])
        figures["request"].append((time.perf_counter() - began) / REQUESTS * 1e6)
        began = time.perf_counter()
        for turn in range(EVENTS):
            now += 0.1
            state = api.State.DRAINING if turn % 2 == 0 else api.State.READY
            controller.handle(now, [api.EngineList((api.EngineEntry(1, state=state),))])
        figures["list_event"].append((time.perf_counter() - began) / EVENTS * 1e6)
    return figures


def run(folder: Path) -> dict[str, list[float]]:
    done = subprocess.run(
        [sys.executable, __file__, "--measure", str(folder)], check=True, capture_output=True, text=True
    )
    return json.loads(done.stdout)


def main(arguments: list[str]) -> int:
    if arguments[:1] == ["--measure"]:
        sys.path.insert(0, arguments[1])
        print(json.dumps(measure()))
        return 0
    folders = {"here": HERE}
    if arguments:
        folders["other"] = Path(arguments[0]).resolve()
    rounds = {name: [run(folder) for _ in range(ROUNDS)] for name, folder in folders.items()}
    print(f"{'us at engines':>20} " + " ".join(f"{size:>8}" for size in SIZES))
    for kind in ("request", "list_event"):
        for name, results in rounds.items():
            least = [min(result[kind][at] for result in results) for at in range(len(SIZES))]
            print(f"{kind + ' ' + name:>20} " + " ".join(f"{value:8.0f}" for value in least))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
