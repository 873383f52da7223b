"""A crash at any point leaves a folder with all acknowledged writes."""

import os
import pathlib
import tempfile

import hypothesis
import pytest
from hypothesis import strategies

from bitternlever.messages import consensus
from bitternlever.storage import files, segments
from tests.storage import crashes, folders

EXAMPLES = 200


def messages(first):
    """Return writes that fill several segments, with a snapshot in between."""
    writes = [
        folders.log_write(
            index,
            [folders.entry(index)],
            hard_state=consensus.HardState(index, None),
        )
        for index in range(first, first + 6)
    ]
    snapshot = consensus.WriteSnapshot(
        0, 90, first + 2, 1, folders.MEMBERSHIP, b"state"
    )
    return [*writes[:4], snapshot, *writes[4:]]


@pytest.fixture(scope="module")
def points(tmp_path_factory):
    """Return the crash points of two processes, one after the other, on one folder."""
    root = tmp_path_factory.mktemp("crashes") / "data"
    root.mkdir()
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(segments, "SEGMENT_BYTES", 300)
        with crashes.recording(root, monkeypatch) as recorder:

            def record_acknowledged(event):
                if isinstance(event, consensus.LogSynced):
                    recorder.acknowledged = event.write_id

            for first in (1, 7):
                folders.load(root)
                folders.write(root, *messages(first), on_event=record_acknowledged)
    assert recorder.acknowledged == 12
    return recorder.points


def check(point, target):
    """Check that acknowledged writes are loaded and that writing can continue."""
    for _ in range(2):
        loaded = folders.load(target).groups.get(0)
        assert (loaded is not None) or point.acknowledged == 0
    last = last_index(loaded)
    assert point.acknowledged <= last <= point.acknowledged + 1
    if point.acknowledged:
        assert point.acknowledged <= loaded.hard_state.term <= point.acknowledged + 1
    folders.write(target, folders.log_write(1, [folders.entry(last + 1)]))
    assert last_index(folders.load(target).groups[0]) == last + 1


def last_index(group):
    """Return the index of a group's last entry, or 0 if it has none."""
    if group is None:
        return 0
    base = group.snapshot.last_index if group.snapshot else 0
    return base + len(group.entries)


def test_loaded_files_are_synced(tmp_path, monkeypatch):
    folders.load(tmp_path)
    folders.write(tmp_path, *messages(1))
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 1)
    folders.write(tmp_path, *messages(7))
    synced = set()

    def fsync(descriptor):
        synced.add(pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}")))

    monkeypatch.setattr(os, "fsync", fsync)
    folders.load(tmp_path)

    group = files.group_folder(tmp_path, 0)
    assert synced >= {tmp_path, group, *folders.segments(tmp_path)}


def test_a_killed_process_leaves_a_valid_folder(points, tmp_path):
    for number, point in enumerate(points):
        target = tmp_path / str(number)
        crashes.restore(point, target, lambda: True, lambda synced, visible: visible)
        check(point, target)


def test_a_power_loss_leaves_a_valid_folder(points, tmp_path):
    for number, point in enumerate(points):
        target = tmp_path / str(number)
        crashes.restore(point, target, lambda: False, lambda synced, visible: synced)
        check(point, target)


@hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=EXAMPLES,
)
@hypothesis.given(data=strategies.data())
def test_any_part_of_unsynced_data_leaves_a_valid_folder(points, data):
    point = data.draw(strategies.sampled_from(points))

    def keeps_name():
        return data.draw(strategies.booleans())

    def kept_bytes(synced, visible):
        return data.draw(
            strategies.integers(min(synced, visible), max(synced, visible))
        )

    with tempfile.TemporaryDirectory() as name:
        target = pathlib.Path(name) / "data"
        crashes.restore(point, target, keeps_name, kept_bytes)
        check(point, target)
