"""Fuzz everything that accepts external input.

``--examples N`` tries about N random examples in each test of ``tests/fuzz``; without
it the tests use the few fixed examples of CI. A failure prints how to reproduce it.
"""

import json
import os
import pathlib
import sys

import pytest

from tests.fuzz import examples

FOLDER = pathlib.Path(__file__).parents[1] / "tests" / "fuzz"
USAGE = "usage: fuzz [--examples N]"
EXIT_USAGE = 2


def run(arguments: list[str]) -> int:
    """Run the fuzz tests and print one JSON object with their exit code."""
    if arguments:
        if len(arguments) != 2 or arguments[0] != "--examples":
            print(USAGE, file=sys.stderr)
            return EXIT_USAGE
        os.environ[examples.VARIABLE] = arguments[1]
    exit_code = int(pytest.main(["-q", str(FOLDER)]))
    example_count = int(os.environ.get(examples.VARIABLE, examples.CI_EXAMPLES))
    print(json.dumps({"examples": example_count, "exit_code": exit_code}))
    return exit_code
