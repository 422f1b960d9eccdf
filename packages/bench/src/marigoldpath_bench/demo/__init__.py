"""The demonstration: a trace, the loss of a zone leader, and the count after it."""

from ._run import DemoSettings, run_demo
from ._summary import Summary, summarise

__all__ = ["DemoSettings", "Summary", "run_demo", "summarise"]
