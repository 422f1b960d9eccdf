"""A running fleet under load, with faults, judged by the workers' records."""

from ._calls import send_everywhere, send_faulty, simple_request, submit
from ._run import SHARED, Load, ProcessRun, Reply, show

__all__ = [
    "SHARED",
    "Load",
    "ProcessRun",
    "Reply",
    "send_everywhere",
    "send_faulty",
    "show",
    "simple_request",
    "submit",
]
