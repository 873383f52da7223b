"""Record at each sync what a crash could leave of a data folder, and restore it."""

import contextlib
import dataclasses
import os
import pathlib


@dataclasses.dataclass
class Image:
    """File names by folder and contents by inode, as visible or as synced."""

    names: dict = dataclasses.field(default_factory=dict)
    contents: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class CrashPoint:
    """One moment: visible files, synced files and the last acknowledged write."""

    visible: Image
    synced: Image
    acknowledged: int


@dataclasses.dataclass
class Recorder:
    """The crash points of a run; files are kept open so that inodes are not reused."""

    root: pathlib.Path
    real_fsync: object = os.fsync
    acknowledged: int = 0
    points: list = dataclasses.field(default_factory=list)
    synced: Image = dataclasses.field(default_factory=Image)
    descriptors: dict = dataclasses.field(default_factory=dict)

    def fsync(self, descriptor):
        """Record a crash point before a sync, then sync and update the synced image."""
        self.record()
        self.real_fsync(descriptor)
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        visible = self.visible_image()
        if path.is_dir():
            self.synced.names[path.relative_to(self.root)] = dict(
                visible.names[path.relative_to(self.root)],
            )
        else:
            inode = os.fstat(descriptor).st_ino
            self.synced.contents[inode] = visible.contents[inode]

    def record(self):
        """Record the present state as a crash point."""
        names = {folder: dict(entries) for folder, entries in self.synced.names.items()}
        synced = Image(names, dict(self.synced.contents))
        self.points.append(CrashPoint(self.visible_image(), synced, self.acknowledged))

    def visible_image(self):
        """Return the names and contents that a process sees now."""
        image = Image()
        for folder in [self.root, *self.root.glob("*/")]:
            names = {path.name: self.inode(path) for path in folder.iterdir()}
            image.names[folder.relative_to(self.root)] = names
        for inode, descriptor in self.descriptors.items():
            size = os.fstat(descriptor).st_size
            image.contents[inode] = os.pread(descriptor, size, 0)
        return image

    def inode(self, path):
        """Return the inode of a file, None for a folder."""
        if path.is_dir():
            return None
        descriptor = os.open(path, os.O_RDONLY)
        inode = os.fstat(descriptor).st_ino
        if inode in self.descriptors:
            os.close(descriptor)
        else:
            self.descriptors[inode] = descriptor
        return inode


@contextlib.contextmanager
def recording(root, monkeypatch):
    """Record a crash point at each sync of a file in a folder."""
    recorder = Recorder(root)
    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", recorder.fsync)
        yield recorder
        recorder.record()
    for descriptor in recorder.descriptors.values():
        os.close(descriptor)


def restore(point, target, keeps_name, kept_bytes):
    """Write the files that a crash at a point leaves.

    ``keeps_name()`` returns whether an unsynced change of a name is kept;
    ``kept_bytes(synced, visible)`` returns a length between both.
    """
    _restore_folder(point, pathlib.Path("."), target, keeps_name, kept_bytes)


def _restore_folder(point, folder, target, keeps_name, kept_bytes):
    (target / folder).mkdir(parents=True)
    visible = point.visible.names.get(folder, {})
    names = dict(point.synced.names.get(folder, {}))
    for name in sorted(names.keys() | visible.keys()):
        changed = (name in names) != (name in visible) or names[name] != visible[name]
        if changed and keeps_name():
            names.pop(name, None)
            names.update({name: visible[name]} if name in visible else {})
    for name, inode in names.items():
        if inode is None:
            _restore_folder(point, folder / name, target, keeps_name, kept_bytes)
            continue
        synced = len(point.synced.contents.get(inode, b""))
        content = point.visible.contents[inode]
        length = kept_bytes(synced, len(content))
        (target / folder / name).write_bytes(content[:length])
