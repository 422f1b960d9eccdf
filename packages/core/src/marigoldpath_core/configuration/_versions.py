"""Keeps the highest version of the configuration active and applies new versions."""

from collections.abc import Callable
from typing import Any

from marigoldpath_core.messages import (
    Log,
    ObjectRead,
    ReadObject,
    ReadRow,
    RowRead,
    RowReadFailed,
    RowWriteReplied,
    Tick,
)
from marigoldpath_core.registry import Registry

from ._apply import ApplyOperation
from ._diff import diff
from ._exchange import (
    ApplyOutcome,
    ApplyRequested,
    ApplyStatus,
    ConfigurationChanged,
    ConfigurationEffect,
    ConfigurationEvent,
    PeerRecordReceived,
    ReplyToApply,
    SendToPeers,
    SheetReader,
)
from ._model import Configuration
from ._record import (
    CURRENT_VERSION_KEY,
    VersionPointer,
    VersionRecord,
    decode_pointer,
    decode_record,
)

# Every host reads one row per second. With 56 hosts this is less than 3% of the
# platform's reads. A version must become active on all hosts within 5 s; the interval
# leaves 4 s of them to read the object and to send it to peers.
READ_INTERVAL_MS = 1_000
# A read without a reply is repeated after this time.
READ_TIMEOUT_MS = 10_000
# Versions kept in memory to report the changes of a concurrent operator.
MAX_CACHED_VERSIONS = 4
# A refusal is delayed for up to this time until the concurrent operator's sheet is
# read, so that the reply can include the changes of that sheet.
CONFLICT_WAIT_MS = 1_500

Handler = Callable[["ConfigurationManager", Any, int], list[ConfigurationEffect]]
HANDLERS: Registry[type, Handler] = Registry("configuration event")
handles = HANDLERS.register


