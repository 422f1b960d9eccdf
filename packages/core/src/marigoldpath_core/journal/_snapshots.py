"""Writes the state to an object, which a row references afterwards."""

from marigoldpath_core.messages import (
    Effect,
    PutObject,
    RowValue,
    RowWriteReplied,
    WriteStatus,
)

from ._entries import Snapshot

# Snapshots are the largest messages of the journal, so a failed write is retried only
# once a second.
SNAPSHOT_RETRY_DELAY_MS = 1_000


class SnapshotWriter:
    """Writes one snapshot at a time and retries until its object is written.

    Each object key is used for one state only. Objects have no compare-and-set: with a
    reused key, a delayed write of another state would replace a snapshot that a row
    references.
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
        """Return the time at which `tick` must be called, or None."""
        return self._due_ms

    def abandon(self) -> None:
        """Discard the snapshot, for example when the epoch changes."""
        self._entry = None
        self._value = {}
        self._due_ms = None

    def begin(self, value: RowValue, sequence: int, epoch: int) -> list[Effect]:
        """Start to write the state after the rows up to `sequence`."""
        key = f"{self._prefix}{epoch}-{sequence}"
        self._entry = Snapshot(key, sequence)
        self._value = value
        return [PutObject(key, value)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Retry a failed write when it is due."""
        if self._entry is None or self._due_ms is None or now_ms < self._due_ms:
            return []
        self._due_ms = None
        return [PutObject(self._entry.object_key, self._value)]

    def replied(self, event: RowWriteReplied, now_ms: int) -> Snapshot | None:
        """Process the reply to a write; return the entry to append if it succeeded."""
        entry = self._entry
        if entry is None or event.key != entry.object_key:
            return None
        if event.status is WriteStatus.WRITTEN:
            self.abandon()
            return entry
        self._due_ms = now_ms + SNAPSHOT_RETRY_DELAY_MS
        return None
