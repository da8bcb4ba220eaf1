#!/bin/sh
# Builds what the scripts of review/4 to review/8 start beside the daemon. Their stand-ins are in Python (3.9 or later, its standard library
# alone): nothing has to be compiled, so that this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
python3 - <<'CHECK'
import ast
for path in ["kit-2/standins.py"] + [f"{number}/case.py" for number in range(4, 9)]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
