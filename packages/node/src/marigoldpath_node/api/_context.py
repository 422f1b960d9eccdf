"""The services that route handlers use."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from marigoldpath_core.settings import DaemonSettings

from ..configuration import ConfigurationService
from ..observability import Telemetry
from ..peers import (
    DayRecordCollector,
    Forwarder,
    LeaderDirectory,
    PeerRequestHandler,
    PendingCalls,
)
from ..runtime import Runtime


class ApiContext(NamedTuple):
    """The services of the daemon.

    `drain` starts a graceful stop and leaves the process running. `traffic` returns
    the number of bytes sent and received.
    """

    settings: DaemonSettings
    runtime: Runtime
    forwarder: Forwarder
    leaders: LeaderDirectory
    calls: PendingCalls
    peer_requests: PeerRequestHandler
    telemetry: Telemetry
    configuration: ConfigurationService
    reports: DayRecordCollector
    drain: Callable[[], Awaitable[None]]
    traffic: Callable[[], dict[str, int]]
