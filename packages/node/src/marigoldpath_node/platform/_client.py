"""The interface of platform clients and their registry."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from marigoldpath_core.messages import (
    EntryHost,
    Row,
    RowValue,
    WorkerHost,
    WriteStatus,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient


class WriteReply(NamedTuple):
    """The result of a write; `version` is set if the status is WRITTEN."""

    status: WriteStatus
    version: int = 0


class Hosts(NamedTuple):
    """The platform's list of workers and entry hosts."""

    workers: tuple[WorkerHost, ...]
    entry_hosts: tuple[EntryHost, ...]


class PlatformClient(Protocol):
    """Client of the platform.

    Reads raise PlatformError. A write whose result is not known returns the status
    UNKNOWN.
    """

    async def read_row(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""

    async def read_rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows whose keys start with `prefix`."""

    async def write_row(self, key: str, value: RowValue, version: int) -> WriteReply:
        """Replace a row if its version is still `version`."""

    async def create_row(self, key: str, value: RowValue) -> WriteReply:
        """Create a row if it does not exist."""

    async def read_object(self, key: str) -> RowValue | None:
        """Return an object, or None if it does not exist."""

    async def put_object(self, key: str, value: RowValue) -> WriteReply:
        """Write an object."""

    async def hosts(self) -> Hosts:
        """Return the host list."""


PlatformFactory = Callable[[DaemonSettings, HttpClient], PlatformClient]

PLATFORM_CLIENTS: Registry[str, PlatformFactory] = Registry("platform client")
platform_client = PLATFORM_CLIENTS.register
