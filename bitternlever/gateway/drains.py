"""When a draining entry host takes no new requests, and when it exits.

Callers keep the addresses of hosts for some seconds, and new requests arrive until
then. A host that served them to its end would cut off those that it took last. So it
first leaves the directory and serves on; when callers have left it refuses requests
that might outlast it; those that still wait for their stages before it must exit are
refused as well. Once idle it closes its listening socket, answers what still
arrives on connections that were being opened, and exits. All functions are pure.
"""

import dataclasses

CALLER_ADDRESS_CACHE_S = 3.0
"""Callers may cache an address for three times the directory's TTL of a second."""

LISTEN_MARGIN_S = 0.5
"""A call that was sent at the end of that time has arrived by then."""

SETTLE_S = 0.3
"""Requests on connections that were being opened arrive within several round trips."""

EXIT_MARGIN_S = 0.7
"""Part of the grace period reserved for closing and the exit of the process."""


@dataclasses.dataclass(slots=True, frozen=True)
class Drain:
    """A drain: when it started, and when the process must exit at the latest."""

    started_s: float
    latest_s: float


def start(now: float, grace_s: float) -> Drain:
    """Return a drain that starts now."""
    return Drain(started_s=now, latest_s=now + grace_s - EXIT_MARGIN_S)


def refuses(drain: Drain | None, now: float, deadline_s: float) -> bool:
    """Return whether a request that arrives now could be cut off by the exit."""
    if drain is None or now < drain.started_s + CALLER_ADDRESS_CACHE_S:
        return False
    return deadline_s > drain.latest_s


def may_stop_listening(drain: Drain, now: float, *, idle: bool) -> bool:
    """Return whether new connections are refused; ``idle`` without work in flight."""
    if refuses_waiting(drain, now):
        return True
    callers_left_s = drain.started_s + CALLER_ADDRESS_CACHE_S + LISTEN_MARGIN_S
    return idle and now >= callers_left_s


def refuses_waiting(drain: Drain, now: float) -> bool:
    """Return whether requests that no upstream has got yet are given up.

    Their refusals, which say that they have not run, arrive before the exit.
    """
    return now >= drain.latest_s - SETTLE_S


def may_exit(
    drain: Drain, now: float, listened_until_s: float | None, *, idle: bool
) -> bool:
    """Return whether the process may exit; it stopped listening at the given time."""
    if now >= drain.latest_s:
        return True
    settled = listened_until_s is not None and now >= listened_until_s + SETTLE_S
    return idle and settled
