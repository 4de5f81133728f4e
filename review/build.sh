#!/bin/sh
# Builds the stand-ins of the cases. They are Python 3.11 programs without dependencies, so this checks that each of
# them compiles; it writes nothing. The gateway itself is built by deploy/build.sh.
set -e
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
