"""Run every scenario of ``tests/scenarios`` with other seeds than CI's.

``--seeds N`` runs the seeds from 1 to N and prints one JSON object for each. Repeat
a seed with ``BITTERNLEVER_SCENARIO_SEED=N sh scripts/test tests/scenarios``.
"""

import json
import os
import pathlib
import sys

import pytest

from tests.scenarios import steps_hosts

FOLDER = pathlib.Path(__file__).parents[1] / "tests" / "scenarios"
USAGE = "usage: scenarios --seeds N"
EXIT_USAGE = 2


class Failures:
    """Collect the names of the scenarios that failed."""

    def __init__(self) -> None:
        self.names: set[str] = set()

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the scenario of a failed test phase."""
        if report.failed:
            self.names.add(report.nodeid.rpartition("::")[2])


def run(arguments: list[str]) -> int:
    """Run all seeds and return 1 if any scenario failed."""
    if len(arguments) != 2 or arguments[0] != "--seeds":
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    failed = False
    for seed in range(1, int(arguments[1]) + 1):
        os.environ[steps_hosts.SEED_VARIABLE] = str(seed)
        failures = Failures()
        pytest.main(["-q", "--tb=no", "--no-summary", str(FOLDER)], plugins=[failures])
        print(json.dumps({"seed": seed, "failed": sorted(failures.names)}))
        failed = failed or bool(failures.names)
    return 1 if failed else 0
