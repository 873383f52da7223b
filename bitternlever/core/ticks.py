"""Output of a tick, the function in which a core makes its decisions without I/O."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Outbox:
    """The output of one tick: messages in order, and the time of the next tick.

    ``wake_at_s`` is a monotonic time in seconds, None if no tick is due.
    """

    messages: list[Any] = dataclasses.field(default_factory=list)
    wake_at_s: float | None = None

    def send(self, message: Any) -> None:
        """Add a message to be delivered by the shell."""
        self.messages.append(message)

    def wake(self, at_s: float) -> None:
        """Request a tick at ``at_s`` or earlier."""
        if self.wake_at_s is None or at_s < self.wake_at_s:
            self.wake_at_s = at_s
