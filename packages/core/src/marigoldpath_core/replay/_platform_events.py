"""Codecs of the replies of the platform's services."""

from typing import Any, TypedDict

from marigoldpath_core.messages import (
    EntryHost,
    HostsListed,
    HostState,
    ObjectRead,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
    WorkerHost,
    WriteStatus,
)
from marigoldpath_core.requests import Size

from ._codec import Codec, event_codec
from ._fields import RowFields, decode_row, encode_row


class RowReadFields(TypedDict):
    """The fields of RowRead."""

    key: str
    row: RowFields | None


class ReadFailedFields(TypedDict):
    """The fields of RowReadFailed, or of RowsReadFailed with its prefix in `key`."""

    key: str


class RowsReadFields(TypedDict):
    """The fields of RowsRead."""

    prefix: str
    rows: list[RowFields]


class RowWriteRepliedFields(TypedDict):
    """The fields of RowWriteReplied."""

    key: str
    status: str
    version: int


class ObjectReadFields(TypedDict):
    """The fields of ObjectRead."""

    key: str
    value: dict[str, Any] | None
    failed: bool


class HostsListedFields(TypedDict):
    """The fields of HostsListed; each host is a list of its field values in order."""

    workers: list[list[Any]]
    entry_hosts: list[list[str]]


@event_codec(RowRead, "row")
def _row() -> Codec:
    def encode(event: RowRead) -> RowReadFields:
        row = None if event.row is None else encode_row(event.row)
        return {"key": event.key, "row": row}

    def decode(fields: RowReadFields) -> RowRead:
        row = fields["row"]
        return RowRead(fields["key"], None if row is None else decode_row(row))

    return Codec(encode, decode)


@event_codec(RowReadFailed, "row_failed")
def _row_failed() -> Codec:
    def encode(event: RowReadFailed) -> ReadFailedFields:
        return {"key": event.key}

    return Codec(encode, lambda fields: RowReadFailed(fields["key"]))


@event_codec(RowsRead, "rows")
def _rows() -> Codec:
    def encode(event: RowsRead) -> RowsReadFields:
        rows = [encode_row(row) for row in event.rows]
        return {"prefix": event.prefix, "rows": rows}

    def decode(fields: RowsReadFields) -> RowsRead:
        rows = tuple(decode_row(row) for row in fields["rows"])
        return RowsRead(fields["prefix"], rows)

    return Codec(encode, decode)


@event_codec(RowsReadFailed, "rows_failed")
def _rows_failed() -> Codec:
    def encode(event: RowsReadFailed) -> ReadFailedFields:
        return {"key": event.prefix}

    return Codec(encode, lambda fields: RowsReadFailed(fields["key"]))


@event_codec(RowWriteReplied, "write")
def _write() -> Codec:
    def encode(event: RowWriteReplied) -> RowWriteRepliedFields:
        return {
            "key": event.key,
            "status": event.status.value,
            "version": event.version,
        }

    def decode(fields: RowWriteRepliedFields) -> RowWriteReplied:
        status = WriteStatus(fields["status"])
        return RowWriteReplied(fields["key"], status, fields["version"])

    return Codec(encode, decode)


@event_codec(ObjectRead, "object")
def _object() -> Codec:
    def encode(event: ObjectRead) -> ObjectReadFields:
        return {"key": event.key, "value": event.value, "failed": event.failed}

    def decode(fields: ObjectReadFields) -> ObjectRead:
        return ObjectRead(fields["key"], fields["value"], fields["failed"])

    return Codec(encode, decode)


@event_codec(HostsListed, "hosts")
def _hosts() -> Codec:
    def encode(event: HostsListed) -> HostsListedFields:
        workers = [
            [*host[:4], list(host.capacity), host.state.value] for host in event.workers
        ]
        entry_hosts = [[*host[:3], host.state.value] for host in event.entry_hosts]
        return {"workers": workers, "entry_hosts": entry_hosts}

    def decode(fields: HostsListedFields) -> HostsListed:
        workers = tuple(
            WorkerHost(name, zone, rack, address, Size(*capacity), HostState(state))
            for name, zone, rack, address, capacity, state in fields["workers"]
        )
        entry_hosts = tuple(
            EntryHost(name, zone, address, HostState(state))
            for name, zone, address, state in fields["entry_hosts"]
        )
        return HostsListed(workers, entry_hosts)

    return Codec(encode, decode)
