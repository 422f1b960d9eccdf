"""Selects the newest snapshot and the rows to replay after it."""

from typing import NamedTuple

from marigoldpath_core.messages import Row

from ._entries import Snapshot
from ._rows import JournalRow, decode_row


class ReplayPlan(NamedTuple):
    """The newest snapshot, if any, and the later rows in order."""

    snapshot: Snapshot | None
    rows: tuple[JournalRow, ...]
    last_sequence: int


def make_replay_plan(rows: tuple[Row, ...]) -> ReplayPlan | None:
    """Return the snapshot to load and the rows to replay, or None if a row is missing.

    A read of several rows is not atomic: its result can contain a row and lack an
    earlier one, if both were written during the read. The caller must then read again.
    Raises JournalFormatError.
    """
    decoded_rows = sorted(
        (decode_row(row) for row in rows), key=lambda row: row.sequence
    )
    snapshot: Snapshot | None = None
    for row in decoded_rows:
        referenced = row.snapshot
        if referenced and (
            snapshot is None or referenced.sequence >= snapshot.sequence
        ):
            snapshot = referenced
    snapshot_sequence = snapshot.sequence if snapshot else 0
    later_rows = tuple(row for row in decoded_rows if row.sequence > snapshot_sequence)
    for expected, row in enumerate(later_rows, snapshot_sequence + 1):
        if row.sequence != expected:
            return None
    return ReplayPlan(snapshot, later_rows, snapshot_sequence + len(later_rows))
