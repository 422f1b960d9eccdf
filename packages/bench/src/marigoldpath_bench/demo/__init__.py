"""The demonstration: a trace, the loss of a zone leader, and the count after it."""

from ._judge import Summary, summarise
from ._run import DemoSettings, run_demo

__all__ = ["DemoSettings", "Summary", "run_demo", "summarise"]
