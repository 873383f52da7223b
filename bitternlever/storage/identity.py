"""The identity file: the disk id, and the groups that were founded on the disk.

A group is named here once its first segment is synced and before anything is promised
in it. So a named group without segments has lost them.
"""

import dataclasses
import pathlib
import secrets

from bitternlever.storage import files

DISK_ID_BYTES = 8


@dataclasses.dataclass(slots=True)
class Identity:
    """The disk id, random at the first use of the folder, and the founded groups."""

    disk: str
    groups: list[int] = dataclasses.field(default_factory=list)


def read(folder: pathlib.Path) -> Identity:
    """Return what the file holds; raise ValueError where that is no identity."""
    text = (folder / files.IDENTITY_NAME).read_text()
    disk, *groups = text.split("\n")
    if len(disk) != 2 * DISK_ID_BYTES:
        raise ValueError(f"{files.IDENTITY_NAME} holds {disk!r}, no disk id")
    return Identity(disk=disk, groups=[int(each) for each in groups])


def create(folder: pathlib.Path) -> Identity:
    """Give a new folder its identity, synced."""
    identity = Identity(disk=secrets.token_hex(DISK_ID_BYTES))
    _write(folder, identity)
    return identity


def found_group(folder: pathlib.Path, number: int) -> None:
    """Name a group whose first segment is synced; once named it changes nothing."""
    identity = read(folder)
    if number in identity.groups:
        return
    identity.groups.append(number)
    _write(folder, identity)


def _write(folder: pathlib.Path, identity: Identity) -> None:
    lines = [identity.disk, *[str(each) for each in identity.groups]]
    files.write_synced(folder / files.IDENTITY_NAME, "\n".join(lines).encode())
