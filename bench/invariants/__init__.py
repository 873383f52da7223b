"""Check the invariants of a run with the records of its stand-ins and callers.

What the system reports about itself is not used.
"""

import pathlib
import sys

import msgspec

from bench.invariants import checks, files


def run(arguments: list[str]) -> int:
    """Check the record files of a folder, print the violations and return 1 if any."""
    if len(arguments) != 1:
        print("usage: invariants FOLDER", file=sys.stderr)
        return 2
    recorded = files.read(pathlib.Path(arguments[0]))
    violations = checks.check(recorded)
    for violation in violations:
        print(msgspec.json.encode(violation).decode())
    summary = {"records": len(recorded), "violations": len(violations)}
    print(msgspec.json.encode(summary).decode())
    return 1 if violations else 0
