"""How each kind of entry is encoded, decoded and applied to the state."""

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


class EntryKind(ABC, Generic[EntryType]):
    """What the journal does with one kind of entry."""

    @abstractmethod
    def encode(self, entry: EntryType) -> dict[str, Any]:
        """Return the fields as JSON."""

    @abstractmethod
    def decode(self, fields: dict[str, Any]) -> EntryType:
        """Return the entry; raises KeyError, TypeError or ValueError on bad fields."""

    def apply(self, entry: EntryType, state: JournalState) -> None:
        """Change the state of requests; kinds that concern none do nothing."""
        return None


_KINDS: Registry[str, Callable[[], EntryKind]] = Registry("journal entry kind")
_NAMES: dict[type, str] = {}
_INSTANCES: dict[str, EntryKind] = {}


def entry_kind(name: str, entry_type: type) -> Callable[[type], type]:
    """Return a decorator that registers an EntryKind for entries of a type."""

    def decorate(kind: type) -> type:
        _KINDS.register(name)(kind)
        _NAMES[entry_type] = name
        _INSTANCES[name] = kind()
        return kind

    return decorate


def encode_entry(entry: Entry) -> EntryPayload:
    """Return an entry as JSON."""
    name = _NAMES[type(entry)]
    return {"kind": name, "fields": _INSTANCES[name].encode(entry)}


def decode_entry(payload: EntryPayload) -> Entry:
    """Return the entry in JSON.

    Raises JournalFormatError for an unknown kind too: to skip an entry that a newer
    version wrote could lose an intent.
    """
    try:
        _KINDS.get(payload["kind"])
        return _INSTANCES[payload["kind"]].decode(payload["fields"])
    except (UnknownEntryError, KeyError, TypeError, ValueError) as error:
        raise JournalFormatError(f"cannot read a journal entry: {error}") from error


def apply_entry(entry: Entry, state: JournalState) -> None:
    """Apply an entry to the state of requests."""
    _INSTANCES[_NAMES[type(entry)]].apply(entry, state)


def decode_request(payload: dict[str, Any]) -> Request:
    """Return a stored request without the field checks.

    It passed them on acceptance, and a stricter check of a later version must not
    make accepted requests unreadable.
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
    """Return an answer as JSON."""
    if answer is None:
        return None
    return {"text": answer.text, "length": answer.length, "digest": answer.digest}


def decode_answer(payload: AnswerPayload | None) -> Answer | None:
    """Return the answer in JSON."""
    return None if payload is None else Answer(**payload)


@entry_kind("accepted", Accepted)
class AcceptedKind(EntryKind[Accepted]):
    """Holds the whole request."""

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
    """Return the intent in its JSON form; raises KeyError."""
    return Intent(
        tuple(fields["tasks"]),
        fields["worker"],
        fields["incarnation"],
        fields["clock_ms"],
    )


@entry_kind("intent", Intent)
class IntentKind(EntryKind[Intent]):
    """Holds the ids of the tasks about to be started."""

    def encode(self, entry: Intent) -> dict[str, Any]:
        return encode_intent(entry)

    def decode(self, fields: dict[str, Any]) -> Intent:
        return decode_intent(fields)

    def apply(self, entry: Intent, state: JournalState) -> None:
        state.intend(entry)


@entry_kind("finished", Finished)
class FinishedKind(EntryKind[Finished]):
    """Holds the outcome and the answer."""

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


@entry_kind("cancelled", Cancelled)
class CancelledKind(EntryKind[Cancelled]):
    """Holds the key of the cancelled request."""

    def encode(self, entry: Cancelled) -> dict[str, Any]:
        return {"key": list(entry.key), "cancelled_ms": entry.cancelled_ms}

    def decode(self, fields: dict[str, Any]) -> Cancelled:
        return Cancelled(RequestKey(*fields["key"]), fields["cancelled_ms"])

    def apply(self, entry: Cancelled, state: JournalState) -> None:
        state.cancel(entry)


@entry_kind("epoch", EpochBegun)
class EpochBegunKind(EntryKind[EpochBegun]):
    """Holds the new leader and its clock."""

    def encode(self, entry: EpochBegun) -> dict[str, Any]:
        return entry._asdict()

    def decode(self, fields: dict[str, Any]) -> EpochBegun:
        return EpochBegun(**fields)

    def apply(self, entry: EpochBegun, state: JournalState) -> None:
        state.begin_epoch(entry)


@entry_kind("snapshot", Snapshot)
class SnapshotKind(EntryKind[Snapshot]):
    """Holds the name of the object and the last row that it covers."""

    def encode(self, entry: Snapshot) -> dict[str, Any]:
        return entry._asdict()

    def decode(self, fields: dict[str, Any]) -> Snapshot:
        return Snapshot(**fields)
