"""The invariants: each is a function that finds violations in the records of a run."""

import collections
from collections.abc import Callable, Iterator

import msgspec

from bench.invariants import records, views

# Calls may still arrive for this long after an upstream announced that it is leaving.
LEAVING_BOUND_S = 3.0
# An accepted manifest is in force on every host after this time.
IN_FORCE_BOUND_S = 6.0


class Violation(msgspec.Struct, frozen=True):
    """The name of a violated invariant and the recorded fact that violates it."""

    invariant: str
    detail: str


def check(run_records: list[records.Record]) -> list[Violation]:
    """Check all invariants on the complete records of a run, ordered by time."""
    view = views.create(run_records)
    return [
        Violation(invariant=invariant, detail=detail)
        for invariant, find in INVARIANTS.items()
        for detail in find(view)
    ]


def find_lost_requests(view: views.View) -> Iterator[str]:
    """Find accepted requests that got neither a complete answer nor a final refusal.

    A refusal with ``ran: no`` does not end an accepted request.
    """
    for request in view.requests_by_input.values():
        ended = request.answers or any(
            refusal.ran != "no" for refusal in request.refusals
        )
        if request.accepted and not ended and not request.cancelled:
            yield f"{views.label(request)} was accepted and never answered"


def find_duplicate_answers(view: views.View) -> Iterator[str]:
    """Find requests with two different answers, and exchanges that ended twice."""
    for request in view.requests_by_input.values():
        for request_id, bodies in _body_digests_by_request_id(request).items():
            if len(bodies) > 1:
                yield f"{views.label(request)}: {request_id} has {len(bodies)} answers"
        keyed_digests = {answer.body_digest for answer in _keyed_answers(request)}
        if len(keyed_digests) > 1:
            yield f"{views.label(request)}: one key has {len(keyed_digests)} answers"
        for exchange, count in _count_final_responses(request).items():
            if count > 1:
                yield f"{views.label(request)}: {exchange} ended {count} times"


def find_crossed_requests(view: views.View) -> Iterator[str]:
    """Find answers and calls with the data of another request."""
    for request in view.requests_by_input.values():
        complete_outputs = view.outputs.get(request.input_digest, set())
        for answer in request.answers:
            if answer.output_digest not in complete_outputs:
                yield (
                    f"{views.label(request)}: no call made the output "
                    f"{answer.output_digest} that {answer.exchange} got"
                )
    for request_id, inputs in view.inputs_by_request.items():
        if len(inputs) > 1:
            yield f"request {request_id} was called with {len(inputs)} inputs"
    for call in view.calls:
        if call.input_digest not in view.requests_by_input:
            yield f"{call.upstream} was called with an input that no caller sent"


def find_broken_streams(view: views.View) -> Iterator[str]:
    """Find streams received as complete with gaps, overlaps or a wrong digest."""
    for request in view.requests_by_input.values():
        for answer in request.answers:
            error = _stream_error(answer)
            if error:
                yield f"{views.label(request)}: {answer.exchange} {error}"


def find_refused_requests_that_ran(view: views.View) -> Iterator[str]:
    """Find requests refused with ``ran: no`` that ran nevertheless.

    A call is allowed if another exchange with the same input, which was not refused
    with ``no``, was sent before it.
    """
    for request in view.requests_by_input.values():
        refused = [refusal for refusal in request.refusals if refusal.ran == "no"]
        if not refused:
            continue
        exchanges = {refusal.exchange for refusal in refused}
        others = [sent for sent in request.sent if sent.exchange not in exchanges]
        allowed_from_s = min((sent.time_s for sent in others), default=float("inf"))
        for call in view.calls_by_input.get(request.input_digest, []):
            if call.time_s < allowed_from_s:
                yield f"{views.label(request)} was refused, and {views.describe(call)}"


