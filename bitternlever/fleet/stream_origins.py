"""Where streams began: the service and the software version of their upstream.

A stream may go on only at upstreams of the version that began it. Hosts record where
each resumable stream begins at control processes, and ask them when a caller takes up a
stream that began at another host. A record never changes; a stream without one does not
go on.
"""

import dataclasses
import math

from bitternlever.messages import fleet

MAXIMUM_STREAMS = 20_000
"""Bounds memory, to about 8 MB; the oldest records are dropped first."""

MAXIMUM_REPORTED = 1_000
"""Bounds the size of a heartbeat, to about 100 KB."""

RETENTION_MARGIN_S = 5.0
"""Callers' deadlines are counted from before their requests arrive."""

MAXIMUM_LEFT_S = 120.0
"""Bounds how long a host's report is kept."""


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """Where a stream began; times are on the local clock.

    It may be taken up until ``until_s``; this process learned of it at ``learned_s``.
    """

    service: str
    software_version: str
    until_s: float
    learned_s: float


StreamOrigins = dict[str, Record]
"""Records by the request that brought the stream's first event, oldest first."""


def record(known: StreamOrigins, now: float, origin: fleet.StreamOrigin) -> bool:
    """Record where a stream began; return whether it was not known."""
    if origin.request in known or not origin.software_version:
        return False
    if len(known) >= MAXIMUM_STREAMS:
        del known[next(iter(known))]
    known[origin.request] = Record(
        service=origin.service,
        software_version=origin.software_version,
        until_s=now + min(origin.left_s, MAXIMUM_LEFT_S),
        learned_s=now,
    )
    return True


def find(known: StreamOrigins, now: float, request: str) -> fleet.StreamOrigin | None:
    """Return where the stream that a request began was begun, None if unknown."""
    found = known.get(request)
    if found is None or found.until_s <= now:
        return None
    return _origin(request, found, now)


def learned_since(
    known: StreamOrigins, now: float, since_s: float = -math.inf
) -> list[fleet.StreamOrigin]:
    """Return the newest records that this process learned after a local time."""
    learned = []
    for request in reversed(known):
        found = known[request]
        if found.learned_s <= since_s or len(learned) >= MAXIMUM_REPORTED:
            break
        if found.until_s > now:
            learned.append(_origin(request, found, now))
    return learned


def remove_expired(known: StreamOrigins, now: float) -> None:
    """Drop the records of streams that can no longer be taken up."""
    for request in [name for name, found in known.items() if found.until_s <= now]:
        del known[request]


def allows(origin: fleet.StreamOrigin | None, upstream: fleet.UpstreamStatus) -> bool:
    """Return whether a stream may go on at an upstream; a new one may at any.

    A version that is not known equals none.
    """
    if origin is None:
        return True
    return origin.software_version != "" and (
        origin.service == upstream.service
        and origin.software_version == upstream.software_version
    )


def _origin(request: str, found: Record, now: float) -> fleet.StreamOrigin:
    return fleet.StreamOrigin(
        request=request,
        service=found.service,
        software_version=found.software_version,
        left_s=found.until_s - now,
    )
