"""Stand-ins of the users' platform, which speak its protocol on the loopback address.

They are the only code outside `platform/` that knows the names of its messages.
"""

from ._advice import AdviceStandIn
from ._callers import job_body, told_state
from ._operator import configuration, host_settings
from ._server import StandInServer
from ._store import StoreStandIn
from ._worker import WorkerStandIn

__all__ = [
    "AdviceStandIn",
    "StandInServer",
    "StoreStandIn",
    "WorkerStandIn",
    "configuration",
    "host_settings",
    "job_body",
    "told_state",
]