def find_repeated_stages(view: views.View) -> Iterator[str]:
    """Find non-idempotent stages that ran more than once."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (call.input_digest, call.stage) for call in view.calls if not call.idempotent
    )
    for (input_digest, stage), count in counts.items():
        if count > 1:
            yield f"stage {stage} of input {input_digest[:12]} ran {count} times"


def find_calls_after_leaving(view: views.View) -> Iterator[str]:
    """Find calls to an upstream too long after it announced that it is leaving."""
    left_s: dict[str, float] = {}
    for record in view.run_records:
        match record:
            case records.LeavingAnnounced():
                left_s.setdefault(record.upstream, record.time_s)
            case records.ServingAnnounced():
                left_s.pop(record.upstream, None)
            case records.StageCalled():
                since_s = record.time_s - left_s.get(record.upstream, record.time_s)
                if since_s > LEAVING_BOUND_S:
                    yield f"{since_s:.3f} s after leaving {views.describe(record)}"


def find_reverted_manifests(view: views.View) -> Iterator[str]:
    """Find hosts that return to an older manifest, and numbers with two manifests.

    A host reports a manifest when it comes into force there, so a manifest older than
    one accepted more than IN_FORCE_BOUND_S before is a reversion.
    """
    digests: dict[int, str] = {}
    newest: dict[str, int] = {}
    accepted = {
        record.number: record.digest
        for record in view.run_records
        if isinstance(record, records.ManifestAccepted)
    }
    for record in view.run_records:
        if not isinstance(record, records.ManifestAccepted | records.ManifestSeen):
            continue
        expected = accepted.get(record.number, record.digest)
        if digests.setdefault(record.number, expected) != record.digest:
            yield f"manifest {record.number} has two digests"
        if isinstance(record, records.ManifestSeen):
            if record.number < newest.get(record.host, 0):
                yield f"{record.host} went back to manifest {record.number}"
            newest[record.host] = max(newest.get(record.host, 0), record.number)
            if record.number < _accepted_before(view, record.time_s):
                yield f"{record.host} took the old manifest {record.number}"


def find_stale_orders(view: views.View) -> Iterator[str]:
    """Find engines that accepted an order of a former lease holder after a newer one.

    The fencing numbers of accepted orders never decrease, and each number belongs to
    one holder.
    """
    newest: dict[str, int] = {}
    holders: dict[int, str] = {}
    for record in view.run_records:
        if not isinstance(record, records.OrderReceived) or not record.taken:
            continue
        if record.fencing < newest.get(record.upstream, 0):
            yield f"{record.upstream} took the old order {record.fencing}"
        newest[record.upstream] = max(newest.get(record.upstream, 0), record.fencing)
        if holders.setdefault(record.fencing, record.holder) != record.holder:
            yield f"{record.upstream} took order {record.fencing} of {record.holder}"


INVARIANTS: dict[str, Callable[[views.View], Iterator[str]]] = {
    "nothing lost": find_lost_requests,
    "nothing doubled": find_duplicate_answers,
    "nothing crossed": find_crossed_requests,
    "streams whole": find_broken_streams,
    "refused means not run": find_refused_requests_that_ran,
    "at most once": find_repeated_stages,
    "no work after leaving": find_calls_after_leaving,
    "no manifest reverts": find_reverted_manifests,
    "no old order taken": find_stale_orders,
}


def _accepted_before(view: views.View, time_s: float) -> int:
    """Return the newest manifest number that must be in force everywhere at a time."""
    accepted = [
        record.number
        for record in view.run_records
        if isinstance(record, records.ManifestAccepted)
        and record.time_s + IN_FORCE_BOUND_S < time_s
    ]
    return max(accepted, default=0)


def _body_digests_by_request_id(request: views.LogicalRequest) -> dict[str, set[str]]:
    bodies: dict[str, set[str]] = collections.defaultdict(set)
    for answer in request.answers:
        bodies[answer.request_id].add(answer.body_digest)
    return bodies


def _keyed_answers(request: views.LogicalRequest) -> list[records.AnswerReceived]:
    keyed_exchanges = {sent.exchange for sent in request.sent if sent.key is not None}
    return [answer for answer in request.answers if answer.exchange in keyed_exchanges]


def _count_final_responses(request: views.LogicalRequest) -> collections.Counter[str]:
    exchanges_ended = [answer.exchange for answer in request.answers]
    exchanges_ended += [refusal.exchange for refusal in request.refusals]
    return collections.Counter(exchanges_ended)


def _stream_error(answer: records.AnswerReceived) -> str:
    if not answer.pieces:
        return ""
    position = answer.pieces[0].offset
    for piece in answer.pieces:
        if piece.offset != position:
            return f"expected offset {position} and got {piece.offset}"
        position += piece.length
    if position != answer.claimed_length:
        return f"ended at {position} instead of {answer.claimed_length}"
    if answer.claimed_digest != answer.output_digest:
        return "does not have the digest of its end mark"
    return ""
