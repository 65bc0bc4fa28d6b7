#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
cd "$(dirname "$0")" || exit 1
PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiled", path)
'
