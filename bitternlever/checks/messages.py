"""The message of a check: what is wrong, where, and what to do."""

import enum

import msgspec


class Level(enum.Enum):
    """How serious a message is; an error refuses what was checked."""

    WARNING = "warning"
    ERROR = "error"


class Message(msgspec.Struct, frozen=True):
    """One finding of a check.

    ``path`` leads to the offending value, as in ``pipelines[2].stages[0].model``;
    it is empty where the whole is meant.
    """

    level: Level
    id: str
    path: str
    text: str
    hint: str = ""


def error(number: str, path: str, text: str, hint: str = "") -> Message:
    """Make a message of level ERROR."""
    return Message(Level.ERROR, number, path, text, hint)


def warning(number: str, path: str, text: str, hint: str = "") -> Message:
    """Make a message of level WARNING."""
    return Message(Level.WARNING, number, path, text, hint)


def errors(found: list[Message]) -> list[Message]:
    """Return the messages that refuse what was checked."""
    return [message for message in found if message.level is Level.ERROR]


def line(message: Message) -> str:
    """Return a message as one line, with its hint where it has one."""
    place = f"{message.path}: " if message.path else ""
    found = f"{message.level.value} {message.id}: {place}{message.text}"
    return f"{found} Hint: {message.hint}" if message.hint else found
