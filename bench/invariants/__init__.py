"""Judge a run by what stand-ins and callers recorded, never by the system's word."""

import pathlib
import sys

import msgspec

from bench.invariants import checks, files


def run(arguments: list[str]) -> int:
    """Check the files of records in a folder; one violation a line, 1 if any."""
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
