"""Ownership of requests: claims, takeovers, releases and fencing of hosts."""

from bitternlever.journal import tables as journal_tables
from bitternlever.messages import journal

JOURNAL_FULL_RETRY_AFTER_S = 5.0
MAXIMUM_OWNED_LISTED = 1_000


def claim(
    tables: journal_tables.JournalTables,
    command: journal.Claim,
) -> journal.Reply:
    """Claim a request, or return its current owner or its answer."""
    _fence_older_epochs(tables, command.host, command.epoch)
    record = tables.records.get(command.request_id)
    if record is not None:
        return _claim_existing(tables, command, record)
    if journal_tables.is_fenced(tables, command.host, command.epoch):
        return journal.Fenced(request_id=command.request_id)
    if not _has_room_for_claim(tables, command):
        return journal.JournalFull(retry_after_s=JOURNAL_FULL_RETRY_AFTER_S)
    record = journal_tables.Record(
        request_id=command.request_id,
        workspace=command.workspace,
        pipeline=command.pipeline,
        kind=command.kind,
        digest=command.digest,
        body=command.body,
        priority=command.priority,
        durable=command.durable,
        deadline_ms=tables.clock_ms + command.time_left_ms,
        claimed_ms=tables.clock_ms,
        host=command.host,
        epoch=command.epoch,
        answer_stage=command.answer_stage,
    )
    journal_tables.add(tables, record)
    return journal.Claimed(request_id=command.request_id)


def take_over(
    tables: journal_tables.JournalTables,
    command: journal.TakeOver,
) -> journal.Reply:
    """Assign orphaned requests to a host, the earliest deadline first."""
    _fence_older_epochs(tables, command.host, command.epoch)
    if journal_tables.is_fenced(tables, command.host, command.epoch):
        return journal.Fenced(request_id="")
    previous = tables.takeovers.get(command.host)
    if previous is not None and previous.epoch == command.epoch:
        if command.sequence < previous.sequence:
            return journal.TakenOver(requests=[])
        if command.sequence == previous.sequence:
            return _repeat_takeover_reply(tables, command, previous)
    chosen = [request_id for _, request_id in tables.orphans[: command.maximum]]
    for request_id in chosen:
        record = tables.records[request_id]
        journal_tables.set_owner(tables, record, command.host, command.epoch)
        record.owners += 1
    tables.takeovers[command.host] = journal_tables.Takeover(
        epoch=command.epoch,
        sequence=command.sequence,
        request_ids=chosen,
    )
    return _takeover_reply(tables, chosen)


def release(
    tables: journal_tables.JournalTables,
    command: journal.ReleaseRequests,
) -> journal.Reply:
    """End a host's ownership, so that another host can take over the requests."""
    released = []
    for request_id in command.request_ids:
        record = tables.records.get(request_id)
        if record is None or not is_owner(record, command.host, command.epoch):
            continue
        journal_tables.set_owner(tables, record, host="", epoch=0)
        released.append(request_id)
    return journal.RequestsReleased(request_ids=released)


def fence(
    tables: journal_tables.JournalTables,
    command: journal.FenceHost,
) -> journal.Reply:
    """Refuse a host's older epochs and make their open requests orphans."""
    _fence_older_epochs(tables, command.host, command.epoch)
    return journal.HostFenced(
        host=command.host,
        epoch=command.epoch,
        orphans=len(tables.orphans),
    )


def get_owned(
    tables: journal_tables.JournalTables,
    command: journal.GetOwned,
) -> journal.Reply:
    """List a host's open requests that were claimed at least ``age_ms`` ago."""
    claimed_before_ms = tables.clock_ms - command.age_ms
    records = [
        tables.records[request_id] for request_id in tables.owned.get(command.host, ())
    ]
    old = [
        record
        for record in records
        if record.epoch == command.epoch and record.claimed_ms <= claimed_before_ms
    ]
    old.sort(key=lambda record: (record.claimed_ms, record.request_id))
    listed = old[:MAXIMUM_OWNED_LISTED]
    return journal.Owned(request_ids=[record.request_id for record in listed])


def is_owner(record: journal_tables.Record, host: str, epoch: int) -> bool:
    """Return whether this host and epoch own an open request and may write to it."""
    return record.answer is None and record.host == host and record.epoch == epoch


def open_request(
    tables: journal_tables.JournalTables,
    record: journal_tables.Record,
) -> journal.OpenRequest:
    """Return the state that a new owner needs to finish a request."""
    stages = [
        journal.StageRecord(
            stage=state.stage,
            started_attempt=state.started_attempt,
            output=state.output,
            progress="".join(state.progress),
            busy_ms=state.busy_ms,
            generation=state.generation,
        )
        for state in record.stages.values()
    ]
    return journal.OpenRequest(
        request_id=record.request_id,
        workspace=record.workspace,
        pipeline=record.pipeline,
        kind=record.kind,
        digest=record.digest,
        body=record.body,
        priority=record.priority,
        durable=record.durable,
        time_left_ms=record.deadline_ms - tables.clock_ms,
        cancelled=False,
        stages=stages,
    )


def _claim_existing(
    tables: journal_tables.JournalTables,
    command: journal.Claim,
    record: journal_tables.Record,
) -> journal.Reply:
    if record.digest != command.digest or record.workspace != command.workspace:
        return journal.DigestConflict(request_id=record.request_id)
    if record.answer is not None:
        return journal_tables.stored_answer_reply(record)
    if journal_tables.is_fenced(tables, command.host, command.epoch):
        return journal.Fenced(request_id=record.request_id)
    if not record.host:
        journal_tables.set_owner(tables, record, command.host, command.epoch)
        record.owners += 1
    if not is_owner(record, command.host, command.epoch):
        return journal.OwnedElsewhere(
            request_id=record.request_id,
            host=record.host,
            epoch=record.epoch,
        )
    if record.owners == 1 and not record.stages:
        return journal.Claimed(request_id=record.request_id)
    return journal.TakenOver(requests=[open_request(tables, record)])


def _repeat_takeover_reply(
    tables: journal_tables.JournalTables,
    command: journal.TakeOver,
    previous: journal_tables.Takeover,
) -> journal.Reply:
    still_owned = []
    for request_id in previous.request_ids:
        record = tables.records.get(request_id)
        if record is not None and is_owner(record, command.host, command.epoch):
            still_owned.append(request_id)
    return _takeover_reply(tables, still_owned)


def _takeover_reply(
    tables: journal_tables.JournalTables,
    request_ids: list[str],
) -> journal.TakenOver:
    requests = [
        open_request(tables, tables.records[request_id]) for request_id in request_ids
    ]
    return journal.TakenOver(requests=requests)


def _fence_older_epochs(
    tables: journal_tables.JournalTables, host: str, epoch: int
) -> None:
    """Fence the older epochs of a host and orphan their requests.

    A newer epoch is granted only after the older ones have ended.
    """
    if epoch <= tables.fences.get(host, 0):
        return
    tables.fences[host] = epoch
    for request_id in sorted(tables.owned.get(host, ())):
        record = tables.records[request_id]
        if record.epoch < epoch:
            journal_tables.set_owner(tables, record, host="", epoch=0)


def _has_room_for_claim(
    tables: journal_tables.JournalTables, command: journal.Claim
) -> bool:
    settings = tables.settings
    size = journal_tables.RECORD_OVERHEAD_BYTES + len(command.body)

    def fits() -> bool:
        if len(tables.records) >= settings.maximum_requests:
            return False
        return journal_tables.has_room(tables, settings.claim_share, size)

    return journal_tables.make_room(tables, fits)
