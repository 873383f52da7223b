"""Record files: JSON lines, one file per process."""

import pathlib
from collections.abc import Callable, Iterator

import msgspec

from bench.invariants import records

SUFFIX = ".records.jsonl"


def open_writer(folder: pathlib.Path, name: str) -> Callable[[records.Record], None]:
    """Return a function that appends a record to the file of process ``name``.

    Each record is written without buffering, so it survives the end of the process.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}{SUFFIX}"
    file = path.open("ab", buffering=0)

    def write(record: records.Record) -> None:
        file.write(msgspec.json.encode(record) + b"\n")

    return write


def read(folder: pathlib.Path) -> list[records.Record]:
    """Read all record files of a folder and return the records ordered by time.

    An incomplete last line, as left by a killed process, is dropped.
    """
    all_records = []
    for path in sorted(folder.glob(f"*{SUFFIX}")):
        all_records.extend(_read_file(path))
    return sorted(all_records, key=lambda record: record.time_s)


def _read_file(path: pathlib.Path) -> Iterator[records.Record]:
    decoder = msgspec.json.Decoder(records.Record)
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            yield decoder.decode(line)
