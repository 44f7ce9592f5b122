#!/bin/sh
# Prepares the stand-ins of the cases, after the deploy file's `build`. They are plain Python and need only what
# that build installs, so this compiles them to show that they can be started.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import hiredis, msgpack, uvloop'
.venv/bin/python -m compileall -q review
