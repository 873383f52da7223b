"""Builders of entry hosts, upstreams and stages, for tests of admission and routing."""

from bitternlever.admission import dispatch
from bitternlever.core import ticks
from bitternlever.entry import tables as entry_tables
from bitternlever.gossip import upstreams
from bitternlever.messages import manifest, requests, upstream
from bitternlever.pipelines import tables as pipeline_tables
from bitternlever.routing import feedback

STAGE = manifest.Stage(name="write", task=manifest.Task.GENERATE, pool="engines")
CALL = manifest.Stage(name="call", task=manifest.Task.CALL, pool="panels")


def host(policy="predicted", seed=1, limits=None, **changes):
    """Return the tables of an entry host."""
    settings = entry_tables.EntrySettings(
        host="h0",
        zone="hall-a",
        address="",
        link="",
        incarnation="1",
        control_nodes={},
        seed_links=[],
        policy=policy,
        **changes,
    )
    tables = entry_tables.create(settings, seed)
    tables.manifest.manifest = manifest.Manifest(
        number=1,
        workspaces=[],
        pipelines=[],
        limits=limits or manifest.Limits(),
    )
    return tables


def announce(tables, now, name="e0", sequence=1, **changes):
    """Deliver an upstream's announcement to the host."""
    values = {
        "address": name,
        "pool": "engines",
        "zone": "hall-a",
        "tasks": [task.value for task in manifest.Task],
        "concurrency": 8,
    }
    announcement = upstream.Announcement(
        name=name,
        incarnation=1,
        sequence=sequence,
        **(values | changes),
    )
    upstreams.merge_announcement(tables.membership, announcement, now)


def ready(name, now=0.0, priority=2, deadline_s=100.0, stage=STAGE, **changes):
    """Return a stage that is ready to be queued."""
    values = {
        "workspace": "w",
        "weight": 1.0,
        "kind": f"kind-{priority}",
        "stage_deadline_s": deadline_s,
        "durable": priority > 1,
        "prefix": "",
        "prompt_tokens": 100,
    }
    return pipeline_tables.ReadyStage(
        request_id=name,
        priority=priority,
        stage_index=0,
        stage=stage,
        enqueued_s=now,
        deadline_s=deadline_s,
        **(values | changes),
    )


def attempt(stage, placement, now):
    """Return an attempt of a stage on the upstream chosen for it."""
    return pipeline_tables.Attempt(
        attempt_id=f"a-{stage.request_id}",
        request_id=stage.request_id,
        workspace=stage.workspace,
        stage_index=stage.stage_index,
        stage=stage.stage,
        upstream=placement.upstream,
        address=placement.address,
        priority=stage.priority,
        started_s=now,
        deadline_s=stage.deadline_s,
        predicted_s=placement.predicted_s,
        prompt_tokens=stage.prompt_tokens,
        prefix=stage.prefix,
        preemptions=stage.preemptions,
    )


def run(tables, now):
    """Dispatch once and return the launched attempts in order."""
    launched = []

    def launch(tables, now, outbox, stage, placement):
        started = attempt(stage, placement, now)
        tables.requests.attempts[started.attempt_id] = started
        feedback.started(tables, now, started)
        launched.append(started)

    dispatch.run(tables, now, ticks.Outbox(), launch)
    return launched


def finish(tables, now, done, **usage):
    """End an attempt with a complete output."""
    del tables.requests.attempts[done.attempt_id]
    feedback.finished(tables, now, done, upstream.Usage(**usage))


def refusal(refused):
    """Return an upstream's refusal of an attempt that it did not run."""
    return requests.UpstreamFailed(
        attempt=refused.attempt_id,
        sent=requests.Sent.NO,
        reason="busy",
        status=429,
    )


def connection_reset(broken):
    """Return the failure of an attempt that may have run."""
    return requests.UpstreamFailed(
        attempt=broken.attempt_id,
        sent=requests.Sent.UNKNOWN,
        reason="reset",
    )
