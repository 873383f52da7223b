"""Names of whole requests: those of the same path, caller and body have the same name.

A request that comes again has another id, and other headers may differ as well.
"""

import hashlib

from bitternlever.fleet import quarantine
from bitternlever.gateway import context as gateway_context

DIGEST_BYTES = 12
"""Chance collisions need some 10^14 requests."""


def names(context: gateway_context.Context) -> tuple[str, ...]:
    """Return the names of a request: without its query, then with it, if it has one."""
    if context.fingerprints is None:
        path, _, query = context.target.partition(b"?")
        targets = (path, context.target) if query else (path,)
        body = hashlib.sha256(context.body).digest()
        context.fingerprints = tuple(_name(context, target, body) for target in targets)
    return context.fingerprints


def _name(context: gateway_context.Context, target: bytes, body: bytes) -> str:
    caller = context.head.api_key or ""
    if context.workspace is not None:
        caller = context.workspace.name
    digest = hashlib.sha256()
    for value in (context.method, context.route.host.encode(), target, caller.encode()):
        digest.update(b"%d:" % len(value) + value)
    digest.update(body)
    return quarantine.REQUEST_PREFIX + digest.hexdigest()[: 2 * DIGEST_BYTES]
