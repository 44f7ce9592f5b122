"""The command line as a newcomer uses it."""

import json
import subprocess
import sys
from pathlib import Path

from typer.testing import CliRunner

from applevale.cli.main import app

ROOT = Path(__file__).parent.parent


def run(*words):
    return CliRunner().invoke(app, list(words))


def test_help_names_the_commands():
    text = run("--help").output
    assert all(word in text for word in ("check", "registry", "rig"))


def test_check_distinguishes_good_from_bad_by_exit_code_and_one_line(tmp_path):
    for name in ("examples/config.json", "deploy/registry.json", "deploy/fleet.json", "deploy/members.json"):
        good = run("check", str(ROOT / name))
        assert good.exit_code == 0 and "good" in good.output
    raw = json.loads((ROOT / "deploy/registry.json").read_text())
    raw["registry"]["fresh"] = "soon"
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    bad = run("check", str(path))
    assert bad.exit_code == 2 and bad.output.count("\n") == 1 and "registry.fresh" in bad.output
    raw["registry"]["fresh"], raw["feed"] = 0.35, "127.0.0.1:1"
    path.write_text(json.dumps(raw))
    assert "feed" in run("check", str(path)).output


def test_commands_on_a_registry_that_is_away_end_with_one_line():
    bad = run("registry", "verify", str(ROOT / "deploy/registry.json"), "--seconds", "0.3")
    assert bad.exit_code == 2 and "no member" in bad.output
    assert run("registry", "dump", str(ROOT / "examples/config.json")).exit_code == 2


def test_an_unknown_rig_is_named():
    assert run("rig", "nothing").exit_code == 2


def test_a_short_rig_keeps_its_guarantees():
    done = subprocess.run(
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
    result = json.loads(done.stdout.splitlines()[-1])
    assert result["rig"] == "registry" and result["drains"] > 5 and result["failures"] > 5
    assert result["ok"] and done.returncode == 0, result
