#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=review/lib exec python3 review/3/case.py
