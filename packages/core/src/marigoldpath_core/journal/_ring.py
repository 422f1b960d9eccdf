"""The fixed ring of rows: keys, versions and which slots may be overwritten."""

from marigoldpath_core.messages import CreateRow, Row, RowValue, WriteRow


class Ring:
    """Where each sequence number is stored, from 1 on, and what is there now."""

    def __init__(self, availability_zone: str, slots: int) -> None:
        self._prefix = f"journal/{availability_zone}/"
        self._slots = slots
        self._versions: dict[str, int] = {}
        self.last = 0
        self.covered = 0

    @property
    def prefix(self) -> str:
        """Return the prefix of the keys of all slots."""
        return self._prefix

    def key(self, sequence: int) -> str:
        """Return the key of the slot for a sequence number."""
        return f"{self._prefix}{sequence % self._slots}"

    def version(self, sequence: int) -> int:
        """Return the version of the slot's row, 0 for a slot never seen used."""
        return self._versions.get(self.key(sequence), 0)

    def saw(self, key: str, version: int) -> None:
        """Note the version of a slot's row; it never decreases."""
        self._versions[key] = max(version, self._versions.get(key, 0))

    def is_stale(self, rows: tuple[Row, ...]) -> bool:
        """Return whether the rows were read before what is already known."""
        found = {row.key: row.version for row in rows}
        return any(
            found.get(key, 0) < version for key, version in self._versions.items()
        )

    def replaced(self, sequence: int) -> int:
        """Return the sequence of the row that `sequence` overwrites, 0 for none."""
        return max(0, sequence - self._slots)

    def is_free(self, sequence: int, covered: int = 0) -> bool:
        """Return whether the slot's older row is covered by a snapshot.

        `covered` is that of a snapshot that the new row itself names.
        """
        return self.replaced(sequence) <= max(self.covered, covered)

    def write(self, sequence: int, value: RowValue) -> CreateRow | WriteRow:
        """Return the effect that writes a row over the version last seen."""
        version = self.version(sequence)
        if version:
            return WriteRow(self.key(sequence), value, version)
        return CreateRow(self.key(sequence), value)
