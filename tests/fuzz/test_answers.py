"""Whatever an upstream answers, only a whole answer to its own call is taken."""

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


def opened(cluster):
    """Send a reading and return its call and what leaves the host afterwards."""
    left = []
    process = cluster.here.processes["entry-1"]
    former = process.send

    def send(sender, message):
        left.append(message)
        if not isinstance(message, requests.CallUpstream):
            former(sender, message)

    process.send = send
    body = b'{"kind":"reading","input":1}'
    system.take(cluster, system.submission(body, "reading"), 0.1)
    [call] = [each for each in left if isinstance(each, requests.CallUpstream)]
    return call, left


def message_of(call, event):
    """Return the event of an upstream that a drawn tuple stands for."""
    name, *drawn = event
    if name == "part":
        return requests.UpstreamPart(call.attempt, *drawn)
    if name == "failure":
        sent, status = drawn
        return requests.UpstreamFailed(call.attempt, sent, "fuzz", status)
    own, digest, output, length = drawn
    other = upstream.Binding("r", "panel", call.attempt, 1)
    return requests.UpstreamFinished(
        attempt=call.attempt,
        binding=call.call.binding if own else other,
        digest=digest,
        output=output,
        length=length,
    )


def is_whole(message):
    """Tell whether an end mark closes a whole output of its own call."""
    is_end = isinstance(message, requests.UpstreamFinished)
    return is_end and message.digest in (
        records.digest(message.output),
        records.text_digest(message.output),
    )


@examples.settings(share=2.0)
@hypothesis.given(events=strategies.lists(PARTS | ENDS | FAILURES, max_size=5))
def test_no_answer_is_made_from_what_is_not_whole(events):
    cluster = system.ready()
    call, left = opened(cluster)
    messages = [message_of(call, event) for event in events]

    for message in messages:
        system.take(cluster, message, 0.01)

    answered = any(isinstance(each, requests.WholeAnswer) for each in left)
    possible = any(
        is_whole(message) and message.binding == call.call.binding
        for message in messages
    )
    assert possible or not answered
