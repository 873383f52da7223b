"""What a crash can leave of a data folder, recorded at each sync."""

import contextlib
import dataclasses
import os
import pathlib


@dataclasses.dataclass
class Image:
    """Names by folder and contents by inode, as a process or a disk holds them."""

    names: dict = dataclasses.field(default_factory=dict)
    contents: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Point:
    """One moment: what is seen, what is synced, and how much was promised by then."""

    seen: Image
    synced: Image
    promised: int


@dataclasses.dataclass
class Recorder:
    """The points of a run; it holds each file open so that no inode is used again."""

    root: pathlib.Path
    real_fsync: object = os.fsync
    promised: int = 0
    points: list = dataclasses.field(default_factory=list)
    synced: Image = dataclasses.field(default_factory=Image)
    held: dict = dataclasses.field(default_factory=dict)

    def fsync(self, descriptor):
        """Record the moment before a sync, then take the sync into account."""
        self.record()
        self.real_fsync(descriptor)
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        seen = self.look()
        if path.is_dir():
            self.synced.names[path.relative_to(self.root)] = dict(
                seen.names[path.relative_to(self.root)],
            )
        else:
            inode = os.fstat(descriptor).st_ino
            self.synced.contents[inode] = seen.contents[inode]

    def record(self):
        """Keep the present moment as a point at which the run may stop."""
        names = {folder: dict(each) for folder, each in self.synced.names.items()}
        synced = Image(names, dict(self.synced.contents))
        self.points.append(Point(self.look(), synced, self.promised))

    def look(self):
        """Return what a process sees now."""
        image = Image()
        for folder in [self.root, *self.root.glob("*/")]:
            names = {path.name: self.inode(path) for path in folder.iterdir()}
            image.names[folder.relative_to(self.root)] = names
        for inode, descriptor in self.held.items():
            size = os.fstat(descriptor).st_size
            image.contents[inode] = os.pread(descriptor, size, 0)
        return image

    def inode(self, path):
        """Return the inode of a file, None for a folder."""
        if path.is_dir():
            return None
        descriptor = os.open(path, os.O_RDONLY)
        inode = os.fstat(descriptor).st_ino
        if inode in self.held:
            os.close(descriptor)
        else:
            self.held[inode] = descriptor
        return inode


@contextlib.contextmanager
def recording(root, monkeypatch):
    """Record each sync under a folder."""
    recorder = Recorder(root)
    with monkeypatch.context() as patched:
        patched.setattr(os, "fsync", recorder.fsync)
        yield recorder
        recorder.record()
    for descriptor in recorder.held.values():
        os.close(descriptor)


def restore(point, target, keeps_name, kept_bytes):
    """Write what a crash at a point leaves.

    ``keeps_name()`` tells whether a change of a name that was not synced is kept;
    ``kept_bytes(synced, seen)`` returns a length between both.
    """
    _restore_folder(point, pathlib.Path("."), target, keeps_name, kept_bytes)


def _restore_folder(point, folder, target, keeps_name, kept_bytes):
    (target / folder).mkdir(parents=True)
    seen = point.seen.names.get(folder, {})
    names = dict(point.synced.names.get(folder, {}))
    for name in sorted(names.keys() | seen.keys()):
        changed = (name in names) != (name in seen) or names[name] != seen[name]
        if changed and keeps_name():
            names.pop(name, None)
            names.update({name: seen[name]} if name in seen else {})
    for name, inode in names.items():
        if inode is None:
            _restore_folder(point, folder / name, target, keeps_name, kept_bytes)
            continue
        synced = len(point.synced.contents.get(inode, b""))
        content = point.seen.contents[inode]
        length = kept_bytes(synced, len(content))
        (target / folder / name).write_bytes(content[:length])
