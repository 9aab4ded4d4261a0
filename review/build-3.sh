#!/bin/sh
# Builds what the scripts of cases 9 to 13 start beside the programs of the deploy file. Their stand-ins
# are Python without packages (review/world3): this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 8), "the stand-ins need Python 3.8 or later"
names = ["world3/world.py"] + [f"{n}/case.py" for n in range(9, 14)]
for name in names:
    ast.parse(pathlib.Path(name).read_text(), name)
print(f"{len(names)} files can be loaded")
PY
