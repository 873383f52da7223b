"""Log replication from the leader to its followers, and heartbeats."""

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
    """Send each follower its missing entries, and a heartbeat when one is due."""
    if replica.role is not tables.Role.LEADER:
        return
    _refresh_progress(replica)
    leader_state = replica.leader_state
    heartbeat = now >= leader_state.heartbeat_at_s
    if heartbeat:
        leader_state.round += 1
        leader_state.rounds.append((leader_state.round, now))
        leader_state.heartbeat_at_s = _next_heartbeat_s(replica, now)
    outbox.wake(leader_state.heartbeat_at_s)
    for follower, progress in leader_state.progress.items():
        if progress.next_index <= replica.log.base_index:
            transfers.send_chunk(replica, now, outbox, follower, progress)
        _send_entries(replica, outbox, follower, progress, heartbeat=heartbeat)


def _next_heartbeat_s(replica: tables.Replica, now: float) -> float:
    """Return the next multiple of the interval.

    The heartbeats of all groups thus share ticks and frames.
    """
    interval_s = replica.settings.heartbeat_s
    return (now // interval_s + 1.0) * interval_s


def handle_append_request(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    request: consensus.AppendRequest,
) -> None:
    """Append the current leader's entries; the reply reports only synced entries."""
    if request.follower != replica.settings.identity:
        replica.count("append_for_another_disk")
        return
    if request.term < replica.term:
        _reply(replica, outbox, request, matched=False, match_index=0)
        return
    record_leader_contact(replica, now, outbox, request.term, request.leader)
    if (
        replica.disk.snapshot is not None
        and replica.disk.snapshot.received_data is not None
    ):
        return
    if not _matches(replica, request):
        hint = _mismatch_hint(replica, request)
        _reply(replica, outbox, request, matched=False, match_index=hint)
        return
    _append_missing_entries(replica, request)
    last_matched = request.previous_index + len(request.entries)
    replica.matched_index = max(replica.matched_index, last_matched)
    commit_index = min(request.commit_index, replica.matched_index)
    replica.commit_index = max(replica.commit_index, commit_index)
    match_index = min(replica.matched_index, replica.disk.synced_index)
    _reply(replica, outbox, request, matched=True, match_index=match_index)


def handle_append_reply(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    reply: consensus.AppendReply,
) -> None:
    """Update a follower's progress from its reply."""
    if reply.term > replica.term:
        elections.become_follower(replica, now, outbox, reply.term, None)
        return
    if replica.role is not tables.Role.LEADER or reply.term < replica.term:
        return
    progress = replica.leader_state.progress.get(reply.follower)
    if progress is None:
        replica.count("append_reply_of_a_stranger")
        return
    _record_contact(replica, progress, reply.round)
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
    """Report to the leader how much of the matched log is synced."""
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


def record_leader_contact(
    replica: tables.Replica,
    now: float,
    outbox: ticks.Outbox,
    term: int,
    leader: consensus.ReplicaId,
) -> None:
    """Follow the leader of ``term`` and restart the election timer."""
    if replica.role is tables.Role.LEADER and term == replica.term:
        raise AssertionError(f"two leaders in term {term}")
    elections.become_follower(replica, now, outbox, term, leader)
    replica.leader_contact_s = now
    elections.reset_election_timer(replica, now)


def _refresh_progress(replica: tables.Replica) -> None:
    progress = replica.leader_state.progress
    members = tables.peers(replica)
    for member in members:
        if member not in progress:
            next_index = consensus_log.last_index(replica.log) + 1
            progress[member] = tables.Progress(next_index=next_index)
    if len(progress) > len(members):
        for former_member in set(progress) - set(members):
            del progress[former_member]


def _send_entries(
    replica: tables.Replica,
    outbox: ticks.Outbox,
    follower: consensus.ReplicaId,
    progress: tables.Progress,
    *,
    heartbeat: bool,
) -> None:
    log = replica.log
    entries = []
    if _may_send(replica, progress):
        entries = consensus_log.entries_from(
            log,
            progress.next_index,
            tables.MAXIMUM_APPEND_ENTRIES,
            tables.MAXIMUM_APPEND_BYTES,
        )
    probe = progress.probing and not progress.probe_sent
    if not entries and not heartbeat and not probe:
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
        round=replica.leader_state.round,
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


def _record_contact(
    replica: tables.Replica,
    progress: tables.Progress,
    acknowledged_round: int,
) -> None:
    if acknowledged_round <= progress.round:
        return
    progress.round = acknowledged_round
    for round_number, sent_s in replica.leader_state.rounds:
        if round_number == acknowledged_round:
            progress.last_contact_s = max(progress.last_contact_s, sent_s)
            return


def _matches(replica: tables.Replica, request: consensus.AppendRequest) -> bool:
    log = replica.log
    if request.previous_index < log.base_index:
        return request.previous_index + len(request.entries) >= log.base_index
    return consensus_log.term_at(log, request.previous_index) == request.previous_term


def _mismatch_hint(replica: tables.Replica, request: consensus.AppendRequest) -> int:
    """Return the newest index that may match, skipping the whole conflicting term."""
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


def _append_missing_entries(
    replica: tables.Replica,
    request: consensus.AppendRequest,
) -> None:
    for entry in request.entries:
        if entry.index <= replica.log.base_index:
            continue
        own_term = consensus_log.term_at(replica.log, entry.index)
        if own_term == entry.term:
            continue
        if own_term is not None:
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
