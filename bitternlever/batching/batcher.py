"""Fill calls to the upstreams of one stage service.

Load: each of many hosts has a few pieces a second, a call costs the same whatever it
holds, and an upstream works on one call at a time. All pieces of a service meet on one
host; an idle upstream gets at once what waits, up to a full call, so calls fill by
themselves as the load grows and a single piece never waits for others.
"""

import dataclasses
import math
from collections.abc import Collection

from bitternlever.batching import estimates, order, tables
from bitternlever.catalog import tables as catalog_tables
from bitternlever.messages import fleet

MAXIMUM_WORKS = 5_000
"""Bounds memory; some minutes of work at the rates of the largest service."""

MAXIMUM_PIECES = 4_096
"""No route of a known deployment has stages of more than a few dozen pieces."""

MAXIMUM_FAILURES = 4
"""Failed calls after which a work is given up; each takes another upstream."""

FULL_PAUSE_S = 0.05
"""How long an upstream that is full, or out of room, is left alone."""

FAILED_PAUSE_S = 0.05
"""How long an upstream is left alone after a failed call, doubled by each more."""

MAXIMUM_PAUSE_S = 0.8
"""An upstream that refuses connections is asked again at this interval at least."""

MAXIMUM_DOUBLINGS = 10
"""More change nothing, since the pause has its own bound."""

SILENT_PAUSE_FACTOR = 8.0
"""Silence costs the works of a call far more time than a failure that is told."""

SLOWNESS_WEIGHT = 0.4
"""Weight of the newest call in an upstream's slowness."""

LEAST_SLOWNESS = 0.5
"""No upstream is taken for more than twice as fast as its service declares."""

LEAST_CALL_S = 0.001
"""Keeps a service that declares no time out of a division by zero."""

MAXIMUM_RETRY_AFTER_S = 8.0
"""Most callers' patience is over by then; a longer time would tell them not to come."""

HELD_WEIGHT = 0.05
"""Weight of the newest result in the mean time for which results are held."""

SHARE_WEIGHT = 0.1
"""Weight of the newest call in the mean share of work on time."""

LATE_HOME_WAIT_S = 1.0
"""How long late work waits for its own zone: several calls of a sound upstream."""

LATE_ROOM_SHARE = 0.6
"""Part of an upstream's room for results that late work has for a further stage.

Late work waits there behind all others and holds its room all the while.
"""

UNKNOWN_HALF_LIFE_S = 0.4
"""How fast room that somebody else's results take up is expected to become free."""


def create(service: catalog_tables.Service) -> tables.Batcher:
    """Make the empty queue of a stage service."""
    return tables.Batcher(service=service.name, capacity=service.stage)


def submit(
    batcher: tables.Batcher,
    now: float,
    message: fleet.StageWork,
    link: str,
) -> tables.Finished | None:
    """Queue a work; return its end where it is refused."""
    work = tables.Work(
        message=message,
        link=link,
        arrived_s=now,
        objective_s=now + message.objective_left_s,
        deadline_s=now + message.deadline_left_s,
        waiting=list(range(len(message.pieces))),
    )
    wait_s = predicted_wait_s(batcher, now, work)
    cost_s = order.shortest_call_s(batcher, work)
    if len(batcher.works) >= MAXIMUM_WORKS or len(work.waiting) > MAXIMUM_PIECES:
        return _refused(work, "the queue is full", wait_s)
    if message.depth == 0 and now + wait_s + cost_s > work.deadline_s:
        return _refused(work, "the backlog is longer than the deadline", wait_s)
    batcher.works[message.work] = work
    return None


def cancel(
    batcher: tables.Batcher,
    now: float,
    name: str,
) -> tables.Work | None:
    """Drop a work that nobody waits for; return it where it was queued."""
    work = batcher.works.pop(name, None)
    if work is not None:
        _abandon(batcher, now, list(work.handles.values()))
    return work


