"""The pages match the code that they document."""

import pathlib
import re

import msgspec
import pytest

from bitternlever.checks import manifest as manifest_checks, settings_page, structure
from bitternlever.commands import operator_client
from bitternlever.messages import manifest

ROOT = pathlib.Path(__file__).parents[2]
DOCS = ROOT / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
STRUCTS = (
    manifest.Manifest,
    manifest.Workspace,
    manifest.Pipeline,
    manifest.Kind,
    manifest.Stage,
    manifest.Model,
    manifest.Limits,
)


def page(path: str) -> str:
    """Return the text of a page."""
    return (DOCS / path).read_text(encoding="utf-8")


def test_the_settings_page_is_generated_from_the_settings():
    assert page("ref/settings.md") == settings_page.generate()


@pytest.mark.parametrize("struct", STRUCTS, ids=lambda struct: struct.__name__)
def test_the_manifest_page_lists_every_key(struct):
    text = page("ref/manifest.md")

    missing = [
        field.encode_name
        for field in msgspec.structs.fields(struct)
        if f"| `{field.encode_name}` |" not in text
    ]

    assert missing == []


def test_the_manifest_page_lists_every_message_id():
    ids = {
        value
        for module in (manifest_checks, structure)
        for value in vars(module).values()
        if isinstance(value, str) and re.fullmatch(r"\w+\.[EW]\d{3}", value)
    }

    listed = set(re.findall(r"\| `(\w+\.[EW]\d{3})` \|", page("ref/manifest.md")))

    assert listed == ids


def test_the_commands_page_lists_every_exit_code_of_the_tool():
    codes = {
        value for name, value in vars(operator_client).items() if name[:5] == "EXIT_"
    }
    tool = page("ref/commands.md").partition("## bitternlever\n")[2]

    assert {int(code) for code in re.findall(r"^\| (\d+) \|", tool, re.M)} == codes


@pytest.mark.parametrize(
    "path",
    sorted(ROOT.glob("docs/**/*.md")),
    ids=lambda path: str(path.relative_to(DOCS)),
)
def test_a_page_links_only_to_pages_that_exist(path):
    targets = LINK.findall(path.read_text(encoding="utf-8"))

    assert [target for target in targets if not (path.parent / target).exists()] == []


def test_the_index_lists_every_page():
    index = page("README.md")

    missing = [
        path.relative_to(DOCS).as_posix()
        for path in DOCS.rglob("*.md")
        if path.name != "README.md"
        and f"({path.relative_to(DOCS).as_posix()})" not in index
    ]
    assert missing == []
