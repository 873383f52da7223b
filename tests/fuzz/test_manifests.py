"""A manifest is refused with its errors, or it can be served."""

import json

import hypothesis
import msgspec
from hypothesis import strategies

from bitternlever.checks import manifest as manifest_checks
from bitternlever.messages import directory, manifest
from tests.fuzz import examples, system
from tests.scenarios import cluster as clusters, manifests, simulation

BODY = json.loads(manifests.put_manifest_command(2).body)
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(),
    strategies.text(max_size=5),
    strategies.sampled_from([[], {}, [[]], 0, 1, "engines", "billing", "call"]),
)


def member_paths(value, path=()):
    """Return the paths of all members and items of a JSON value."""
    members = value.items() if isinstance(value, dict) else enumerate(value)
    found = []
    for key, member in members:
        found.append((*path, key))
        if isinstance(member, dict | list):
            found += member_paths(member, (*path, key))
    return found


def change_body(path, value, remove):
    """Return the body with the member at ``path`` replaced or removed."""
    body = json.loads(json.dumps(BODY))
    container = body
    for key in path[:-1]:
        container = container[key]
    if remove:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return body


@examples.settings()
@hypothesis.given(data=strategies.binary(max_size=200))
def test_any_bytes_are_refused_with_an_error(data):
    outcome = manifest_checks.check(data)

    assert outcome.is_err()
    assert outcome.err() != []


@examples.settings(share=2.0)
@hypothesis.given(
    path=strategies.sampled_from(member_paths(BODY)),
    value=ODD_VALUES,
    remove=strategies.booleans(),
)
def test_a_manifest_with_one_change_is_refused_or_served(path, value, remove):
    body = json.dumps(change_body(path, value, remove)).encode()

    outcome = manifest_checks.check(body)

    if outcome.is_err():
        assert all(message.text for message in outcome.err())
        return
    cluster = system.create()
    apply(cluster, body)
    send_every_kind(cluster, outcome.ok())


def apply(cluster, body):
    """Apply a checked body as an operator; check that it is in force if accepted."""
    number = json.loads(body)["number"]
    digest = manifests.digest(body)
    put = directory.PutManifest(number=number, digest=digest, body=body)
    clusters.send_operator_command(cluster, "fuzz", "entry-1", put)
    simulation.pass_time(cluster.sim, system.SETTLE_S)
    view = cluster.sim.processes["entry-1"].tables.manifest
    [reply] = cluster.replies["fuzz"]
    if isinstance(reply, directory.ManifestAccepted):
        assert (view.number, view.digest) == (number, digest)
        assert view.manifest == msgspec.json.decode(body, type=manifest.Manifest)
    else:
        assert view.number == 1


def send_every_kind(cluster, decoded):
    """Send a request of each kind; the host must not fail."""
    for pipeline in decoded.pipelines:
        for kind in pipeline.kinds:
            message = system.submission(b'{"input":1}', kind.name)
            message.pipeline = pipeline.name
            message.workspace = decoded.workspaces[0].name
            system.deliver(cluster, message, 0.3)