def predicted_wait_s(
    batcher: tables.Batcher,
    now: float,
    work: tables.Work,
) -> float:
    """Return how long a new work waits until a call takes it up, in seconds."""
    servers = list(batcher.servers.values())
    if not servers:
        return math.inf
    own_rank = order.rank(batcher, now, work)
    ahead = [
        other
        for other in batcher.works.values()
        if other.waiting and order.rank(batcher, now, other) < own_rank
    ]
    free_s = min(max(server.busy_until_s, server.resume_s, now) for server in servers)
    pieces = sum(len(other.waiting) for other in ahead)
    size = sum(len(other.waiting) * other.message.result_bytes for other in ahead)
    by_room_s = size / _room_rate(batcher) if work.message.result_bytes else 0.0
    return free_s - now + max(pieces / _piece_rate(batcher), by_room_s)


def backlog_s(batcher: tables.Batcher, works: Collection[tables.Work]) -> float:
    """Return how long what these works wait for will take at the present rates."""
    if not works or not batcher.servers:
        return 0.0
    pieces = sum(len(work.waiting) for work in works)
    size = sum(len(work.waiting) * work.message.result_bytes for work in works)
    return max(pieces / _piece_rate(batcher), size / _room_rate(batcher))


def load(batcher: tables.Batcher, now: float) -> fleet.ServiceLoad:
    """Return what hosts are told of this queue."""
    return fleet.ServiceLoad(
        service=batcher.service,
        backlog_s=backlog_s(batcher, batcher.works.values()),
        on_time_s=backlog_s(batcher, order.on_time(batcher, now)),
        wait_s=estimates.decayed_s(batcher.wait, now),
    )


def _learn_wait(batcher: tables.Batcher, now: float, work: tables.Work) -> None:
    """Learn from work that was on time when it came: late work waits for others.

    Work that has become late by its wait counts with the wait that it could afford.
    """
    least_s = order.shortest_call_s(batcher, work)
    spare_s = work.objective_s - work.arrived_s - least_s
    if spare_s < 0:
        return
    waited_s = max(0.0, now - work.arrived_s - least_s)
    estimates.add(batcher.wait, now, min(waited_s, spare_s))


def _piece_rate(batcher: tables.Batcher) -> float:
    """Return how many pieces a second full calls to all upstreams make."""
    capacity = batcher.capacity
    full_s = full_call_s(capacity)
    return sum(
        capacity.batch / (full_s * server.slowness)
        for server in batcher.servers.values()
    )


def _room_rate(batcher: tables.Batcher) -> float:
    """Return how many bytes of results a second find room, with what each is held."""
    room = batcher.capacity.room_bytes * len(batcher.servers)
    return max(1.0, room) / max(batcher.held_s, batcher.capacity.call_s)


def full_call_s(capacity: catalog_tables.StageCapacity) -> float:
    """Return how long a full call takes."""
    return _call_s(capacity, capacity.batch)


def _call_s(capacity: catalog_tables.StageCapacity, items: int) -> float:
    return capacity.call_s + capacity.item_s * items


def dispatch(batcher: tables.Batcher, now: float) -> list[tables.Call]:
    """Give each idle upstream a call with what is most pressing."""
    calls = []
    servers = sorted(
        (each for each in batcher.servers.values() if _is_free(batcher, now, each)),
        key=lambda server: (server.slowness, server.upstream),
    )
    for server in servers:
        items = _fill(batcher, now, server)
        if not items:
            continue
        calls.append(_begin(batcher, now, server, items))
    return calls


def expired(batcher: tables.Batcher, now: float) -> list[tables.Finished]:
    """Give up works that will not be done before their deadline.

    Works past their objective share what is kept for them, oldest first; one that
    this share does not reach in time is given up as soon as that is known, unless
    earlier stages of its request are done. Its caller may come back when what waits
    now is done.
    """
    ended = []
    share = max(order.LATE_SHARE, 1.0 - batcher.on_time_share)
    late_rate = share * _piece_rate(batcher)
    late_room_rate = max(LATE_ROOM_SHARE, share) * _room_rate(batcher)
    ahead = 0
    ahead_bytes = 0
    for work in sorted(batcher.works.values(), key=lambda work: work.arrived_s):
        if not work.waiting or not order.is_late(batcher, now, work):
            continue
        wait_s = 0.0
        fresh = len(work.waiting) == len(work.message.pieces)
        if fresh and work.message.depth == 0 and late_rate > 0:
            wait_s = ahead / late_rate
            if work.message.result_bytes:
                wait_s = max(wait_s, ahead_bytes / late_room_rate)
        if now + wait_s + batcher.capacity.call_s <= work.deadline_s:
            ahead += len(work.waiting)
            ahead_bytes += len(work.waiting) * work.message.result_bytes
            continue
        cancel(batcher, now, work.message.work)
        _learn_wait(batcher, now, work)
        reason = "the deadline cannot be met any more"
        backlog = backlog_s(batcher, batcher.works.values())
        ended.append(_refused(work, reason, max(wait_s, backlog, FULL_PAUSE_S)))
    return ended


