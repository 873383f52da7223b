"""Split a stream of server-sent events at the end of each event."""

import dataclasses

END_OF_EVENT = b"\n\n"
ID_FIELD = b"id:"


@dataclasses.dataclass(slots=True)
class Splitter:
    """The start of an event that is not whole yet, and the id of the last whole one."""

    rest: bytearray = dataclasses.field(default_factory=bytearray)
    last_event: str | None = None

    def take(self, piece: bytes) -> bytes:
        """Add what arrived; return the whole events."""
        self.rest += piece
        end = self.rest.rfind(END_OF_EVENT)
        if end < 0:
            return b""
        end += len(END_OF_EVENT)
        whole = bytes(self.rest[:end])
        del self.rest[:end]
        self._note_last(whole)
        return whole

    def _note_last(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(ID_FIELD):
                self.last_event = line[len(ID_FIELD) :].strip().decode("latin-1")
                return
