"""JSON decoding of the platform's replies."""

import json
from typing import Any

from marigoldpath_core.messages import EntryHost, HostState, Row, WorkerHost
from marigoldpath_core.requests import Size

from ._client import Hosts
from ._errors import PlatformReplyError


def decode_row(key: str, payload: Any) -> Row:
    """Return a row from `{key, value, version}`; raise PlatformReplyError."""
    try:
        value = payload["value"]
        if not isinstance(value, dict):
            raise TypeError("value must be a JSON object")
        return Row(payload.get("key", key), value, int(payload["version"]))
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise PlatformReplyError(f"the row {key!r} is malformed: {error!r}") from error


def decode_hosts(body: bytes, availability_zone: str) -> Hosts:
    """Return the host list with only a zone's workers; raise PlatformReplyError.

    The workers of other zones are dropped during parsing. As objects, the 4,100 workers
    of a fleet take several MB, which the process does not return to the system.
    """

    def keep(item: dict[str, Any]) -> dict[str, Any] | None:
        is_worker = "rack" in item
        if is_worker and item.get("availability_zone") != availability_zone:
            return None
        return item

    try:
        payload = json.loads(body, object_hook=keep)
        return Hosts(
            tuple(_worker(each) for each in payload["workers"] if each is not None),
            tuple(_entry_host(each) for each in payload["entry_hosts"]),
        )
    except (TypeError, KeyError, ValueError) as error:
        raise PlatformReplyError(f"the host list is malformed: {error!r}") from error


def _worker(payload: dict[str, Any]) -> WorkerHost:
    return WorkerHost(
        payload["name"],
        payload["availability_zone"],
        payload["rack"],
        payload["address"],
        Size(**payload["capacity"]),
        HostState(payload["state"]),
    )


def _entry_host(payload: dict[str, Any]) -> EntryHost:
    return EntryHost(
        payload["name"],
        payload["availability_zone"],
        payload["address"],
        HostState(payload["state"]),
    )
