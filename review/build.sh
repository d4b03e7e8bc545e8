#!/bin/sh
# The stand-ins need nothing beyond the standard library: checks that what `build` of the deploy file made can
# compile and import them.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q stage.py [123]
