"""A log handler whose volume is bounded and that never blocks the program.

Lines about requests that go well are sampled once they are many, by the request's id,
so that all hosts keep the same ones. Other lines are kept up to a rate of their own.
What is left out is counted and told in one line a second; what a full pipe does not
take waits in a bounded buffer and is dropped and counted beyond it.
"""

import dataclasses
import logging
import os
import time
import zlib

ROUTINE_LINES_PER_S = 100
"""Some fifteen requests a second in full; a host of today serves four at the peak."""

OTHER_LINES_PER_S = 200
"""Twice what a host says when every request of a burst is refused."""

SAMPLED_ONE_IN = 16
"""Beyond the rate, one request in so many is kept in full."""

MAXIMUM_BUFFERED_BYTES = 262_144
"""What a reader that stalls for some seconds may leave unread."""

WINDOW_S = 1.0


@dataclasses.dataclass(slots=True)
class Window:
    """Lines of the present second, and what was left out in it."""

    since_s: float = 0.0
    routine: int = 0
    other: int = 0
    left_out: int = 0


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int):
        super().__init__()
        self.descriptor = descriptor
        self.window = Window()
        self.buffer = bytearray()
        self.left_out = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless it goes beyond the bounds."""
        now = time.monotonic()
        if now - self.window.since_s >= WINDOW_S:
            self._begin_window(now)
        if not self._takes(record):
            self.window.left_out += 1
            self.left_out += 1
            return
        self._write(self.format(record))

    def flush(self) -> None:
        """Write what the descriptor takes; the rest stays."""
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

    def _begin_window(self, now: float) -> None:
        left_out = self.window.left_out
        self.window = Window(since_s=now)
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

    def _takes(self, record: logging.LogRecord) -> bool:
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
