"""The replicated state of one journal group.

The state depends only on the committed commands. Sizes are in bytes, times in
milliseconds of the journal's own clock, which the leader advances by commands.
"""

import dataclasses
from collections.abc import Callable

import msgspec
import sortedcontainers

from bitternlever.messages import journal

RECORD_OVERHEAD_BYTES = 512
STAGE_OVERHEAD_BYTES = 128


class StageState(msgspec.Struct):
    """The state of one stage; ``progress`` lists the parts of a streamed output."""

    stage: str
    started_attempt: str | None = None
    output: bytes | None = None
    progress: list[str] = []
    progress_length: int = 0
    progress_bytes: int = 0
    generation: int = 0
    busy_ms: float = 0.0


class Answer(msgspec.Struct):
    """A final answer; ``dropped`` is set once its acknowledged body is removed."""

    status: int
    body: bytes
    length: int
    output_digest: str
    answered_ms: int
    acknowledged_ms: int | None = None
    dropped: bool = False


class Record(msgspec.Struct):
    """One request; an open one with an empty ``host`` is an orphan."""

    request_id: str
    workspace: str
    pipeline: str
    kind: str
    digest: str
    body: bytes
    priority: int
    durable: bool
    deadline_ms: int
    claimed_ms: int
    host: str
    epoch: int
    answer_stage: str = ""
    owners: int = 1
    stages: dict[str, StageState] = {}
    answer: Answer | None = None
    size: int = 0


class Takeover(msgspec.Struct):
    """The last takeover by a host, kept so that a resent one gets the same reply."""

    epoch: int
    sequence: int
    request_ids: list[str]


class JournalSnapshot(msgspec.Struct):
    """The whole state as it is encoded in a snapshot."""

    clock_ms: int
    fences: dict[str, int]
    takeovers: dict[str, Takeover]
    records: list[Record]


@dataclasses.dataclass(slots=True, frozen=True)
class JournalSettings:
    """Limits of one journal group.

    Claims are refused above ``claim_share`` of ``maximum_bytes``, progress and results
    above ``result_share``: the rest is reserved for answers. The default of
    ``maximum_bytes`` keeps a control process within its memory limit of 64 MB.

    An acknowledged answer keeps its body for ``acknowledged_body_ms``, for other
    callers that wait for it. It keeps its key for at least ``acknowledged_key_ms``, and
    for the whole retention if there is room.
    """

    maximum_bytes: int = 9_000_000
    maximum_requests: int = 50_000
    answer_retention_ms: int = 3_600_000
    acknowledged_body_ms: int = 15_000
    acknowledged_key_ms: int = 60_000
    claim_share: float = 0.7
    result_share: float = 0.9


@dataclasses.dataclass(slots=True)
class JournalTables:
    """Records by request id, with indexes by owner, deadline and expiry.

    ``owned`` has the open requests of each host. ``orphans`` is ordered by deadline,
    ``answered`` by the time at which an answer or its body may be dropped, and
    ``acknowledged`` by the time of the acknowledgement.
    """

    settings: JournalSettings
    clock_ms: int = 0
    size: int = 0
    fences: dict[str, int] = dataclasses.field(default_factory=dict)
    takeovers: dict[str, Takeover] = dataclasses.field(default_factory=dict)
    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    owned: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    orphans: sortedcontainers.SortedSet = dataclasses.field(
        default_factory=sortedcontainers.SortedSet,
    )
    answered: sortedcontainers.SortedSet = dataclasses.field(
        default_factory=sortedcontainers.SortedSet,
    )
    acknowledged: sortedcontainers.SortedSet = dataclasses.field(
        default_factory=sortedcontainers.SortedSet,
    )


def clear(tables: JournalTables) -> None:
    """Empty the tables and keep the settings."""
    tables.clock_ms = 0
    tables.size = 0
    tables.fences = {}
    tables.takeovers = {}
    tables.records = {}
    tables.owned = {}
    tables.orphans.clear()
    tables.answered.clear()
    tables.acknowledged.clear()


