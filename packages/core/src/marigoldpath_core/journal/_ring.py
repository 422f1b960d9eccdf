"""The ring buffer of rows: a fixed number of slots with their keys and versions."""

from marigoldpath_core.messages import CreateRow, Row, RowValue, WriteRow


class Ring:
    """Maps the sequence numbers of rows to slots, and tracks the versions of the slots.

    Sequence numbers start at 1. `last_sequence` is the number of the last row, and
    `snapshot_sequence` that of the last row that a snapshot covers; 0 means none.
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
        """Return whether a row is missing or older than its slot's recorded version."""
        read_versions = {row.key: row.version for row in rows}
        return any(
            read_versions.get(key, 0) < version
            for key, version in self._versions.items()
        )

    def overwritten_sequence(self, sequence: int) -> int:
        """Return the number of the row that row `sequence` overwrites, or 0."""
        return max(0, sequence - self._slots)

    def is_writable(self, sequence: int, snapshot_sequence: int = 0) -> bool:
        """Return whether row `sequence` overwrites no row that is still needed.

        A row is needed until a snapshot covers it. `snapshot_sequence` is the last row
        covered by a snapshot that row `sequence` itself references, or 0.
        """
        return self.overwritten_sequence(sequence) <= max(
            self.snapshot_sequence, snapshot_sequence
        )

    def write_effect(self, sequence: int, value: RowValue) -> CreateRow | WriteRow:
        """Return a conditional write of a row to its slot.

        The write succeeds only if the slot still has the recorded version or, if no
        version is recorded, is still empty.
        """
        version = self.version(sequence)
        if version:
            return WriteRow(self.key(sequence), value, version)
        return CreateRow(self.key(sequence), value)
