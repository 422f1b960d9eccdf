"""Client of the platform over HTTP and JSON."""

from typing import Any
from urllib.parse import quote

from marigoldpath_core.messages import Row, RowValue, WriteStatus
from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient, HttpError, HttpResponse, NotSentError
from ._client import PLATFORM_CLIENTS, Hosts, PlatformClient, WriteReply
from ._codec import decode_hosts, decode_row
from ._errors import PlatformReplyError, PlatformUnreachableError

# A confirmation of a leader row write is useless to the leader after more than 3 s.
ROW_REPLY_S = 2.5
OBJECT_REPLY_S = 10.0
PRECONDITION_FAILED = 412
NOT_MODIFIED = 304
NOT_FOUND = 404


def create_platform_client(
    settings: DaemonSettings, http: HttpClient, name: str = "http"
) -> PlatformClient:
    """Return the client registered as `name`; raise UnknownEntryError if none is."""
    return PLATFORM_CLIENTS.get(name)(settings, http)


@PLATFORM_CLIENTS.register("http")
class HttpPlatformClient:
    """Client of the platform's HTTP API at `settings.platform_address`."""

    def __init__(self, settings: DaemonSettings, http: HttpClient) -> None:
        self._settings = settings
        self._http = http
        self._hosts: Hosts | None = None
        self._hosts_tag = ""

    async def read_row(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist; raise PlatformError."""
        response = await self._send("GET", _row_target(key))
        if response.status == NOT_FOUND:
            return None
        return decode_row(key, _json_body(response))

    async def read_rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with `prefix`; raise PlatformError."""
        target = f"/v1/rows?prefix={quote(prefix, safe='')}"
        value = _json_body(await self._send("GET", target, reply_s=OBJECT_REPLY_S))
        rows = value.get("rows") if isinstance(value, dict) else value
        if not isinstance(rows, list):
            raise PlatformReplyError(f"rows under {prefix!r} are not a list")
        return tuple(decode_row("", each) for each in rows)

    async def write_row(self, key: str, value: RowValue, version: int) -> WriteReply:
        """Replace a row if its version is still `version`."""
        return await self._write(_row_target(key), value, {"if-match": str(version)})

    async def create_row(self, key: str, value: RowValue) -> WriteReply:
        """Create a row if it does not exist."""
        return await self._write(_row_target(key), value, {"if-none-match": "*"})

    async def read_object(self, key: str) -> RowValue | None:
        """Return an object, or None if it does not exist; raise PlatformError."""
        target = f"/v1/objects/{quote(key)}"
        response = await self._send("GET", target, reply_s=OBJECT_REPLY_S)
        if response.status == NOT_FOUND:
            return None
        value = _json_body(response)
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
        """Return the host list; raise PlatformError.

        The list of a fleet of 4,100 workers is about 600 KB and is read every second.
        If the platform sends an ETag, an unchanged list is not transferred again (304).
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
            version = _json_body(response)["version"]
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
        except NotSentError as error:
            raise PlatformUnreachableError(str(error)) from error
        except HttpError as error:
            raise PlatformReplyError(str(error)) from error


def _row_target(key: str) -> str:
    return f"/v1/rows/{quote(key)}"


def _check(response: HttpResponse) -> None:
    if not 200 <= response.status < 300:
        raise PlatformReplyError(f"the platform answered {response.status}")


def _json_body(response: HttpResponse) -> Any:
    _check(response)
    try:
        return response.json()
    except ValueError as error:
        raise PlatformReplyError(f"the reply is not JSON: {error}") from error