def call_done(
    batcher: tables.Batcher,
    now: float,
    number: int,
    outcomes: list[tables.ItemDone],
) -> list[tables.Finished]:
    """Take an upstream's answer to a call, one outcome an item in their order."""
    call = batcher.calls.pop(number)
    server = call.server
    server.calls -= 1
    server.failures = 0
    server.busy_until_s = now
    made = sum(outcome.handle is not None for outcome in outcomes)
    if made:
        _learn_speed(call, now, _call_s(batcher.capacity, made) * server.slowness)
    ended = []
    for item, outcome in zip(call.items, outcomes, strict=True):
        finished = _item_done(batcher, now, call, item, outcome)
        if finished is not None:
            ended.append(finished)
    return ended


def call_failed(
    batcher: tables.Batcher,
    now: float,
    number: int,
    *,
    full: bool,
    silent: bool = False,
) -> list[tables.Finished]:
    """Queue the pieces of a failed call again and leave the upstream alone a while.

    Unless the upstream was full, it may have made results that nobody can free.
    """
    call = batcher.calls.pop(number)
    server = call.server
    server.calls -= 1
    server.busy_until_s = now
    if full:
        server.resume_s = now + FULL_PAUSE_S
    else:
        if silent:
            _learn_speed(call, now, call.expected_s)
        _note_lost_results(batcher, now, call)
        doublings = min(server.failures, MAXIMUM_DOUBLINGS)
        pause_s = min(MAXIMUM_PAUSE_S, FAILED_PAUSE_S * 2**doublings)
        server.failures += 1
        server.resume_s = now + pause_s * (SILENT_PAUSE_FACTOR if silent else 1.0)
    ended = []
    for item in call.items:
        work = batcher.works.get(item.work)
        _unreserve(batcher, server, work)
        if work is None:
            continue
        work.waiting.append(item.index)
        work.failures += 0 if full else 1
        if work.failures > MAXIMUM_FAILURES * len(work.message.pieces):
            cancel(batcher, now, item.work)
            ended.append(_refused(work, "too many failed calls", FAILED_PAUSE_S))
    return ended


def _note_lost_results(
    batcher: tables.Batcher,
    now: float,
    call: tables.Call,
) -> None:
    sizes = [
        batcher.works[item.work].message.result_bytes
        for item in call.items
        if item.work in batcher.works
    ]
    call.server.results[f"lost {call.number}"] = tables.Result(
        size=sum(sizes),
        began_s=call.sent_s,
        expires_s=now + batcher.capacity.result_s,
    )


def free(
    batcher: tables.Batcher,
    now: float,
    handles: list[str],
) -> dict[str, list[str]]:
    """Forget results; return the handles by the address of their maker."""
    by_address: dict[str, list[str]] = {}
    for handle in handles:
        for server in batcher.servers.values():
            held = server.results.pop(handle, None)
            if held is not None:
                by_address.setdefault(server.address, []).append(handle)
                held_s = now - held.began_s
                batcher.held_s += HELD_WEIGHT * (held_s - batcher.held_s)
                break
    return by_address


def take_unread(batcher: tables.Batcher) -> dict[str, list[str]]:
    """Return the results that nobody will read, by the address of their maker."""
    unread = batcher.unread
    batcher.unread = {}
    return unread


def forget_expired(batcher: tables.Batcher, now: float) -> None:
    """Drop results that their makers have dropped by now."""
    for server in batcher.servers.values():
        gone = [
            handle for handle, held in server.results.items() if held.expires_s <= now
        ]
        for handle in gone:
            del server.results[handle]


