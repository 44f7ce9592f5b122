#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python scripts for the interpreter that the build of the deploy
# file lays in .venv, with the libraries that it installs there, so there is nothing to compile; this checks that.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import hiredis, msgpack'
.venv/bin/python -m compileall -q review/common-2 review/6 review/7 review/8 review/9 review/10
