"""The ring buffer of rows: the keys and versions of its fixed number of slots."""

from marigoldpath_core.messages import CreateRow, Row, RowValue, WriteRow


class Ring:
    """Map sequence numbers, from 1 on, to slots and track the versions of the slots.

    `last_sequence` is that of the last row, and `snapshot_sequence` that of the last
    row which a snapshot covers.
    """

    def __init__(self, availability_zone: str, slots: int) -> None:
        self._prefix = f"journal/{availability_zone}/"
        self._slots = slots
        self._versions: dict[str, int] = {}
        self.last_sequence = 0
        self.snapshot_sequence = 0

    @property
    def prefix(self) -> str:
        """Return the prefix of the keys of all slots."""
        return self._prefix

    def key(self, sequence: int) -> str:
        """Return the key of the slot for a sequence number."""
        return f"{self._prefix}{sequence % self._slots}"

    def version(self, sequence: int) -> int:
        """Return the version of the slot's row, or 0 if no row is recorded."""
        return self._versions.get(self.key(sequence), 0)

    def record_version(self, key: str, version: int) -> None:
        """Record the version of a slot's row; a recorded version never decreases."""
        self._versions[key] = max(version, self._versions.get(key, 0))

    def is_stale(self, rows: tuple[Row, ...]) -> bool:
        """Return whether any row is older than the recorded version of its slot."""
        read_versions = {row.key: row.version for row in rows}
        return any(
            read_versions.get(key, 0) < version
            for key, version in self._versions.items()
        )

    def overwritten_sequence(self, sequence: int) -> int:
        """Return the sequence of the row that `sequence` overwrites, or 0."""
        return max(0, sequence - self._slots)

    def is_free(self, sequence: int, snapshot_sequence: int = 0) -> bool:
        """Return whether a snapshot covers the row that `sequence` overwrites.

        `snapshot_sequence` is that of a snapshot which the new row itself references.
        """
        return self.overwritten_sequence(sequence) <= max(
            self.snapshot_sequence, snapshot_sequence
        )

    def write_effect(self, sequence: int, value: RowValue) -> CreateRow | WriteRow:
        """Return the effect that writes a row over the recorded version."""
        version = self.version(sequence)
        if version:
            return WriteRow(self.key(sequence), value, version)
        return CreateRow(self.key(sequence), value)
