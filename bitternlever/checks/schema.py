"""The published JSON Schema of the manifest: ``python -m bitternlever.checks.schema``.

Prints the content of ``docs/ref/manifest.schema.json``.
"""

import json
import sys

import msgspec

from bitternlever.messages import manifest

TITLE = "bitternlever manifest"


def generate() -> str:
    """Return the schema of the manifest as indented JSON."""
    schema = msgspec.json.schema(manifest.Manifest)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    schema["title"] = TITLE
    return json.dumps(schema, indent=2, sort_keys=True) + "\n"


if __name__ == "__main__":
    sys.stdout.write(generate())
