"""Reading and decoding of request bodies, with limits on size and nesting depth."""

from typing import Any

import msgspec
import result
from aiohttp import web

from bitternlever.messages import integers, problems
from bitternlever.transport import codec


class Submission(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a new request."""

    kind: str
    input: Any
    stream: bool = False
    deadline_ms: integers.Signed | None = None


class ReplaceReplica(msgspec.Struct, forbid_unknown_fields=True):
    """The body of an operator's replacement of a replica."""

    old_node: str
    old_disk: str
    new_node: str


def refusal(
    status: int, problem_type: str, title: str, detail: str
) -> problems.Problem:
    """Return the problem for a call that is refused before anything has run."""
    return problems.Problem(
        type=problem_type,
        title=title,
        status=status,
        detail=detail,
        ran=problems.Ran.NO,
    )


async def read(
    request: web.Request,
    maximum_bytes: int,
) -> result.Result[bytes, problems.Problem]:
    """Read a body of at most ``maximum_bytes``."""
    data = bytearray()
    async for chunk in request.content.iter_any():
        data += chunk
        if len(data) > maximum_bytes:
            return result.Err(_too_large(maximum_bytes))
    return result.Ok(bytes(data))


def decode(
    data: bytes,
    body_type: type,
    maximum_depth: int,
) -> result.Result[Any, problems.Problem]:
    """Decode a JSON body of at most ``maximum_depth`` nested levels.

    The input of a submission is kept as it was sent; all other bodies are passed on
    to other processes, and refused if a message cannot carry them.
    """
    try:
        decoded = msgspec.json.decode(data, type=body_type)
    except RecursionError:
        return result.Err(_too_deep(maximum_depth))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(
            refusal(400, "malformed-body", "The body is malformed", str(error)),
        )
    if isinstance(decoded, Submission):
        if depth_exceeds(decoded.input, maximum_depth):
            return result.Err(_too_deep(maximum_depth))
        return result.Ok(decoded)
    fault = codec.fault(decoded)
    if fault is not None:
        return result.Err(
            refusal(400, "malformed-body", "The body cannot be passed on", fault),
        )
    return result.Ok(decoded)


def depth_exceeds(value: Any, maximum_depth: int) -> bool:
    """Return whether JSON values nest deeper than ``maximum_depth``."""
    level = [value]
    for _ in range(maximum_depth):
        level = [child for parent in level for child in _children(parent)]
        if not level:
            return False
    return any(isinstance(nested, dict | list) for nested in level)


def _children(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    if isinstance(value, list):
        return value
    return []


def _too_large(maximum_bytes: int) -> problems.Problem:
    return refusal(
        413,
        "body-too-large",
        "The body is too large",
        f"send at most {maximum_bytes} bytes",
    )


def _too_deep(maximum_depth: int) -> problems.Problem:
    return refusal(
        400,
        "body-too-deep",
        "The body nests too deep",
        f"nest at most {maximum_depth} levels",
    )
