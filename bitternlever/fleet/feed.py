"""What control tells entry hosts: catalogs, upstreams' words and each other.

The leader pushes a catalog to every host at its commit; any member pushes it again to
a host whose heartbeat shows that it is behind. Changes of upstreams leave in the tick
in which they came; that upstreams were heard again is told at intervals.
"""

import msgspec

from bitternlever.consensus import reads
from bitternlever.core import ticks
from bitternlever.fleet import hosts, tables as fleet_tables, upstreams
from bitternlever.messages import fleet, frames

REFRESH_INTERVAL_S = 0.8
"""Below the shortest heartbeat interval of upstreams, so that each is told once."""

PUSH_AGAIN_S = 0.4
"""Longer than a push of the largest catalog takes on a slow link within a zone."""

SUBSCRIBER_SILENCE_S = 3.0
"""Hosts out of touch for longer are told nothing until they are heard again."""

LOAD_KEPT_S = 2.0
"""A batching host tells its loads four times a second; then another has taken over."""

WORDS_PER_MESSAGE = 200
"""Keeps a message of words below 64 KiB."""


def host_beat(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    beat: fleet.HostBeat,
) -> None:
    """Answer a host's heartbeat and send what it lacks."""
    hosts.take(tables.hosts, now, beat.word)
    hosts.refresh(tables.hosts, now)
    for load in beat.loads:
        tables.loads[load.service] = fleet_tables.HeardLoad(load, now)
    subscriber = _subscriber(tables, now, beat)
    own = tables.replica
    current = reads.ready(own) and reads.lease_valid(own, now)
    lists = tables.hosts
    known = (
        beat.control_run == tables.settings.run
        and beat.hosts_revision == lists.revision
    )
    answer = fleet.HostBeatAnswer(
        sent_s=beat.sent_s,
        control_run=tables.settings.run,
        current=current,
        catalog_version=tables.held.version,
        controls=fleet_tables.controls(tables),
        hosts_revision=lists.revision,
        hosts=None if known else list(lists.listed),
        loads=_loads(tables, now) if fleet_tables.leads(tables) else [],
    )
    outbox.send(frames.SendPeer(subscriber.link, answer, subscriber.link))
    if not subscriber.told_all:
        subscriber.told_all = True
        _tell(tables, now, outbox, list(tables.upstreams.entries), [subscriber])
    _push_if_behind(tables, now, outbox, subscriber, beat.catalog_version)


def run(tables: fleet_tables.FleetTables, now: float, outbox: ticks.Outbox) -> None:
    """Push a new catalog, tell changes at once and refreshes at intervals."""
    _forget_silent(tables, now)
    listeners = list(tables.subscribers.values())
    if fleet_tables.leads(tables):
        for subscriber in listeners:
            if subscriber.pushed_version != tables.held.version:
                _push(tables, now, outbox, subscriber)
    if tables.changed:
        _tell(tables, now, outbox, sorted(tables.changed), listeners)
        tables.heard_again -= tables.changed
        tables.changed.clear()
    if now >= tables.tell_at_s:
        tables.tell_at_s = now + REFRESH_INTERVAL_S
        _tell(tables, now, outbox, sorted(tables.heard_again), listeners)
        tables.heard_again.clear()
        upstreams.forget_ended(tables.upstreams, now)
    outbox.wake(tables.tell_at_s)


def upstream_heard(
    tables: fleet_tables.FleetTables,
    now: float,
    word: fleet.UpstreamWord,
) -> None:
    """Take an upstream's word and note that it has to be told."""
    changed = upstreams.take(tables.upstreams, now, word)
    if changed:
        tables.changed.add(word.upstream)
        return
    tables.heard_again.add(word.upstream)


def _loads(tables: fleet_tables.FleetTables, now: float) -> list[fleet.ServiceLoad]:
    """Return the loads of services with their age; drop what nobody renews."""
    for service, heard in list(tables.loads.items()):
        if now - heard.heard_s > LOAD_KEPT_S:
            del tables.loads[service]
    return [
        msgspec.structs.replace(heard.load, age_s=now - heard.heard_s)
        for heard in tables.loads.values()
    ]


def _subscriber(
    tables: fleet_tables.FleetTables,
    now: float,
    beat: fleet.HostBeat,
) -> fleet_tables.Subscriber:
    word = beat.word
    held = tables.subscribers.get(word.host)
    if held is None or held.started_ms != word.started_ms:
        held = fleet_tables.Subscriber(
            link=word.link,
            heard_s=now,
            started_ms=word.started_ms,
        )
        tables.subscribers[word.host] = held
    held.heard_s = now
    return held


def _forget_silent(tables: fleet_tables.FleetTables, now: float) -> None:
    silent = [
        name
        for name, subscriber in tables.subscribers.items()
        if now - subscriber.heard_s > SUBSCRIBER_SILENCE_S
    ]
    for name in silent:
        del tables.subscribers[name]


def _push_if_behind(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    subscriber: fleet_tables.Subscriber,
    version: int | None,
) -> None:
    held = tables.held.version
    if held is None or (version is not None and version >= held):
        return
    sent_lately = now - subscriber.pushed_s < PUSH_AGAIN_S
    if subscriber.pushed_version == held and sent_lately:
        return
    _push(tables, now, outbox, subscriber)


def _push(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    subscriber: fleet_tables.Subscriber,
) -> None:
    if tables.held.version is None:
        return
    subscriber.pushed_version = tables.held.version
    subscriber.pushed_s = now
    message = fleet.CatalogPushed(version=tables.held.version, body=tables.held.body)
    outbox.send(frames.SendPeer(subscriber.link, message, subscriber.link))


def _tell(
    tables: fleet_tables.FleetTables,
    now: float,
    outbox: ticks.Outbox,
    names: list[str],
    listeners: list[fleet_tables.Subscriber],
) -> None:
    entries = tables.upstreams.entries
    words = [
        msgspec.structs.replace(
            entries[name].word,
            age_s=max(0.0, now - entries[name].heard_s),
        )
        for name in names
        if name in entries
    ]
    for start in range(0, len(words), WORDS_PER_MESSAGE):
        message = fleet.UpstreamsTold(words=words[start : start + WORDS_PER_MESSAGE])
        for subscriber in listeners:
            outbox.send(frames.SendPeer(subscriber.link, message, subscriber.link))
