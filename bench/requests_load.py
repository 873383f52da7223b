"""Send requests of the experiment with the client library, as callers do.

A shape is a kind of request to be compared: the name of a pipeline, with the suffix
``-keyed`` if its requests carry an idempotency key. ``keyed`` is short for
``plain-keyed``. ``bench.requests.bench_manifest`` defines the pipelines.
"""

import statistics
import time
from collections.abc import Callable

import result

from bench.invariants import records
from bitternlever.client import calls, tables as client_tables
from bitternlever.messages import problems
from standins import local_system

TOKEN = "cantref-caerdydd-example-token"
WORKSPACE = "cantref-caerdydd"
KEYED_SUFFIX = "-keyed"
KEYED = "keyed"
# Requests of these pipelines always have an idempotency key.
DURABLE_PIPELINES = ("durable", "draft", "staged")
PERCENTILE = 99

Write = Callable[[records.Record], None]


def open_client(system: local_system.LocalSystem) -> client_tables.Client:
    """Open a client of the system's entry hosts."""
    settings = client_tables.ClientSettings(addresses=system.entries, token=TOKEN)
    return calls.create(settings)


def make_submission(shape: str, name: str) -> client_tables.Submission:
    """Return a request of a shape, streamed if its pipeline generates text.

    ``name`` identifies the logical request: it is its input and, if the request has
    one, its idempotency key.
    """
    pipeline = "plain" if shape == KEYED else shape.removesuffix(KEYED_SUFFIX)
    has_idempotency_key = shape.endswith(KEYED) or pipeline in DURABLE_PIPELINES
    return client_tables.Submission(
        pipeline=pipeline,
        kind=pipeline,
        input={"text": name},
        key=name if has_idempotency_key else None,
        stream=pipeline in ("draft", "staged"),
    )


async def send_one(client: client_tables.Client, shape: str, name: str) -> None:
    """Send one request; raise RuntimeError if it is not answered."""
    outcome = await calls.run(client, make_submission(shape, name))
    if outcome.is_err():
        raise RuntimeError(f"{name}: {outcome.err()}")


async def send_and_record(
    client: client_tables.Client,
    shape: str,
    name: str,
    write: Write,
) -> tuple[calls.Outcome, float]:
    """Send one request, record its outcome and acknowledge a complete answer."""
    submission = make_submission(shape, name)
    started_s = time.monotonic()
    write(
        records.RequestSent(
            exchange=name,
            host="",
            workspace=WORKSPACE,
            kind=submission.kind,
            input_digest=records.digest(submission.input),
            durable=submission.pipeline in DURABLE_PIPELINES,
            time_s=started_s,
            key=submission.key,
        ),
    )
    outcome = await calls.run(client, submission)
    now_s = time.monotonic()
    write(_outcome_record(name, submission, outcome, now_s))
    if outcome.is_ok() and submission.pipeline != "plain":
        await calls.acknowledge(client, outcome.ok().request_id)
    return outcome, now_s - started_s


def is_lost(shape: str, outcome: calls.Outcome) -> bool:
    """Return True if a request that may have been accepted has no complete answer.

    The outcome of a non-idempotent request without a key may be unknown by design.
    """
    if outcome.is_ok() or outcome.err().ran is problems.Ran.NO:
        return False
    return shape != "once"


def percentiles(samples_ms: list[float]) -> dict[str, float]:
    """Return the median and a high percentile of samples."""
    ordered = sorted(samples_ms)
    return {
        "median_ms": round(statistics.median(ordered), 3),
        f"p{PERCENTILE}_ms": round(ordered[len(ordered) * PERCENTILE // 100], 3),
    }


def _outcome_record(
    name: str,
    submission: client_tables.Submission,
    outcome: result.Result[client_tables.Answer, client_tables.Failure],
    now_s: float,
) -> records.Record:
    if outcome.is_err():
        failure = outcome.err()
        return records.RefusalReceived(
            exchange=name,
            request_id=failure.request_id,
            status=failure.status or 0,
            ran=failure.ran.value,
            time_s=now_s,
        )
    answer = outcome.ok()
    output = answer.decode()["output"]
    is_text = isinstance(output, str)
    return records.AnswerReceived(
        exchange=name,
        request_id=answer.request_id,
        body_digest=records.text_digest(answer.body.decode()),
        output_digest=records.text_digest(output)
        if is_text
        else records.digest(output),
        time_s=now_s,
    )
