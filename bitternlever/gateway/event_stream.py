"""Follow a stream of server-sent events: where they end, and the last one's id.

Lines may end with LF, CR or both. Blocks that hold only comments are not events.
"""

import dataclasses
import re

MAXIMUM_EVENT_BYTES = 262_144
"""Bounds memory; the largest known events have a few hundred bytes."""

END_OF_EVENT = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
END_LENGTH = 4
"""The longest end of an event, in bytes."""

USUAL_END = b"\n\n"
LINE_OF_EVENT = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
"""The start of a line that is neither empty nor a comment."""

ID_FIELD = b"id:"
MEDIA_TYPE = b"text/event-stream"


@dataclasses.dataclass(slots=True)
class Splitter:
    """The bytes of an incomplete event, and the id of the last complete one.

    ``events`` counts the blocks of complete events that were not only comments.
    """

    incomplete: bytearray = dataclasses.field(default_factory=bytearray)
    last_event_id: str | None = None
    events: int = 0

    def feed(self, piece: bytes) -> bytes:
        """Add received bytes; return the events that are complete."""
        if not self.incomplete and piece.endswith(USUAL_END):
            self._update(piece)
            return piece
        start = max(0, len(self.incomplete) - END_LENGTH)
        self.incomplete += piece
        if b"\n" not in piece and b"\r" not in piece:
            return b""
        end = 0
        for match in END_OF_EVENT.finditer(self.incomplete, start):
            end = match.end()
        if end == 0:
            return b""
        complete = bytes(self.incomplete[:end])
        del self.incomplete[:end]
        self._update(complete)
        return complete

    def _update(self, complete: bytes) -> None:
        """Record the last id, and whether there was an event."""
        if LINE_OF_EVENT.search(complete) is not None:
            self.events += 1
        if ID_FIELD not in complete:
            return
        for line in reversed(complete.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return

    @property
    def is_too_long(self) -> bool:
        """Return whether the incomplete event exceeds its bound."""
        return len(self.incomplete) > MAXIMUM_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Return whether a line of an event has come without the event's end.

        Line ends and comments behind the last event belong to none.
        """
        return LINE_OF_EVENT.search(self.incomplete) is not None


def is_declared(content_type: bytes | None) -> bool:
    """Return whether an answer of this media type is an event stream."""
    return (content_type or b"").lower().startswith(MEDIA_TYPE)


def is_broken_off(content_type: bytes | None, body: bytes) -> bool:
    """Return whether a whole body is an event stream that ends inside an event."""
    if not is_declared(content_type):
        return False
    splitter = Splitter()
    splitter.feed(body)
    return splitter.is_inside_event
