"""Whatever an upstream or a caller sends, the entry host keeps serving."""

import hypothesis
import msgspec
from hypothesis import strategies

from bitternlever.http import bodies
from bitternlever.messages import requests, upstream
from tests.fuzz import examples, system
from tests.scenarios import manifests

MAXIMUM_DEPTH = 32
NUMBERS = strategies.one_of(
    strategies.integers(min_value=-(2**63), max_value=2**63 - 1),
    strategies.sampled_from([0, 1, -1, 8]),
)
FLOATS = strategies.floats(allow_nan=False, allow_infinity=False)
TEXTS = strategies.one_of(
    strategies.text(max_size=20),
    strategies.sampled_from([*manifests.TASKS, "panel-1", "call", "mixed", ""]),
)
EVENTS = strategies.builds(
    upstream.CacheEvent,
    number=NUMBERS,
    prefix=TEXTS,
    stored=strategies.booleans(),
)
LOADS = strategies.builds(
    upstream.LoadReport,
    running=NUMBERS,
    waiting=NUMBERS,
    step_ms=FLOATS,
    cached_prefixes=NUMBERS,
    age_s=FLOATS,
)
ANNOUNCEMENTS = strategies.builds(
    upstream.Announcement,
    name=TEXTS,
    incarnation=NUMBERS,
    sequence=NUMBERS,
    address=TEXTS,
    pool=TEXTS,
    zone=TEXTS,
    tasks=strategies.lists(TEXTS, max_size=3),
    models=strategies.lists(TEXTS, max_size=3),
    adapters=strategies.lists(TEXTS, max_size=3),
    role=TEXTS,
    concurrency=NUMBERS,
    leaving=strategies.booleans(),
    load=strategies.none() | LOADS,
    cache_events=strategies.lists(EVENTS, max_size=3),
)
VALUES = strategies.recursive(
    strategies.none() | strategies.booleans() | NUMBERS | FLOATS | TEXTS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=10,
)


@examples.settings()
@hypothesis.given(data=strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data):
    for kind in (bodies.Submission, bodies.ReplaceReplica, upstream.Announcement):
        outcome = bodies.decode(data, kind, MAXIMUM_DEPTH)

        assert outcome.is_ok() or outcome.err().status == 400


@examples.settings()
@hypothesis.given(
    value=VALUES,
    depth=strategies.integers(0, 100) | strategies.just(200_000),
)
def test_any_json_is_decoded_or_refused(value, depth):
    body = b'{"kind":"reading","input":' + b"[" * depth
    body += msgspec.json.encode(value) + b"]" * depth + b"}"

    outcome = bodies.decode(body, bodies.Submission, MAXIMUM_DEPTH)

    assert outcome.is_ok() or outcome.err().status == 400


@examples.settings(share=0.5)
@hypothesis.given(announcements=strategies.lists(ANNOUNCEMENTS, max_size=4))
def test_any_announcement_leaves_the_host_serving(announcements):
    cluster = system.create()
    for announcement in announcements:
        announcement.name = f"x{announcement.name}"
        system.deliver(cluster, requests.UpstreamAnnounced(announcement), 0.1)
        cluster.fleet.by_name.setdefault(
            announcement.name,
            cluster.fleet.by_name["panel-1"],
        )

    assert system.is_serving(cluster)


@examples.settings(share=0.5)
@hypothesis.given(
    value=VALUES,
    kind=TEXTS | strategies.sampled_from(sorted(manifests.PIPELINE_OF)),
    key=strategies.none() | TEXTS,
    stream=strategies.booleans(),
    offset=strategies.integers(0, 10**12),
    deadline=strategies.none() | NUMBERS,
)
def test_any_request_leaves_the_host_serving(
    value,
    kind,
    key,
    stream,
    offset,
    deadline,
):
    cluster = system.create()
    body = msgspec.json.encode({"kind": kind, "input": value, "stream": stream})
    message = system.submission(
        body,
        kind,
        key=key,
        stream=stream,
        resume_offset=offset,
        deadline_ms=deadline,
    )

    system.deliver(cluster, message)

    assert system.is_serving(cluster)
