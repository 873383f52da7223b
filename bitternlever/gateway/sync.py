"""How an entry host keeps in step with control.

Each control process gets a heartbeat several times a second. An answer of a leader
with a lease proves how current this host's catalog is, counted from the sending of the
heartbeat on this host's own boot clock, so that neither a freeze nor a slow link
makes it look fresher than it is.
"""

import msgspec

from bitternlever.catalog import tables as catalog_tables
from bitternlever.fleet import upstreams
from bitternlever.gateway import tables as gateway_tables
from bitternlever.messages import fleet

BEAT_INTERVAL_S = 0.25
"""Four heartbeats fit into the time after which a silent host is left out."""

FORGET_CONTROL_S = 20.0
"""A control process that nobody names any more is forgotten after this time."""

CONTROL_SILENT_S = 2.0
"""Without a word for longer, a control process counts as out of touch."""

UPSTREAM_SILENT_S = 6.0
"""Five heartbeat intervals: an upstream that says nothing for longer has ended."""


def beat(
    tables: gateway_tables.GatewayTables,
    now: float,
    state: fleet.HostState,
    loads: list[fleet.ServiceLoad],
) -> list[tuple[str, fleet.HostBeat]]:
    """Return the heartbeats to send, by link; ``loads`` are of this host's services."""
    tables.word = msgspec.structs.replace(
        tables.word,
        number=tables.word.number + 1,
        state=state,
    )
    _follow_controls(tables, now)
    version = None if tables.catalog is None else tables.catalog.version
    return [
        (
            control.link,
            fleet.HostBeat(
                word=tables.word,
                sent_s=now,
                catalog_version=version,
                control_run=control.run,
                hosts_revision=control.hosts_revision,
                loads=loads,
            ),
        )
        for control in tables.controls.values()
    ]


def answered(
    tables: gateway_tables.GatewayTables,
    now: float,
    link: str,
    answer: fleet.HostBeatAnswer,
) -> None:
    """Take a control process's answer to a heartbeat."""
    control = tables.controls.get(link)
    if control is None:
        return
    control.heard_s = now
    if answer.control_run != control.run:
        control.run = answer.control_run
        control.hosts_revision = -1
    if answer.hosts is not None:
        control.hosts = answer.hosts
        control.hosts_revision = answer.hosts_revision
    for other in answer.controls:
        known = tables.controls.setdefault(other, gateway_tables.Control(other))
        known.known_s = now
    _put_hosts_together(tables, now, listed_anew=answer.hosts is not None)
    for load in answer.loads:
        load_told(tables, now, load)
    if answer.current and _covers(tables, answer.catalog_version):
        tables.current_s = max(tables.current_s or 0.0, answer.sent_s)


def load_told(
    tables: gateway_tables.GatewayTables,
    now: float,
    load: fleet.ServiceLoad,
) -> None:
    """Take what waits at a service unless something newer is known."""
    told_s = now - load.age_s
    held = tables.loads.get(load.service)
    if held is None or held.told_s < told_s:
        tables.loads[load.service] = gateway_tables.Told(load, told_s)


def catalog_received(
    tables: gateway_tables.GatewayTables,
    catalog: catalog_tables.Catalog,
) -> bool:
    """Put a catalog in force unless it is not newer; return whether it is."""
    held = tables.catalog
    if held is not None and catalog.version <= held.version:
        return False
    tables.catalog = catalog
    return True


def told(
    tables: gateway_tables.GatewayTables,
    now: float,
    message: fleet.UpstreamsTold,
) -> list[fleet.UpstreamWord]:
    """Take words of upstreams; return those that changed something."""
    return [
        word for word in message.words if upstreams.take(tables.upstreams, now, word)
    ]


def present(
    tables: gateway_tables.GatewayTables,
    now: float,
    service: str,
) -> list[fleet.UpstreamWord]:
    """Return the upstreams of a service that may get new work.

    Silence counts only while some control process is heard: without control no
    word comes of anyone, and whoever was there goes on being used.
    """
    listening = any(
        control.heard_s is not None and now - control.heard_s < CONTROL_SILENT_S
        for control in tables.controls.values()
    )
    return [
        entry.word
        for entry in upstreams.usable(tables.upstreams, service)
        if not listening or now - entry.heard_s < UPSTREAM_SILENT_S
    ]


def proven_age_s(tables: gateway_tables.GatewayTables, now: float) -> float | None:
    """Return how long ago the catalog was known to be the newest, None if never."""
    if tables.current_s is None or tables.catalog is None:
        return None
    return now - tables.current_s


def _covers(tables: gateway_tables.GatewayTables, version: int | None) -> bool:
    if version is None or tables.catalog is None:
        return False
    return tables.catalog.version >= version


def _follow_controls(tables: gateway_tables.GatewayTables, now: float) -> None:
    for seed in tables.seeds:
        known = tables.controls.setdefault(seed, gateway_tables.Control(seed))
        known.known_s = now
    for link in list(tables.controls):
        control = tables.controls[link]
        last_s = max(control.known_s, control.heard_s or 0.0)
        if now - last_s > FORGET_CONTROL_S:
            del tables.controls[link]


def _put_hosts_together(
    tables: gateway_tables.GatewayTables,
    now: float,
    *,
    listed_anew: bool,
) -> None:
    """List a host while any control process in touch lists it, by its newest word.

    Nothing is done while no list is new and the same processes are in touch.
    """
    in_touch = [
        control
        for control in tables.controls.values()
        if control.heard_s is not None and now - control.heard_s <= CONTROL_SILENT_S
    ]
    links = [control.link for control in in_touch]
    if links == tables.in_touch and not listed_anew:
        return
    tables.in_touch = links
    newest: dict[str, fleet.HostWord] = {}
    for control in in_touch:
        for word in control.hosts:
            held = newest.get(word.host)
            if held is None or _precedes(held, word):
                newest[word.host] = word
    listed = tuple(newest[name] for name in sorted(newest))
    if listed and listed != tables.hosts.listed:
        tables.hosts.listed = listed
        tables.hosts.revision += 1


def _precedes(held: fleet.HostWord, word: fleet.HostWord) -> bool:
    """Tell whether a word is the newer one; of one run, the later state is."""
    if held.started_ms != word.started_ms:
        return held.started_ms < word.started_ms
    order = list(fleet.HostState)
    return order.index(held.state) < order.index(word.state)


def directory(
    tables: gateway_tables.GatewayTables,
    zone: str,
    region: str,
) -> list[str]:
    """Return the callers' addresses of ready hosts, the asker's zone first.

    Hosts of other zones of the region are named too: the load evens out, and the
    loss of a zone leaves callers an address.
    """
    ready = [
        word for word in tables.hosts.listed if word.state is fleet.HostState.READY
    ]
    chosen = [word for word in ready if word.region == region] or ready
    chosen.sort(key=lambda word: word.zone != zone)
    return [word.address for word in chosen]
