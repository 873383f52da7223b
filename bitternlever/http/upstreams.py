"""HTTP handler for the announcements of upstreams."""

import msgspec
from aiohttp import web

from bitternlever.http import authentication, bodies, responses, state
from bitternlever.messages import requests, upstream

MAXIMUM_ANNOUNCEMENT_BYTES = 100_000


class AnnouncementResponse(msgspec.Struct):
    """The response to an announcement: the host that received it."""

    host: str


async def announce(request: web.Request) -> web.StreamResponse:
    """Accept an upstream's announcement of itself: ``POST /v1/upstreams``."""
    shared = request.app[state.KEY]
    allowed = authentication.check_token(request, shared.configuration.upstream_token)
    if allowed.is_err():
        return responses.problem(allowed.err())
    body = await bodies.read(request, MAXIMUM_ANNOUNCEMENT_BYTES)
    if body.is_err():
        return responses.problem(body.err())
    decoded = bodies.decode(
        body.ok(),
        upstream.Announcement,
        shared.configuration.maximum_json_depth,
    )
    if decoded.is_err():
        return responses.problem(decoded.err())
    shared.on_event(requests.UpstreamAnnounced(announcement=decoded.ok()))
    return responses.json(AnnouncementResponse(host=shared.configuration.host))
