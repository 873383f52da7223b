"""The page of proofs names scenarios, steps and tests that exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SCENARIOS = ROOT / "tests" / "scenarios"
PROOFS = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
ROW = re.compile(r"\| (\w+): ([A-Z][^|]*?) \|")
NAME = re.compile(r"Scenario(?: Outline)?: (.*)")
TEST = re.compile(r"`(test_\w+)`")


def pattern_of(name: str) -> re.Pattern:
    """Return what matches a scenario's name where its examples are filled in."""
    parts = re.split(r"<\w+>", name)
    return re.compile(".*".join(re.escape(part) for part in parts))


@pytest.mark.parametrize(("feature", "name"), sorted(set(ROW.findall(PROOFS))))
def test_a_named_scenario_exists(feature, name):
    text = (SCENARIOS / f"{feature}.feature").read_text(encoding="utf-8")
    begin = name.split("…")[0].strip()

    assert any(
        pattern_of(found).match(name) or found.startswith(begin)
        for found in NAME.findall(text)
    )


def test_every_named_process_test_exists():
    text = (ROOT / "tests" / "processes" / "test_failures.py").read_text()

    assert [name for name in TEST.findall(PROOFS) if f"def {name}(" not in text] == []
