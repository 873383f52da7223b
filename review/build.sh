#!/bin/sh
# Compile the stand-ins; they need Python's standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print("compiles:", path)
'
