#!/bin/sh
# Runs the case in the folder given, after the build of the deploy file and review/build-2.sh.
command -v python3 > /dev/null || { echo "the case could not run: no python3"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 "$1/case.py"
