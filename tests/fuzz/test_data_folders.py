"""A damaged data folder is refused, or a prefix of the synced entries is loaded."""

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
    """Write entries, a snapshot and more entries, as a process does."""
    store.load(folder).unwrap()
    events = []
    storage_writer = writer.start(folder, events.append)
    state = consensus.HardState(term=1, voted_for=REPLICA)
    for index in range(1, ENTRIES + 1):
        write = consensus.WriteLog(1, index, None, [entry(index)], state)
        writer.submit(storage_writer, write)
        if index == 4:
            snapshot = consensus.WriteSnapshot(1, 100, 3, 1, MEMBERSHIP, b"state")
            writer.submit(storage_writer, snapshot)
    writer.stop(storage_writer)
    assert not any(isinstance(event, consensus.DiskFailed) for event in events)


@pytest.fixture(scope="module")
def undamaged(tmp_path_factory):
    """Return an undamaged folder and its loaded state."""
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
def test_a_damaged_folder_is_refused_or_a_prefix_is_loaded(
    undamaged,
    file,
    position,
    byte,
    damage,
):
    folder, original = undamaged
    with tempfile.TemporaryDirectory() as name:
        copy = pathlib.Path(name) / "data"
        shutil.copytree(folder, copy)
        paths = sorted(path for path in copy.rglob("*") if path.is_file())
        path = paths[file % len(paths)]
        before_last_write = damage == "flip" and is_before_the_last_write(
            path, position
        )
        damage_file(path, position, byte, damage)

        outcome = store.load(copy)

    assert outcome.is_err() or not before_last_write
    if outcome.is_err():
        assert "replace the replica" in outcome.err().reason
        return
    check_prefix(outcome.ok(), original)


def is_before_the_last_write(path, position):
    """Return whether a position of a segment is before its last frame."""
    data = path.read_bytes()
    is_segment = path.suffix == files.SEGMENT_SUFFIX
    return is_segment and int(position * len(data)) < data.rfind(framing.MAGIC)


def damage_file(path, position, byte, damage):
    """Damage one file at a relative position."""
    data = bytearray(path.read_bytes())
    offset = int(position * len(data))
    if damage == "remove":
        path.unlink()
        return
    if damage == "flip" and data:
        data[offset] ^= byte
    elif damage == "cut":
        del data[offset:]
    elif damage == "insert":
        data.insert(offset, byte)
    elif damage == "empty":
        data.clear()
    path.write_bytes(data)


def check_prefix(loaded, original):
    """Check that the loaded entries are a prefix of the original ones."""
    if loaded.disk != original.disk:
        return
    for number, group in loaded.groups.items():
        assert group.snapshot in (None, original.groups[number].snapshot)
        first = 1 if group.snapshot is None else group.snapshot.last_index + 1
        expected = [entry(index) for index in range(first, ENTRIES + 1)]
        assert group.entries == expected[: len(group.entries)]
