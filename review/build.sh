#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python files without libraries,
# so this compiles them, which fails if one of them can't be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q harness ./*/case.py
