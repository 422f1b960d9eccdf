"""Encoding of the rows of the ring buffer and of snapshot objects."""

from typing import Any, NamedTuple, TypedDict, cast

from marigoldpath_core.messages import Row, RowValue
from marigoldpath_core.requests import OutcomeKind, RequestKey, encode_request

from ._entries import Entry, Snapshot
from ._entry_handlers import (
    EntryPayload,
    apply_entry,
    decode_answer,
    decode_entry,
    decode_intent,
    decode_request,
    encode_answer,
    encode_entry,
    encode_intent,
)
from ._errors import JournalFormatError
from ._state import JournalState, RecoveredRequest


class RowPayload(TypedDict):
    """A row of the ring buffer as JSON."""

    sequence: int
    epoch: int
    writer: str
    batch: str
    entries: list[EntryPayload]


class SnapshotPayload(TypedDict):
    """A snapshot object as JSON; `last_ms` is its latest time on the writer's clock."""

    sequence: int
    last_ms: int
    requests: list[dict[str, Any]]


class JournalRow(NamedTuple):
    """One batch of entries; `batch` is a unique id that retries of the write keep."""

    sequence: int
    epoch: int
    writer: str
    batch: str
    entries: tuple[Entry, ...]

    def apply(self, state: JournalState) -> None:
        """Apply all entries to the state."""
        for entry in self.entries:
            apply_entry(entry, state)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the last snapshot that the row references, or None."""
        snapshot = None
        for entry in self.entries:
            if isinstance(entry, Snapshot):
                snapshot = entry
        return snapshot


def encode_row(row: JournalRow) -> RowValue:
    """Convert a journal row to the value of a table row."""
    payload: RowPayload = {
        "sequence": row.sequence,
        "epoch": row.epoch,
        "writer": row.writer,
        "batch": row.batch,
        "entries": [encode_entry(entry) for entry in row.entries],
    }
    return cast(RowValue, payload)


def decode_row(row: Row) -> JournalRow:
    """Convert a table row to a journal row; raises JournalFormatError."""
    value = row.value
    try:
        return JournalRow(
            value["sequence"],
            value["epoch"],
            value["writer"],
            value["batch"],
            tuple(decode_entry(entry) for entry in value["entries"]),
        )
    except (KeyError, TypeError) as error:
        raise JournalFormatError(f"cannot read row {row.key}: {error}") from error


def encode_snapshot(state: JournalState, sequence: int) -> RowValue:
    """Return a snapshot object that contains `state`.

    `sequence` is the number of the last row that is included in the state.
    """
    payload: SnapshotPayload = {
        "sequence": sequence,
        "last_ms": state.last_ms,
        "requests": [
            _encode_recovered(request)
            for request in sorted(state, key=lambda request: request.finished_ms)
        ],
    }
    return cast(RowValue, payload)


def decode_snapshot(value: RowValue, sequence: int, retention_ms: int) -> JournalState:
    """Convert a snapshot object to the state that it contains.

    Raises JournalFormatError, also if the object does not cover exactly the rows up to
    `sequence`.
    """
    try:
        if value["sequence"] != sequence:
            message = f"the snapshot covers {value['sequence']}, not {sequence}"
            raise JournalFormatError(message)
        state = JournalState(retention_ms, value["last_ms"])
        for request in value["requests"]:
            state.load(_decode_recovered(request))
    except (KeyError, TypeError, ValueError) as error:
        raise JournalFormatError(f"cannot read a snapshot: {error}") from error
    return state


def _encode_recovered(recovered: RecoveredRequest) -> dict[str, Any]:
    request = recovered.request
    outcome = recovered.outcome
    return {
        "key": list(recovered.key),
        "request": None if request is None else encode_request(request),
        "accepted_ms": recovered.accepted_ms,
        "intents": [encode_intent(intent) for intent in recovered.intents],
        "cancelled": recovered.cancelled,
        "outcome": None if outcome is None else outcome.value,
        "answer": encode_answer(recovered.answer),
        "finished_ms": recovered.finished_ms,
    }


def _decode_recovered(payload: dict[str, Any]) -> RecoveredRequest:
    request = payload["request"]
    outcome = payload["outcome"]
    return RecoveredRequest(
        key=RequestKey(*payload["key"]),
        request=None if request is None else decode_request(request),
        accepted_ms=payload["accepted_ms"],
        intents=tuple(decode_intent(fields) for fields in payload["intents"]),
        cancelled=payload["cancelled"],
        outcome=None if outcome is None else OutcomeKind(outcome),
        answer=decode_answer(payload["answer"]),
        finished_ms=payload["finished_ms"],
    )
