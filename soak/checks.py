"""Check the guarantees over the records of a run; each check lists its violations."""

import collections
import math

from soak import plan, records as soak_records
from standins import fleet as standin_fleet

ANSWER_MARGIN_S = 1.0
"""Allows for the delay until a caller on a busy machine notices an end."""

CLOSE_MARGIN_S = 0.3
"""A request sent this shortly before a connection closes may be lost."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
MAXIMUM_UPSTREAMS = 2
"""The attempts that the run's routes allow; they are counted by upstream."""

EVACUATION_S = 5.0
"""The bound on an evacuation in the users' rules (``evac_ms``)."""

REFUSED_STATUSES = range(400, 500)
"""Control answers 503 while it has no leader; an order is then sent again."""

CONTACT_S = 3.0
"""Hosts in touch know what another one has seen; a fault excuses for as long."""

LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
"""A limited upstream gets no more than this in any window."""

Records = soak_records.Records


def violations(records: Records) -> list[str]:
    """Return a line for every violation of a guarantee."""
    violation_lines: list[str] = []
    for check in (
        _check_executions,
        _check_answers,
        _check_refused_not_run,
        _check_deadlines,
        _check_revoked_keys,
        _check_drained_upstreams,
        _check_evacuated_zones,
        _check_orders,
        _check_rate_limits,
        _check_config_versions,
        _check_process_exits,
        _check_cut_connections,
        _check_recovery,
    ):
        violation_lines += check(records)
    return violation_lines


def _check_executions(records: Records) -> list[str]:
    upstreams_by_request = collections.defaultdict(list)
    for execution in records.executions:
        upstreams_by_request[execution.request].append(execution.upstream)
    violation_lines = []
    for call in records.calls:
        upstreams = upstreams_by_request[call.request]
        if call.kind == "non_idempotent" and len(upstreams) > 1:
            violation_lines.append(f"request {call.request} ran {len(upstreams)} times")
        if len(set(upstreams)) > MAXIMUM_UPSTREAMS:
            violation_lines.append(f"request {call.request} ran at {set(upstreams)}")
    return violation_lines


def _check_answers(records: Records) -> list[str]:
    executed = {execution.request for execution in records.executions}
    violation_lines = []
    for call in records.calls:
        if call.status != 200:
            continue
        is_own = call.body == soak_records.body_of(call.request)
        if not (is_own and call.sealed and call.request in executed):
            violation_lines.append(
                f"request {call.request} got an answer that is not its own"
            )
    return violation_lines


def _check_refused_not_run(records: Records) -> list[str]:
    executed = {execution.request for execution in records.executions}
    return [
        f"request {call.request} got {call.status} and has run"
        for call in records.calls
        if call.status in NOT_RUN_STATUSES
        and not call.sealed
        and call.request in executed
    ]


def _check_deadlines(records: Records) -> list[str]:
    limit_s = standin_fleet.ROUTE_TIMEOUT_S + ANSWER_MARGIN_S
    return [
        f"request {call.request} to {call.host} had no end within {limit_s} s"
        for call in records.calls
        if call.ended_s is None or call.ended_s - call.sent_s > limit_s
        if not _overlaps_fault(records, call, limit_s)
        if not _overlaps_soak_pause(records, call, limit_s)
    ]


def _check_revoked_keys(records: Records) -> list[str]:
    return [
        f"request {call.request} was served {call.sent_s - revoked_s:.2f} s after the "
        f"end of {call.key}"
        for call in records.calls
        if (revoked_s := records.revoked_keys.get(call.key)) is not None
        if call.status == 200 and call.sent_s > revoked_s + standin_fleet.REVOKE_S
    ]


def _check_drained_upstreams(records: Records) -> list[str]:
    return [
        f"{execution.upstream} got request {execution.request} "
        f"{execution.at_s - since_s:.2f} s after its drain was acknowledged"
        for execution in records.executions
        for upstream, since_s, until_s in records.drain_periods
        if execution.upstream == upstream
        and since_s + standin_fleet.DRAIN_S < execution.at_s < until_s
    ]


def _check_evacuated_zones(records: Records) -> list[str]:
    """Also a request that the upstream neither ran nor answered is a violation."""
    return [
        f"{arrival.upstream} got request {arrival.request} "
        f"{arrival.at_s - evacuation.acknowledged_s:.2f} s after the evacuation of "
        f"{evacuation.zone} was acknowledged"
        for evacuation in records.evacuations
        if evacuation.acknowledged_s is not None
        for arrival in records.arrivals
        if plan.ZONE_BY_UPSTREAM[arrival.upstream] == evacuation.zone
        and evacuation.acknowledged_s + EVACUATION_S < arrival.at_s
        and arrival.at_s < _or_never(evacuation.restoring_s)
    ]


def _check_orders(records: Records) -> list[str]:
    return [
        f"the order {answer.method} about zone {answer.zone} got {answer.status}"
        for answer in records.order_answers
        if answer.status in REFUSED_STATUSES
    ]


