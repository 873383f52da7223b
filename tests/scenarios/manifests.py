"""The manifest of the scenarios: pipelines with every type of stage."""

import hashlib
from collections.abc import Sequence

import msgspec

from bitternlever.messages import directory, manifest

TASKS = {
    "encoders": manifest.Task.ENCODE,
    "retrievers": manifest.Task.RETRIEVE,
    "rerankers": manifest.Task.RERANK,
    "engines": manifest.Task.GENERATE,
    "billing": manifest.Task.CALL,
    "panel": manifest.Task.CALL,
}
NOT_IDEMPOTENT = {"billing"}
DEFAULT_LIMITS = manifest.Limits()
DURABLE_KINDS = {"dispute", "audit"}


def _stage(pool: str) -> manifest.Stage:
    return manifest.Stage(
        name=pool,
        task=TASKS[pool],
        pool=pool,
        idempotent=pool not in NOT_IDEMPOTENT,
        billing=pool in NOT_IDEMPOTENT,
    )


def _kind(name: str, priority: int, deadline_ms: int) -> manifest.Kind:
    return manifest.Kind(
        name=name,
        priority=priority,
        deadline_ms=deadline_ms,
        durable=name in DURABLE_KINDS,
    )


PIPELINES = [
    manifest.Pipeline(
        name="drafting",
        stages=[_stage("encoders"), _stage("retrievers"), _stage("engines")],
        kinds=[_kind("dispute", 2, 120_000), _kind("question", 1, 9_000)],
    ),
    manifest.Pipeline(
        name="audits",
        stages=[_stage("encoders"), _stage("billing"), _stage("engines")],
        kinds=[_kind("audit", 3, 120_000), _kind("privacy-update", 0, 9_000)],
    ),
    manifest.Pipeline(
        name="readings",
        stages=[_stage("panel")],
        kinds=[_kind("reading", 0, 3_000)],
    ),
]
PIPELINE_OF = {
    kind.name: pipeline.name for pipeline in PIPELINES for kind in pipeline.kinds
}


def put_manifest_command(
    number: int,
    variant: str = "",
    limits: manifest.Limits = DEFAULT_LIMITS,
    models: Sequence[manifest.Model] = (),
) -> directory.PutManifest:
    """Return the command that applies a manifest; a variant changes its digest."""
    new_manifest = manifest.Manifest(
        number=number,
        workspaces=[
            manifest.Workspace(name="cantref", token_sha256=[]),
            manifest.Workspace(name=f"sheetal{variant}", token_sha256=[]),
        ],
        pipelines=PIPELINES,
        models=list(models),
        limits=limits,
    )
    body = msgspec.json.encode(new_manifest)
    return directory.PutManifest(number=number, digest=digest(body), body=body)


def digest(body: bytes) -> str:
    """Return the digest under which a manifest is applied."""
    return hashlib.sha256(body).hexdigest()
