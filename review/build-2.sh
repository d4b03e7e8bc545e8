#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python files on the standard library alone, so that this
# only checks that the environment of the deploy file is there and that each of them compiles.
cd "$(dirname "$0")" || exit 2
test -x ../.venv/bin/python || { echo "the build of deploy/balancer.toml comes first" >&2; exit 2; }
exec ../.venv/bin/python -m compileall -q stage2.py $(ls -d 6 7 8 9 10 2>/dev/null)
