"""How far the newest catalog has spread among the entry hosts."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Spread:
    """The newest committed catalog, and the hosts that have not reported it yet.

    ``behind`` is None once all had reported it.
    """

    version: int | None = None
    committed_s: float = 0.0
    behind: set[str] | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """How long a catalog took to reach all hosts, or how many it had not reached."""

    version: int
    took_s: float
    behind: int


def begin(spread: Spread, now: float, version: int, hosts: set[str]) -> Report | None:
    """Follow a new catalog to ``hosts``; return the report of one that is overtaken."""
    overtaken = None
    if spread.behind:
        took_s = now - spread.committed_s
        overtaken = Report(spread.version, took_s, len(spread.behind))
    spread.version = version
    spread.committed_s = now
    spread.behind = set(hosts)
    return overtaken


def record(spread: Spread, now: float, host: str, version: int | None) -> Report | None:
    """Record the version that a host has; return the report if it was the last one."""
    if not spread.behind or version is None or version < spread.version:
        return None
    return _leave(spread, now, host)


def forget(spread: Spread, now: float, host: str) -> Report | None:
    """Follow the catalog to a host no longer that sends no heartbeats."""
    return _leave(spread, now, host) if spread.behind else None


def _leave(spread: Spread, now: float, host: str) -> Report | None:
    spread.behind.discard(host)
    if spread.behind:
        return None
    spread.behind = None
    return Report(spread.version, now - spread.committed_s, behind=0)
