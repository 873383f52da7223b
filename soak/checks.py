"""The promises, checked over the records of a run; each check lists what broke it."""

import collections

from soak import records as soak_records
from standins import fleet as standin_fleet

ANSWER_MARGIN_S = 1.0
"""For a caller beside other runs on one machine, until it notices an end."""

LAST_MOMENT_S = 0.3
"""A request that meets the end of its connection may be lost on the way."""

PROMISES_NOT_RUN = (408, 421, 429, 503)
IDEMPOTENT_UPSTREAMS = 2
"""The attempts that the run's routes allow are counted by upstream."""

Records = soak_records.Records


def violations(records: Records) -> list[str]:
    """Return every broken promise."""
    found: list[str] = []
    for check in (
        _runs_are_bounded,
        _answers_are_whole_and_right,
        _refused_has_not_run,
        _answers_come_in_time,
        _revoked_keys_end,
        _drained_upstreams_rest,
        _configs_are_kept,
        _nobody_ends_by_itself,
        _draining_hosts_cut_nothing,
        _all_is_served_afterwards,
    ):
        found += check(records)
    return found


def _runs_are_bounded(records: Records) -> list[str]:
    runs = collections.defaultdict(list)
    for run in records.runs:
        runs[run.request].append(run.upstream)
    found = []
    for call in records.calls:
        upstreams = runs[call.request]
        if call.kind == "non_idempotent" and len(upstreams) > 1:
            found.append(f"request {call.request} ran {len(upstreams)} times")
        if len(set(upstreams)) > IDEMPOTENT_UPSTREAMS:
            found.append(f"request {call.request} ran at {set(upstreams)}")
    return found


def _answers_are_whole_and_right(records: Records) -> list[str]:
    ran = {run.request for run in records.runs}
    found = []
    for call in records.calls:
        if call.status != 200:
            continue
        right = call.body == soak_records.body_of(call.request)
        if not (right and call.sealed and call.request in ran):
            found.append(f"request {call.request} got an answer that is not its own")
    return found


def _refused_has_not_run(records: Records) -> list[str]:
    ran = {run.request for run in records.runs}
    return [
        f"request {call.request} got {call.status} and has run"
        for call in records.calls
        if call.status in PROMISES_NOT_RUN and not call.sealed and call.request in ran
    ]


def _answers_come_in_time(records: Records) -> list[str]:
    latest_s = standin_fleet.ROUTE_TIMEOUT_S + ANSWER_MARGIN_S
    return [
        f"request {call.request} to {call.host} had no end within {latest_s} s"
        for call in records.calls
        if call.ended_s is None or call.ended_s - call.sent_s > latest_s
        if not _disturbed(records, call, latest_s)
        if not _stalled(records, call, latest_s)
    ]


def _revoked_keys_end(records: Records) -> list[str]:
    return [
        f"request {call.request} was served {call.sent_s - revoked_s:.2f} s after the "
        f"end of {call.key}"
        for call in records.calls
        if (revoked_s := records.revoked.get(call.key)) is not None
        if call.status == 200 and call.sent_s > revoked_s + standin_fleet.REVOKE_S
    ]


def _drained_upstreams_rest(records: Records) -> list[str]:
    return [
        f"{run.upstream} got request {run.request} "
        f"{run.at_s - since_s:.2f} s after its drain was acknowledged"
        for run in records.runs
        for upstream, since_s, until_s in records.drained
        if run.upstream == upstream
        and since_s + standin_fleet.DRAIN_S < run.at_s < until_s
    ]


def _configs_are_kept(records: Records) -> list[str]:
    found = []
    for read in records.reads:
        acknowledged = [
            put.version for put in records.puts if put.acknowledged_s < read.sent_s
        ]
        earlier = [
            other.version for other in records.reads if other.answered_s < read.sent_s
        ]
        newest = max([*acknowledged, *earlier], default=0)
        if read.version < newest:
            found.append(f"version {read.version} was read after {newest}")
    return found


def _nobody_ends_by_itself(records: Records) -> list[str]:
    found = []
    for each in records.exits:
        if not each.asked:
            found.append(f"{each.process} ended by itself with {each.code}")
        elif each.code != 0:
            found.append(f"{each.process} ended with {each.code} when told to stop")
        elif each.took_s > standin_fleet.GRACE_S + ANSWER_MARGIN_S:
            found.append(f"{each.process} took {each.took_s:.1f} s to stop")
    return found


def _draining_hosts_cut_nothing(records: Records) -> list[str]:
    """Only a process that was killed, frozen or cut off may cut a connection."""
    return [
        f"request {call.request} to {call.host} was cut at {call.ended_s:.2f} s"
        for call in records.calls
        if call.status == 0 and call.ended_s is not None
        if not _disturbed(records, call, call.ended_s - call.sent_s)
    ]


def _all_is_served_afterwards(records: Records) -> list[str]:
    if records.quiet_since_s is None:
        return ["the fleet did not recover"]
    late = [
        call
        for call in records.calls
        if call.sent_s >= records.quiet_since_s and call.key not in records.revoked
    ]
    found = [
        f"request {call.request} to {call.host} got {call.status} after recovery"
        for call in late
        if call.status != 200
    ]
    return found if late else ["no request was sent after recovery"]


def _disturbed(records: Records, call: soak_records.Call, for_s: float) -> bool:
    return any(
        host == call.host
        and since_s - LAST_MOMENT_S <= call.sent_s + for_s
        and call.sent_s <= until_s
        for host, since_s, until_s in records.disturbed
    )


def _stalled(records: Records, call: soak_records.Call, for_s: float) -> bool:
    """Tell whether the caller itself did not run while it waited."""
    return any(
        since_s <= call.sent_s + for_s and call.sent_s <= until_s
        for since_s, until_s in records.stalls
    )
