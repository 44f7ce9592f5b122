"""The command line tool: output, errors and exit codes."""

import json
import subprocess
import sys
from pathlib import Path

from typer.testing import CliRunner

from applevale.cli.main import app

ROOT = Path(__file__).parent.parent


def run(*arguments):
    return CliRunner().invoke(app, list(arguments))


def test_help_lists_the_commands():
    output = run("--help").output
    assert all(command in output for command in ("check", "registry", "rig"))


def test_check_reports_an_invalid_configuration_by_exit_code_and_one_line(tmp_path):
    for name in ("examples/config.json", "deploy/registry.json", "deploy/fleet.json", "deploy/members.json"):
        valid = run("check", str(ROOT / name))
        assert valid.exit_code == 0 and "good" in valid.output
    raw = json.loads((ROOT / "deploy/registry.json").read_text())
    raw["registry"]["fresh"] = "soon"
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    invalid = run("check", str(path))
    assert invalid.exit_code == 2 and invalid.output.count("\n") == 1 and "registry.fresh" in invalid.output
    raw["registry"]["fresh"] = 0.35
    raw["feed"] = "127.0.0.1:1"
    path.write_text(json.dumps(raw))
    assert "feed" in run("check", str(path)).output


def test_registry_commands_fail_without_a_reachable_registry():
    unreachable = run("registry", "verify", str(ROOT / "deploy/registry.json"), "--seconds", "0.3")
    assert unreachable.exit_code == 2 and "no member" in unreachable.output
    assert run("registry", "dump", str(ROOT / "examples/config.json")).exit_code == 2


def test_the_rig_command_rejects_an_unknown_name():
    """The command `applevale rig` runs the real program with fakes and injects faults."""
    assert run("rig", "nothing").exit_code == 2


def test_a_short_run_of_the_rig_command_with_the_fake_registry_succeeds():
    completed = subprocess.run(
        [
            sys.executable,
            "-c",
            "from applevale.cli.main import main; main()",
            "rig",
            "registry",
            "--seed",
            "1",
            "--seconds",
            "12",
            "--json",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    result = json.loads(completed.stdout.splitlines()[-1])
    assert result["rig"] == "registry" and result["drains"] > 5 and result["failures"] > 5
    assert result["ok"] and completed.returncode == 0, result
