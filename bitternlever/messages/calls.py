"""Calls from entry hosts to the replicated groups of the control processes."""

import msgspec

from bitternlever.messages import directory, journal

Command = directory.Command | journal.Command
Reply = directory.Reply | journal.Reply


class ControlCall(msgspec.Struct, tag=True, frozen=True):
    """A command for a group; ``call_id`` is unique within the sending process."""

    call_id: int
    group: int
    command: Command


class ControlReply(msgspec.Struct, tag=True, frozen=True):
    """The group's reply, sent after the command was committed and applied."""

    call_id: int
    group: int
    reply: Reply


class ControlRedirect(msgspec.Struct, tag=True, frozen=True):
    """The receiver does not lead the group; the command was not proposed."""

    call_id: int
    group: int
    leader: str | None


class ControlBusy(msgspec.Struct, tag=True, frozen=True):
    """The leader's queue is full; the command was not proposed."""

    call_id: int
    group: int
    retry_after_s: float


class ControlUncertain(msgspec.Struct, tag=True, frozen=True):
    """The leader lost its leadership: the command may or may not be committed."""

    call_id: int
    group: int


class OrphansWaiting(msgspec.Struct, tag=True, frozen=True):
    """A journal leader's hint to all entry hosts: requests wait for a new owner."""

    group: int
    count: int


class ManifestChanged(msgspec.Struct, tag=True, frozen=True):
    """The directory leader's hint to all entry hosts: a new manifest is committed."""

    number: int
    digest: str


class CancelledHint(msgspec.Struct, tag=True, frozen=True):
    """A hint to the host that ran a request: it was cancelled through another host."""

    request_id: str


class WatchedHint(msgspec.Struct, tag=True, frozen=True):
    """A hint to the owner of a request: callers read its output on another host."""

    request_id: str
