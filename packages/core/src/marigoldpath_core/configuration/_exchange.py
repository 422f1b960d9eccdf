"""Events that the configuration manager handles, and the effects it returns."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from result import Result

from marigoldpath_core.messages import Effect, Event

from ._model import Configuration
from ._record import VersionRecord

SheetReader = Callable[[str, int], Result[Configuration, list[Any]]]


class ApplyRequested(NamedTuple):
    """An operator requests that a sheet replaces version `base_version`.

    `call` identifies the request in its reply, and `text` is the sheet.
    """

    call: int
    base_version: int
    author: str
    applied_at: str
    text: str


class PeerRecordReceived(NamedTuple):
    """A peer has sent a version that the row holds or has held."""

    record: VersionRecord


class ApplyStatus(StrEnum):
    """The status of an apply.

    `unknown` means that the change may have taken effect or may still do so.
    """

    APPLIED = "applied"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ApplyOutcome(NamedTuple):
    """The outcome of an apply.

    `version` and `author` are those of the applied version, or of the version that
    caused the refusal; without either, they are 0 and empty. `changes` are the changes
    of a concurrent operator, and `faults` the problems of the sheet.
    """

    status: ApplyStatus
    code: str
    message: str
    version: int = 0
    author: str = ""
    changes: tuple[str, ...] = ()
    faults: tuple[Any, ...] = ()


class ReplyToApply(NamedTuple):
    """Send the outcome of an apply to the operator."""

    call: int
    outcome: ApplyOutcome


class ConfigurationChanged(NamedTuple):
    """Replace the active configuration of this host by a higher version."""

    configuration: Configuration
    record: VersionRecord


class SendToPeers(NamedTuple):
    """Send a version to peers, since the platform may be unreachable for them."""

    record: VersionRecord


ConfigurationEvent = Event | ApplyRequested | PeerRecordReceived
ConfigurationEffect = Effect | ReplyToApply | ConfigurationChanged | SendToPeers
