"""Fakes of the users' platform, which serve its protocol on the loopback address.

Only this package and `platform/` use the names of the platform's messages.
"""

from ._advice import FakeAdviceService
from ._callers import job_body, parse_job_state
from ._operator import configuration, host_settings
from ._server import FakeServer
from ._store import FakeStore
from ._worker import SimulatedWorkerServer

__all__ = [
    "FakeAdviceService",
    "FakeServer",
    "FakeStore",
    "SimulatedWorkerServer",
    "configuration",
    "host_settings",
    "job_body",
    "parse_job_state",
]
