#!/bin/sh
# Compiles the project's stand-ins and the programs of the cases.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q hibiscustiller review
