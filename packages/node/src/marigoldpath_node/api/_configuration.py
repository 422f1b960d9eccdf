"""Routes that read and apply the configuration."""

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

STATUS_BY_CODE = {
    "bad_sheet": 422,
    "version_conflict": 409,
    "apply_in_progress": 409,
}
MAX_AUTHOR_LENGTH = 128
RETRY_AFTER_MS = 500


class _InvalidBodyError(Exception):
    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.response = error_reply(400, "bad_field", message, field=field)


@route("GET", "/v1/config", Access.OPERATOR)
async def show(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the active version, with `?zones=1` also the version of each host.

    A host that has just started has not read the version yet. It must not report 0,
    which would be lower than the version that it reported before its restart.
    """
    service = context.configuration
    if not service.is_version_known:
        return error_reply(
            503,
            "version_unknown",
            "this entry host has not read the version in force yet: ask another one",
            retry_after_ms=RETRY_AFTER_MS,
        )
    record = service.record
    value: dict[str, Any] = {
        "host": context.settings.host,
        "availability_zone": context.settings.availability_zone,
        "version": service.version,
        **(_version_summary(record) if record else {}),
        "text": record.text if record else "",
    }
    if call.request.query.get("zones"):
        versions = await service.peers.collect_versions(record)
        value["zones"] = _group_by_zone(context.settings.availability_zones, versions)
    return value_reply(value)


@route("PUT", "/v1/config", Access.OPERATOR)
async def apply(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Apply a sheet if its base version is still the active version."""
    try:
        body = _json_object(call)
        base_version = _version_field(body, "base_version")
        author = _text_field(body, "author", MAX_AUTHOR_LENGTH)
        text = _text_field(body, "text", len(call.request.body))
    except _InvalidBodyError as error:
        return error.response
    applied_at = datetime.now(UTC).isoformat(timespec="milliseconds")
    outcome = await context.configuration.apply(base_version, author, applied_at, text)
    if outcome.status is not ApplyStatus.APPLIED:
        return _apply_error_reply(outcome)
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
    """Return the latest versions, without the text of their sheets."""
    records, note = await context.configuration.history()
    versions = [_version_summary(record) for record in records]
    return value_reply({"versions": versions, "note": note})


@route("POST", "/v1/peer/config", Access.OPERATOR)
async def receive(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Receive the version of a peer and return the version of this host."""
    try:
        body = _json_object(call)
        record = _record_field(body)
    except _InvalidBodyError as error:
        return error.response
    if record is not None:
        await context.configuration.receive_record(record)
    return value_reply(
        {
            "host": context.settings.host,
            "availability_zone": context.settings.availability_zone,
            "version": context.configuration.version,
        }
    )


def _version_summary(record: VersionRecord) -> dict[str, Any]:
    return {
        "version": record.version,
        "base": record.base,
        "author": record.author,
        "applied_at": record.applied_at,
        "digest": record.digest,
    }


def _group_by_zone(
    zones: tuple[str, ...], versions: list[HostVersion]
) -> list[dict[str, Any]]:
    """Return the hosts of every zone, an empty list for a zone without listed hosts."""
    ordered = sorted(versions, key=lambda host: host.availability_zone)
    hosts = {
        zone: [{"host": host.host, "version": host.version} for host in group]
        for zone, group in groupby(ordered, key=lambda host: host.availability_zone)
    }
    return [{"availability_zone": z, "hosts": hosts.get(z, [])} for z in zones]


def _apply_error_reply(outcome: ApplyOutcome) -> HttpResponse:
    unknown = outcome.status is ApplyStatus.UNKNOWN
    status = 504 if unknown else STATUS_BY_CODE.get(outcome.code, 503)
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
            "faults": [problem._asdict() for problem in outcome.faults],
        },
    )


def _json_object(call: RouteCall) -> dict[str, Any]:
    try:
        value = json.loads(call.request.body)
    except (ValueError, RecursionError) as error:
        raise _InvalidBodyError("", f"the body is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise _InvalidBodyError("", "the body must be a JSON object")
    return value


def _version_field(body: dict[str, Any], field: str) -> int:
    value = body.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        message = f"{field} must be a whole number from 0, not {value!r:.80}"
        raise _InvalidBodyError(field, message)
    return value


def _text_field(body: dict[str, Any], field: str, max_length: int) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise _InvalidBodyError(
            field, f"{field} must be a string of 1 to {max_length} letters"
        )
    return value


def _record_field(body: dict[str, Any]) -> VersionRecord | None:
    version = _version_field(body, "version")
    text = body.get("text", "")
    if text == "":
        return None
    try:
        decoded = decode_record(json.loads(text))
    except (TypeError, ValueError, RecursionError):
        raise _InvalidBodyError("text", "text must be the JSON of a record") from None
    if decoded.is_err():
        raise _InvalidBodyError("text", decoded.unwrap_err())
    record = decoded.unwrap()
    if record.version != version:
        raise _InvalidBodyError("version", "version must be that of the record in text")
    return record
