#!/bin/sh
# Builds the stand-ins of the cases from 6 on: they are Python, so that nothing is
# compiled but their bytecode. It follows the build of the deploy file, which provides
# the libraries of the store's stand-in.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review/lib2 hibiscustiller/standins
PYTHONPATH=target/deps python3 -m hibiscustiller.standins --help > /dev/null