def add(tables: JournalTables, record: Record) -> None:
    """Add a record to the tables and their indexes."""
    tables.records[record.request_id] = record
    update_size(tables, record)
    if record.answer is not None:
        tables.answered.add((expires_ms(tables, record), record.request_id))
        if record.answer.acknowledged_ms is not None:
            tables.acknowledged.add(_acknowledged_key(record))
        return
    if record.host:
        tables.owned.setdefault(record.host, set()).add(record.request_id)
        return
    tables.orphans.add((record.deadline_ms, record.request_id))


def remove(tables: JournalTables, record: Record) -> None:
    """Remove a record from the tables and their indexes."""
    remove_from_indexes(tables, record)
    tables.size -= record.size
    del tables.records[record.request_id]


def remove_from_indexes(tables: JournalTables, record: Record) -> None:
    """Remove a record from all indexes."""
    owned = tables.owned.get(record.host)
    if owned is not None:
        owned.discard(record.request_id)
        if not owned:
            del tables.owned[record.host]
    tables.orphans.discard((record.deadline_ms, record.request_id))
    if record.answer is not None:
        tables.answered.discard((expires_ms(tables, record), record.request_id))
        tables.acknowledged.discard(_acknowledged_key(record))


def make_room(tables: JournalTables, fits: Callable[[], bool]) -> bool:
    """Drop the oldest acknowledged keys until a claim fits; return whether it does."""
    newest_dropped_ms = tables.clock_ms - tables.settings.acknowledged_key_ms
    while not fits():
        if not tables.acknowledged or tables.acknowledged[0][0] > newest_dropped_ms:
            return False
        remove(tables, tables.records[tables.acknowledged[0][1]])
    return True


def set_owner(tables: JournalTables, record: Record, host: str, epoch: int) -> None:
    """Set the owner of a record; an empty host name makes it an orphan."""
    remove_from_indexes(tables, record)
    record.host = host
    record.epoch = epoch
    if host:
        tables.owned.setdefault(host, set()).add(record.request_id)
        return
    tables.orphans.add((record.deadline_ms, record.request_id))


def update_size(tables: JournalTables, record: Record) -> None:
    """Recompute the size of a record and the total size."""
    size = RECORD_OVERHEAD_BYTES + len(record.body)
    for state in record.stages.values():
        size += STAGE_OVERHEAD_BYTES + len(state.output or b"")
        size += state.progress_bytes
    if record.answer is not None:
        size += len(record.answer.body)
    tables.size += size - record.size
    record.size = size


def expires_ms(tables: JournalTables, record: Record) -> int:
    """Return the time at which an answer, or only its body, may be dropped."""
    settings = tables.settings
    answer = record.answer
    if answer.acknowledged_ms is None or answer.dropped:
        return answer.answered_ms + settings.answer_retention_ms
    return answer.acknowledged_ms + settings.acknowledged_body_ms


def is_fenced(tables: JournalTables, host: str, epoch: int) -> bool:
    """Return whether writes of this host and epoch are refused."""
    return epoch < tables.fences.get(host, 0)


def has_room(tables: JournalTables, share: float, size: int) -> bool:
    """Return whether ``size`` more bytes fit into this share of the journal."""
    return tables.size + size <= tables.settings.maximum_bytes * share


def stored_answer_reply(record: Record) -> journal.Answered:
    """Return the stored answer as a reply."""
    answer = record.answer
    return journal.Answered(
        request_id=record.request_id,
        status=answer.status,
        body=answer.body,
        length=answer.length,
        output_digest=answer.output_digest,
        acknowledged=answer.dropped,
    )


def _acknowledged_key(record: Record) -> tuple[int, str]:
    return (record.answer.acknowledged_ms or 0, record.request_id)
