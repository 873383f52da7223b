"""The identity file: the disk id and the groups registered on the disk.

A group is registered after its first segment is synced and before any write in it is
acknowledged. So a registered group without segments has lost them.
"""

import dataclasses
import pathlib
import secrets

from bitternlever.storage import files

DISK_ID_BYTES = 8


@dataclasses.dataclass(slots=True)
class Identity:
    """The disk id, chosen randomly at the first use of the folder, and the groups."""

    disk: str
    groups: list[int] = dataclasses.field(default_factory=list)


def read(folder: pathlib.Path) -> Identity:
    """Read the identity file; raise ValueError if it is malformed."""
    text = (folder / files.IDENTITY_NAME).read_text()
    disk, *groups = text.split("\n")
    if len(disk) != 2 * DISK_ID_BYTES:
        raise ValueError(
            f"{files.IDENTITY_NAME} contains {disk!r} instead of a disk id"
        )
    return Identity(disk=disk, groups=[int(group) for group in groups])


def create(folder: pathlib.Path) -> Identity:
    """Create and sync the identity file of a new folder."""
    identity = Identity(disk=secrets.token_hex(DISK_ID_BYTES))
    _write(folder, identity)
    return identity


def register_group(folder: pathlib.Path, number: int) -> None:
    """Register a group after its first segment is synced, unless it is registered."""
    identity = read(folder)
    if number in identity.groups:
        return
    identity.groups.append(number)
    _write(folder, identity)


def _write(folder: pathlib.Path, identity: Identity) -> None:
    lines = [identity.disk, *[str(group) for group in identity.groups]]
    files.write_synced(folder / files.IDENTITY_NAME, "\n".join(lines).encode())
