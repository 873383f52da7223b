"""Checks of single values; each returns the messages for what it finds."""

import math
import re
from typing import Any

from bitternlever.checks import messages

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


def name(message_id: str, path: str, value: str) -> list[messages.Message]:
    """Check that a name has the allowed characters and length."""
    if NAME_PATTERN.fullmatch(value):
        return []
    detail = f"{value!r} is no name."
    hint = "Use 1 to 63 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit."
    return [messages.error(message_id, path, detail, hint)]


def unique(
    message_id: str, paths: list[str], values: list[Any]
) -> list[messages.Message]:
    """Check that no value occurs twice; each repetition is reported."""
    first_paths: dict[Any, str] = {}
    found = []
    for path, value in zip(paths, values, strict=True):
        if value in first_paths:
            detail = f"{value!r} stands already at {first_paths[value]}."
            found.append(
                messages.error(message_id, path, detail, "Rename one of them.")
            )
        first_paths.setdefault(value, path)
    return found


def between(
    message_id: str,
    path: str,
    value: float,
    low: float,
    high: float,
) -> list[messages.Message]:
    """Check that a number is finite and within the inclusive bounds."""
    if math.isfinite(value) and low <= value <= high:
        return []
    detail = f"{value} is out of range."
    hint = f"Give a value from {low} to {high}."
    return [messages.error(message_id, path, detail, hint)]


def known(
    message_id: str,
    path: str,
    value: str,
    names: list[str],
) -> list[messages.Message]:
    """Check that a name is one of the declared names."""
    if value in names:
        return []
    declared = ", ".join(names) or "none"
    detail = f"{value!r} is not declared."
    return [messages.error(message_id, path, detail, f"Declared are: {declared}.")]
