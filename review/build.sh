#!/bin/sh
# The stand-ins are Python 3 programs that use its standard library alone: nothing has to be built. This
# only checks that they can be read, so that a missing interpreter shows here.
set -e
cd "$(dirname "$0")"
python3 - common/standins.py 1/case.py 2/case.py 3/case.py <<'PYTHON'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PYTHON