class ConfigurationManager:
    """Decides which version is active on this host; the version never decreases.

    All `now_ms` arguments are monotonic times.
    """

    def __init__(self, read_sheet: SheetReader) -> None:
        self._read_sheet = read_sheet
        self._record: VersionRecord | None = None
        self._configurations: dict[int, Configuration] = {0: Configuration()}
        self._version = 0
        self._pending: VersionPointer | None = None
        self._rejected_key = ""
        self._read_sent_at_ms: int | None = None
        self._next_read_ms = 0
        self._apply: ApplyOperation | None = None
        self._refused_at_ms: int | None = None
        self._reported_row: VersionPointer | None = None

    @property
    def version(self) -> int:
        """Return the active version, 0 before the first."""
        return self._version

    @property
    def record(self) -> VersionRecord | None:
        """Return the record of the active version."""
        return self._record

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration."""
        return self._configurations[self._version]

    def handle(
        self, event: ConfigurationEvent, now_ms: int
    ) -> list[ConfigurationEffect]:
        """Return the effects of an event; events without a handler have none."""
        if type(event) not in HANDLERS:
            return []
        effects = HANDLERS.get(type(event))(self, event, now_ms)
        effects.extend(self._finish_apply(now_ms))
        return effects

    @handles(Tick)
    def _on_tick(self, event: Tick, now_ms: int) -> list[ConfigurationEffect]:
        effects: list[ConfigurationEffect] = []
        timed_out = (
            self._read_sent_at_ms is not None
            and now_ms - self._read_sent_at_ms >= READ_TIMEOUT_MS
        )
        if (
            self._read_sent_at_ms is None or timed_out
        ) and now_ms >= self._next_read_ms:
            self._read_sent_at_ms = now_ms
            self._next_read_ms = now_ms + READ_INTERVAL_MS
            effects.append(ReadRow(CURRENT_VERSION_KEY))
            if self._pending is not None:
                effects.append(ReadObject(self._pending.object_key))
        if self._apply is not None and self._apply.outcome is None:
            retries = self._apply.on_tick(now_ms)
            effects.extend(effect for effect in retries if effect not in effects)
        return effects

    @handles(RowRead)
    def _on_row(self, event: RowRead, now_ms: int) -> list[ConfigurationEffect]:
        if event.key != CURRENT_VERSION_KEY:
            return []
        self._read_sent_at_ms = None
        pointer = None
        if event.row is not None:
            decoded = decode_pointer(event.row.value)
            if decoded.is_err():
                fields = {"key": event.key, "fault": decoded.unwrap_err()}
                return [Log("configuration_row_unreadable", fields, "error")]
            pointer = decoded.unwrap()
        effects: list[ConfigurationEffect] = []
        if self._apply is not None and self._apply.outcome is None:
            effects.extend(self._apply.on_row(event.row, pointer, self._version))
            effects.extend(self._activate_applied())
        if pointer is not None:
            effects.extend(self._process_pointer(pointer))
        return effects

    @handles(RowReadFailed)
    def _on_row_failed(
        self, event: RowReadFailed, now_ms: int
    ) -> list[ConfigurationEffect]:
        if event.key == CURRENT_VERSION_KEY:
            self._read_sent_at_ms = None
        return []

    @handles(ObjectRead)
    def _on_object(self, event: ObjectRead, now_ms: int) -> list[ConfigurationEffect]:
        effects: list[ConfigurationEffect] = []
        if self._apply is not None and self._apply.outcome is None:
            effects.extend(self._apply.on_object(event))
            effects.extend(self._activate_applied())
        pending = self._pending
        if pending is None or event.key != pending.object_key or event.value is None:
            return effects
        record = decode_record(event.value).unwrap_or(None)
        if record is None or record.pointer.object_key != event.key:
            fields = {"key": event.key}
            return [*effects, Log("configuration_object_damaged", fields, "error")]
        return [*effects, *self._activate(record)]

    @handles(RowWriteReplied)
    def _on_written(
        self, event: RowWriteReplied, now_ms: int
    ) -> list[ConfigurationEffect]:
        if self._apply is None or self._apply.outcome is not None:
            return []
        return self._apply.on_written(event)

    @handles(PeerRecordReceived)
    def _on_peer(
        self, event: PeerRecordReceived, now_ms: int
    ) -> list[ConfigurationEffect]:
        return self._activate(event.record)

    @handles(ApplyRequested)
    def _on_apply(
        self, event: ApplyRequested, now_ms: int
    ) -> list[ConfigurationEffect]:
        if self._apply is not None:
            other = self._apply.request.author
            message = f"a change by {other} is being applied: check and apply again"
            return [_refusal(event, "apply_in_progress", message)]
        parsed = self._read_sheet(event.text, event.base_version + 1)
        if parsed.is_err():
            faults = tuple(parsed.unwrap_err())
            message = f"the sheet has {len(faults)} faults"
            return [_refusal(event, "bad_sheet", message, faults)]
        if event.base_version < self._version and self._record is not None:
            return [self._stale_refusal(event, self._record.pointer)]
        previous = ""
        if self._record is not None and self._version == event.base_version:
            previous = self._record.pointer.object_key
        elif event.base_version > 0:
            # The new record must contain the key of the base version's object, which
            # this host does not know yet.
            message = f"version {event.base_version} is not in force here yet"
            return [_refusal(event, "base_unknown", message)]
        self._apply = ApplyOperation(event, previous, now_ms)
        return [ReadRow(CURRENT_VERSION_KEY)]

    def _process_pointer(self, pointer: VersionPointer) -> list[ConfigurationEffect]:
        """Read the object of a higher version.

        Log a row with the active version and another digest.
        """
        if pointer.version > self._version:
            if pointer.object_key == self._rejected_key or pointer == self._pending:
                return []
            self._pending = pointer
            return [ReadObject(pointer.object_key)]
        active = self._record.pointer if self._record is not None else None
        # A late reply may contain an older version, which is not an error. The same
        # version with another digest is logged once.
        if active is None or pointer in (active, self._reported_row):
            return []
        if pointer.version == active.version and pointer.digest != active.digest:
            self._reported_row = pointer
            fields = {"in_force": active.object_key, "row": pointer.object_key}
            return [Log("configuration_row_contradicts", fields, "error")]
        return []

    def _activate(self, record: VersionRecord) -> list[ConfigurationEffect]:
        if record.version <= self._version:
            return []
        key = record.pointer.object_key
        parsed = self._read_sheet(record.text, record.version)
        if parsed.is_err():
            if key == self._rejected_key:
                return []
            self._rejected_key = key
            self._pending = None
            faults = [str(problem) for problem in parsed.unwrap_err()[:3]]
            fields = {"key": key, "faults": faults}
            return [Log("configuration_not_understood", fields, "error")]
        self._record = record
        self._version = record.version
        self._configurations[record.version] = parsed.unwrap()
        while len(self._configurations) > MAX_CACHED_VERSIONS:
            del self._configurations[min(self._configurations)]
        if self._pending is not None and self._pending.version <= record.version:
            self._pending = None
        return [ConfigurationChanged(parsed.unwrap(), record), SendToPeers(record)]

    def _activate_applied(self) -> list[ConfigurationEffect]:
        assert self._apply is not None
        outcome = self._apply.outcome
        if outcome is None or outcome.status is not ApplyStatus.APPLIED:
            return []
        return self._activate(self._apply.record)

    def _finish_apply(self, now_ms: int) -> list[ConfigurationEffect]:
        apply = self._apply
        if apply is None or apply.outcome is None:
            return []
        conflicting_version = apply.conflicting_version
        refused = apply.outcome.status is ApplyStatus.REFUSED
        if (
            refused
            and conflicting_version is not None
            and conflicting_version.version > self._version
        ):
            if self._refused_at_ms is None:
                self._refused_at_ms = now_ms
            if now_ms - self._refused_at_ms < CONFLICT_WAIT_MS:
                return []
        self._apply = None
        self._refused_at_ms = None
        outcome = apply.outcome
        if refused and conflicting_version is not None:
            outcome = outcome._replace(changes=self._changes(apply.request))
        return [ReplyToApply(apply.request.call, outcome)]

    def _stale_refusal(
        self, event: ApplyRequested, pointer: VersionPointer
    ) -> ConfigurationEffect:
        message = (
            f"version {pointer.version} by {pointer.author} came first: check the "
            f"sheet against it and apply again"
        )
        outcome = ApplyOutcome(
            ApplyStatus.REFUSED,
            "version_conflict",
            message,
            pointer.version,
            pointer.author,
            self._changes(event),
        )
        return ReplyToApply(event.call, outcome)

    def _changes(self, request: ApplyRequested) -> tuple[str, ...]:
        """Return the changes since the operator's base version.

        The result is empty if the base version is not cached.
        """
        base = self._configurations.get(request.base_version)
        if base is None:
            return ()
        return tuple(str(change) for change in diff(base, self.configuration))


def _refusal(
    event: ApplyRequested, code: str, message: str, faults: tuple[Any, ...] = ()
) -> ReplyToApply:
    outcome = ApplyOutcome(ApplyStatus.REFUSED, code, message, faults=faults)
    return ReplyToApply(event.call, outcome)
