"""The application of one configuration change, from the request to the outcome."""

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

# The deadline of an apply. It is shorter than the client's timeout, so that the
# operator receives a reply that states whether the change may still take effect.
APPLY_DEADLINE_MS = 8_000


class _Phase(Enum):
    READ_BASE = auto()
    PUT_OBJECT = auto()
    WRITE_ROW = auto()
    CHECK_ROW = auto()
    FIND_VERSION = auto()


class ApplyOperation:
    """Writes the object, then the row, and then checks which version the row holds.

    Only a read of the row proves that it holds the new version. The reply to a write
    may be lost, or may belong to an earlier apply that has reached its deadline.
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
        self._deadline_at_ms = now_ms + APPLY_DEADLINE_MS
        self._phase = _Phase.READ_BASE
        self._row: Row | None = None
        self._row_write_sent = False
        self._awaited_object_key = ""
        self._outcome: ApplyOutcome | None = None
        self._conflicting_version: VersionPointer | None = None

    @property
    def request(self) -> ApplyRequested:
        """Return the operator's request."""
        return self._request

    @property
    def record(self) -> VersionRecord:
        """Return the record of the version to apply."""
        return self._record

    @property
    def outcome(self) -> ApplyOutcome | None:
        """Return the outcome; None until it is certain or the deadline has passed."""
        return self._outcome

    @property
    def conflicting_version(self) -> VersionPointer | None:
        """Return the version of another apply that was read from the row, or None.

        Its number is the same as that of this apply's version or higher. It is the
        reason of a refusal, or has replaced the applied version.
        """
        return self._conflicting_version

    def on_tick(self, now_ms: int) -> list[ConfigurationEffect]:
        """Repeat a read that has no reply yet, or finish at the deadline."""
        if now_ms >= self._deadline_at_ms:
            self._finish_at_deadline()
            return []
        if self._phase in (_Phase.READ_BASE, _Phase.CHECK_ROW):
            return [ReadRow(CURRENT_VERSION_KEY)]
        if self._phase is _Phase.FIND_VERSION:
            return [ReadObject(self._awaited_object_key)]
        return []

    def on_row(
        self, row: Row | None, pointer: VersionPointer | None, active_version: int
    ) -> list[ConfigurationEffect]:
        """Continue after a read of the row, given the version active on this host."""
        if self._phase is _Phase.READ_BASE:
            return self._on_base_read(row, pointer, active_version)
        if self._phase is _Phase.CHECK_ROW:
            return self._on_row_checked(row, pointer)
        return []

    def on_written(self, event: RowWriteReplied) -> list[ConfigurationEffect]:
        """Continue after the reply to a write."""
        if event.key == CURRENT_VERSION_KEY and self._phase is _Phase.WRITE_ROW:
            self._phase = _Phase.CHECK_ROW
            return [ReadRow(CURRENT_VERSION_KEY)]
        if event.key == self._object_key and self._phase is _Phase.PUT_OBJECT:
            if event.status is WriteStatus.UNKNOWN:
                return [self._put_object()]
            return self._write_row()
        return []

    def on_object(self, event: ObjectRead) -> list[ConfigurationEffect]:
        """Follow the chain of previous versions to the version number of this apply."""
        if (
            self._phase is not _Phase.FIND_VERSION
            or event.key != self._awaited_object_key
        ):
            return []
        if event.value is None:
            return []
        record = decode_record(event.value).unwrap_or(None)
        if record is None or record.version <= self._record.version:
            self._finish(record is not None and record == self._record)
            return []
        return self._read_previous(record.previous)

    @property
    def _object_key(self) -> str:
        return self._record.pointer.object_key

    def _on_base_read(
        self, row: Row | None, pointer: VersionPointer | None, active_version: int
    ) -> list[ConfigurationEffect]:
        row_version = pointer.version if pointer is not None else 0
        base = self._request.base_version
        if row_version > base:
            self._conflicting_version = pointer
            self._finish(False)
            return []
        # A row with a version below the base is a stale read, unless the base is active
        # on this host. In that case the table was reset, and this write repairs it.
        if row_version < base and active_version < base:
            return []
        self._row = row
        self._phase = _Phase.PUT_OBJECT
        return [self._put_object()]

    def _on_row_checked(
        self, row: Row | None, pointer: VersionPointer | None
    ) -> list[ConfigurationEffect]:
        if pointer is not None and pointer.version > self._record.version:
            self._conflicting_version = pointer
            self._phase = _Phase.FIND_VERSION
            return self._read_previous(pointer.object_key)
        if pointer is not None and pointer.version == self._record.version:
            if pointer.digest != self._record.digest:
                self._conflicting_version = pointer
            self._finish(pointer.digest == self._record.digest)
            return []
        # The row is unchanged. The write is repeated with the version just read, and
        # compare-and-set lets at most one of the earlier write and this one succeed.
        self._row = row
        return self._write_row()

    def _put_object(self) -> ConfigurationEffect:
        return PutObject(self._object_key, dict(encode_record(self._record)))

    def _write_row(self) -> list[ConfigurationEffect]:
        self._phase = _Phase.WRITE_ROW
        self._row_write_sent = True
        value = encode_pointer(self._record.pointer)
        if self._row is None:
            return [CreateRow(CURRENT_VERSION_KEY, value)]
        return [WriteRow(CURRENT_VERSION_KEY, value, self._row.version)]

    def _read_previous(self, key: str) -> list[ConfigurationEffect]:
        if not key:
            self._finish(False)
            return []
        self._awaited_object_key = key
        return [ReadObject(key)]

    def _finish(self, applied: bool) -> None:
        conflicting_version = self._conflicting_version
        if applied:
            message = f"version {self._record.version} is applied"
            if conflicting_version is not None:
                message += (
                    f" and was since replaced by version {conflicting_version.version}"
                )
            self._outcome = ApplyOutcome(
                ApplyStatus.APPLIED,
                "applied",
                message,
                self._record.version,
                self._record.author,
            )
            return
        author = conflicting_version.author if conflicting_version else ""
        version = conflicting_version.version if conflicting_version else 0
        self._outcome = ApplyOutcome(
            ApplyStatus.REFUSED,
            "version_conflict",
            f"version {version} by {author or 'an unknown operator'} came first: "
            f"check the sheet against it and apply again",
            version,
            author,
        )

    def _finish_at_deadline(self) -> None:
        if self._row_write_sent:
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
