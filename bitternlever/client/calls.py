"""The client's calls: run a request to its final outcome, cancel, acknowledge."""

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import msgspec
import result

from bitternlever.client import hosts, retries, streams, tables as client_tables
from bitternlever.messages import problems
from bitternlever.transport import whole_answers

BY_ID_CALL_TIMEOUT_S = 5.0
BY_ID_CALL_ATTEMPTS = 3
REQUEST_ID_HEADER = "Bitternlever-Request-Id"
EVENT_STREAM_TYPE = "text/event-stream"
MAXIMUM_ANSWER_BYTES = 16_000_000
"""Four times the largest reply that hosts take from an upstream."""

WHOLE_STATUS = 200
OPEN_STATUS = 202
FIRST_CLIENT_ERROR = 400
FIRST_SERVER_ERROR = 500
EXCHANGE_ERRORS = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    msgspec.MsgspecError,
    streams.BrokenStreamError,
)

Outcome = result.Result[client_tables.Answer, client_tables.Failure]


def create(
    settings: client_tables.ClientSettings,
    clock: Callable[[], float] = time.monotonic,
) -> client_tables.Client:
    """Open a client, to be closed with :func:`close`; needs a running event loop."""
    headers = {"Authorization": f"Bearer {settings.token}"}
    return client_tables.Client(
        settings=settings,
        session=aiohttp.ClientSession(headers=headers),
        clock=clock,
        random=random.Random(),
    )


async def close(client: client_tables.Client) -> None:
    """Close the client's connections."""
    await client.session.close()


async def run(
    client: client_tables.Client,
    submission: client_tables.Submission,
    on_piece: Callable[[str], None] | None = None,
) -> Outcome:
    """Send a request until it has a whole answer or a final problem.

    A request with a key is sent again, on another host, after every failure that is not
    final. One without a key is sent again only if it certainly did not run. The answer
    is not acknowledged: the caller does that after it has stored it.
    """
    pending = client_tables.PendingRequest(
        submission=submission,
        body=_body(submission),
        deadline_s=client.clock() + client.settings.patience_s,
        on_piece=on_piece,
    )
    attempts = 0
    while True:
        address = await hosts.next_address(client)
        outcome = await _exchange(client, pending, address)
        if isinstance(outcome, client_tables.Answer):
            return result.Ok(outcome)
        failure, pause_s = outcome
        attempts += 1
        pause_s = retries.pause_s(client, pause_s, attempts)
        if not retries.may_retry(pending, failure):
            return result.Err(retries.overall_failure(pending, failure))
        if client.clock() + pause_s >= pending.deadline_s:
            return result.Err(retries.overall_failure(pending, failure))
        await asyncio.sleep(pause_s)


async def cancel(client: client_tables.Client, request_id: str) -> bool:
    """Cancel a request by its id; return whether a host accepted this."""
    return await _call_by_id(client, "DELETE", f"/v1/requests/{request_id}")


async def acknowledge(client: client_tables.Client, request_id: str) -> bool:
    """Acknowledge that the answer is stored, so that the system may drop it."""
    path = f"/v1/requests/{request_id}/acknowledgement"
    return await _call_by_id(client, "POST", path)


