"""Commands with default values for the fields that a test does not set."""

import hashlib

from bitternlever.messages import journal, upstream

WORKSPACE = "cantref"


def claim(request_id: str = "k-1", host: str = "a", epoch: int = 1, **fields):
    """Return a claim."""
    defaults = {
        "workspace": WORKSPACE,
        "pipeline": "audits",
        "kind": "audit",
        "digest": "digest",
        "body": b"{}",
        "priority": 1,
        "durable": True,
        "time_left_ms": 60_000,
        "answer_stage": "draft",
    }
    return journal.Claim(
        request_id=request_id,
        host=host,
        epoch=epoch,
        **(defaults | fields),
    )


def start(attempt: str, host: str = "a", epoch: int = 1, **fields):
    """Return a start of the stage ``bill``."""
    return journal.StartStage(
        request_id="k-1",
        stage="bill",
        attempt=attempt,
        host=host,
        epoch=epoch,
        **fields,
    )


def digest(text: str) -> str:
    """Return a text's SHA-256 digest."""
    return hashlib.sha256(text.encode()).hexdigest()


def progress(offset: int, text: str, host: str = "a", epoch: int = 1, **fields):
    """Return a part of the streamed output of the stage ``draft``."""
    return journal.RecordProgress(
        request_id="k-1",
        stage="draft",
        offset=offset,
        text=text,
        host=host,
        epoch=epoch,
        **fields,
    )


def result(attempt: str, output: bytes = b'"billed"', host: str = "a", **fields):
    """Return a result, by default of the stage ``bill``."""
    return journal.RecordResult(
        request_id="k-1",
        stage=fields.pop("stage", "bill"),
        attempt=attempt,
        output=output,
        usage=upstream.Usage(busy_ms=2.0),
        host=host,
        epoch=1,
        **fields,
    )


def answer(body: bytes = b'{"output":1}', request_id: str = "k-1", **fields):
    """Return a final answer."""
    return journal.RecordAnswer(
        request_id=request_id,
        status=200,
        body=body,
        host=fields.pop("host", "a"),
        epoch=fields.pop("epoch", 1),
        **fields,
    )


def take_over(host: str = "b", epoch: int = 2, sequence: int = 1, maximum: int = 10):
    """Return a takeover."""
    return journal.TakeOver(
        host=host,
        epoch=epoch,
        maximum=maximum,
        sequence=sequence,
    )


def get(request_id: str = "k-1", workspace: str = WORKSPACE, offset: int = 0):
    """Return a read of a request."""
    return journal.GetRequest(
        request_id=request_id,
        workspace=workspace,
        offset=offset,
    )
