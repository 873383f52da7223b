"""A log handler that limits its volume and never blocks the program.

Lines about successful requests are sampled above a rate limit. The sample is chosen by
a hash of the request id, so that all hosts keep the lines of the same requests. Other
lines have a rate limit of their own. Omitted lines are counted and reported in at most
one line per second. Output that a full pipe does not accept waits in a bounded buffer;
lines beyond the buffer are dropped and counted.
"""

import dataclasses
import logging
import os
import time
import zlib

ROUTINE_LINES_PER_S = 100
"""Enough for about 15 requests per second; a host currently serves 4 at the peak."""

OTHER_LINES_PER_S = 200
"""Twice what a host logs when it refuses every request of a burst."""

SAMPLED_ONE_IN = 16
"""Above the rate limit, all lines of one in this many requests are kept."""

MAXIMUM_BUFFERED_BYTES = 262_144
"""Enough for the output while the reader stalls for some seconds."""

WINDOW_S = 1.0


@dataclasses.dataclass(slots=True)
class Window:
    """Count the lines written and omitted in the current time window."""

    start_s: float = 0.0
    routine: int = 0
    other: int = 0
    left_out: int = 0


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.window = Window()
        self.buffer = bytearray()
        self.left_out = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless it exceeds the rate limits."""
        now = time.monotonic()
        if now - self.window.start_s >= WINDOW_S:
            self._start_window(now)
        if not self._is_within_limits(record):
            self.window.left_out += 1
            self.left_out += 1
            return
        self._write(self.format(record))

    def flush(self) -> None:
        """Write as much as the descriptor accepts; keep the rest in the buffer."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += self.buffer.count(b"\n")
                self.buffer.clear()
                return
            del self.buffer[:written]

    def _start_window(self, now: float) -> None:
        left_out = self.window.left_out
        self.window = Window(start_s=now)
        if left_out:
            record = logging.LogRecord(
                __name__,
                logging.WARNING,
                __file__,
                0,
                "Log lines were left out.",
                None,
                None,
            )
            record.fields = {"left_out": left_out, "dropped": self.dropped}
            self._write(self.format(record))

    def _is_within_limits(self, record: logging.LogRecord) -> bool:
        request = getattr(record, "fields", {}).get("request")
        if record.levelno > logging.INFO or request is None:
            self.window.other += 1
            return self.window.other <= OTHER_LINES_PER_S
        event = getattr(record, "event", None)
        if event is None or not event.routine:
            self.window.other += 1
            return self.window.other <= OTHER_LINES_PER_S
        self.window.routine += 1
        if self.window.routine <= ROUTINE_LINES_PER_S:
            return True
        return zlib.crc32(str(request).encode()) % SAMPLED_ONE_IN == 0

    def _write(self, text: str) -> None:
        line = text.encode() + b"\n"
        if len(self.buffer) + len(line) > MAXIMUM_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.buffer += line
        self.flush()
