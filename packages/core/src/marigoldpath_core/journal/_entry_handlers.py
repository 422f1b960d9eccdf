"""Encoding, decoding and replay of each kind of journal entry."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Generic, TypedDict, TypeVar

from marigoldpath_core.registry import Registry, UnknownEntryError
from marigoldpath_core.requests import (
    Answer,
    OutcomeKind,
    Request,
    RequestKey,
    Size,
    encode_request,
)

from ._entries import (
    Accepted,
    Cancelled,
    Entry,
    EpochBegun,
    Finished,
    Intent,
    Snapshot,
)
from ._errors import JournalFormatError
from ._state import JournalState

EntryType = TypeVar("EntryType")


class EntryPayload(TypedDict):
    """An entry as JSON: its kind and the fields of that kind."""

    kind: str
    fields: dict[str, Any]


class AnswerPayload(TypedDict):
    """An answer as JSON."""

    text: str
    length: int
    digest: str


class EntryHandler(ABC, Generic[EntryType]):
    """Encode, decode and replay the entries of one kind."""

    @abstractmethod
    def encode(self, entry: EntryType) -> dict[str, Any]:
        """Return the fields as JSON."""

    @abstractmethod
    def decode(self, fields: dict[str, Any]) -> EntryType:
        """Return the entry; raises KeyError, TypeError or ValueError on bad fields."""

    def apply(self, entry: EntryType, state: JournalState) -> None:
        """Update the state of requests; does nothing unless a subclass overrides it."""
        return None


_HANDLER_TYPES: Registry[str, Callable[[], EntryHandler]] = Registry(
    "journal entry kind"
)
_NAME_BY_TYPE: dict[type, str] = {}
_HANDLER_BY_NAME: dict[str, EntryHandler] = {}


def entry_handler(name: str, entry_type: type) -> Callable[[type], type]:
    """Return a decorator that registers an EntryHandler for a type of entry."""

    def decorate(handler_type: type) -> type:
        _HANDLER_TYPES.register(name)(handler_type)
        _NAME_BY_TYPE[entry_type] = name
        _HANDLER_BY_NAME[name] = handler_type()
        return handler_type

    return decorate


def encode_entry(entry: Entry) -> EntryPayload:
    """Convert an entry to JSON."""
    name = _NAME_BY_TYPE[type(entry)]
    return {"kind": name, "fields": _HANDLER_BY_NAME[name].encode(entry)}


def decode_entry(payload: EntryPayload) -> Entry:
    """Return the entry that JSON fields describe.

    Raises JournalFormatError for malformed fields and for an unknown kind. An entry of
    an unknown kind, which a newer version wrote, is not skipped, because an intent
    could be lost.
    """
    try:
        _HANDLER_TYPES.get(payload["kind"])
        return _HANDLER_BY_NAME[payload["kind"]].decode(payload["fields"])
    except (UnknownEntryError, KeyError, TypeError, ValueError) as error:
        raise JournalFormatError(f"cannot read a journal entry: {error}") from error


def apply_entry(entry: Entry, state: JournalState) -> None:
    """Apply an entry to the state of requests."""
    _HANDLER_BY_NAME[_NAME_BY_TYPE[type(entry)]].apply(entry, state)


def decode_request(payload: dict[str, Any]) -> Request:
    """Convert the JSON form of a stored request without validating its fields.

    The fields were validated when the request was accepted. If they were validated
    again, a stricter check in a later version could make accepted requests unreadable.
    """
    return Request(
        key=RequestKey(payload["team"], payload["availability_zone"], payload["id"]),
        kind=payload["kind"],
        size=Size(**payload["size"]),
        repeatable=payload["repeatable"],
        wait=payload["wait"],
        deadline_ms=payload["deadline_ms"],
        tasks=payload["tasks"],
        run_ms=payload["run_ms"],
        work=payload["work"],
    )


def encode_answer(answer: Answer | None) -> AnswerPayload | None:
    """Convert an answer to JSON; None stays None."""
    if answer is None:
        return None
    return {"text": answer.text, "length": answer.length, "digest": answer.digest}


def decode_answer(payload: AnswerPayload | None) -> Answer | None:
    """Convert the JSON form of an answer; None stays None."""
    return None if payload is None else Answer(**payload)


@entry_handler("accepted", Accepted)
class AcceptedHandler(EntryHandler[Accepted]):
    """Handle `accepted` entries, which contain the whole request."""

    def encode(self, entry: Accepted) -> dict[str, Any]:
        return {
            "request": encode_request(entry.request),
            "accepted_ms": entry.accepted_ms,
        }

    def decode(self, fields: dict[str, Any]) -> Accepted:
        return Accepted(decode_request(fields["request"]), fields["accepted_ms"])

    def apply(self, entry: Accepted, state: JournalState) -> None:
        state.accept(entry)


def encode_intent(entry: Intent) -> dict[str, Any]:
    """Return the JSON form of an intent."""
    return {**entry._asdict(), "tasks": list(entry.tasks)}


def decode_intent(fields: dict[str, Any]) -> Intent:
    """Convert the JSON form of an intent; raises KeyError or TypeError."""
    return Intent(
        tuple(fields["tasks"]),
        fields["worker"],
        fields["incarnation"],
        fields["clock_ms"],
    )


@entry_handler("intent", Intent)
class IntentHandler(EntryHandler[Intent]):
    """Handle `intent` entries, which contain the ids of the tasks to be started."""

    def encode(self, entry: Intent) -> dict[str, Any]:
        return encode_intent(entry)

    def decode(self, fields: dict[str, Any]) -> Intent:
        return decode_intent(fields)

    def apply(self, entry: Intent, state: JournalState) -> None:
        state.record_intent(entry)


@entry_handler("finished", Finished)
class FinishedHandler(EntryHandler[Finished]):
    """Handle `finished` entries, which contain the outcome and the answer."""

    def encode(self, entry: Finished) -> dict[str, Any]:
        return {
            "key": list(entry.key),
            "outcome": entry.outcome.value,
            "answer": encode_answer(entry.answer),
            "finished_ms": entry.finished_ms,
        }

    def decode(self, fields: dict[str, Any]) -> Finished:
        return Finished(
            RequestKey(*fields["key"]),
            OutcomeKind(fields["outcome"]),
            decode_answer(fields["answer"]),
            fields["finished_ms"],
        )

    def apply(self, entry: Finished, state: JournalState) -> None:
        state.finish(entry)


@entry_handler("cancelled", Cancelled)
class CancelledHandler(EntryHandler[Cancelled]):
    """Handle `cancelled` entries, which contain the key of the request."""

    def encode(self, entry: Cancelled) -> dict[str, Any]:
        return {"key": list(entry.key), "cancelled_ms": entry.cancelled_ms}

    def decode(self, fields: dict[str, Any]) -> Cancelled:
        return Cancelled(RequestKey(*fields["key"]), fields["cancelled_ms"])

    def apply(self, entry: Cancelled, state: JournalState) -> None:
        state.cancel(entry)


@entry_handler("epoch", EpochBegun)
class EpochBegunHandler(EntryHandler[EpochBegun]):
    """Handle `epoch` entries: the new leader's epoch, host and current time."""

    def encode(self, entry: EpochBegun) -> dict[str, Any]:
        return entry._asdict()

    def decode(self, fields: dict[str, Any]) -> EpochBegun:
        return EpochBegun(**fields)

    def apply(self, entry: EpochBegun, state: JournalState) -> None:
        state.begin_epoch(entry)


@entry_handler("snapshot", Snapshot)
class SnapshotHandler(EntryHandler[Snapshot]):
    """Handle `snapshot` entries: an object key and the last row that it covers."""

    def encode(self, entry: Snapshot) -> dict[str, Any]:
        return entry._asdict()

    def decode(self, fields: dict[str, Any]) -> Snapshot:
        return Snapshot(**fields)
