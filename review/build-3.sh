#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start: they are Python, so it compiles
# them, and checks that the build of the deploy file has been made.
set -eu
cd "$(dirname "$0")/.."
test -f target/deps/.installed || sh deploy/build.sh
python3 -m compileall -q tests/platform_adapter/standin_platform.py review/harness-3
