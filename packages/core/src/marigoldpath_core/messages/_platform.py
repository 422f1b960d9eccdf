"""Types of the platform's table and host list."""

from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.requests import Size

RowValue = dict[str, Any]


class Row(NamedTuple):
    """A row of the table service; `version` changes with every write."""

    key: str
    value: RowValue
    version: int


class HostState(StrEnum):
    """The state of a host in the host list."""

    LIVE = "live"
    LEAVING = "leaving"


class EntryHost(NamedTuple):
    """An entry host in the host list; `address` is `ip:port`."""

    name: str
    availability_zone: str
    address: str
    state: HostState = HostState.LIVE


class WorkerHost(NamedTuple):
    """A worker in the host list, with the capacity of its hardware and service."""

    name: str
    availability_zone: str
    rack: str
    address: str
    capacity: Size
    state: HostState = HostState.LIVE
