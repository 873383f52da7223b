"""A damaged data folder is refused, or it holds what was synced up to a torn end."""

import pathlib
import shutil
import tempfile

import hypothesis
import pytest
from hypothesis import strategies

from bitternlever.messages import consensus
from bitternlever.storage import files, framing, store, writer
from tests.fuzz import examples

REPLICA = consensus.ReplicaId(node="control-1", disk="d")
ENTRIES = 8
MEMBERSHIP = consensus.Membership(voters=[REPLICA])


def entry(index):
    """Return one entry of a log."""
    kind = consensus.EntryKind.COMMAND
    return consensus.LogEntry(term=1, index=index, kind=kind, data=b"data" * index)


def write_folder(folder):
    """Write entries, a snapshot and more entries, as a process would."""
    store.load(folder).unwrap()
    done = []
    writing = writer.start(folder, done.append)
    state = consensus.HardState(term=1, voted_for=REPLICA)
    for index in range(1, ENTRIES + 1):
        write = consensus.WriteLog(1, index, None, [entry(index)], state)
        writer.submit(writing, write)
        if index == 4:
            snapshot = consensus.WriteSnapshot(1, 100, 3, 1, MEMBERSHIP, b"state")
            writer.submit(writing, snapshot)
    writer.stop(writing)
    assert not any(isinstance(each, consensus.DiskFailed) for each in done)


@pytest.fixture(scope="module")
def whole(tmp_path_factory):
    """Give an undamaged folder and what it holds."""
    folder = tmp_path_factory.mktemp("data")
    write_folder(folder)
    return folder, store.load(folder).unwrap()


@examples.settings(share=4.0)
@hypothesis.given(
    file=strategies.integers(0, 20),
    position=strategies.floats(0.0, 1.0, exclude_max=True),
    byte=strategies.integers(1, 255),
    damage=strategies.sampled_from(["flip", "cut", "insert", "empty", "remove"]),
)
def test_a_damaged_folder_is_refused_or_holds_a_beginning(
    whole,
    file,
    position,
    byte,
    damage,
):
    folder, held = whole
    with tempfile.TemporaryDirectory() as name:
        copy = pathlib.Path(name) / "data"
        shutil.copytree(folder, copy)
        paths = sorted(path for path in copy.rglob("*") if path.is_file())
        path = paths[file % len(paths)]
        inside = damage == "flip" and is_before_the_last_write(path, position)
        damage_file(path, position, byte, damage)

        outcome = store.load(copy)

    assert outcome.is_err() or not inside
    if outcome.is_err():
        assert "replace the replica" in outcome.err().reason
        return
    check_beginning(outcome.ok(), held)


def is_before_the_last_write(path, position):
    """Tell whether a position of a segment stands before its last frame."""
    data = path.read_bytes()
    is_segment = path.suffix == files.SEGMENT_SUFFIX
    return is_segment and int(position * len(data)) < data.rfind(framing.MAGIC)


def damage_file(path, position, byte, damage):
    """Damage one file at a relative position."""
    data = bytearray(path.read_bytes())
    at = int(position * len(data))
    if damage == "remove":
        path.unlink()
        return
    if damage == "flip" and data:
        data[at] ^= byte
    elif damage == "cut":
        del data[at:]
    elif damage == "insert":
        data.insert(at, byte)
    elif damage == "empty":
        data.clear()
    path.write_bytes(data)


def check_beginning(found, held):
    """Check that no entry is changed or missing before another one."""
    if found.disk != held.disk:
        return
    for number, group in found.groups.items():
        assert group.snapshot in (None, held.groups[number].snapshot)
        first = 1 if group.snapshot is None else group.snapshot.last_index + 1
        expected = [entry(index) for index in range(first, ENTRIES + 1)]
        assert group.entries == expected[: len(group.entries)]
