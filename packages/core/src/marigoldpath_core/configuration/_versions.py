"""Keeps the highest version of the configuration and applies new ones."""

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

from ._apply import Apply
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

# Every host reads one row a second, which at 56 hosts is under 3% of the platform's
# reads, and leaves 4 of the 5 s for the object and the peers.
READ_INTERVAL_MS = 1_000
# A read without any reply is taken for lost after this time.
READ_LOST_MS = 10_000
# Versions kept in memory to tell an operator what a racing one changed.
KEPT_VERSIONS = 4
# How long a refusal is held back until the racing operator's sheet has been read.
RIVAL_WAIT_MS = 1_500

Handler = Callable[["ConfigurationManager", Any, int], list[ConfigurationEffect]]
HANDLERS: Registry[type, Handler] = Registry("configuration event")
handles = HANDLERS.register


class ConfigurationManager:
    """Decides which version is in force on this host; it never goes lower.

    `now_ms` is a monotonic time.
    """

    def __init__(self, read_sheet: SheetReader) -> None:
        self._read_sheet = read_sheet
        self._record: VersionRecord | None = None
        self._configurations: dict[int, Configuration] = {0: Configuration()}
        self._version = 0
        self._wanted: VersionPointer | None = None
        self._rejected_key = ""
        self._asked_ms: int | None = None
        self._next_read_ms = 0
        self._apply: Apply | None = None
        self._settled_ms: int | None = None
        self._reported: VersionPointer | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._version

    @property
    def record(self) -> VersionRecord | None:
        """Return the record of the version in force."""
        return self._record

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._configurations[self._version]

    def handle(
        self, event: ConfigurationEvent, now_ms: int
    ) -> list[ConfigurationEffect]:
        """Return what is to be done after an event; other events do nothing."""
        if type(event) not in HANDLERS:
            return []
        effects = HANDLERS.get(type(event))(self, event, now_ms)
        effects.extend(self._finish_apply(now_ms))
        return effects

    @handles(Tick)
    def _on_tick(self, event: Tick, now_ms: int) -> list[ConfigurationEffect]:
        effects: list[ConfigurationEffect] = []
        lost = self._asked_ms is not None and now_ms - self._asked_ms >= READ_LOST_MS
        if (self._asked_ms is None or lost) and now_ms >= self._next_read_ms:
            self._asked_ms = now_ms
            self._next_read_ms = now_ms + READ_INTERVAL_MS
            effects.append(ReadRow(CURRENT_VERSION_KEY))
            if self._wanted is not None:
                effects.append(ReadObject(self._wanted.object_key))
        if self._apply is not None and self._apply.outcome is None:
            again = self._apply.on_tick(now_ms)
            effects.extend(effect for effect in again if effect not in effects)
        return effects

    @handles(RowRead)
    def _on_row(self, event: RowRead, now_ms: int) -> list[ConfigurationEffect]:
        if event.key != CURRENT_VERSION_KEY:
            return []
        self._asked_ms = None
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
            effects.extend(self._take_applied())
        if pointer is not None:
            effects.extend(self._compare(pointer))
        return effects

    @handles(RowReadFailed)
    def _on_row_failed(
        self, event: RowReadFailed, now_ms: int
    ) -> list[ConfigurationEffect]:
        if event.key == CURRENT_VERSION_KEY:
            self._asked_ms = None
        return []

    @handles(ObjectRead)
    def _on_object(self, event: ObjectRead, now_ms: int) -> list[ConfigurationEffect]:
        effects: list[ConfigurationEffect] = []
        if self._apply is not None and self._apply.outcome is None:
            effects.extend(self._apply.on_object(event))
            effects.extend(self._take_applied())
        wanted = self._wanted
        if wanted is None or event.key != wanted.object_key or event.value is None:
            return effects
        record = decode_record(event.value).unwrap_or(None)
        if record is None or record.pointer.object_key != event.key:
            fields = {"key": event.key}
            return [*effects, Log("configuration_object_damaged", fields, "error")]
        return [*effects, *self._adopt(record)]

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
        return self._adopt(event.record)

    @handles(ApplyRequested)
    def _on_apply(
        self, event: ApplyRequested, now_ms: int
    ) -> list[ConfigurationEffect]:
        if self._apply is not None:
            other = self._apply.request.author
            message = f"a change by {other} is being applied: check and apply again"
            return [_refusal(event, "apply_in_progress", message)]
        found = self._read_sheet(event.text, event.base_version + 1)
        if found.is_err():
            faults = tuple(found.unwrap_err())
            message = f"the sheet has {len(faults)} faults"
            return [_refusal(event, "bad_sheet", message, faults)]
        if event.base_version < self._version and self._record is not None:
            return [self._stale_refusal(event, self._record.pointer)]
        previous = ""
        if self._record is not None and self._version == event.base_version:
            previous = self._record.pointer.object_key
        elif event.base_version > 0:
            # The link to the base's object needs its digest.
            message = f"version {event.base_version} is not in force here yet"
            return [_refusal(event, "base_unknown", message)]
        self._apply = Apply(event, previous, now_ms)
        return [ReadRow(CURRENT_VERSION_KEY)]

    def _compare(self, pointer: VersionPointer) -> list[ConfigurationEffect]:
        """Fetch a higher version; report a row that contradicts this host."""
        if pointer.version > self._version:
            if pointer.object_key == self._rejected_key or pointer == self._wanted:
                return []
            self._wanted = pointer
            return [ReadObject(pointer.object_key)]
        mine = self._record.pointer if self._record is not None else None
        # A late reply names an older version; only the same version with another
        # content, or a row that stays behind, is worth a line, and one is enough.
        if mine is None or pointer in (mine, self._reported):
            return []
        if pointer.version == mine.version and pointer.digest != mine.digest:
            self._reported = pointer
            fields = {"in_force": mine.object_key, "row": pointer.object_key}
            return [Log("configuration_row_contradicts", fields, "error")]
        return []

    def _adopt(self, record: VersionRecord) -> list[ConfigurationEffect]:
        if record.version <= self._version:
            return []
        key = record.pointer.object_key
        found = self._read_sheet(record.text, record.version)
        if found.is_err():
            if key == self._rejected_key:
                return []
            self._rejected_key = key
            self._wanted = None
            faults = [str(fault) for fault in found.unwrap_err()[:3]]
            fields = {"key": key, "faults": faults}
            return [Log("configuration_not_understood", fields, "error")]
        self._record = record
        self._version = record.version
        self._configurations[record.version] = found.unwrap()
        while len(self._configurations) > KEPT_VERSIONS:
            del self._configurations[min(self._configurations)]
        if self._wanted is not None and self._wanted.version <= record.version:
            self._wanted = None
        return [ConfigurationChanged(found.unwrap(), record), SendToPeers(record)]

    def _take_applied(self) -> list[ConfigurationEffect]:
        assert self._apply is not None
        outcome = self._apply.outcome
        if outcome is None or outcome.status is not ApplyStatus.APPLIED:
            return []
        return self._adopt(self._apply.record)

    def _finish_apply(self, now_ms: int) -> list[ConfigurationEffect]:
        apply = self._apply
        if apply is None or apply.outcome is None:
            return []
        rival = apply.rival
        refused = apply.outcome.status is ApplyStatus.REFUSED
        if refused and rival is not None and rival.version > self._version:
            if self._settled_ms is None:
                self._settled_ms = now_ms
            if now_ms - self._settled_ms < RIVAL_WAIT_MS:
                return []
        self._apply = None
        self._settled_ms = None
        outcome = apply.outcome
        if refused and rival is not None:
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
        """Return what others changed since the operator's base, if it is kept."""
        base = self._configurations.get(request.base_version)
        if base is None:
            return ()
        return tuple(str(change) for change in diff(base, self.configuration))


def _refusal(
    event: ApplyRequested, code: str, message: str, faults: tuple[Any, ...] = ()
) -> ReplyToApply:
    outcome = ApplyOutcome(ApplyStatus.REFUSED, code, message, faults=faults)
    return ReplyToApply(event.call, outcome)
