"""Output of the operator's tool: JSON for scripts, lines and tables for people."""

import json
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from bitternlever.commands import operator_client

POLL_S = 0.5


def print_result(as_json: bool, result: Any, lines: list[str]) -> None:
    """Print a result as one line of JSON, or else the given lines."""
    if as_json:
        print(msgspec.json.encode(result).decode())
        return
    for line in lines:
        print(line)


def print_failure(as_json: bool, failure: operator_client.Failure) -> int:
    """Print a failure on standard error and return its exit code."""
    if as_json:
        print(msgspec.json.encode(failure).decode(), file=sys.stderr)
    else:
        print(failure.text, file=sys.stderr)
        for line in _fault_lines(failure):
            print(line, file=sys.stderr)
    return failure.exit_code


def table(headings: list[str], rows: list[list[Any]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    texts = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in texts) for column in range(len(headings))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def wait(
    step: Callable[[], tuple[bool, str]],
    limit_s: float,
    now: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> bool:
    """Repeat ``step`` until it is done or the limit has passed; return whether it is.

    ``step`` returns whether it is done, and a line of progress, which is written to
    standard error if that is a terminal.
    """
    end_s = now() + limit_s
    while True:
        done, progress = step()
        _show_progress(progress, done)
        if done:
            return True
        if now() >= end_s:
            return False
        sleep(POLL_S)


def _show_progress(text: str, done: bool) -> None:
    if not sys.stderr.isatty():
        return
    sys.stderr.write(f"\r\x1b[K{text}")
    if done:
        sys.stderr.write("\n")
    sys.stderr.flush()


def _fault_lines(failure: operator_client.Failure) -> list[str]:
    """Return a line for each error of a refused manifest, which the problem lists."""
    problem = json.loads(bytes(failure.problem))
    faults = problem.get("faults", []) if isinstance(problem, dict) else []
    return [
        f"{fault['id']}: {fault['path']}: {fault['text']} {fault['hint']}".rstrip()
        for fault in faults
    ]
