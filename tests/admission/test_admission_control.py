"""Tests of admission control: refusals and their ``Retry-After`` times."""

from bitternlever.admission import admission_control, dispatch
from bitternlever.messages import manifest
from tests.admission import entry_hosts

CHECK = manifest.Kind("kind-0", 0, 2_000)
AUDIT = manifest.Kind("kind-3", 3, 60_000, durable=True)
PIPELINE = manifest.Pipeline("p", [entry_hosts.STAGE], [CHECK, AUDIT])


def _admit(tables, now=0.0, kind=CHECK, workspace="w"):
    deadline_s = now + kind.deadline_ms / 1_000
    return admission_control.admit(
        tables, now, workspace, PIPELINE, kind, deadline_s, 100
    )


def _host(waiting=0, priority=0, **changes):
    tables = entry_hosts.host(**changes)
    entry_hosts.announce(tables, 0.0, concurrency=2)
    for index in range(waiting):
        stage = entry_hosts.ready(f"r{index}", priority=priority, deadline_s=500.0)
        dispatch.push(tables, 0.0, stage)
    return tables


def test_an_idle_host_admits():
    assert _admit(_host()).is_ok()


def test_a_late_request_is_refused_for_a_time_that_grows_with_the_backlog():
    short = _admit(_host(waiting=20)).err()
    long = _admit(_host(waiting=80)).err()

    assert short.status == 503
    assert short.retry_after_s < long.retry_after_s


def test_less_urgent_work_does_not_count_as_backlog():
    assert _admit(_host(waiting=80, priority=3)).is_ok()


def test_a_durable_kind_waits_instead():
    short = manifest.Kind("kind-3", 3, 2_000, durable=True)

    assert _admit(_host(waiting=80), kind=short).is_ok()


def test_a_full_host_refuses_durable_kinds_too():
    tables = _host(maximum_requests=1)
    tables.requests.requests["r"] = None

    assert _admit(tables, kind=AUDIT).err().status == 503


def test_only_the_workspace_with_too_many_waiting_stages_is_refused():
    tables = _host(waiting=12, priority=3)
    for name in ("w", "other"):
        tables.manifest.workspaces[name] = manifest.Workspace(
            name,
            [],
            maximum_waiting=10,
        )

    assert _admit(tables).err().status == 429
    assert _admit(tables, workspace="other").is_ok()


def test_an_unserved_kind_of_work_is_refused_after_a_grace_period():
    tables = entry_hosts.host()

    assert _admit(tables, now=0.0).is_ok()
    assert _admit(tables, now=5.0).err().retry_after_s > 0.0

    entry_hosts.announce(tables, 5.0)
    assert _admit(tables, now=5.0).is_ok()
