#!/bin/sh
# Checks formatting, lints and runs all tests. Usage: tests/run.sh [PYTHON], for example .venv/bin/python
set -eu
cd "$(dirname "$0")/.."
python=${1:-python3}
"$python" -m ruff format --check .
"$python" -m ruff check .
# These tests run fleets of real processes with real-time guarantees, so nothing else runs beside them.
fleet_tests="tests/test_fleet.py tests/test_members_fleet.py"
"$python" -m pytest $(printf -- '--ignore=%s ' $fleet_tests)
"$python" -m pytest -n 0 $fleet_tests
