"""The journal group of a request."""

import zlib

from bitternlever.messages import journal


def group_of(tables, request_id: str) -> int:
    """Return the number of the journal group that holds a request."""
    number = zlib.crc32(request_id.encode()) % tables.settings.journal_groups
    return journal.FIRST_GROUP + number
