"""What an experiment may play, by the name of its machine."""

from __future__ import annotations

from dataclasses import fields, replace

from ..checkers import membership as verify
from ..checkers.history import History
from ..fault_injection.scenarios import SCENARIOS
from ..membership.suspicion import Times
from .experiment import ExperimentError
from .membership import VERSIONS, Fleet

KNOWN = 500  # members from which a fleet does not start first: what its start takes grows with the square
_TIMES = tuple(one.name for one in fields(Times))


def membership(version: str, settings: dict[str, float], size: int, case: str, seed: int) -> dict[str, float]:
    """`settings`: fields of the machine's pace, and of its times."""
    pace = VERSIONS[version.partition(":")[0]]
    times = {name: value for name, value in settings.items() if name in _TIMES}
    pace = replace(
        pace,
        times=replace(pace.times, **times),
        **{name: value for name, value in settings.items() if name not in _TIMES},
    )
    found = verify.figures(History(Fleet(size, seed, pace, known=size >= KNOWN).run(case)))
    flat: dict[str, float] = {}
    for name, value in found.items():
        if isinstance(value, dict):
            flat |= {f"{name}_{part}": one for part, one in value.items()}
        else:
            flat[name] = value
    return flat


def check_membership(versions: dict[str, dict[str, float]], cases: list[str]) -> None:
    """Raises ExperimentError."""
    for name, settings in versions.items():
        if name.partition(":")[0] not in VERSIONS:
            raise ExperimentError(f"versions: {name!r} is none of {', '.join(VERSIONS)}")
        for one in settings:
            if one not in _TIMES and one not in VERSIONS["fleet"].__dataclass_fields__:
                raise ExperimentError(f"versions.{name}: {one!r} is no setting")
    for case in cases:
        if case not in SCENARIOS or case == "upgrade":
            raise ExperimentError(f"cases: {case!r} is no course of the emulator's")


PLAYERS = {"membership": (membership, check_membership)}
