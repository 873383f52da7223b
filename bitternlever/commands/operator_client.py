"""Calls to entry hosts, with failover to the next host.

Every call that changes something is idempotent: if it is sent again, the second answer
says the same.
"""

import asyncio
import dataclasses
from typing import Annotated

import aiohttp
import cappa
import msgspec
import result

from bitternlever.messages import problems
from bitternlever.transport import whole_answers

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNAVAILABLE = 3
EXIT_UNAUTHORIZED = 4
EXIT_NOT_YET = 5
EXIT_UNKNOWN = 6
TRY_NEXT_HOST = (EXIT_UNAVAILABLE, EXIT_UNKNOWN)

NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
    aiohttp.NonHttpUrlClientError,
)

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 10.0
MAXIMUM_ANSWER_BYTES = 16_000_000
"""The largest catalog that control accepts."""

ENTRY = cappa.Arg(
    long=True,
    default=cappa.Env("BITTERNLEVER_ENTRY", default=""),
    help="Entry hosts to call, as http://ADDRESS:PORT, separated by commas. "
    "Environment: BITTERNLEVER_ENTRY.",
    show_default=False,
)
OPERATOR_TOKEN = cappa.Arg(
    long=True,
    default=cappa.Env("BITTERNLEVER_OPERATOR_TOKEN", default=""),
    help="Bearer token of operators. Environment: BITTERNLEVER_OPERATOR_TOKEN.",
    show_default=False,
)
JSON = cappa.Arg(long=True, help="Print JSON for scripts instead of text.")


@dataclasses.dataclass(kw_only=True)
class Connection:
    """Options of every command that calls entry hosts."""

    entry: Annotated[str, ENTRY] = ""
    operator_token: Annotated[str, OPERATOR_TOKEN] = ""
    json: Annotated[bool, JSON] = False

    @property
    def addresses(self) -> list[str]:
        """Return the base addresses of the entry hosts to call."""
        parts = [part.strip().rstrip("/") for part in self.entry.split(",")]
        return [part for part in parts if part]


class Answer(msgspec.Struct, frozen=True):
    """A successful answer and the address of the host that sent it."""

    address: str
    status: int
    body: bytes
    headers: dict[str, str]


class Failure(msgspec.Struct, frozen=True):
    """A failed call: the exit code, a text, and the problem answer, if any."""

    exit_code: int
    text: str
    problem: msgspec.Raw = msgspec.Raw(b"null")


class ProblemBody(msgspec.Struct):
    """The members of a problem answer that the tool reads."""

    title: str = ""
    detail: str = ""
    ran: problems.Ran = problems.Ran.UNKNOWN


Outcome = result.Result[Answer, Failure]


def call(
    connection: Connection,
    method: str,
    path: str,
    body: bytes | None = None,
    token: str | None = None,
    *,
    redirected: bool = False,
) -> Outcome:
    """Call the hosts in order until one answers; follow its redirects on request."""
    if not connection.addresses:
        text = (
            "no control process is given; set --control or BITTERNLEVER_CONTROL"
            if redirected
            else "no entry host is given; set --entry or BITTERNLEVER_ENTRY"
        )
        return result.Err(Failure(EXIT_USAGE, text))
    bearer_token = connection.operator_token if token is None else token
    return asyncio.run(
        _call_in_order(
            connection.addresses, method, path, body, bearer_token, redirected
        )
    )


async def _call_in_order(
    addresses: list[str],
    method: str,
    path: str,
    body: bytes | None,
    token: str,
    redirected: bool,
) -> Outcome:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
    headers = {"Authorization": f"Bearer {token}"}
    failures: list[Failure] = []
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for address in addresses:
            outcome = await _call_one(session, address, method, path, body, redirected)
            if outcome.is_ok() or outcome.err().exit_code not in TRY_NEXT_HOST:
                return outcome
            failures.append(outcome.err())
    return result.Err(_combine_failures(failures))


def _combine_failures(failures: list[Failure]) -> Failure:
    """Return one failure for all; its outcome is unknown if that of any one is."""
    worst = max(failures, key=lambda failure: failure.exit_code)
    text = "; ".join(failure.text for failure in failures)
    return msgspec.structs.replace(worst, text=text)


async def _call_one(
    session: aiohttp.ClientSession,
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    redirected: bool,
) -> Outcome:
    try:
        async with session.request(
            method,
            f"{address}{path}",
            data=body,
            allow_redirects=redirected,
        ) as response:
            data = await whole_answers.read(response, MAXIMUM_ANSWER_BYTES)
    except NOT_SENT as error:
        return result.Err(Failure(EXIT_UNAVAILABLE, f"{address}: {error}"))
    except (aiohttp.ClientError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        code = EXIT_UNAVAILABLE if method == "GET" else EXIT_UNKNOWN
        return result.Err(Failure(code, f"{address}: {reason}"))
    if response.status < 300:
        return result.Ok(
            Answer(
                address=address,
                status=response.status,
                body=data,
                headers=dict(response.headers),
            ),
        )
    return result.Err(_read_failure(address, response.status, data))


def _read_failure(address: str, status: int, data: bytes) -> Failure:
    try:
        problem = msgspec.json.decode(data, type=ProblemBody)
    except msgspec.MsgspecError:
        text = f"{address}: HTTP status {status} without a problem answer"
        return Failure(EXIT_UNAVAILABLE if status >= 500 else EXIT_REFUSED, text)
    text = f"{address}: {problem.title}: {problem.detail}"
    return Failure(_exit_code(status, problem.ran), text, msgspec.Raw(data))


def _exit_code(status: int, ran: problems.Ran) -> int:
    if status in (401, 403):
        return EXIT_UNAUTHORIZED
    if status < 500:
        return EXIT_REFUSED
    return EXIT_UNAVAILABLE if ran is problems.Ran.NO else EXIT_UNKNOWN
