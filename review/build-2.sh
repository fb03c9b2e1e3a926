#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can run. They are Python 3 programs without
# dependencies, so that nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
