"""A pytest plugin that allows the tests listed in KNOWN-RED.txt to fail.

Each listed test is printed with its outcome. An entry is a paragraph of ``name: value``
lines; its ``test`` is a node id. A failure of any other test fails the run as usual.
"""

import pathlib

import pytest

FILE_NAME = "KNOWN-RED.txt"
TEST_FIELD = "test:"
OUTCOMES = {"xfailed": "failed as listed", "xpassed": "PASSED: take it off the list"}


def listed_tests(root: pathlib.Path) -> list[str]:
    """Return the node ids listed in the file in the folder ``root``."""
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(TEST_FIELD).strip()
        for line in lines
        if line.startswith(TEST_FIELD)
    ]


def pytest_collection_modifyitems(config: pytest.Config, items: list) -> None:
    """Mark the listed tests as expected failures."""
    known = set(listed_tests(config.rootpath))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=FILE_NAME, strict=False))


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    """Print every listed test with its outcome in this run."""
    known = listed_tests(config.rootpath)
    if not known:
        return
    outcomes = {}
    for category, outcome in OUTCOMES.items():
        for report in terminalreporter.stats.get(category, []):
            outcomes[report.nodeid] = outcome
    terminalreporter.section(FILE_NAME)
    for node_id in known:
        terminalreporter.line(f"{node_id}: {outcomes.get(node_id, 'not run')}")
