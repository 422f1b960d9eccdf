"""Finds the newest snapshot and the rows after it among the rows of the ring."""

from typing import NamedTuple

from marigoldpath_core.messages import Row

from ._entries import Snapshot
from ._rows import JournalRow, decode_row


class RowsAfterSnapshot(NamedTuple):
    """The newest snapshot, None without one, and the later rows in order."""

    snapshot: Snapshot | None
    rows: tuple[JournalRow, ...]
    last: int


def rows_after_snapshot(rows: tuple[Row, ...]) -> RowsAfterSnapshot | None:
    """Return what to load and to replay, or None when rows between are missing.

    A read of many rows may see a later row and miss an earlier one that was written
    meanwhile; the reader then reads again. Raises JournalFormatError.
    """
    found = sorted((decode_row(row) for row in rows), key=lambda row: row.sequence)
    snapshot: Snapshot | None = None
    for row in found:
        named = row.snapshot
        if named and (snapshot is None or named.sequence >= snapshot.sequence):
            snapshot = named
    covered = snapshot.sequence if snapshot else 0
    later = tuple(row for row in found if row.sequence > covered)
    for expected, row in enumerate(later, covered + 1):
        if row.sequence != expected:
            return None
    return RowsAfterSnapshot(snapshot, later, covered + len(later))
