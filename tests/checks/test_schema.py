"""The published schema matches the types."""

import pathlib

from bitternlever.checks import schema

PUBLISHED = pathlib.Path(__file__).parents[2] / "docs" / "ref" / "manifest.schema.json"


def test_the_published_schema_is_generated_from_the_types():
    assert PUBLISHED.read_text() == schema.generate()
