"""Events into the configuration keeper and effects out of it."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from marigoldpath_core.messages import Effect, Event

from ._model import Configuration
from ._record import VersionRecord

SheetReader = Callable[[str, int], Result[Configuration, list[Any]]]


class ApplyRequested(NamedTuple):
    """An operator wants a sheet in force in place of version `base_version`."""

    call: int
    base_version: int
    author: str
    applied_at: str
    text: str


class PeerRecordReceived(NamedTuple):
    """A peer passes on a version that the row is known to hold or to have held."""

    record: VersionRecord


class ApplyStatus(StrEnum):
    """What became of an apply; `unknown` means that it may still take effect."""

    APPLIED = "applied"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ApplyOutcome(NamedTuple):
    """The end of an apply; `version` and `author` are those that the row holds.

    `changes` are what a racing operator changed and `faults` those of the sheet.
    """

    status: ApplyStatus
    code: str
    message: str
    version: int = 0
    author: str = ""
    changes: tuple[str, ...] = ()
    faults: tuple[Any, ...] = ()


class ReplyToApply(NamedTuple):
    """Tell the operator that waits what became of an apply."""

    call: int
    outcome: ApplyOutcome


class ConfigurationChanged(NamedTuple):
    """A higher version is in force on this host."""

    configuration: Configuration
    record: VersionRecord


class SendToPeers(NamedTuple):
    """Pass a version on to peers, which may be cut off from the platform."""

    record: VersionRecord


ConfigurationEvent = Event | ApplyRequested | PeerRecordReceived
ConfigurationEffect = Effect | ReplyToApply | ConfigurationChanged | SendToPeers
