"""The scenarios and tests named in docs/PROOFS.md exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SCENARIOS = ROOT / "tests" / "scenarios"
PROOFS = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
ROW = re.compile(r"\| (\w+): ([A-Z][^|]*?) \|")
SCENARIO_NAME = re.compile(r"Scenario(?: Outline)?: (.*)")
TEST_NAME = re.compile(r"`(test_\w+)`")


def pattern_of(name: str) -> re.Pattern:
    """Return a pattern for a scenario's name with its placeholders filled in."""
    parts = re.split(r"<\w+>", name)
    return re.compile(".*".join(re.escape(part) for part in parts))


@pytest.mark.parametrize(("feature", "name"), sorted(set(ROW.findall(PROOFS))))
def test_a_named_scenario_exists(feature, name):
    text = (SCENARIOS / f"{feature}.feature").read_text(encoding="utf-8")
    prefix = name.split("…")[0].strip()

    assert any(
        pattern_of(scenario).match(name) or scenario.startswith(prefix)
        for scenario in SCENARIO_NAME.findall(text)
    )


PLATFORM_SECTION = re.compile(r"\n## On the users' platform\n.*?(?=\n## )", re.DOTALL)
PLATFORM_TEST_FOLDERS = (
    "batching",
    "bench",
    "catalog",
    "fleet",
    "gateway",
    "platform",
    "telemetry",
    "transport",
)


def test_every_named_process_test_exists():
    text = (ROOT / "tests" / "processes" / "test_failures.py").read_text()
    other_sections = PLATFORM_SECTION.sub("\n", PROOFS)

    assert [
        name for name in TEST_NAME.findall(other_sections) if f"def {name}(" not in text
    ] == []


def test_every_test_named_for_the_platform_exists():
    section = PLATFORM_SECTION.search(PROOFS).group()
    text = "".join(
        path.read_text()
        for folder in PLATFORM_TEST_FOLDERS
        for path in (ROOT / "tests" / folder).glob("test_*.py")
    )
    names = TEST_NAME.findall(section)

    assert len(names) > 10
    assert [name for name in names if f"def {name}(" not in text] == []
