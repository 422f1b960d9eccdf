"""Open-loop load: sends a trace to the entry hosts and tallies what came back."""

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
