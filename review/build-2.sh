#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: Python files that need
# only the standard library. The programs themselves are built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in harness-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -f ../target/deps/.lock || echo "run the build of deploy/system.toml first"
