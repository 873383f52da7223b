"""Messages of checks: what is wrong, where, and how to fix it."""

import enum

import msgspec


class Level(enum.Enum):
    """The severity of a message; an error rejects the checked document."""

    WARNING = "warning"
    ERROR = "error"


class Message(msgspec.Struct, frozen=True):
    """One finding of a check.

    ``path`` is the path of the invalid value, such as
    ``pipelines[2].stages[0].model``; it is empty for the whole document.
    """

    level: Level
    id: str
    path: str
    text: str
    hint: str = ""


def error(message_id: str, path: str, text: str, hint: str = "") -> Message:
    """Return a message of level ERROR."""
    return Message(Level.ERROR, message_id, path, text, hint)


def warning(message_id: str, path: str, text: str, hint: str = "") -> Message:
    """Return a message of level WARNING."""
    return Message(Level.WARNING, message_id, path, text, hint)


def errors(found: list[Message]) -> list[Message]:
    """Return the messages of level ERROR."""
    return [message for message in found if message.level is Level.ERROR]


def format_line(message: Message) -> str:
    """Return a message as one line, with its hint, if any."""
    location = f"{message.path}: " if message.path else ""
    text = f"{message.level.value} {message.id}: {location}{message.text}"
    return f"{text} Hint: {message.hint}" if message.hint else text
