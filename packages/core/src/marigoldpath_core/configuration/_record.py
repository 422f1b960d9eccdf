"""The row and the objects that store the versions of the configuration."""

import hashlib
import json
from typing import Any, NamedTuple, TypedDict

from result import Err, Ok, Result

from marigoldpath_core.messages import RowValue

CURRENT_VERSION_KEY = "config/current"


class VersionPointer(NamedTuple):
    """The value of the row `config/current`: the current version and its author."""

    version: int
    digest: str
    author: str
    applied_at: str

    @property
    def object_key(self) -> str:
        """Return the key of the object that stores the version's sheet."""
        return f"config/{self.version}-{self.digest}"


class VersionRecord(NamedTuple):
    """One version with its sheet.

    `previous` is the key of the previous version's object, or empty if there is none.

    The digest covers every field, so two operators who apply the same sheet at the same
    time write objects with different keys.
    """

    version: int
    base: int
    author: str
    applied_at: str
    previous: str
    text: str

    @property
    def digest(self) -> str:
        """Return the first 32 hexadecimal digits of the record's SHA-256."""
        data = json.dumps(self._asdict(), sort_keys=True).encode()
        return hashlib.sha256(data).hexdigest()[:32]

    @property
    def pointer(self) -> VersionPointer:
        """Return the pointer to this record that the row stores."""
        return VersionPointer(self.version, self.digest, self.author, self.applied_at)


class RecordPayload(TypedDict):
    """A record as JSON."""

    version: int
    base: int
    author: str
    applied_at: str
    previous: str
    text: str


def encode_record(record: VersionRecord) -> RecordPayload:
    """Return the JSON form of a record."""
    return record._asdict()  # type: ignore[return-value]


def decode_record(payload: Any) -> Result[VersionRecord, str]:
    """Return the record in a decoded JSON value, or an error message."""
    if not isinstance(payload, dict):
        return Err("a version record must be a JSON object")
    values = {}
    for field, field_type in VersionRecord.__annotations__.items():
        value = payload.get(field)
        if isinstance(value, bool) or not isinstance(value, field_type):
            return Err(
                f"{field} must be of type {field_type.__name__}, not {value!r:.80}"
            )
        values[field] = value
    return Ok(VersionRecord(**values))


def encode_pointer(pointer: VersionPointer) -> RowValue:
    """Return the value of the row `config/current`."""
    return pointer._asdict()


def decode_pointer(value: RowValue) -> Result[VersionPointer, str]:
    """Return the pointer in the value of the row, or an error message."""
    version, digest = value.get("version"), value.get("digest")
    if isinstance(version, bool) or not isinstance(version, int) or version < 1:
        return Err(f"version must be a whole number above 0, not {version!r:.80}")
    if not isinstance(digest, str) or not digest:
        return Err(f"digest must be a string, not {digest!r:.80}")
    author, applied_at = value.get("author", ""), value.get("applied_at", "")
    return Ok(VersionPointer(version, digest, str(author), str(applied_at)))
