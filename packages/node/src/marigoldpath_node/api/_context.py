"""What the handlers of routes may use."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from marigoldpath_core.settings import DaemonSettings

from ..configuration import ConfigurationService
from ..observability import Observer
from ..peers import CallTable, DayReports, Forwarder, Leaders, PeerInbox
from ..runtime import Runtime


class ApiContext(NamedTuple):
    """The parts of the daemon.

    `drain` begins a graceful stop without ending; `traffic` returns counts of bytes.
    """

    settings: DaemonSettings
    runtime: Runtime
    forwarder: Forwarder
    leaders: Leaders
    calls: CallTable
    inbox: PeerInbox
    observer: Observer
    configuration: ConfigurationService
    reports: DayReports
    drain: Callable[[], Awaitable[None]]
    traffic: Callable[[], dict[str, int]]
