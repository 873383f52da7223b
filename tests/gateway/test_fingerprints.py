"""Requests of the same path, caller and body have the same name."""

import pytest

from bitternlever.catalog import tables as catalog_tables
from bitternlever.gateway import fingerprints
from tests.gateway import samples


def names(**changes) -> tuple[str, ...]:
    fields = {"method": b"POST", "target": b"/a/x", "body": b"one"}
    return fingerprints.names(samples.context(**{**fields, **changes}))


def test_a_request_that_comes_again_has_the_same_name():
    (name,) = names()

    again = {"head": samples.head(request="other", deadline_s=1.0), "arrived_s": 200.0}
    assert names(**again) == (name,)


@pytest.mark.parametrize(
    "changes",
    [
        {"target": b"/a/y"},
        {"body": b"two"},
        {"method": b"PUT"},
        {"of_route": samples.route(host="other.example")},
        {"head": samples.head(api_key="another")},
        {"workspace": catalog_tables.Workspace("w", None)},
    ],
    ids=["path", "body", "method", "host", "key", "caller"],
)
def test_another_request_has_another_name(changes):
    assert names(**changes) != names()


def test_keys_of_one_caller_make_no_difference():
    workspace = catalog_tables.Workspace("w", None)
    one = names(workspace=workspace)

    assert names(workspace=workspace, head=samples.head(api_key="second")) == one


def test_a_query_adds_a_name():
    (path,) = names()
    first, second = names(target=b"/a/x?p=1"), names(target=b"/a/x?p=2")

    assert first[0] == second[0] == path
    assert first[1] != second[1]
