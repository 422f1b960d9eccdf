"""Owns the core object and drives it with events and time."""

from ._clock import clock_ms
from ._directory import HostDirectory
from ._poller import WorkerPolls
from ._runtime import Runtime
from ._scheduler import Scheduler

__all__ = ["HostDirectory", "Runtime", "Scheduler", "WorkerPolls", "clock_ms"]
