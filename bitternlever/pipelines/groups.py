"""The journal group of a request."""

import zlib

from bitternlever.entry import tables as entry_tables
from bitternlever.messages import journal


def group_of(tables: entry_tables.EntryTables, request_id: str) -> int:
    """Return the number of the journal group that holds a request."""
    number = zlib.crc32(request_id.encode()) % tables.settings.journal_groups
    return journal.FIRST_GROUP + number
