"""Drives this host's scheduler with events and ticks."""

from ._clock import clock_ms
from ._directory import HostDirectory
from ._poller import WorkerPoller
from ._runtime import Runtime
from ._scheduler import Scheduler

__all__ = ["HostDirectory", "Runtime", "Scheduler", "WorkerPoller", "clock_ms"]
