"""How an entry host gets the newest catalog: what it has received, and whom it asks.

The leader sends each change when it is committed. A host that control names a newer
catalog to, and that gets no change it can use, asks one control process for it.
"""

import dataclasses
import math
from collections.abc import Collection

import result

from bitternlever.catalog import changes
from bitternlever.messages import fleet

PUSH_TIMEOUT_S = 0.3
"""The leader's own copy arrives within this time unless it was lost."""

ANSWER_TIMEOUT_S = 1.0
"""After it the next control process is asked; doubled for each one that was."""

MAXIMUM_TIMEOUT_S = 8.0

MAXIMUM_PENDING_VERSIONS = 64
"""More versions than are committed while a host receives one."""

HEARD_S = 1.0
"""Only control processes that have replied within this time are asked."""


@dataclasses.dataclass(slots=True)
class CatalogSync:
    """The newest catalog received, and the request for a newer one, if any.

    ``body`` may not be in force yet. Control has named a newer version than the one in
    force since ``behind_since_s``, than the one received since ``lacking_since_s``.
    ``missed`` is set if a change came whose base was never received. ``current_s`` are
    the times at which versions that are not in force yet were the newest.
    """

    version: int | None = None
    body: bytes = b""
    newest_version: int | None = None
    behind_since_s: float | None = None
    lacking_since_s: float | None = None
    missed: bool = False
    asked_s: float = -math.inf
    asked_link: str = ""
    asked_count: int = 0
    current_s: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Source:
    """A control process that may be asked: what it has, and when it was heard."""

    link: str
    version: int | None
    is_leader: bool
    heard_s: float | None


def record_newest(sync: CatalogSync, now: float, version: int | None) -> None:
    """Record the version that a control process names as its newest."""
    if version is None or _reaches(sync.newest_version, version):
        return
    sync.newest_version = version
    if sync.behind_since_s is None:
        sync.behind_since_s = now
    if sync.lacking_since_s is None and not _reaches(sync.version, version):
        sync.lacking_since_s = now


def receive_whole(sync: CatalogSync, now: float, version: int, body: bytes) -> bool:
    """Take a whole catalog; return whether it is newer than the one received last."""
    if _reaches(sync.version, version):
        return False
    sync.version = version
    sync.body = body
    sync.missed = False
    sync.asked_s = -math.inf
    sync.asked_count = 0
    sync.lacking_since_s = now
    if _reaches(version, sync.newest_version):
        record_newest(sync, now, version)
        sync.lacking_since_s = None
    return True


def receive_change(
    sync: CatalogSync, now: float, message: fleet.CatalogChanged
) -> result.Result[bool, str]:
    """Apply a change; return whether it led to a newer catalog, or why it could not."""
    if _reaches(sync.version, message.version):
        return result.Ok(False)
    base = sync.body
    if message.base_version is None:
        base = b""
    elif message.base_version != sync.version:
        sync.missed = True
        return result.Err(f"based on {message.base_version}, not on {sync.version}")
    body = changes.apply(base, message.change)
    if body.is_ok() and changes.digest(body.ok()) != message.digest:
        body = result.Err("the digest of the body differs")
    if body.is_err():
        sync.missed = True
        return body
    return result.Ok(receive_whole(sync, now, message.version, body.ok()))


def request(sync: CatalogSync, now: float, sources: Collection[Source]) -> str | None:
    """Return the link of the control process to ask now, if any.

    Load: a change that was lost on the way, at many hosts at once, or a host that has
    just started. The leader is asked first; one that has not answered is asked last.
    """
    if sync.newest_version is None or _reaches(sync.version, sync.newest_version):
        return None
    if now < _ask_at_s(sync):
        return None
    able = [
        source
        for source in sources
        if source.heard_s is not None
        and now - source.heard_s <= HEARD_S
        and source.version is not None
        and not _reaches(sync.version, source.version)
    ]
    if not able:
        return None
    chosen = min(
        able,
        key=lambda source: (
            source.link == sync.asked_link and sync.asked_count > 0,
            -source.version,
            not source.is_leader,
        ),
    )
    sync.asked_s = now
    sync.asked_link = chosen.link
    sync.asked_count += 1
    sync.missed = False
    return chosen.link


def is_behind(sync: CatalogSync) -> bool:
    """Return whether control has named a newer catalog than the one in force."""
    return sync.behind_since_s is not None


def behind_s(sync: CatalogSync, now: float) -> float:
    """Return for how long control has named a newer catalog than the one in force."""
    return 0.0 if sync.behind_since_s is None else now - sync.behind_since_s


def record_current(sync: CatalogSync, version: int, current_s: float) -> None:
    """Record when the leader knew that a version was the newest one.

    Load: changes that follow each other faster than they reach a host. Each version
    that it puts in force was the newest at some time, also if it no longer is.
    """
    known_s = sync.current_s.pop(version, -math.inf)
    while len(sync.current_s) >= MAXIMUM_PENDING_VERSIONS:
        del sync.current_s[next(iter(sync.current_s))]
    sync.current_s[version] = max(known_s, current_s)


def put_in_force(sync: CatalogSync, now: float, version: int) -> float | None:
    """Record that a version is in force from now on.

    Return the latest time at which the leader knew it or an older one, that the host
    had not, to be the newest; None if there is none.
    """
    reached = [known for known in sync.current_s if known <= version]
    current_s = max((sync.current_s.pop(known) for known in reached), default=None)
    sync.behind_since_s = None if _reaches(version, sync.newest_version) else now
    return current_s


def give_up(sync: CatalogSync) -> None:
    """Keep serving by the catalog in force: the one received cannot be read here.

    Load: a catalog of a newer build, at hosts that are not upgraded yet.
    """
    sync.behind_since_s = None


def _ask_at_s(sync: CatalogSync) -> float:
    if sync.asked_count:
        timeout_s = ANSWER_TIMEOUT_S * 2 ** (sync.asked_count - 1)
        return sync.asked_s + min(MAXIMUM_TIMEOUT_S, timeout_s)
    if sync.missed or sync.lacking_since_s is None:
        return -math.inf
    return sync.lacking_since_s + PUSH_TIMEOUT_S


def _reaches(version: int | None, other: int | None) -> bool:
    return other is None or (version is not None and version >= other)
