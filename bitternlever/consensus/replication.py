"""Replication from the leader's log to the followers' synced logs."""

from bitternlever.consensus import (
    disk,
    elections,
    log as consensus_log,
    tables,
    transfers,
)
from bitternlever.core import ticks
from bitternlever.messages import consensus


def run(replica: tables.Replica, now: float, outbox: ticks.Outbox) -> None:
    """Send each follower what it lacks, and a heartbeat when one is due."""
    if replica.role is not tables.Role.LEADER:
        return
    _refresh_progress(replica)
    office = replica.office
    beat = now >= office.heartbeat_at_s
    if beat:
        office.round += 1
        office.rounds.append((office.round, now))
        office.heartbeat_at_s = _next_beat_s(replica, now)
    outbox.wake(office.heartbeat_at_s)
    for follower, progress in office.progress.items():
        if progress.next_index <= replica.log.base_index:
            transfers.send_piece(replica, now, outbox, follower, progress)
        _send_entries(replica, outbox, follower, progress, beat=beat)


def _next_beat_s(replica: tables.Replica, now: float) -> float:
    """Return the next multiple of the interval: all groups share ticks and frames."""
    interval_s = replica.settings.heartbeat_s
    return (now // interval_s + 1.0) * interval_s


def append_requested(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    request: consensus.AppendRequest,
) -> None:
    """Take entries of the current leader; the reply counts only synced entries."""
    if request.follower != replica.settings.identity:
        replica.count("append_for_another_disk")
        return
    if request.term < replica.term:
        _reply(replica, outbox, request, matched=False, match_index=0)
        return
    heard_leader(replica, now, outbox, request.term, request.leader)
    if replica.disk.snapshot is not None and replica.disk.snapshot.install is not None:
        return
    if not _matches(replica, request):
        hint = _mismatch_hint(replica, request)
        _reply(replica, outbox, request, matched=False, match_index=hint)
        return
    _take_entries(replica, request)
    last_matched = request.previous_index + len(request.entries)
    replica.matched_index = max(replica.matched_index, last_matched)
    commit_index = min(request.commit_index, replica.matched_index)
    replica.commit_index = max(replica.commit_index, commit_index)
    match_index = min(replica.matched_index, replica.disk.synced_index)
    _reply(replica, outbox, request, matched=True, match_index=match_index)


def append_answered(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    reply: consensus.AppendReply,
) -> None:
    """Take a follower's word on its synced log."""
    if reply.term > replica.term:
        elections.follow(replica, now, outbox, reply.term, None)
        return
    if replica.role is not tables.Role.LEADER or reply.term < replica.term:
        return
    progress = replica.office.progress.get(reply.follower)
    if progress is None:
        replica.count("append_reply_of_a_stranger")
        return
    _contact(replica, progress, reply.round)
    if reply.matched:
        progress.probing = False
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        return
    if progress.transfer is None:
        progress.probing = True
        hint = max(reply.match_index, progress.match_index)
        progress.next_index = min(progress.next_index, hint + 1)
        progress.probe_sent = False


def report_synced(replica: tables.Replica, outbox: ticks.Outbox) -> None:
    """Tell the leader that more of the matched log is synced."""
    if replica.role is not tables.Role.FOLLOWER or replica.leader is None:
        return
    match_index = min(replica.matched_index, replica.disk.synced_index)
    if match_index == 0:
        return
    reply = consensus.AppendReply(
        group=replica.settings.group,
        term=replica.term,
        follower=replica.settings.identity,
        matched=True,
        match_index=match_index,
        round=0,
    )
    disk.send(replica, outbox, replica.leader, reply)


def heard_leader(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    term: int,
    leader: consensus.ReplicaId,
) -> None:
    """Follow the leader of ``term`` and put elections off."""
    if replica.role is tables.Role.LEADER and term == replica.term:
        raise AssertionError(f"two leaders in term {term}")
    elections.follow(replica, now, outbox, term, leader)
    replica.heard_leader_s = now
    elections.reset_timer(replica, now)


def _refresh_progress(replica: tables.Replica) -> None:
    progress = replica.office.progress
    members = tables.peers(replica)
    for member in members:
        if member not in progress:
            next_index = consensus_log.last_index(replica.log) + 1
            progress[member] = tables.Progress(next_index=next_index)
    if len(progress) > len(members):
        for former in set(progress) - set(members):
            del progress[former]


def _send_entries(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    follower: consensus.ReplicaId,
    progress: tables.Progress,
    *,
    beat: bool,
) -> None:
    log = replica.log
    entries = []
    if _may_send(replica, progress):
        entries = consensus_log.piece(
            log,
            progress.next_index,
            tables.MAXIMUM_APPEND_ENTRIES,
            tables.MAXIMUM_APPEND_BYTES,
        )
    probe = progress.probing and not progress.probe_sent
    if not entries and not beat and not probe:
        return
    previous_index = max(progress.next_index - 1, log.base_index)
    request = consensus.AppendRequest(
        group=replica.settings.group,
        term=replica.term,
        leader=replica.settings.identity,
        follower=follower,
        previous_index=previous_index,
        previous_term=consensus_log.term_at(log, previous_index),
        entries=entries,
        commit_index=replica.commit_index,
        round=replica.office.round,
    )
    progress.probe_sent = True
    progress.next_index += len(entries)
    disk.send(replica, outbox, follower, request)


def _may_send(replica: tables.Replica, progress: tables.Progress) -> bool:
    if progress.probing or progress.next_index <= replica.log.base_index:
        return False
    if progress.next_index > consensus_log.last_index(replica.log):
        return False
    in_flight = progress.next_index - 1 - progress.match_index
    return in_flight < tables.MAXIMUM_IN_FLIGHT_ENTRIES


def _contact(replica: tables.Replica, progress: tables.Progress, number: int) -> None:
    if number <= progress.round:
        return
    progress.round = number
    for round_number, sent_s in replica.office.rounds:
        if round_number == number:
            progress.contact_s = max(progress.contact_s, sent_s)
            return


def _matches(replica: tables.Replica, request: consensus.AppendRequest) -> bool:
    log = replica.log
    if request.previous_index < log.base_index:
        return request.previous_index + len(request.entries) >= log.base_index
    return consensus_log.term_at(log, request.previous_index) == request.previous_term


def _mismatch_hint(replica: tables.Replica, request: consensus.AppendRequest) -> int:
    """Return the newest index that may match, a whole term further back."""
    log = replica.log
    if request.previous_index < log.base_index:
        return log.base_index
    last = consensus_log.last_index(log)
    if request.previous_index > last:
        return last
    conflicting = consensus_log.term_at(log, request.previous_index)
    hint = request.previous_index - 1
    while hint > replica.commit_index and (
        consensus_log.term_at(log, hint) == conflicting
    ):
        hint -= 1
    return max(hint, log.base_index)


def _take_entries(replica: tables.Replica, request: consensus.AppendRequest) -> None:
    for entry in request.entries:
        if entry.index <= replica.log.base_index:
            continue
        held = consensus_log.term_at(replica.log, entry.index)
        if held == entry.term:
            continue
        if held is not None:
            disk.truncate(replica, entry.index)
        disk.append(replica, entry)


def _reply(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    request: consensus.AppendRequest,
    *,
    matched: bool,
    match_index: int,
) -> None:
    reply = consensus.AppendReply(
        group=replica.settings.group,
        term=replica.term,
        follower=replica.settings.identity,
        matched=matched,
        match_index=match_index,
        round=request.round,
    )
    disk.send(replica, outbox, request.leader, reply)