async def _exchange(
    client: client_tables.Client,
    pending: client_tables.PendingRequest,
    address: str,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    """Return the answer, or the failure and the pause that the host asks for."""
    try:
        return await _send(client, pending, address)
    except aiohttp.ClientConnectorError as error:
        hosts.use_next(client)
        return retries.attempt_failure(pending, f"{address}: {error}"), 0.0
    except EXCHANGE_ERRORS as error:
        hosts.use_next(client)
        retries.mark_may_have_run(pending)
        return retries.attempt_failure(
            pending, f"{address}: {type(error).__name__} {error}"
        ), 0.0


async def _send(
    client: client_tables.Client,
    pending: client_tables.PendingRequest,
    address: str,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    timeout = aiohttp.ClientTimeout(
        total=None,
        connect=client_tables.CONNECT_TIMEOUT_S,
        sock_read=client.settings.exchange_s,
    )
    async with _request(client, pending, address, timeout) as response:
        pending.request_id = response.headers.get(REQUEST_ID_HEADER, pending.request_id)
        if response.status == WHOLE_STATUS:
            return await _read_answer(client, pending, response)
        if response.status == OPEN_STATUS:
            pending.query_by_id = True
            retry_after_s = float(response.headers.get("Retry-After", 1))
            return retries.attempt_failure(
                pending, "the request is still open"
            ), retry_after_s
        data = await whole_answers.read(response, MAXIMUM_ANSWER_BYTES)
        return _handle_problem(
            client, pending, msgspec.json.decode(data, type=problems.Problem)
        )


def _request(
    client: client_tables.Client,
    pending: client_tables.PendingRequest,
    address: str,
    timeout: aiohttp.ClientTimeout,
):
    """Submit the request, or query it by its id if ``query_by_id`` is set."""
    submission = pending.submission
    headers = {"Accept": EVENT_STREAM_TYPE} if submission.stream else {}
    params = {"offset": str(len(pending.text))} if pending.text else {}
    if pending.query_by_id and pending.request_id is not None:
        return client.session.get(
            f"{address}/v1/requests/{pending.request_id}",
            headers=headers,
            params=params,
            timeout=timeout,
        )
    if submission.key is not None:
        headers["Idempotency-Key"] = submission.key
    return client.session.post(
        f"{address}/v1/pipelines/{submission.pipeline}/requests",
        data=pending.body,
        headers=headers | {"Content-Type": "application/json"},
        params=params,
        timeout=timeout,
    )


async def _read_answer(
    client: client_tables.Client,
    pending: client_tables.PendingRequest,
    response: aiohttp.ClientResponse,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    if response.content_type != EVENT_STREAM_TYPE:
        body = await whole_answers.read(response, MAXIMUM_ANSWER_BYTES)
        return client_tables.Answer(pending.request_id or "", body, pending.text)
    outcome = await streams.read(pending, response, client.settings.silence_s)
    if isinstance(outcome, problems.Problem):
        return _handle_problem(client, pending, outcome)
    return client_tables.Answer(pending.request_id or "", outcome, pending.text)


def _handle_problem(
    client: client_tables.Client,
    pending: client_tables.PendingRequest,
    problem: problems.Problem,
) -> tuple[client_tables.Failure, float | None]:
    """Record a problem; it is final unless it comes with a time to retry."""
    pending.request_id = problem.request_id or pending.request_id
    if problem.ran is not problems.Ran.NO:
        retries.mark_may_have_run(pending)
    if problem.type.endswith("stream-garbled"):
        pending.text = ""
    hosts.use_next(client)
    if "draining" in problem.detail:
        hosts.discard_list(client)
    failure = client_tables.Failure(
        ran=problem.ran,
        detail=f"{problem.title}: {problem.detail}",
        status=problem.status,
        request_id=pending.request_id,
        final=problem.retry_after_s is None,
    )
    return failure, problem.retry_after_s


async def _call_by_id(client: client_tables.Client, method: str, path: str) -> bool:
    for _ in range(BY_ID_CALL_ATTEMPTS):
        address = await hosts.next_address(client)
        timeout = aiohttp.ClientTimeout(total=BY_ID_CALL_TIMEOUT_S)
        try:
            async with client.session.request(
                method,
                address + path,
                timeout=timeout,
            ) as response:
                if response.status < FIRST_SERVER_ERROR:
                    return response.status < FIRST_CLIENT_ERROR
        except (TimeoutError, aiohttp.ClientError, OSError):
            pass
        hosts.use_next(client)
        await asyncio.sleep(retries.INITIAL_PAUSE_S)
    return False


def _body(submission: client_tables.Submission) -> bytes:
    body = {
        "kind": submission.kind,
        "input": submission.input,
        "stream": submission.stream,
    }
    if submission.deadline_ms is not None:
        body["deadline_ms"] = submission.deadline_ms
    return msgspec.json.encode(body)
