"""The daemon `marigoldpathd`."""

from ._daemon import Daemon
from ._main import main, run_until_stopped
from ._signals import StopSignals

__all__ = ["Daemon", "StopSignals", "main", "run_until_stopped"]
