"""Demonstration: replays a trace, kills a zone leader and counts the outcomes."""

from ._run import DemoSettings, run_demo
from ._summary import Summary, summarise

__all__ = ["DemoSettings", "Summary", "run_demo", "summarise"]
