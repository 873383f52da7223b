"""Log lines as text or as JSON, each with its event's number."""

import json
import logging
import sys
import time
from typing import TextIO


def configure(
    log_format: str,
    log_level: str,
    stream: TextIO | None = None,
) -> None:
    """Send all log records to standard error, or ``stream``, in the wanted form."""
    handler = logging.StreamHandler(sys.stderr if stream is None else stream)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log_level.upper())


class _JsonFormatter(logging.Formatter):
    """Format a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        event = getattr(record, "event", None)
        line = {
            "time": _timestamp(record),
            "level": record.levelname.lower(),
            "number": event.number if event else 0,
            "event": event.name if event else record.name,
            "text": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class _TextFormatter(logging.Formatter):
    """Format a record as text for people."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of text, with its traceback below."""
        event = getattr(record, "event", None)
        number = f"E{event.number}" if event else record.name
        fields = " ".join(
            f"{name}={value}" for name, value in getattr(record, "fields", {}).items()
        )
        level = record.levelname.lower()
        text = f"{_timestamp(record)} {level} {number} {record.getMessage()} {fields}"
        if record.exc_info:
            text = text.rstrip() + "\n" + self.formatException(record.exc_info)
        return text.rstrip()


def _timestamp(record: logging.LogRecord) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
    return f"{seconds}.{int(record.msecs):03d}Z"
