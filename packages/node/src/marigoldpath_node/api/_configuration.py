"""Routes of the configuration."""

import json
from datetime import UTC, datetime
from itertools import groupby
from typing import Any

from marigoldpath_core.configuration import (
    ApplyOutcome,
    ApplyStatus,
    VersionRecord,
    decode_record,
)

from ..configuration import HostVersion
from ..http import HttpResponse, json_response
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from ._replies import error_reply, value_reply

STATUS = {
    "bad_sheet": 422,
    "version_conflict": 409,
    "apply_in_progress": 409,
}
MAX_AUTHOR = 128
READ_RETRY_MS = 500


class _BadBodyError(Exception):
    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.response = error_reply(400, "bad_field", message, field=field)


@route("GET", "/v1/config", Access.OPERATOR)
async def show(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the version in force, with `?zones=1` that of each zone's hosts.

    A host that has just started does not know the version yet. It must not report 0,
    which would be lower than what it reported before its restart.
    """
    service = context.configuration
    if not service.is_version_known:
        return error_reply(
            503,
            "version_unknown",
            "this entry host has not read the version in force yet: ask another one",
            retry_after_ms=READ_RETRY_MS,
        )
    record = service.record
    value: dict[str, Any] = {
        "host": context.settings.host,
        "availability_zone": context.settings.availability_zone,
        "version": service.version,
        **(_described(record) if record else {}),
        "text": record.text if record else "",
    }
    if call.request.query.get("zones"):
        versions = await service.peers.collect_versions(record)
        value["zones"] = _by_zone(context.settings.availability_zones, versions)
    return value_reply(value)


@route("PUT", "/v1/config", Access.OPERATOR)
async def apply(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Apply a sheet in place of the version that it was checked against."""
    try:
        body = _body(call)
        base_version = _version(body, "base_version")
        author = _text(body, "author", MAX_AUTHOR)
        text = _text(body, "text", len(call.request.body))
    except _BadBodyError as fault:
        return fault.response
    applied_at = datetime.now(UTC).isoformat(timespec="milliseconds")
    outcome = await context.configuration.apply(base_version, author, applied_at, text)
    if outcome.status is not ApplyStatus.APPLIED:
        return _refused(outcome)
    return value_reply(
        {
            "outcome": "applied",
            "version": outcome.version,
            "author": outcome.author,
            "message": outcome.message,
        }
    )


@route("GET", "/v1/config/history", Access.OPERATOR)
async def history(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the latest versions without their sheets."""
    records, note = await context.configuration.history()
    versions = [_described(record) for record in records]
    return value_reply({"versions": versions, "note": note})


@route("POST", "/v1/peer/config", Access.OPERATOR)
async def receive_record(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Take a peer's version and return that of this host."""
    try:
        body = _body(call)
        record = _peer_record(body)
    except _BadBodyError as fault:
        return fault.response
    if record is not None:
        await context.configuration.receive_record(record)
    return value_reply(
        {
            "host": context.settings.host,
            "availability_zone": context.settings.availability_zone,
            "version": context.configuration.version,
        }
    )


def _described(record: VersionRecord) -> dict[str, Any]:
    return {
        "version": record.version,
        "base": record.base,
        "author": record.author,
        "applied_at": record.applied_at,
        "digest": record.digest,
    }


def _by_zone(
    zones: tuple[str, ...], versions: list[HostVersion]
) -> list[dict[str, Any]]:
    """Return the hosts of every zone; a zone without listed hosts has none."""
    ordered = sorted(versions, key=lambda host: host.availability_zone)
    hosts = {
        zone: [{"host": host.host, "version": host.version} for host in group]
        for zone, group in groupby(ordered, key=lambda host: host.availability_zone)
    }
    return [{"availability_zone": z, "hosts": hosts.get(z, [])} for z in zones]


def _refused(outcome: ApplyOutcome) -> HttpResponse:
    unknown = outcome.status is ApplyStatus.UNKNOWN
    status = 504 if unknown else STATUS.get(outcome.code, 503)
    return json_response(
        status,
        {
            "code": outcome.code,
            "field": "text" if outcome.faults else "",
            "message": outcome.message,
            "outcome": "unknown" if unknown else "not_run",
            "retry_after_ms": 0,
            "version": outcome.version,
            "author": outcome.author,
            "changes": list(outcome.changes),
            "faults": [fault._asdict() for fault in outcome.faults],
        },
    )


def _body(call: RouteCall) -> dict[str, Any]:
    try:
        value = json.loads(call.request.body)
    except (ValueError, RecursionError) as fault:
        raise _BadBodyError("", f"the body is not JSON: {fault}") from None
    if not isinstance(value, dict):
        raise _BadBodyError("", "the body must be a JSON object")
    return value


def _version(body: dict[str, Any], field: str) -> int:
    value = body.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        message = f"{field} must be a whole number from 0, not {value!r:.80}"
        raise _BadBodyError(field, message)
    return value


def _text(body: dict[str, Any], field: str, most: int) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise _BadBodyError(field, f"{field} must be a string of 1 to {most} letters")
    return value


def _peer_record(body: dict[str, Any]) -> VersionRecord | None:
    version = _version(body, "version")
    text = body.get("text", "")
    if text == "":
        return None
    try:
        decoded = decode_record(json.loads(text))
    except (TypeError, ValueError, RecursionError):
        raise _BadBodyError("text", "text must be the JSON of a record") from None
    if decoded.is_err():
        raise _BadBodyError("text", decoded.unwrap_err())
    record = decoded.unwrap()
    if record.version != version:
        raise _BadBodyError("version", "version must be that of the record in text")
    return record
