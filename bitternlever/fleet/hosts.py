"""The directory of entry hosts: who is there, ready or draining, and how fresh.

Each control process keeps its own from the heartbeats that reach it; an entry host
puts together what several of them tell.
"""

import dataclasses

import msgspec

from bitternlever.messages import fleet

SILENCE_S = 1.1
"""A host is out after four heartbeats at 250 ms are missing, and some delay."""

CHECK_INTERVAL_S = 0.1
"""How late silence may be noticed; each check goes over all hosts."""

MAXIMUM_HOSTS = 4_000
"""Bounds memory; ten times the hosts of the largest planned deployment."""


@dataclasses.dataclass(slots=True)
class Heard:
    """A host's newest word and when it came."""

    word: fleet.HostWord
    heard_s: float


@dataclasses.dataclass(slots=True)
class Hosts:
    """All hosts by name; ``revision`` grows when the live ones change.

    ``changed`` is set while ``listed`` lacks a word.
    """

    heard: dict[str, Heard] = dataclasses.field(default_factory=dict)
    listed: tuple[fleet.HostWord, ...] = ()
    revision: int = 0
    changed: bool = False
    check_at_s: float = 0.0


def take(hosts: Hosts, now: float, word: fleet.HostWord) -> None:
    """Take a host's word unless a newer one is known."""
    held = hosts.heard.get(word.host)
    if held is None and len(hosts.heard) >= MAXIMUM_HOSTS:
        return
    if held is not None and order(held.word) > order(word):
        return
    if held is None or _numbered(held.word, word.number) != word:
        hosts.changed = True
    hosts.heard[word.host] = Heard(word=word, heard_s=now)


def refresh(hosts: Hosts, now: float) -> None:
    """Drop silent hosts and count a new revision where the list has changed."""
    if now < hosts.check_at_s and not hosts.changed:
        return
    hosts.changed = False
    hosts.check_at_s = now + CHECK_INTERVAL_S
    silent = [
        name for name, heard in hosts.heard.items() if now - heard.heard_s > SILENCE_S
    ]
    for name in silent:
        del hosts.heard[name]
    listed = tuple(_numbered(hosts.heard[name].word, 0) for name in sorted(hosts.heard))
    if listed != hosts.listed:
        hosts.listed = listed
        hosts.revision += 1


def order(word: fleet.HostWord) -> tuple[int, int]:
    """Return what orders the words of one host."""
    return word.started_ms, word.number


def _numbered(word: fleet.HostWord, number: int) -> fleet.HostWord:
    """Return a word with another number, which alone differs in each heartbeat."""
    return msgspec.structs.replace(word, number=number)
