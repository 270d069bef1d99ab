#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/lib exec python3 review/3/case.py