def _check_rate_limits(records: Records) -> list[str]:
    """Check windows from the time at which all hosts must know a limit.

    Windows with a fault of an entry host, or shortly after one, are left out.
    """
    arrivals_by_start = collections.defaultdict(list)
    for arrival in records.limited_arrivals:
        arrivals_by_start[arrival.start].append(arrival)
    excused = [
        (start_s, end_s + CONTACT_S)
        for host, start_s, end_s in records.fault_periods
        if host in plan.ENTRIES
    ]
    excused += records.soak_pauses
    violation_lines = []
    for start, arrivals in arrivals_by_start.items():
        limit_per_s = arrivals[0].limit_per_s
        known_s = arrivals[0].at_s + CONTACT_S
        allowed = LIMIT_RATIO * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK
        times_s = [arrival.at_s for arrival in arrivals if arrival.at_s >= known_s]
        for from_s in times_s:
            until_s = from_s + LIMIT_WINDOW_S
            if any(from_s < end_s and start_s < until_s for start_s, end_s in excused):
                continue
            count = sum(from_s <= at_s < until_s for at_s in times_s)
            if count > allowed:
                violation_lines.append(
                    f"{start} got {count} requests in {LIMIT_WINDOW_S:g} s at a limit "
                    f"of {limit_per_s:.2f} a second"
                )
                break
    return violation_lines


def _check_config_versions(records: Records) -> list[str]:
    violation_lines = []
    for read in records.config_reads:
        acknowledged = [
            write.version
            for write in records.config_writes
            if write.acknowledged_s < read.sent_s
        ]
        earlier = [
            other.version
            for other in records.config_reads
            if other.answered_s < read.sent_s
        ]
        newest = max([*acknowledged, *earlier], default=0)
        if read.version < newest:
            violation_lines.append(f"version {read.version} was read after {newest}")
    return violation_lines


def _check_process_exits(records: Records) -> list[str]:
    violation_lines = []
    for exited in records.exits:
        if not exited.requested:
            violation_lines.append(
                f"{exited.process} ended by itself with {exited.code}"
            )
        elif exited.code != 0:
            violation_lines.append(
                f"{exited.process} ended with {exited.code} when told to stop"
            )
        elif exited.duration_s > standin_fleet.GRACE_S + ANSWER_MARGIN_S:
            violation_lines.append(
                f"{exited.process} took {exited.duration_s:.1f} s to stop"
            )
    return violation_lines


def _check_cut_connections(records: Records) -> list[str]:
    """Only a process that was killed, frozen or partitioned may cut a connection."""
    return [
        f"request {call.request} to {call.host} was cut at {call.ended_s:.2f} s"
        for call in records.calls
        if call.status == 0 and call.ended_s is not None
        if not _overlaps_fault(records, call, call.ended_s - call.sent_s)
    ]


def _check_recovery(records: Records) -> list[str]:
    if records.recovered_s is None:
        return ["the fleet did not recover"]
    recovered_calls = [
        call
        for call in records.calls
        if call.sent_s >= records.recovered_s and call.key not in records.revoked_keys
    ]
    violation_lines = [
        f"request {call.request} to {call.host} got {call.status} after recovery"
        for call in recovered_calls
        if call.status != 200
        if not _had_no_zone(records, call)
    ]
    return (
        violation_lines if recovered_calls else ["no request was sent after recovery"]
    )


def _had_no_zone(records: Records, call: soak_records.Call) -> bool:
    """Return whether a request was refused while all zones were evacuated at a time.

    A zone counts from the first order until hosts know that it was taken back.
    """
    if call.status not in NOT_RUN_STATUSES or call.ended_s is None:
        return False
    zones = {
        evacuation.zone
        for evacuation in records.evacuations
        if evacuation.ordered_s <= call.ended_s
        and call.sent_s <= _back_s(evacuation) + EVACUATION_S
    }
    return zones == set(standin_fleet.ZONES)


def _back_s(evacuation: soak_records.Evacuation) -> float:
    return math.inf if evacuation.unclear else _or_never(evacuation.restored_s)


def _or_never(at_s: float | None) -> float:
    return math.inf if at_s is None else at_s


def _overlaps_fault(records: Records, call: soak_records.Call, for_s: float) -> bool:
    return any(
        host == call.host
        and since_s - CLOSE_MARGIN_S <= call.sent_s + for_s
        and call.sent_s <= until_s
        for host, since_s, until_s in records.fault_periods
    )


def _overlaps_soak_pause(
    records: Records, call: soak_records.Call, for_s: float
) -> bool:
    """Return whether the soak's own process was paused while the call waited.

    The callers, relays and stand-in upstreams run in that process, so such a delay is
    not caused by the system under test.
    """
    return any(
        since_s <= call.sent_s + for_s and call.sent_s <= until_s
        for since_s, until_s in records.soak_pauses
    )
