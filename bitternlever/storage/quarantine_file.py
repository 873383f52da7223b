"""The quarantined prompt parts on a control process's disk.

They are kept apart from the replicated log: each process knows them from the hosts, and
the file only serves a start after which no other process knows them.
"""

import pathlib

import msgspec
import result

from bitternlever.messages import fleet
from bitternlever.storage import files

NAME = "quarantine"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[fleet.PromptPart]).decode


def load(folder: pathlib.Path | str) -> result.Result[list[fleet.PromptPart], str]:
    """Return the stored records, or why they cannot be read."""
    path = pathlib.Path(folder) / NAME
    try:
        return result.Ok(_decode(path.read_bytes()))
    except FileNotFoundError:
        return result.Ok([])
    except (OSError, msgspec.DecodeError) as error:
        return result.Err(f"{path}: {error}; remove the file")


def save(
    folder: pathlib.Path | str, parts: list[fleet.PromptPart]
) -> result.Result[None, str]:
    """Store the records in place of the previous ones, or return why that failed."""
    path = pathlib.Path(folder) / NAME
    try:
        files.write_synced(path, _encode(parts))
    except OSError as error:
        return result.Err(f"{path}: {error}")
    return result.Ok(None)
