"""Writing data folders, and loading them intact, truncated and damaged."""

import errno
import os

import pytest

from bitternlever.messages import consensus
from bitternlever.storage import files, store
from tests.storage.folders import MEMBERSHIP, entry, load, log_write, segments, write


def test_an_empty_folder_gets_a_permanent_disk_id(tmp_path):
    first = load(tmp_path)

    assert load(tmp_path).disk == first.disk
    assert first.groups == {}


def test_two_folders_have_different_disk_ids(tmp_path):
    assert load(tmp_path / "a").disk != load(tmp_path / "b").disk


def test_written_entries_and_votes_are_loaded(tmp_path):
    load(tmp_path)
    vote = consensus.HardState(3, consensus.ReplicaId("control-b", "2"))

    events = write(
        tmp_path,
        log_write(1, [entry(1), entry(2)]),
        log_write(2, [entry(2, term=3)], truncate_from=2, hard_state=vote),
    )

    group = load(tmp_path).groups[0]
    assert events == [consensus.LogSynced(0, 1), consensus.LogSynced(0, 2)]
    assert group.entries == [entry(1), entry(2, term=3)]
    assert group.hard_state == vote


def test_a_torn_write_is_truncated(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]), log_write(2, [entry(2)]))
    path = segments(tmp_path)[-1]
    os.truncate(path, path.stat().st_size - 7)

    assert load(tmp_path).groups[0].entries == [entry(1)]
    assert load(tmp_path).groups[0].entries == [entry(1)]


def test_writing_continues_after_a_torn_write(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]), log_write(2, [entry(2)]))
    path = segments(tmp_path)[-1]
    os.truncate(path, path.stat().st_size - 7)
    load(tmp_path)

    write(tmp_path, log_write(1, [entry(2, term=2)]))

    assert load(tmp_path).groups[0].entries == [entry(1), entry(2, term=2)]


def test_damage_in_the_middle_is_refused(tmp_path):
    load(tmp_path)
    write(tmp_path, *[log_write(i, [entry(i)]) for i in range(1, 6)])
    path = segments(tmp_path)[-1]
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)

    fault = store.load(tmp_path).err()

    assert "damaged" in fault.reason
    assert store.REMEDY in fault.reason


def test_a_damaged_length_in_the_middle_is_refused(tmp_path):
    load(tmp_path)
    write(tmp_path, *[log_write(i, [entry(i)]) for i in range(1, 6)])
    path = segments(tmp_path)[-1]
    data = bytearray(path.read_bytes())
    second = data.index(b"BLS1", 4)
    data[second + 4 : second + 8] = b"\xff\xff\xff\x7f"
    path.write_bytes(data)

    assert store.load(tmp_path).is_err()


def test_an_older_segment_may_not_be_torn(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]))
    write(tmp_path, log_write(1, [entry(2)]))
    path = segments(tmp_path)[0]
    os.truncate(path, path.stat().st_size - 7)

    assert store.load(tmp_path).is_err()


def test_a_snapshot_replaces_the_log_before_it(tmp_path):
    load(tmp_path)
    vote = consensus.HardState(2, None)
    entries = [entry(index) for index in range(1, 11)]
    snapshot = consensus.WriteSnapshot(0, 2, 8, 1, MEMBERSHIP, b"state")

    events = write(tmp_path, log_write(1, entries, hard_state=vote), snapshot)
    write(tmp_path, log_write(3, [entry(11)]))
    later = consensus.WriteSnapshot(0, 5, 11, 1, MEMBERSHIP, b"later")
    write(tmp_path, log_write(4, [entry(12)]), later)

    group = load(tmp_path).groups[0]
    assert events[1] == consensus.SnapshotSynced(0, 2, 8)
    assert (group.snapshot.last_index, group.snapshot.data) == (11, b"later")
    assert group.entries == [entry(12)]
    assert group.hard_state == vote
    assert len(list(tmp_path.glob("*/*.snapshot"))) == 1


def test_a_damaged_snapshot_is_refused(tmp_path):
    load(tmp_path)
    write(tmp_path, consensus.WriteSnapshot(0, 1, 8, 1, MEMBERSHIP, b"state"))
    path = next(tmp_path.glob("*/*.snapshot"))
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(data)

    assert "snapshot" in store.load(tmp_path).err().reason


def test_a_missing_entry_is_refused(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]), log_write(2, [entry(3)]))

    assert "missing" in store.load(tmp_path).err().reason


def test_a_group_without_a_disk_id_is_refused(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]))
    (tmp_path / files.IDENTITY_NAME).unlink()

    assert store.load(tmp_path).is_err()


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_nothing_is_written_after_a_failed_sync(tmp_path, monkeypatch, code):
    load(tmp_path)
    real_fsync = os.fsync
    group_creation_and_two_writes = [None] * 7
    failures = iter([*group_creation_and_two_writes, OSError(code, "sync failed")])

    def fsync(descriptor):
        failure = next(failures, None)
        if failure is not None:
            raise failure
        real_fsync(descriptor)

    monkeypatch.setattr(os, "fsync", fsync)
    events = write(tmp_path, *[log_write(i, [entry(i)]) for i in range(1, 6)])

    kinds = [type(event) for event in events]
    failed_from = kinds.index(consensus.DiskFailed)
    assert set(kinds[failed_from:]) == {consensus.DiskFailed}
    assert failed_from == 2


def test_writes_of_two_groups_are_kept_separate(tmp_path):
    load(tmp_path)
    write(
        tmp_path,
        consensus.WriteLog(0, 1, None, [entry(1)], None),
        consensus.WriteLog(1, 1, None, [entry(1, term=4)], None),
    )

    groups = load(tmp_path).groups
    assert groups[0].entries == [entry(1)]
    assert groups[1].entries == [entry(1, term=4)]


def test_a_vote_survives_a_snapshot_that_drops_every_older_segment(tmp_path):
    load(tmp_path)
    vote = consensus.HardState(7, consensus.ReplicaId("control-b", "2"))
    write(
        tmp_path,
        log_write(1, [entry(1)], hard_state=vote),
        consensus.WriteSnapshot(0, 2, 1, 1, MEMBERSHIP, b"state"),
    )

    assert len(segments(tmp_path)) == 1
    assert load(tmp_path).groups[0].hard_state == vote


def test_an_unfinished_snapshot_is_deleted(tmp_path):
    load(tmp_path)
    write(tmp_path, log_write(1, [entry(1)]))
    folder = files.group_folder(tmp_path, 0)
    unfinished = folder / "00000000000000000009.snapshot.tmp"
    unfinished.write_bytes(b"half")

    assert load(tmp_path).groups[0].entries == [entry(1)]
    write(tmp_path, log_write(2, [entry(2)]))
    assert not unfinished.exists()
