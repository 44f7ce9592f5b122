"""Experiments: grids are run, resumed and compared; errors in an experiment file name the place."""

import json
from dataclasses import fields

from typer.testing import CliRunner

from applevale.cli.main import app
from applevale.membership.config import ProtocolConfig
from applevale.membership.suspicion import SuspicionTimeouts
from applevale.simulation import results, runners

GRID = {
    "machine": "membership",
    "sizes": [6],
    "cases": ["killed"],
    "seeds": [1, 2],
    "versions": {"fleet": {}, "swim": {"least": 1.0}},
}


def run(*arguments):
    return CliRunner().invoke(app, list(arguments))


def write(tmp_path, **changes):
    path = tmp_path / "grid.json"
    path.write_text(json.dumps(GRID | changes))
    return str(path)


def test_a_grid_runs_once_and_resumes_after_an_interruption(tmp_path):
    path, folder = write(tmp_path), str(tmp_path / "out")
    first = run("experiment", "run", path, folder, "--jobs", "2")
    assert first.exit_code == 0 and "4 runs completed, 0 already had results" in first.output
    rows = results.read_results(tmp_path / "out" / "results.csv")
    assert {(row["version"], row["seed"]) for row in rows} == {
        (version, seed) for version in ("fleet", "swim") for seed in "12"
    }
    assert all(float(row["missed"]) == 0 and float(row["agree_s_max"]) > 0 for row in rows)
    stored = tmp_path / "out" / "results.csv"
    stored.write_text(
        "\n".join(stored.read_text().splitlines()[:-1]) + "\n"
    )  # as if interrupted before the last run
    again = run("experiment", "run", path, folder)
    assert "1 runs completed, 3 already had results" in again.output
    picture = tmp_path / "agree.png"
    assert run("experiment", "chart", folder, "agree_s_max", str(picture)).exit_code == 0
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_two_sets_of_results_are_compared_by_seed_with_a_confidence_interval():
    def rows(values):
        return [
            {"case": "c", "size": "5", "seed": str(seed), "x": str(value)}
            for seed, value in enumerate(values)
        ]

    (result,) = results.compare(rows([1, 2, 3, 9]), rows([2, 4, 4]), ["x"])
    assert (result.case, result.size, result.figure, result.pair_count) == ("c", "5", "x", 3)
    assert round(result.mean, 6) == 1.333333
    assert round(result.lower_bound, 3) == -0.101 and round(result.upper_bound, 3) == 2.768
    same = results.compare(rows([1, 2]), rows([2, 3]), ["x"])[0]
    assert (same.mean, same.lower_bound, same.upper_bound) == (1.0, 1.0, 1.0)


def test_an_invalid_experiment_is_reported_in_one_line_with_the_place(tmp_path):
    for change, named in (
        ({"sizes": [0]}, "$.sizes[0]"),
        ({"machine": "kettle"}, "kettle"),
        ({"cases": ["nap"]}, "nap"),
        ({"versions": {"swim": {"warp": 9}}}, "warp"),
        ({"versions": {"raft": {}}}, "raft"),
    ):
        result = run("experiment", "run", write(tmp_path, **change), str(tmp_path / "no"))
        assert result.exit_code == 2 and named in result.output and result.output.count("\n") == 1
    result = run("experiment", "compare", str(tmp_path), str(tmp_path))
    assert result.exit_code == 2 and "results.csv" in result.output


def test_members_prints_the_last_view_of_each_instance_in_a_log(tmp_path):
    log = tmp_path / "log"
    log.write_text(
        "plain line\n"
        + "\n".join(
            json.dumps(event)
            for event in (
                {"event": "stand", "instance": "n0", "stand": "well", "at": 1.0},
                {"event": "view", "instance": "n0", "at": 2.5, "changes": [["n1", "died"]]},
                {"event": "members", "instance": "n0", "at": 3.0, "stand": "well", "view": [[0, 1], [2, 4]]},
            )
        )
    )
    result = run("members", str(log))
    assert result.exit_code == 0 and "2 live: n0 n2; at 2.50: n1 died" in result.output
    empty = tmp_path / "empty"
    empty.write_text("{}\n")
    assert run("members", str(empty)).exit_code == 2


def test_each_membership_parameter_has_exactly_one_experiment_key():
    keys = [field.name for field in fields(ProtocolConfig) if field.name != "timeouts"]
    assert sorted(runners.CONFIG_FIELDS.values()) == sorted(keys)
    assert sorted(runners.TIMEOUT_FIELDS.values()) == sorted(
        field.name for field in fields(SuspicionTimeouts)
    )
    assert not runners.CONFIG_FIELDS.keys() & runners.TIMEOUT_FIELDS.keys()
