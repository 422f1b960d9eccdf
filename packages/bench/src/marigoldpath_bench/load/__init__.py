"""Open-loop load: send a trace to the entry hosts and tally the outcomes."""

from ._call import Call, CallOutcome, CallResult, Step, StepKind
from ._client import CANCELLATION_CONFIRMED, LoadClient, LoadSettings, load_settings
from ._tally import KindTally, tally_by_kind

__all__ = [
    "CANCELLATION_CONFIRMED",
    "Call",
    "CallOutcome",
    "CallResult",
    "KindTally",
    "LoadClient",
    "LoadSettings",
    "Step",
    "StepKind",
    "load_settings",
    "tally_by_kind",
]
