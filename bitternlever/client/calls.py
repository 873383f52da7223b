"""Calls of the client: run a request to its one outcome, cancel, acknowledge."""

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import msgspec
import result

from bitternlever.client import hosts, retries, streams, tables as client_tables
from bitternlever.messages import problems

NAMED_CALL_TIMEOUT_S = 5.0
NAMED_CALL_TRIES = 3
REQUEST_ID_HEADER = "Bitternlever-Request-Id"
EVENT_STREAM_TYPE = "text/event-stream"
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
    """Open a client; it needs a running event loop and ends with :func:`close`."""
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

    A request with a key is sent again, on another host, after every failure that may
    pass. One without a key is sent again only where it certainly was not run. The
    answer is not acknowledged: the caller does that once it holds it.
    """
    state = client_tables.Run(
        submission=submission,
        body=_body(submission),
        ends_s=client.clock() + client.settings.patience_s,
        on_piece=on_piece,
    )
    tries = 0
    while True:
        address = await hosts.next_address(client)
        outcome = await _exchange(client, state, address)
        if isinstance(outcome, client_tables.Answer):
            return result.Ok(outcome)
        failure, pause_s = outcome
        tries += 1
        pause_s = retries.pause_s(client, pause_s, tries)
        if not retries.may_repeat(state, failure):
            return result.Err(retries.doubtful(state, failure))
        if client.clock() + pause_s >= state.ends_s:
            return result.Err(retries.doubtful(state, failure))
        await asyncio.sleep(pause_s)


async def cancel(client: client_tables.Client, request_id: str) -> bool:
    """Cancel a request by name; return whether a host has taken it."""
    return await _named(client, "DELETE", f"/v1/requests/{request_id}")


async def acknowledge(client: client_tables.Client, request_id: str) -> bool:
    """Say that the answer is held, so that the system may drop it."""
    path = f"/v1/requests/{request_id}/acknowledgement"
    return await _named(client, "POST", path)


async def _exchange(
    client: client_tables.Client,
    state: client_tables.Run,
    address: str,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    try:
        return await _send(client, state, address)
    except aiohttp.ClientConnectorError as error:
        hosts.leave(client)
        return retries.failed(state, f"{address}: {error}"), 0.0
    except EXCHANGE_ERRORS as error:
        hosts.leave(client)
        retries.doubt(state)
        return retries.failed(state, f"{address}: {type(error).__name__} {error}"), 0.0


async def _send(
    client: client_tables.Client,
    state: client_tables.Run,
    address: str,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    timeout = aiohttp.ClientTimeout(
        total=None,
        connect=client_tables.CONNECT_TIMEOUT_S,
        sock_read=client.settings.exchange_s,
    )
    async with _request(client, state, address, timeout) as response:
        state.request_id = response.headers.get(REQUEST_ID_HEADER, state.request_id)
        if response.status == WHOLE_STATUS:
            return await _read(client, state, response)
        if response.status == OPEN_STATUS:
            state.ask_by_id = True
            retry_after_s = float(response.headers.get("Retry-After", 1))
            return retries.failed(state, "the request is still open"), retry_after_s
        data = await response.read()
        return _refused(client, state, msgspec.json.decode(data, type=problems.Problem))


def _request(
    client: client_tables.Client,
    state: client_tables.Run,
    address: str,
    timeout: aiohttp.ClientTimeout,
):
    """Submit the request, or ask for it by its id where it has no key."""
    submission = state.submission
    headers = {"Accept": EVENT_STREAM_TYPE} if submission.stream else {}
    params = {"offset": str(len(state.text))} if state.text else {}
    if state.ask_by_id and state.request_id is not None:
        return client.session.get(
            f"{address}/v1/requests/{state.request_id}",
            headers=headers,
            params=params,
            timeout=timeout,
        )
    if submission.key is not None:
        headers["Idempotency-Key"] = submission.key
    return client.session.post(
        f"{address}/v1/pipelines/{submission.pipeline}/requests",
        data=state.body,
        headers=headers | {"Content-Type": "application/json"},
        params=params,
        timeout=timeout,
    )


async def _read(
    client: client_tables.Client,
    state: client_tables.Run,
    response: aiohttp.ClientResponse,
) -> client_tables.Answer | tuple[client_tables.Failure, float | None]:
    if response.content_type != EVENT_STREAM_TYPE:
        body = await response.read()
        return client_tables.Answer(state.request_id or "", body, state.text)
    read = await streams.read(state, response, client.settings.silence_s)
    if isinstance(read, problems.Problem):
        return _refused(client, state, read)
    return client_tables.Answer(state.request_id or "", read, state.text)


def _refused(
    client: client_tables.Client,
    state: client_tables.Run,
    problem: problems.Problem,
) -> tuple[client_tables.Failure, float | None]:
    """Take a problem; only one with a time to come back may pass."""
    state.request_id = problem.request_id or state.request_id
    if problem.ran is not problems.Ran.NO:
        retries.doubt(state)
    if problem.type.endswith("stream-garbled"):
        state.text = ""
    hosts.leave(client)
    if "draining" in problem.detail:
        hosts.forget(client)
    failure = client_tables.Failure(
        ran=problem.ran,
        detail=f"{problem.title}: {problem.detail}",
        status=problem.status,
        request_id=state.request_id,
        final=problem.retry_after_s is None,
    )
    return failure, problem.retry_after_s


async def _named(client: client_tables.Client, method: str, path: str) -> bool:
    for _ in range(NAMED_CALL_TRIES):
        address = await hosts.next_address(client)
        timeout = aiohttp.ClientTimeout(total=NAMED_CALL_TIMEOUT_S)
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
        hosts.leave(client)
        await asyncio.sleep(retries.FIRST_PAUSE_S)
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
