"""Changes from one catalog body to the next."""

import json
import random
import zlib

import pytest

from bitternlever.catalog import changes


def routes_body(count, seed=1):
    draw = random.Random(seed)
    routes = [
        {"name": f"r-{draw.getrandbits(40):x}", "targets": [{"weight": number}]}
        for number in range(count)
    ]
    return json.dumps({"routes": routes}).encode()


def changed(body, seed):
    """Return the body with routes left out, moved and added."""
    draw = random.Random(seed)
    routes = json.loads(body)["routes"]
    for _ in range(draw.randrange(6)):
        routes.pop(draw.randrange(len(routes)))
        moved = routes.pop(draw.randrange(len(routes)))
        routes.insert(draw.randrange(len(routes)), moved)
        routes.insert(draw.randrange(len(routes)), {"name": f"new-{draw.random()}"})
    return json.dumps({"routes": routes}).encode()


@pytest.mark.parametrize("seed", range(30))
def test_a_change_leads_from_its_base_to_the_body(seed):
    base = routes_body(40)
    body = changed(base, seed)

    assert changes.apply(base, changes.encode(base, body)).ok() == body


@pytest.mark.parametrize("base", [b"", b"{", b"no JSON", b"{{}}{"])
@pytest.mark.parametrize("body", [b"", b"{", b"{}{}", b"other", b'{"a": {}}'])
def test_any_bytes_are_a_body(base, body):
    assert changes.apply(base, changes.encode(base, body)).ok() == body


def test_a_change_of_a_large_catalog_is_small():
    base = routes_body(2_000)
    body = base[:-2] + b', {"name": "added"}]}'

    assert len(changes.encode(base, body)) < 200
    assert len(changes.encode(b"", body)) < len(body) / 3


def test_a_change_on_another_base_is_refused():
    change = changes.encode(routes_body(40), routes_body(41))

    outcome = changes.apply(b"{}", change)

    assert outcome.is_err()


@pytest.mark.parametrize(
    "change",
    [
        b"",
        b"no zlib",
        zlib.compress(b"\xc1"),
        zlib.compress(b"\x91\x92\xff\x01"),
        zlib.compress(b"\x91\x92\x00\xff"),
    ],
)
def test_damaged_changes_are_refused(change):
    assert changes.apply(b"{}{}", change).is_err()


def test_a_change_without_end_is_refused():
    base = b"x" * 1_000_000
    run = b"\x92\x00\x01"
    change = zlib.compress(b"\x9f" + run * 15)
    assert changes.apply(base, change).is_ok()

    many = zlib.compress(b"\xdc\x00\x20" + run * 32)
    assert changes.apply(base, many).is_err()
