"""Format log lines as text or as JSON, with the number of their event."""

import json
import logging
import sys
import time

from bitternlever.telemetry import bounded


def configure(log_format: str, log_level: str) -> None:
    """Send all log records to standard error in the given format."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log_level.upper())


def configure_bounded(host: str, program: str) -> bounded.BoundedHandler:
    """Send all log records as JSON to standard output, rate limited, never blocking."""
    handler = bounded.BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(_JsonFormatter({"host": host, "program": program}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    return handler


def bounded_handler() -> bounded.BoundedHandler | None:
    """Return the bounded handler of this process, or None."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, bounded.BoundedHandler):
            return handler
    return None


class _JsonFormatter(logging.Formatter):
    """Format a record as a JSON object, with some constant fields."""

    def __init__(self, constant_fields: dict[str, str] | None = None):
        super().__init__()
        self.constant_fields = constant_fields or {}

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        event = getattr(record, "event", None)
        line = {
            "time": _timestamp(record),
            **self.constant_fields,
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
    """Format a record as human-readable text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of text, followed by its traceback, if any."""
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
