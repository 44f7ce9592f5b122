"""Packages import only lower layers, and the deploy file lists every module that the program may import."""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "applevale"
# From the lowest layer to the highest: a package may import itself, the packages before it, and BASE.
LAYERS = [
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
# General algorithms and containers, which do not depend on requests, engines or settings.
GENERAL_MODULES = {
    "circuit_breaker",
    "containers",
    "dispatching",
    "estimators",
    "hashing",
    "rate_limits",
    "selection",
    "stalls",
}
BASE = {"api", "errors", "policy", "simulator_wire", "__init__", *GENERAL_MODULES}


def module_file(parts):
    """Return the source file of a module or package, named by the parts of its import path."""
    path = PACKAGE.joinpath(*parts[1:])
    return path.with_suffix(".py") if path.with_suffix(".py").is_file() else path / "__init__.py"


def imports(path):
    """Return the project's files that a file imports, also inside functions and for type checking."""
    package = ("applevale", *path.relative_to(PACKAGE).with_suffix("").parts)
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            base = list(package[: len(package) - node.level]) if node.level else []
            base += node.module.split(".") if node.module else []
            if base[:1] != ["applevale"]:
                continue
            for alias in node.names:
                submodule = module_file([*base, alias.name])
                imported.add(submodule if submodule.is_file() else module_file(base))
    return imported


def layer(path):
    """Return the top-level package or module of a file."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def test_general_modules_import_no_other_part():
    violations = [
        f"{name} -> {other.relative_to(PACKAGE)}"
        for name in GENERAL_MODULES
        for other in imports(PACKAGE / f"{name}.py")
        if layer(other) not in GENERAL_MODULES
    ]
    assert violations == []


def test_no_package_imports_a_higher_layer():
    violations = []
    for path in PACKAGE.rglob("*.py"):
        if layer(path) not in LAYERS:
            continue
        for other in imports(path):
            is_layered = layer(other) not in BASE and layer(other) in LAYERS
            if is_layered and LAYERS.index(layer(other)) > LAYERS.index(layer(path)):
                violations.append(f"{path.relative_to(PACKAGE)} -> {other.relative_to(PACKAGE)}")
    assert violations == []


def test_the_deploy_file_lists_every_module_that_the_program_may_import():
    reachable = set()
    pending = [PACKAGE / "__main__.py"]
    while pending:
        path = pending.pop()
        if path not in reachable:
            reachable.add(path)
            pending += imports(path)
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    deployed = [ROOT / name for name in deploy["node"] + deploy["policy"]]
    assert all(entry.exists() for entry in deployed)
    missing = [
        str(path.relative_to(ROOT))
        for path in reachable
        if not any(path == entry or entry in path.parents for entry in deployed)
        and path.name != "__init__.py"
    ]
    assert missing == []
    assert len(reachable) > 20  # guards against a search that finds nothing
