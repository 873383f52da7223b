"""Compare decoded JSON with a msgspec type and report every difference.

The decoder of msgspec stops at the first error; operators need all of them at once.
"""

import json
from typing import Any

import msgspec

from bitternlever.checks import messages

SYNTAX = "structure.E001"
UNKNOWN_KEY = "structure.E002"
MISSING_KEY = "structure.E003"
WRONG_VALUE = "structure.E004"
REPEATED_KEY = "structure.E005"


def check(body: bytes, type_: type) -> list[messages.Message]:
    """Return a message for each place where ``body`` does not match ``type_``."""
    try:
        value = msgspec.json.decode(body)
        repeated = _repeated_keys(body)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        hint = "Write one JSON document in UTF-8."
        return [messages.error(SYNTAX, "", f"This is not JSON: {error}.", hint)]
    found = [_repeated_message(key) for key in repeated]
    _walk(found, "", value, msgspec.inspect.type_info(type_))
    if not found:
        found.extend(_remaining_error(value, type_))
    return found


def _walk(found: list, path: str, value: Any, expected: Any) -> None:
    if isinstance(expected, msgspec.inspect.StructType):
        _walk_struct(found, path, value, expected)
    elif isinstance(expected, msgspec.inspect.ListType):
        _walk_list(found, path, value, expected)
    else:
        _check_leaf(found, path, value, expected)


def _walk_struct(found: list, path: str, value: Any, expected: Any) -> None:
    if not isinstance(value, dict):
        name = expected.cls.__name__
        found.append(_wrong_value(path, f"An object ({name}) is expected."))
        return
    fields = {field.encode_name: field for field in expected.fields}
    for key in value:
        if key not in fields:
            allowed = ", ".join(sorted(fields))
            hint = f"Known keys are: {allowed}."
            key_path = _join(path, key)
            message = f"The key {key!r} is unknown."
            found.append(messages.error(UNKNOWN_KEY, key_path, message, hint))
    for name, field in fields.items():
        key_path = _join(path, name)
        if name in value:
            _walk(found, key_path, value[name], field.type)
        elif field.required:
            message = f"The key {name!r} is missing."
            found.append(messages.error(MISSING_KEY, key_path, message, "Add it."))


def _walk_list(found: list, path: str, value: Any, expected: Any) -> None:
    if not isinstance(value, list):
        found.append(_wrong_value(path, "A list is expected."))
        return
    for number, item in enumerate(value):
        _walk(found, f"{path}[{number}]", item, expected.item_type)


def _check_leaf(found: list, path: str, value: Any, expected: Any) -> None:
    allowed = _leaf_type(expected)
    if allowed is None:
        return
    try:
        msgspec.convert(value, type=allowed)
    except msgspec.ValidationError as error:
        found.append(_wrong_value(path, f"{error}."))


def _leaf_type(expected: Any) -> Any:
    """Return the Python type of a leaf, or None where any value is allowed."""
    simple = {
        msgspec.inspect.IntType: int,
        msgspec.inspect.FloatType: float,
        msgspec.inspect.StrType: str,
        msgspec.inspect.BoolType: bool,
        msgspec.inspect.NoneType: type(None),
    }
    if isinstance(expected, msgspec.inspect.EnumType):
        return expected.cls
    if isinstance(expected, msgspec.inspect.UnionType):
        result = None
        for part in expected.types:
            leaf = _leaf_type(part)
            result = leaf if result is None else result | leaf
        return result
    return simple.get(type(expected))


def _remaining_error(value: Any, type_: type) -> list[messages.Message]:
    """Return the error of msgspec itself, in case the walk found none."""
    try:
        msgspec.convert(value, type=type_)
    except msgspec.ValidationError as error:
        return [_wrong_value("", f"{error}.")]
    return []


def _repeated_keys(body: bytes) -> list[str]:
    repeated: list[str] = []

    def collect_repeated(items: list) -> None:
        seen = set()
        for key, _ in items:
            if key in seen:
                repeated.append(key)
            seen.add(key)

    json.loads(body, object_pairs_hook=collect_repeated)
    return repeated


def _repeated_message(key: str) -> messages.Message:
    detail = f"The key {key!r} stands twice in one object."
    return messages.error(REPEATED_KEY, "", detail, "Keep one of them.")


def _wrong_value(path: str, detail: str) -> messages.Message:
    return messages.error(WRONG_VALUE, path, detail)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
