"""Writes the state to an object before the row that names it."""

from marigoldpath_core.messages import (
    Effect,
    PutObject,
    RowValue,
    RowWriteReplied,
    WriteStatus,
)

from ._entries import Snapshot

# A snapshot is the largest message of the journal: one a second while writes fail.
SNAPSHOT_RETRY_MS = 1_000


class SnapshotWriter:
    """Holds one snapshot until its object is written.

    A key is used for one content only. Objects have no compare-and-set, so a late
    write of another content would replace a snapshot that rows depend on.
    """

    def __init__(self, availability_zone: str) -> None:
        self._prefix = f"journal-snapshots/{availability_zone}/"
        self._entry: Snapshot | None = None
        self._value: RowValue = {}
        self._due_ms: int | None = None

    @property
    def active(self) -> bool:
        """Return whether a snapshot is being written."""
        return self._entry is not None

    @property
    def wake_ms(self) -> int | None:
        """Return when `tick` has something to do."""
        return self._due_ms

    def abandon(self) -> None:
        """Forget the snapshot, as at the change of an epoch."""
        self._entry = None
        self._value = {}
        self._due_ms = None

    def begin(self, value: RowValue, sequence: int, epoch: int) -> list[Effect]:
        """Write the state after the rows up to `sequence`."""
        key = f"{self._prefix}{epoch}-{sequence}"
        self._entry = Snapshot(key, sequence)
        self._value = value
        return [PutObject(key, value)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Write again when it is time."""
        if self._entry is None or self._due_ms is None or now_ms < self._due_ms:
            return []
        self._due_ms = None
        return [PutObject(self._entry.object_key, self._value)]

    def replied(self, event: RowWriteReplied, now_ms: int) -> Snapshot | None:
        """Return the entry to append once the object is written."""
        entry = self._entry
        if entry is None or event.key != entry.object_key:
            return None
        if event.status is WriteStatus.WRITTEN:
            self.abandon()
            return entry
        self._due_ms = now_ms + SNAPSHOT_RETRY_MS
        return None
