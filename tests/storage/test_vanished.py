"""Files that are missing from a data folder are refused as damage."""

import pytest

from bitternlever.messages import consensus
from bitternlever.storage import files, segments, store
from tests.storage import folders

ENTRIES = 12


@pytest.fixture
def segmented(tmp_path, monkeypatch):
    """Return a folder whose only group has filled several segments."""
    monkeypatch.setattr(segments, "SEGMENT_BYTES", 300)
    folders.load(tmp_path)
    writes = [folders.log_write(i, [folders.entry(i)]) for i in range(1, ENTRIES + 1)]
    folders.write(tmp_path, *writes)
    assert len(folders.segments(tmp_path)) > 3
    assert len(folders.load(tmp_path).groups[0].entries) == ENTRIES
    return tmp_path


def compact(folder):
    """Write a snapshot of all entries, then a vote to the newest segment."""
    vote = consensus.HardState(9, consensus.ReplicaId("control-b", "2"))
    snapshot = consensus.WriteSnapshot(0, 90, ENTRIES, 1, folders.MEMBERSHIP, b"state")
    folders.write(folder, snapshot, folders.log_write(91, [], hard_state=vote))
    assert folders.load(folder).groups[0].hard_state == vote


def refusal_reason(folder):
    """Load a folder twice and return the reason for which both loads were refused."""
    reasons = [store.load(folder).err().reason for _ in range(2)]
    assert store.REMEDY in reasons[0]
    assert reasons[0] == reasons[1]
    return reasons[0].removeprefix(f"data folder {folder}: ")


@pytest.mark.parametrize("position", [0, 1, -2, -1])
def test_one_vanished_segment_is_refused(segmented, position):
    folders.segments(segmented)[position].unlink()

    assert "segment" in refusal_reason(segmented)


def test_the_two_newest_vanished_segments_are_refused(segmented):
    for path in folders.segments(segmented)[-2:]:
        path.unlink()

    assert "segment" in refusal_reason(segmented)


def test_an_emptied_newest_segment_is_refused(segmented):
    folders.segments(segmented)[-1].write_bytes(b"")

    assert "segment" in refusal_reason(segmented)


def test_all_vanished_segments_are_refused(segmented):
    for path in folders.segments(segmented):
        path.unlink()

    assert "segment" in refusal_reason(segmented)


def test_a_vanished_folder_of_a_group_is_refused(segmented):
    for path in folders.segments(segmented):
        path.unlink()
    files.group_folder(segmented, 0).rmdir()

    assert "segment" in refusal_reason(segmented)


def test_a_newest_segment_that_vanished_after_compaction_is_refused(segmented):
    compact(segmented)
    folders.segments(segmented)[-1].unlink()

    assert "segment" in refusal_reason(segmented)


def test_all_segments_that_vanished_after_compaction_are_refused(segmented):
    compact(segmented)
    for path in folders.segments(segmented):
        path.unlink()

    assert "segment" in refusal_reason(segmented)


def test_a_vanished_snapshot_with_no_entry_behind_it_is_refused(segmented):
    compact(segmented)
    for path in segmented.glob("*/*" + files.SNAPSHOT_SUFFIX):
        path.unlink()

    assert "snapshot" in refusal_reason(segmented)


def test_a_first_segment_with_no_entry_behind_it_may_not_vanish(tmp_path):
    folders.load(tmp_path)
    vote = consensus.HardState(9, None)
    folders.write(tmp_path, folders.log_write(1, [folders.entry(1)]))
    folders.write(tmp_path, folders.log_write(2, [], hard_state=vote))
    folders.segments(tmp_path)[0].unlink()

    assert "segment" in refusal_reason(tmp_path)


def test_a_middle_segment_that_only_truncates_may_not_vanish(tmp_path):
    folders.load(tmp_path)
    entries = [folders.entry(1), folders.entry(2)]
    folders.write(tmp_path, folders.log_write(1, entries))
    folders.write(tmp_path, folders.log_write(2, [], truncate_from=2))
    folders.write(tmp_path, folders.log_write(3, []))
    assert folders.load(tmp_path).groups[0].entries == entries[:1]
    folders.segments(tmp_path)[1].unlink()

    assert "segment" in refusal_reason(tmp_path)


def test_a_vanished_snapshot_of_a_group_without_entries_is_refused(tmp_path):
    folders.load(tmp_path)
    snapshot = consensus.WriteSnapshot(0, 1, 50, 1, folders.MEMBERSHIP, b"state")
    folders.write(tmp_path, snapshot)
    next(tmp_path.glob("*/*" + files.SNAPSHOT_SUFFIX)).unlink()

    assert "snapshot" in refusal_reason(tmp_path)
