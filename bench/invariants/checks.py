"""The invariants, each a function from the records of a run to its violations."""

import collections
from collections.abc import Callable, Iterator

import msgspec

from bench.invariants import records, views

LEAVING_BOUND_S = 3.0
IN_FORCE_BOUND_S = 6.0


class Violation(msgspec.Struct, frozen=True):
    """One broken promise: the invariant's name and what was recorded."""

    invariant: str
    detail: str


def check(run: list[records.Record]) -> list[Violation]:
    """Check every invariant over the records of a whole run, ordered by time."""
    view = views.create(run)
    return [
        Violation(invariant=invariant, detail=detail)
        for invariant, find in INVARIANTS.items()
        for detail in find(view)
    ]


def lost(view: views.View) -> Iterator[str]:
    """Find accepted requests that got neither their whole answer nor a last word.

    A refusal that says ``ran: no`` is no last word on an accepted request.
    """
    for logical in view.logical.values():
        ended = logical.answers or any(
            refusal.ran != "no" for refusal in logical.refusals
        )
        if logical.accepted and not ended and not logical.cancelled:
            yield f"{views.name(logical)} was accepted and never answered"


def doubled(view: views.View) -> Iterator[str]:
    """Find requests answered in two ways, and exchanges answered twice."""
    for logical in view.logical.values():
        for request_id, bodies in _bodies(logical).items():
            if len(bodies) > 1:
                yield f"{views.name(logical)}: {request_id} has {len(bodies)} answers"
        keyed = {answer.body_digest for answer in _keyed_answers(logical)}
        if len(keyed) > 1:
            yield f"{views.name(logical)}: one key has {len(keyed)} answers"
        for exchange, count in _last_words(logical).items():
            if count > 1:
                yield f"{views.name(logical)}: {exchange} ended {count} times"


def crossed(view: views.View) -> Iterator[str]:
    """Find answers and calls that belong to another request."""
    for logical in view.logical.values():
        whole = view.outputs.get(logical.input_digest, set())
        for answer in logical.answers:
            if answer.output_digest not in whole:
                yield (
                    f"{views.name(logical)}: no call made the output "
                    f"{answer.output_digest} that {answer.exchange} got"
                )
    for request, inputs in view.inputs_by_request.items():
        if len(inputs) > 1:
            yield f"request {request} was called with {len(inputs)} inputs"
    for call in view.calls:
        if call.input_digest not in view.logical:
            yield f"{call.upstream} was called with an input that no caller sent"


def cut(view: views.View) -> Iterator[str]:
    """Find streams handed over as whole that have gaps, overlaps or a wrong digest."""
    for logical in view.logical.values():
        for answer in logical.answers:
            fault = _stream_fault(answer)
            if fault:
                yield f"{views.name(logical)}: {answer.exchange} {fault}"


def refused_but_ran(view: views.View) -> Iterator[str]:
    """Find requests refused with ``ran: no`` that were run.

    A call is excused by another exchange of the same input, sent before the call,
    that was not refused with ``no``.
    """
    for logical in view.logical.values():
        refused = [refusal for refusal in logical.refusals if refusal.ran == "no"]
        if not refused:
            continue
        exchanges = {refusal.exchange for refusal in refused}
        others = [sent for sent in logical.sent if sent.exchange not in exchanges]
        excused_from_s = min((sent.time_s for sent in others), default=float("inf"))
        for call in view.calls_by_input.get(logical.input_digest, []):
            if call.time_s < excused_from_s:
                yield f"{views.name(logical)} was refused, and {views.describe(call)}"


def repeated(view: views.View) -> Iterator[str]:
    """Find stages that are not idempotent and ran more than once."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter(
        (call.input_digest, call.stage) for call in view.calls if not call.idempotent
    )
    for (input_digest, stage), count in counts.items():
        if count > 1:
            yield f"stage {stage} of input {input_digest[:12]} ran {count} times"


def called_after_leaving(view: views.View) -> Iterator[str]:
    """Find calls that an upstream got too long after it said that it leaves."""
    left_s: dict[str, float] = {}
    for record in view.run:
        match record:
            case records.LeavingAnnounced():
                left_s.setdefault(record.upstream, record.time_s)
            case records.ServingAnnounced():
                left_s.pop(record.upstream, None)
            case records.StageCalled():
                since_s = record.time_s - left_s.get(record.upstream, record.time_s)
                if since_s > LEAVING_BOUND_S:
                    yield f"{since_s:.3f} s after leaving {views.describe(record)}"


def reverted(view: views.View) -> Iterator[str]:
    """Find manifests that went back, or two manifests with one number.

    A host shows a manifest when it comes into force there: one that is older than
    another accepted long before has come back.
    """
    digests: dict[int, str] = {}
    newest: dict[str, int] = {}
    accepted = {
        record.number: record.digest
        for record in view.run
        if isinstance(record, records.ManifestAccepted)
    }
    for record in view.run:
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


def old_order_taken(view: views.View) -> Iterator[str]:
    """Find engines that took an order of a former holder after its successor's.

    The fencing numbers of taken orders never go down, and each number belongs to one
    holder.
    """
    newest: dict[str, int] = {}
    holders: dict[int, str] = {}
    for record in view.run:
        if not isinstance(record, records.OrderReceived) or not record.taken:
            continue
        if record.fencing < newest.get(record.upstream, 0):
            yield f"{record.upstream} took the old order {record.fencing}"
        newest[record.upstream] = max(newest.get(record.upstream, 0), record.fencing)
        if holders.setdefault(record.fencing, record.holder) != record.holder:
            yield f"{record.upstream} took order {record.fencing} of {record.holder}"


INVARIANTS: dict[str, Callable[[views.View], Iterator[str]]] = {
    "nothing lost": lost,
    "nothing doubled": doubled,
    "nothing crossed": crossed,
    "streams whole": cut,
    "refused means not run": refused_but_ran,
    "at most once": repeated,
    "no work after leaving": called_after_leaving,
    "no manifest reverts": reverted,
    "no old order taken": old_order_taken,
}


def _accepted_before(view: views.View, time_s: float) -> int:
    """Return the newest number that must be in force everywhere by then."""
    accepted = [
        record.number
        for record in view.run
        if isinstance(record, records.ManifestAccepted)
        and record.time_s + IN_FORCE_BOUND_S < time_s
    ]
    return max(accepted, default=0)


def _bodies(logical: views.Logical) -> dict[str, set[str]]:
    bodies: dict[str, set[str]] = collections.defaultdict(set)
    for answer in logical.answers:
        bodies[answer.request_id].add(answer.body_digest)
    return bodies


def _keyed_answers(logical: views.Logical) -> list[records.AnswerReceived]:
    keyed = {sent.exchange for sent in logical.sent if sent.key is not None}
    return [answer for answer in logical.answers if answer.exchange in keyed]


def _last_words(logical: views.Logical) -> collections.Counter[str]:
    words = [answer.exchange for answer in logical.answers]
    words += [refusal.exchange for refusal in logical.refusals]
    return collections.Counter(words)


def _stream_fault(answer: records.AnswerReceived) -> str:
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
