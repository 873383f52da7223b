"""What upstreams said last, ordered by their start and their call number.

Control and entry hosts keep the same table. A word of an earlier start, or with a lower
number, never replaces a newer one, and of two upstreams at one address only the one
that started last is there.
"""

import dataclasses

import msgspec

from bitternlever.messages import fleet

KEPT_AFTER_END_S = 120.0
"""Longer than a late heartbeat takes, so that it cannot bring back what has ended."""

MAXIMUM_UPSTREAMS = 20_000
"""Bounds memory; some thirty times the servers of the largest planned deployment."""


@dataclasses.dataclass(slots=True)
class Entry:
    """An upstream's newest word and the own clock's time of its last sign of life."""

    word: fleet.UpstreamWord
    heard_s: float


@dataclasses.dataclass(slots=True)
class Upstreams:
    """All known upstreams by id, and who holds each address."""

    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    holders: dict[str, str] = dataclasses.field(default_factory=dict)
    stale: int = 0


def take(upstreams: Upstreams, now: float, word: fleet.UpstreamWord) -> bool:
    """Take a word; return whether it is new to this table (not only heard again)."""
    heard_s = now - word.age_s
    held = upstreams.entries.get(word.upstream)
    if held is None:
        return _add(upstreams, heard_s, word)
    word = _completed(held.word, word)
    if not _is_newer(held.word, word):
        if _key(held.word) == _key(word):
            held.heard_s = max(held.heard_s, heard_s)
        else:
            upstreams.stale += 1
        return False
    if not _claim_address(upstreams, word):
        upstreams.stale += 1
        return False
    changed = _lasting(held.word) != _lasting(word)
    held.word = word
    held.heard_s = max(held.heard_s, heard_s)
    return changed


def usable(upstreams: Upstreams, service: str) -> list[Entry]:
    """Return the upstreams of a service that say they are ready."""
    return [
        entry
        for entry in upstreams.entries.values()
        if entry.word.service == service
        and entry.word.state is fleet.UpstreamState.READY
    ]


def forget_ended(upstreams: Upstreams, now: float) -> None:
    """Drop what ended, or was last heard, long ago."""
    ended = [
        each
        for each, entry in upstreams.entries.items()
        if now - entry.heard_s > KEPT_AFTER_END_S
    ]
    for each in ended:
        address = upstreams.entries.pop(each).word.address
        if upstreams.holders.get(address) == each:
            del upstreams.holders[address]


def _add(upstreams: Upstreams, heard_s: float, word: fleet.UpstreamWord) -> bool:
    if len(upstreams.entries) >= MAXIMUM_UPSTREAMS:
        return False
    if not _claim_address(upstreams, word):
        word = msgspec.structs.replace(word, state=fleet.UpstreamState.GONE)
    upstreams.entries[word.upstream] = Entry(word=word, heard_s=heard_s)
    return True


def _completed(
    held: fleet.UpstreamWord, word: fleet.UpstreamWord
) -> fleet.UpstreamWord:
    """Fill in what the word of an end leaves out."""
    if word.state is not fleet.UpstreamState.GONE:
        return word
    started_ms = word.started_ms or held.started_ms
    number = word.number
    if started_ms == held.started_ms:
        number = max(word.number, held.number + 1)
    return msgspec.structs.replace(
        held,
        state=fleet.UpstreamState.GONE,
        started_ms=started_ms,
        number=number,
    )


def _key(word: fleet.UpstreamWord) -> tuple[int, int]:
    return word.started_ms, word.number


def _is_newer(held: fleet.UpstreamWord, word: fleet.UpstreamWord) -> bool:
    """Tell whether a word follows the held one; an end holds for its whole start."""
    ended = held.state is fleet.UpstreamState.GONE
    if ended and word.started_ms <= held.started_ms:
        return False
    return _key(word) > _key(held)


def _lasting(word: fleet.UpstreamWord) -> fleet.UpstreamWord:
    """Return a word without what differs in each heartbeat."""
    return msgspec.structs.replace(word, number=0, age_s=0.0, cold_s=0.0)


def _claim_address(upstreams: Upstreams, word: fleet.UpstreamWord) -> bool:
    """Give an address to whoever started there last; False where another did."""
    if not word.address or word.state is fleet.UpstreamState.GONE:
        return True
    holder = upstreams.entries.get(upstreams.holders.get(word.address, ""))
    if holder is not None and holder.word.upstream != word.upstream:
        if holder.word.started_ms > word.started_ms:
            return False
        if holder.word.address == word.address:
            holder.word = msgspec.structs.replace(
                holder.word,
                state=fleet.UpstreamState.GONE,
            )
    upstreams.holders[word.address] = word.upstream
    return True
