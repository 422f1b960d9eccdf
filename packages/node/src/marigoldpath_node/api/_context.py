"""What the handlers of routes may use."""

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
    """The parts of the daemon.

    `drain` begins a graceful stop without ending; `traffic` returns counts of bytes.
    """

    settings: DaemonSettings
    runtime: Runtime
    forwarder: Forwarder
    leaders: LeaderDirectory
    calls: PendingCalls
    inbox: PeerRequestHandler
    telemetry: Telemetry
    configuration: ConfigurationService
    reports: DayRecordCollector
    drain: Callable[[], Awaitable[None]]
    traffic: Callable[[], dict[str, int]]
