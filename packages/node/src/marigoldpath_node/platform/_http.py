"""The platform over HTTP and JSON."""

from typing import Any
from urllib.parse import quote

from marigoldpath_core.messages import Row, RowValue, WriteStatus
from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient, HttpError, HttpResponse, NotSentError
from ._client import PLATFORM_CLIENTS, Hosts, PlatformClient, WriteReply
from ._codec import decode_hosts, decode_row
from ._errors import PlatformReplyError, PlatformUnreachableError

# A confirmation of the leader row that takes over 3 s is of no use to its writer.
ROW_REPLY_S = 2.5
OBJECT_REPLY_S = 10.0
PRECONDITION_FAILED = 412
NOT_MODIFIED = 304
NOT_FOUND = 404


def create_platform_client(
    settings: DaemonSettings, http: HttpClient, name: str = "http"
) -> PlatformClient:
    """Return the client registered as `name`; raises UnknownEntryError."""
    return PLATFORM_CLIENTS.get(name)(settings, http)


@PLATFORM_CLIENTS.register("http")
class HttpPlatformClient:
    """Client of the platform's routes at `settings.platform_address`."""

    def __init__(self, settings: DaemonSettings, http: HttpClient) -> None:
        self._settings = settings
        self._http = http
        self._hosts: Hosts | None = None
        self._hosts_tag = ""

    async def read_row(self, key: str) -> Row | None:
        """Return a row, or None when there is none; raises PlatformError."""
        response = await self._send("GET", _row_target(key))
        if response.status == NOT_FOUND:
            return None
        return decode_row(key, _json(response))

    async def read_rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with `prefix`; raises PlatformError."""
        target = f"/v1/rows?prefix={quote(prefix, safe='')}"
        value = _json(await self._send("GET", target, reply_s=OBJECT_REPLY_S))
        rows = value.get("rows") if isinstance(value, dict) else value
        if not isinstance(rows, list):
            raise PlatformReplyError(f"rows under {prefix!r} are not a list")
        return tuple(decode_row("", each) for each in rows)

    async def write_row(self, key: str, value: RowValue, version: int) -> WriteReply:
        """Replace a row that still has `version`."""
        return await self._write(_row_target(key), value, {"if-match": str(version)})

    async def create_row(self, key: str, value: RowValue) -> WriteReply:
        """Create a row unless there is one."""
        return await self._write(_row_target(key), value, {"if-none-match": "*"})

    async def read_object(self, key: str) -> RowValue | None:
        """Return an object, or None when there is none; raises PlatformError."""
        target = f"/v1/objects/{quote(key)}"
        response = await self._send("GET", target, reply_s=OBJECT_REPLY_S)
        if response.status == NOT_FOUND:
            return None
        value = _json(response)
        if not isinstance(value, dict):
            raise PlatformReplyError(f"the object {key!r} is not a JSON object")
        return value

    async def put_object(self, key: str, value: RowValue) -> WriteReply:
        """Write an object."""
        target = f"/v1/objects/{quote(key)}"
        try:
            response = await self._send(
                "PUT", target, value=value, reply_s=OBJECT_REPLY_S
            )
            _check(response)
        except (PlatformUnreachableError, PlatformReplyError):
            return WriteReply(WriteStatus.UNKNOWN)
        return WriteReply(WriteStatus.WRITTEN)

    async def hosts(self) -> Hosts:
        """Return the host list; raises PlatformError.

        The list of a fleet of 4,100 workers is about 600 KB. It is read each second,
        so an unchanged list is answered by 304 where the platform gives it an ETag.
        """
        headers = {}
        if self._hosts is not None and self._hosts_tag:
            headers["if-none-match"] = self._hosts_tag
        response = await self._send("GET", "/v1/hosts", headers=headers)
        if response.status == NOT_MODIFIED and self._hosts is not None:
            return self._hosts
        zone = self._settings.availability_zone
        _check(response)
        self._hosts = decode_hosts(response.body, zone)
        self._hosts_tag = response.headers.get("etag", "")
        return self._hosts

    async def _write(
        self, target: str, value: RowValue, headers: dict[str, str]
    ) -> WriteReply:
        try:
            response = await self._send("PUT", target, value=value, headers=headers)
            if response.status == PRECONDITION_FAILED:
                return WriteReply(WriteStatus.CONFLICT)
            version = _json(response)["version"]
        except (PlatformUnreachableError, PlatformReplyError, TypeError, KeyError):
            return WriteReply(WriteStatus.UNKNOWN)
        return WriteReply(WriteStatus.WRITTEN, int(version))

    async def _send(
        self,
        method: str,
        target: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
        reply_s: float = ROW_REPLY_S,
    ) -> HttpResponse:
        address = self._settings.platform_address
        try:
            return await self._http.request(
                method,
                address,
                target,
                value=value,
                headers={"x-host": self._settings.host, **(headers or {})},
                reply_s=reply_s,
            )
        except NotSentError as fault:
            raise PlatformUnreachableError(str(fault)) from fault
        except HttpError as fault:
            raise PlatformReplyError(str(fault)) from fault


def _row_target(key: str) -> str:
    return f"/v1/rows/{quote(key)}"


def _check(response: HttpResponse) -> None:
    if not 200 <= response.status < 300:
        raise PlatformReplyError(f"the platform answered {response.status}")


def _json(response: HttpResponse) -> Any:
    _check(response)
    try:
        return response.json()
    except ValueError as fault:
        raise PlatformReplyError(f"the reply is not JSON: {fault}") from fault
