"""Tracking of the prompt prefixes in an upstream's cache from events that may be lost.

Events are numbered without gaps. A gap clears the view, since prefixes evicted in the
gap are unknown.
"""

from bitternlever.gossip import tables as gossip_tables
from bitternlever.routing import tables as routing_tables

MAXIMUM_PREFIXES = 512


def holds(
    load: routing_tables.UpstreamLoad,
    upstream: gossip_tables.Upstream,
    prefix: str,
) -> bool:
    """Return whether an upstream probably has a prefix in its cache."""
    if not prefix:
        return False
    events = upstream.announcement.cache_events
    view = load.prefix_view
    if upstream.announcement.incarnation != view.incarnation or (
        events and events[-1].number > view.number
    ):
        _apply_cache_events(view, upstream)
    return prefix in load.prefix_view.prefixes


def record_use(load: routing_tables.UpstreamLoad, prefix: str) -> None:
    """Record that an upstream has just served a prompt with this prefix."""
    if prefix:
        _store(load.prefix_view, prefix)


def _apply_cache_events(
    view: routing_tables.PrefixView,
    upstream: gossip_tables.Upstream,
) -> None:
    announcement = upstream.announcement
    if announcement.incarnation != view.incarnation:
        view.prefixes.clear()
        view.number = 0
        view.incarnation = announcement.incarnation
    events = announcement.cache_events
    if not events or events[-1].number <= view.number:
        return
    for event in events:
        if event.number <= view.number:
            continue
        if event.number != view.number + 1:
            view.prefixes.clear()
        view.number = event.number
        if event.stored:
            _store(view, event.prefix)
        else:
            view.prefixes.pop(event.prefix, None)


def _store(view: routing_tables.PrefixView, prefix: str) -> None:
    view.prefixes[prefix] = None
    view.prefixes.move_to_end(prefix)
    if len(view.prefixes) > MAXIMUM_PREFIXES:
        view.prefixes.popitem(last=False)
