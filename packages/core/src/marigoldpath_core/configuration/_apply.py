"""One operator's change of the configuration, from the request to its outcome."""

from enum import Enum, auto

from marigoldpath_core.messages import (
    CreateRow,
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRow,
    Row,
    RowWriteReplied,
    WriteRow,
    WriteStatus,
)

from ._exchange import ApplyOutcome, ApplyRequested, ApplyStatus, ConfigurationEffect
from ._record import (
    CURRENT_VERSION_KEY,
    VersionPointer,
    VersionRecord,
    decode_record,
    encode_pointer,
    encode_record,
)

# An operator waits this long. Shorter than the time after which the client gives up,
# so that the operator learns whether the change may still take effect.
DEADLINE_MS = 8_000


class _Step(Enum):
    READ_BASE = auto()
    PUT_OBJECT = auto()
    WRITE_ROW = auto()
    CHECK_ROW = auto()
    TRACE = auto()


class Apply:
    """Writes the object, then the row, and finds out whether the row holds it.

    Only a read of the row tells that it holds the new version: a reply to a write
    may be lost, or be that of an earlier apply whose operator was no longer waiting.
    """

    def __init__(self, request: ApplyRequested, previous: str, now_ms: int) -> None:
        self._request = request
        self._record = VersionRecord(
            version=request.base_version + 1,
            base=request.base_version,
            author=request.author,
            applied_at=request.applied_at,
            previous=previous,
            text=request.text,
        )
        self._ends_ms = now_ms + DEADLINE_MS
        self._step = _Step.READ_BASE
        self._row: Row | None = None
        self._row_written = False
        self._traced_key = ""
        self._outcome: ApplyOutcome | None = None
        self._rival: VersionPointer | None = None

    @property
    def request(self) -> ApplyRequested:
        """Return what the operator asked for."""
        return self._request

    @property
    def record(self) -> VersionRecord:
        """Return the version that is to be in force."""
        return self._record

    @property
    def outcome(self) -> ApplyOutcome | None:
        """Return the outcome once it is certain or the deadline has passed."""
        return self._outcome

    @property
    def rival(self) -> VersionPointer | None:
        """Return the version of another operator that the row holds instead."""
        return self._rival

    def on_tick(self, now_ms: int) -> list[ConfigurationEffect]:
        """Ask again for what has not been answered, or end at the deadline."""
        if now_ms >= self._ends_ms:
            self._end_at_deadline()
            return []
        if self._step in (_Step.READ_BASE, _Step.CHECK_ROW):
            return [ReadRow(CURRENT_VERSION_KEY)]
        if self._step is _Step.TRACE:
            return [ReadObject(self._traced_key)]
        return []

    def on_row(
        self, row: Row | None, pointer: VersionPointer | None, highest: int
    ) -> list[ConfigurationEffect]:
        """Go on after a read of the row; `highest` is the version in force here."""
        if self._step is _Step.READ_BASE:
            return self._on_base(row, pointer, highest)
        if self._step is _Step.CHECK_ROW:
            return self._on_check(row, pointer)
        return []

    def on_written(self, event: RowWriteReplied) -> list[ConfigurationEffect]:
        """Go on after the reply to a write."""
        if event.key == CURRENT_VERSION_KEY and self._step is _Step.WRITE_ROW:
            self._step = _Step.CHECK_ROW
            return [ReadRow(CURRENT_VERSION_KEY)]
        if event.key == self._object_key and self._step is _Step.PUT_OBJECT:
            if event.status is WriteStatus.UNKNOWN:
                return [self._put_object()]
            return self._write_row()
        return []

    def on_object(self, event: ObjectRead) -> list[ConfigurationEffect]:
        """Follow the versions back from the row's to the one of this number."""
        if self._step is not _Step.TRACE or event.key != self._traced_key:
            return []
        if event.value is None:
            return []
        record = decode_record(event.value).unwrap_or(None)
        if record is None or record.version <= self._record.version:
            self._settle(record is not None and record == self._record)
            return []
        return self._trace(record.previous)

    @property
    def _object_key(self) -> str:
        return self._record.pointer.object_key

    def _on_base(
        self, row: Row | None, pointer: VersionPointer | None, highest: int
    ) -> list[ConfigurationEffect]:
        held = pointer.version if pointer is not None else 0
        base = self._request.base_version
        if held > base:
            self._rival = pointer
            self._settle(False)
            return []
        # A row behind the base is a read from before it, unless this host itself has
        # seen the base: then the table was set back and the change repairs it.
        if held < base and highest < base:
            return []
        self._row = row
        self._step = _Step.PUT_OBJECT
        return [self._put_object()]

    def _on_check(
        self, row: Row | None, pointer: VersionPointer | None
    ) -> list[ConfigurationEffect]:
        if pointer is not None and pointer.version > self._record.version:
            self._rival = pointer
            self._step = _Step.TRACE
            return self._trace(pointer.object_key)
        if pointer is not None and pointer.version == self._record.version:
            if pointer.digest != self._record.digest:
                self._rival = pointer
            self._settle(pointer.digest == self._record.digest)
            return []
        # The row is as before: compare-and-set on it lets at most one of the earlier
        # write and this one through.
        self._row = row
        return self._write_row()

    def _put_object(self) -> ConfigurationEffect:
        return PutObject(self._object_key, dict(encode_record(self._record)))

    def _write_row(self) -> list[ConfigurationEffect]:
        self._step = _Step.WRITE_ROW
        self._row_written = True
        value = encode_pointer(self._record.pointer)
        if self._row is None:
            return [CreateRow(CURRENT_VERSION_KEY, value)]
        return [WriteRow(CURRENT_VERSION_KEY, value, self._row.version)]

    def _trace(self, key: str) -> list[ConfigurationEffect]:
        if not key:
            self._settle(False)
            return []
        self._traced_key = key
        return [ReadObject(key)]

    def _settle(self, applied: bool) -> None:
        rival = self._rival
        if applied:
            message = f"version {self._record.version} is applied"
            if rival is not None:
                message += f" and was since replaced by version {rival.version}"
            self._outcome = ApplyOutcome(
                ApplyStatus.APPLIED,
                "applied",
                message,
                self._record.version,
                self._record.author,
            )
            return
        author = rival.author if rival else ""
        version = rival.version if rival else 0
        self._outcome = ApplyOutcome(
            ApplyStatus.REFUSED,
            "version_conflict",
            f"version {version} by {author or 'an unknown operator'} came first: "
            f"check the sheet against it and apply again",
            version,
            author,
        )

    def _end_at_deadline(self) -> None:
        if self._row_written:
            self._outcome = ApplyOutcome(
                ApplyStatus.UNKNOWN,
                "outcome_unknown",
                "the platform did not say whether it took the change: look at "
                "'sheet status' before you apply again",
            )
            return
        self._outcome = ApplyOutcome(
            ApplyStatus.REFUSED,
            "platform_unavailable",
            "the platform did not answer, so nothing was changed: apply again later",
        )
