"""The parts import downwards, and the deploy file names all that the real program may load."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "applevale"
# What may import what: a package sees itself and those named before it. Single files are the base of all.
ORDER = [
    "observability",
    "startup",
    "net",
    "membership",
    "discovery",
    "zones",
    "admin",
    "engines",
    "dispatch",
    "gossip",
    "requests",
    "server",
    "config",
    "runtime",
    "fault_injection",
    "fakes",
    "checkers",
    "simulation",
    "harness",
    "cli",
]
# Arithmetic, containers and the like that know no request, engine or setting.
ARITHMETIC = {
    "circuit_breaker",
    "containers",
    "dispatching",
    "estimators",
    "hashing",
    "rate_limits",
    "selection",
    "stalls",
}
BASE = {"api", "errors", "policy", "simulator_wire", "__init__", *ARITHMETIC}


def module_file(parts):
    path = PACKAGE.joinpath(*parts[1:])
    return path.with_suffix(".py") if path.with_suffix(".py").is_file() else path / "__init__.py"


def imports(path):
    """The project's files that a file imports, also inside its functions and for its types only."""
    package = ("applevale", *path.relative_to(PACKAGE).with_suffix("").parts)
    found = set()
    for one in ast.walk(ast.parse(path.read_text())):
        if isinstance(one, ast.ImportFrom):
            base = list(package[: len(package) - one.level]) if one.level else []
            base += (one.module or "").split(".") if one.module else []
            if base[:1] != ["applevale"]:
                continue
            for name in one.names:
                inner = module_file([*base, name.name])
                found.add(inner if inner.is_file() else module_file(base))
    return found


def layer(path):
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def test_arithmetic_beside_the_decision_module_knows_no_other_part():
    foreign = [
        f"{name} -> {other.relative_to(PACKAGE)}"
        for name in ARITHMETIC
        for other in imports(PACKAGE / f"{name}.py")
        if layer(other) not in ARITHMETIC
    ]
    assert foreign == []


def test_no_part_imports_one_above_it():
    upward = []
    for path in PACKAGE.rglob("*.py"):
        if layer(path) not in ORDER:
            continue
        for other in imports(path):
            is_ordered = layer(other) not in BASE and layer(other) in ORDER
            if is_ordered and ORDER.index(layer(other)) > ORDER.index(layer(path)):
                upward.append(f"{path.relative_to(PACKAGE)} -> {other.relative_to(PACKAGE)}")
    assert upward == []


def test_the_deploy_file_names_all_that_run_may_load():
    reached, waiting = set(), [PACKAGE / "__main__.py"]
    while waiting:
        path = waiting.pop()
        if path not in reached:
            reached.add(path)
            waiting += imports(path)
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / one for one in deploy["node"] + deploy["policy"]]
    assert all(one.exists() for one in named)
    missing = [
        str(path.relative_to(ROOT))
        for path in reached
        if not any(path == one or one in path.parents for one in named) and path.name != "__init__.py"
    ]
    assert missing == []
    assert len(reached) > 20  # the walk found the program
