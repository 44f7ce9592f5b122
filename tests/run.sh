#!/bin/sh
# Formatter, linter and all tests, with the Python given: tests/run.sh .venv/bin/python
set -eu
cd "$(dirname "$0")/.."
python=${1:-python3}
"$python" -m ruff format --check .
"$python" -m ruff check .
# Real programs have the machine to themselves: their promises hold in real time.
fleets="tests/test_fleet.py tests/test_members_fleet.py"
"$python" -m pytest $(printf -- '--ignore=%s ' $fleets)
"$python" -m pytest -n 0 $fleets
