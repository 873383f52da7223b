"""The form that all decisions have: a tick over tables, without I/O."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Outbox:
    """What one tick leaves behind: messages in order, and when to tick again.

    ``wake_at_s`` is a monotonic time in seconds, absent when nothing is due.
    """

    messages: list[Any] = dataclasses.field(default_factory=list)
    wake_at_s: float | None = None

    def send(self, message: Any) -> None:
        """Add a message for the shell."""
        self.messages.append(message)

    def wake(self, at_s: float) -> None:
        """Ask for a tick at ``at_s`` at the latest."""
        if self.wake_at_s is None or at_s < self.wake_at_s:
            self.wake_at_s = at_s
