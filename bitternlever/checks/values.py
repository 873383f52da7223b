"""Small checks of single values, shared by the checks of manifests and settings."""

import math
import re
from typing import Any

from bitternlever.checks import messages

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


def name(number: str, path: str, value: str) -> list[messages.Message]:
    """Check the form of a name."""
    if NAME_PATTERN.fullmatch(value):
        return []
    detail = f"{value!r} is no name."
    hint = "Use 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit."
    return [messages.error(number, path, detail, hint)]


def unique(number: str, paths: list[str], values: list[Any]) -> list[messages.Message]:
    """Check that no value stands twice; the later one is reported."""
    first: dict[Any, str] = {}
    found = []
    for path, value in zip(paths, values, strict=True):
        if value in first:
            detail = f"{value!r} stands already at {first[value]}."
            found.append(messages.error(number, path, detail, "Rename one of them."))
        first.setdefault(value, path)
    return found


def between(
    number: str,
    path: str,
    value: float,
    low: float,
    high: float,
) -> list[messages.Message]:
    """Check that a number lies within both bounds."""
    if math.isfinite(value) and low <= value <= high:
        return []
    detail = f"{value} is out of range."
    hint = f"Give a value from {low} to {high}."
    return [messages.error(number, path, detail, hint)]


def known(
    number: str,
    path: str,
    value: str,
    names: list[str],
) -> list[messages.Message]:
    """Check that a name is one of those declared."""
    if value in names:
        return []
    declared = ", ".join(names) or "none"
    detail = f"{value!r} is not declared."
    return [messages.error(number, path, detail, f"Declared are: {declared}.")]