def set_servers(batcher: tables.Batcher, present: dict[str, tuple[str, str]]) -> None:
    """Follow the upstreams that are there: address and availability zone by id.

    One that is gone keeps its running calls until they end.
    """
    for upstream in set(batcher.servers) - set(present):
        del batcher.servers[upstream]
    for upstream, (address, zone) in present.items():
        server = batcher.servers.get(upstream)
        if server is None or server.address != address:
            batcher.servers[upstream] = tables.Server(upstream, address, zone)


def _is_free(batcher: tables.Batcher, now: float, server: tables.Server) -> bool:
    return server.calls < batcher.capacity.concurrency and now >= server.resume_s


def _fill(
    batcher: tables.Batcher,
    now: float,
    server: tables.Server,
) -> list[tables.Item]:
    """Choose the pieces of a call: those at home here first, others in need next."""
    room = _room(batcher, now, server)
    works = order.waiting(batcher, now)
    here = [work for work in works if _at_home(work, server)]
    here += [
        work
        for work in works
        if not _at_home(work, server) and _must_leave_home(batcher, now, work)
    ]
    for work in here:
        work.late = work.late or order.is_late(batcher, now, work)
    late = sorted(
        (work for work in here if work.late),
        key=lambda work: work.arrived_s,
    )
    batch = batcher.capacity.batch
    kept = math.ceil(batch * order.LATE_SHARE) if late else 0
    late_room = _late_room(batcher, server)
    filling = _Filling(room=room, late_room=late_room)
    _take(filling, here, batch - kept)
    _take(filling, late, batch)
    _take(filling, here, batch)
    return filling.items


def _at_home(work: tables.Work, server: tables.Server) -> bool:
    home = work.message.home_zone
    return not home or home == server.zone


def _must_leave_home(
    batcher: tables.Batcher,
    now: float,
    work: tables.Work,
) -> bool:
    """Tell whether upstreams in a work's own zone would make it miss its objective.

    Late work that they have seen has nothing to miss: it stays unless they are busy
    for long.
    """
    home = [
        server
        for server in batcher.servers.values()
        if server.zone == work.message.home_zone
    ]
    if not home:
        return True
    free_s = min(max(server.busy_until_s, server.resume_s, now) for server in home)
    if work.late:
        return free_s > now + LATE_HOME_WAIT_S
    return work.objective_s < free_s + order.shortest_call_s(batcher, work)


@dataclasses.dataclass(slots=True)
class _Filling:
    """A call that is being filled, and the room that is left for its results."""

    room: float
    late_room: float
    items: list[tables.Item] = dataclasses.field(default_factory=list)


def _take(filling: _Filling, works: list[tables.Work], batch: int) -> None:
    """Move pieces into the call until it holds ``batch``, or no room is left."""
    for work in works:
        size = work.message.result_bytes
        while work.waiting and len(filling.items) < batch:
            if size > (
                min(filling.room, filling.late_room) if work.late else filling.room
            ):
                break
            filling.items.append(tables.Item(work.message.work, work.waiting.pop(0)))
            filling.room -= size
            filling.late_room -= size if _fills_late_room(work) else 0


def _fills_late_room(work: tables.Work) -> bool:
    """Tell whether a work's results count against the room kept for late work."""
    return work.late and work.message.feeds_stage


def _late_room(batcher: tables.Batcher, server: tables.Server) -> float:
    held = sum(each.size for each in server.results.values() if each.late)
    return LATE_ROOM_SHARE * batcher.capacity.room_bytes - held - server.reserved_late


def _room(batcher: tables.Batcher, now: float, server: tables.Server) -> float:
    held = sum(each.size for each in server.results.values())
    age_s = now - server.unknown_since_s
    unknown = server.unknown_bytes * 0.5 ** (age_s / UNKNOWN_HALF_LIFE_S)
    return batcher.capacity.room_bytes - held - server.reserved - unknown


def _note_no_room(batcher: tables.Batcher, now: float, server: tables.Server) -> None:
    """Believe an upstream that its room is taken, whoever's results they are."""
    free_bytes = _room(batcher, now, server)
    if free_bytes <= 0:
        return
    age_s = now - server.unknown_since_s
    server.unknown_bytes *= 0.5 ** (age_s / UNKNOWN_HALF_LIFE_S)
    server.unknown_bytes += free_bytes
    server.unknown_since_s = now


