"""Which host batches the calls of a stage service.

Every host derives the same owner from the same list, by rendezvous hashing over the
ready hosts.
"""

from bitternlever.gateway import state
from bitternlever.messages import fleet
from bitternlever.routing import affinity
from bitternlever.transport import links

SUSPECT_DURATION_S = 1.5
"""How long an unresponsive host is skipped; control has noticed its loss by then."""


def owner(gateway: state.Gateway, now: float, service: str) -> str:
    """Return the link of the host that batches a service."""
    candidates = [
        host.link
        for host in gateway.tables.hosts.listed
        if host.state is fleet.HostState.READY
        and not is_suspect(gateway, now, host.link)
        and not _is_cut_off(gateway, host)
    ]
    return affinity.owner(service, candidates) or gateway.settings.link


def mark_suspect(gateway: state.Gateway, now: float, link: str) -> None:
    """Skip an unresponsive host for a while."""
    if link != gateway.settings.link:
        gateway.tables.suspects[link] = now + SUSPECT_DURATION_S


def is_suspect(gateway: state.Gateway, now: float, link: str) -> bool:
    """Return whether a host is skipped: one that is heard of again is not."""
    until_s = gateway.tables.suspects.get(link)
    if until_s is None or until_s <= now:
        return False
    return not heard_since(gateway, now, link, until_s - SUSPECT_DURATION_S)


def heard_since(gateway: state.Gateway, now: float, link: str, since_s: float) -> bool:
    """Return whether a host has sent anything to this one since a time."""
    silent_s = links.silent_s(gateway.links, link, now)
    return silent_s is not None and now - silent_s > since_s


def _is_cut_off(gateway: state.Gateway, host: fleet.HostAnnouncement) -> bool:
    if host.link == gateway.settings.link:
        return gateway.tables.reachability.cut_off
    return host.cut_off
