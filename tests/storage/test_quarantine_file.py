"""The file with the quarantined prompt parts."""

from bitternlever.messages import fleet
from bitternlever.storage import quarantine_file, store

PARTS = [fleet.PromptPart("deadbeef", 3, 200.0, 1.5), fleet.PromptPart("a", 2, 9.0)]


def test_records_are_stored_and_replaced(tmp_path):
    assert quarantine_file.load(tmp_path).ok() == []

    assert quarantine_file.save(tmp_path, PARTS).is_ok()
    assert quarantine_file.load(tmp_path).ok() == PARTS
    assert quarantine_file.save(tmp_path, PARTS[:1]).is_ok()
    assert quarantine_file.load(tmp_path).ok() == PARTS[:1]


def test_a_damaged_file_is_reported_with_a_remedy(tmp_path):
    (tmp_path / quarantine_file.NAME).write_bytes(b"what is this")

    assert "remove the file" in quarantine_file.load(tmp_path).err()


def test_a_folder_that_cannot_be_written_is_reported(tmp_path):
    assert quarantine_file.save(tmp_path / "none", PARTS).is_err()


def test_the_replicated_log_loads_beside_the_file(tmp_path):
    disk = store.load(tmp_path).ok().disk
    quarantine_file.save(tmp_path, PARTS)

    assert store.load(tmp_path).ok().disk == disk
