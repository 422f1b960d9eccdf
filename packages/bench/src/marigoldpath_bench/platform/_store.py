"""Rows with compare-and-set, and objects; no input or output."""

from typing import Any, NamedTuple


class StoredRow(NamedTuple):
    """A row; versions come from one counter for the whole table."""

    key: str
    value: Any
    version: int


class ConflictError(Exception):
    """The version of a row is not the version that the writer expects."""

    def __init__(self, key: str, current: int | None) -> None:
        super().__init__(f"row {key!r} has version {current}")
        self.current = current


class Store:
    """The rows of the table and the objects of the object store."""

    def __init__(self) -> None:
        self._rows: dict[str, StoredRow] = {}
        self._objects: dict[str, Any] = {}
        self._version = 0

    def read(self, key: str) -> StoredRow | None:
        """Return a row, or None if there is none."""
        return self._rows.get(key)

    def list(self, prefix: str) -> list[StoredRow]:
        """Return the rows whose key begins with `prefix`, in key order."""
        return [self._rows[key] for key in sorted(self._rows) if key.startswith(prefix)]

    def write(self, key: str, value: Any, expected: int | None) -> StoredRow:
        """Write a row whose version is `expected`, or create it if that is None.

        Raises ConflictError and changes nothing if the version does not match.
        """
        self._check_version(key, expected)
        self._version += 1
        row = StoredRow(key, value, self._version)
        self._rows[key] = row
        return row

    def delete(self, key: str, expected: int) -> None:
        """Delete a row whose version is `expected`, or raise ConflictError."""
        self._check_version(key, expected)
        del self._rows[key]

    def read_object(self, key: str) -> Any:
        """Return an object, or None if there is none."""
        return self._objects.get(key)

    def put_object(self, key: str, value: Any) -> None:
        """Write an object."""
        self._objects[key] = value

    def _check_version(self, key: str, expected: int | None) -> None:
        row = self._rows.get(key)
        current = None if row is None else row.version
        if current != expected:
            raise ConflictError(key, current)
