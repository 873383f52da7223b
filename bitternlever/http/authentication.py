"""Authentication by bearer token.

The manifest defines the tokens of workspaces, the settings those of operators and
upstreams.
"""

import hashlib
import hmac

import result
from aiohttp import web

from bitternlever.entry import tables as entry_tables
from bitternlever.http import bodies
from bitternlever.messages import problems

SCHEME = "Bearer "


def authenticate_workspace(
    request: web.Request,
    tables: entry_tables.EntryTables,
) -> result.Result[str, problems.Problem]:
    """Return the name of the workspace that the request's token belongs to."""
    digest = hashlib.sha256(_token(request).encode()).hexdigest()
    name = tables.manifest.tokens.get(digest)
    if name is not None:
        return result.Ok(name)
    if tables.manifest.number == 0:
        return result.Err(_no_manifest_problem())
    return result.Err(_unauthorized_problem())


def check_token(
    request: web.Request,
    expected: str,
) -> result.Result[None, problems.Problem]:
    """Check that the request's token is ``expected``, a token of the settings."""
    if hmac.compare_digest(_token(request).encode(), expected.encode()):
        return result.Ok(None)
    return result.Err(_unauthorized_problem())


def _token(request: web.Request) -> str:
    header = request.headers.get("Authorization", "")
    if header.startswith(SCHEME):
        return header[len(SCHEME) :].strip()
    return ""


def _unauthorized_problem() -> problems.Problem:
    return bodies.refusal(
        401,
        "unauthorized",
        "The token is missing or wrong",
        "send 'Authorization: Bearer TOKEN' with a token of the manifest or settings",
    )


def _no_manifest_problem() -> problems.Problem:
    problem = bodies.refusal(
        503,
        "not-ready",
        "This host has no manifest yet",
        "come back later or ask another host",
    )
    problem.retry_after_s = 1.0
    return problem
