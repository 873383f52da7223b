"""Whatever an upstream answers, only a complete answer to its own call is used."""

import hypothesis
from hypothesis import strategies

from bench.invariants import records
from bitternlever.messages import requests, upstream
from tests.fuzz import examples, system

OUTPUT = "an output"
TEXTS = strategies.text(max_size=12) | strategies.just(OUTPUT)
SIZES = strategies.integers(-(2**40), 2**40) | strategies.sampled_from([0, 9])
DIGESTS = TEXTS | strategies.sampled_from(
    [records.digest(OUTPUT), records.text_digest(OUTPUT)],
)
PARTS = strategies.tuples(strategies.just("part"), SIZES, TEXTS)
ENDS = strategies.tuples(
    strategies.just("end"),
    strategies.booleans(),
    DIGESTS,
    TEXTS,
    strategies.none() | SIZES,
)
FAILURES = strategies.tuples(
    strategies.just("failure"),
    strategies.sampled_from(list(requests.Sent)),
    strategies.none() | strategies.integers(0, 999),
)


def open_call(cluster):
    """Send a request; return its upstream call and the list of messages of the host."""
    outgoing = []
    process = cluster.sim.processes["entry-1"]
    original_send = process.send

    def send(sender, message):
        outgoing.append(message)
        if not isinstance(message, requests.CallUpstream):
            original_send(sender, message)

    process.send = send
    body = b'{"kind":"reading","input":1}'
    system.deliver(cluster, system.submission(body, "reading"), 0.1)
    [call] = [
        message for message in outgoing if isinstance(message, requests.CallUpstream)
    ]
    return call, outgoing


def message_of(call, event):
    """Return the upstream event that a drawn tuple describes."""
    name, *drawn = event
    if name == "part":
        return requests.UpstreamPart(call.attempt, *drawn)
    if name == "failure":
        sent, status = drawn
        return requests.UpstreamFailed(call.attempt, sent, "fuzz", status)
    is_own_call, digest, output, length = drawn
    other_binding = upstream.Binding("r", "panel", call.attempt, 1)
    return requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding if is_own_call else other_binding,
        digest=digest,
        output=output,
        length=length,
    )


def is_complete(message):
    """Return whether a message ends an output that matches its digest."""
    is_end = isinstance(message, requests.UpstreamFinished)
    return is_end and message.digest in (
        records.digest(message.output),
        records.text_digest(message.output),
    )


@examples.settings(share=2.0)
@hypothesis.given(events=strategies.lists(PARTS | ENDS | FAILURES, max_size=5))
def test_incomplete_outputs_are_not_answered(events):
    cluster = system.create()
    call, outgoing = open_call(cluster)
    messages = [message_of(call, event) for event in events]

    for message in messages:
        system.deliver(cluster, message, 0.01)

    answered = any(isinstance(sent, requests.WholeAnswer) for sent in outgoing)
    possible = any(
        is_complete(message) and message.binding == call.call.binding
        for message in messages
    )
    assert possible or not answered
