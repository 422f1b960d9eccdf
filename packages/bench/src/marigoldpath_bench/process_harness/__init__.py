"""Test harness: a running fleet under load and faults, checked by worker records."""

from ._calls import (
    simple_request,
    submit,
    submit_invalid_requests,
    submit_to_every_host,
)
from ._run import SHARED_HARNESS, Load, ProcessHarness, Reply, format_json

__all__ = [
    "SHARED_HARNESS",
    "Load",
    "ProcessHarness",
    "Reply",
    "format_json",
    "simple_request",
    "submit",
    "submit_invalid_requests",
    "submit_to_every_host",
]
