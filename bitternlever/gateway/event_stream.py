"""Split a stream of server-sent events after each complete event."""

import dataclasses

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@dataclasses.dataclass(slots=True)
class Splitter:
    """The bytes of an incomplete event, and the id of the last complete one."""

    incomplete: bytearray = dataclasses.field(default_factory=bytearray)
    last_event_id: str | None = None

    def feed(self, piece: bytes) -> bytes:
        """Add received bytes; return the events that are complete."""
        self.incomplete += piece
        end = self.incomplete.rfind(END_OF_EVENT)
        if end < 0:
            return b""
        end += len(END_OF_EVENT)
        complete = bytes(self.incomplete[:end])
        del self.incomplete[:end]
        self._update_last_event_id(complete)
        return complete

    def _update_last_event_id(self, complete: bytes) -> None:
        for line in reversed(complete.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
