#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10. They are Python 3 with its standard library alone, so the
# build compiles them, which shows that this Python can run them. The compiled files go to target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPYCACHEPREFIX=target/review-2 python3 -m py_compile review/support-2/*.py review/[6-9]/*.py review/10/*.py