def _begin(
    batcher: tables.Batcher,
    now: float,
    server: tables.Server,
    items: list[tables.Item],
) -> tables.Call:
    capacity = batcher.capacity
    expected_s = _call_s(capacity, len(items)) * server.slowness
    batcher.next_call += 1
    call = tables.Call(
        number=batcher.next_call,
        server=server,
        items=items,
        sent_s=now,
        expected_s=expected_s,
    )
    batcher.calls[call.number] = call
    server.calls += 1
    server.busy_until_s = now + expected_s
    on_time = sum(not batcher.works[item.work].late for item in items)
    share = on_time / capacity.batch
    batcher.on_time_share += SHARE_WEIGHT * (share - batcher.on_time_share)
    for item in items:
        work = batcher.works[item.work]
        server.reserved += work.message.result_bytes
        server.reserved_late += (
            work.message.result_bytes if _fills_late_room(work) else 0
        )
    return call


def _item_done(
    batcher: tables.Batcher,
    now: float,
    call: tables.Call,
    item: tables.Item,
    outcome: tables.ItemDone,
) -> tables.Finished | None:
    server = call.server
    work = batcher.works.get(item.work)
    _unreserve(batcher, server, work)
    if outcome.handle is not None:
        size = 0 if work is None else work.message.result_bytes
        expires_s = now + batcher.capacity.result_s
        late = work is not None and _fills_late_room(work)
        server.results[outcome.handle] = tables.Result(
            size=size,
            began_s=call.sent_s,
            expires_s=expires_s,
            late=late,
        )
    if work is None:
        if outcome.handle is not None:
            _abandon(batcher, now, [outcome.handle])
        return None
    if outcome.handle is not None:
        work.handles[item.index] = outcome.handle
        if len(work.handles) < len(work.message.pieces):
            return None
        del batcher.works[item.work]
        _learn_wait(batcher, now, work)
        return tables.Finished(work)
    return _item_failed(batcher, now, server, work, item, outcome)


def _item_failed(
    batcher: tables.Batcher,
    now: float,
    server: tables.Server,
    work: tables.Work,
    item: tables.Item,
    outcome: tables.ItemDone,
) -> tables.Finished | None:
    if outcome.lost_input or outcome.too_late:
        cancel(batcher, now, item.work)
        return _refused(work, outcome.reason, 0.0, lost_input=outcome.lost_input)
    if outcome.no_room:
        _note_no_room(batcher, now, server)
    else:
        work.failures += 1
    if work.failures > MAXIMUM_FAILURES:
        cancel(batcher, now, item.work)
        return _refused(work, outcome.reason, FAILED_PAUSE_S)
    work.waiting.append(item.index)
    return None


def _abandon(batcher: tables.Batcher, now: float, handles: list[str]) -> None:
    """Note results that nobody will read."""
    for address, freed in free(batcher, now, handles).items():
        batcher.unread.setdefault(address, []).extend(freed)


def _unreserve(
    batcher: tables.Batcher,
    server: tables.Server,
    work: tables.Work | None,
) -> None:
    """Give back the room of one piece; all of it once nothing runs there."""
    if server.calls == 0:
        server.reserved = 0
        server.reserved_late = 0
    elif work is not None:
        size = work.message.result_bytes
        server.reserved = max(0, server.reserved - size)
        late_size = size if _fills_late_room(work) else 0
        server.reserved_late = max(0, server.reserved_late - late_size)


def _learn_speed(call: tables.Call, now: float, expected_s: float) -> None:
    """Take how long a call took against what its upstream's speed let expect."""
    server = call.server
    ratio = (now - call.sent_s) / max(expected_s / server.slowness, LEAST_CALL_S)
    ratio = max(LEAST_SLOWNESS, ratio)
    server.slowness += SLOWNESS_WEIGHT * (ratio - server.slowness)


def _refused(
    work: tables.Work,
    reason: str,
    retry_after_s: float,
    *,
    lost_input: bool = False,
) -> tables.Finished:
    refusal = fleet.StageRefused(
        work=work.message.work,
        reason=reason,
        retry_after_s=min(retry_after_s, MAXIMUM_RETRY_AFTER_S),
        lost_input=lost_input,
    )
    return tables.Finished(work, refusal)
