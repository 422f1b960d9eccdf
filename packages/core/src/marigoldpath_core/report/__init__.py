"""The day's report as data, for planners."""

from . import _sections  # noqa: F401
from ._book import DailyStatistics
from ._codec import DayPayload, decode_day, encode_day
from ._counters import DayCounters
from ._day import (
    HOURS,
    WAIT_BOUNDS_MS,
    WAIT_CLASSES,
    DayRecord,
    Flood,
    FloodShare,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
    wait_at,
    wait_class,
)
from ._flood_watch import FloodWatch, time_of_day
from ._merge import merge_days
from ._report import (
    REPORT_SECTIONS,
    Report,
    ReportPlot,
    ReportSection,
    ReportTable,
    Series,
    encode_report,
    make_report,
    report_section,
)
from ._words import advises

__all__ = [
    "HOURS",
    "REPORT_SECTIONS",
    "WAIT_BOUNDS_MS",
    "WAIT_CLASSES",
    "DailyStatistics",
    "DayCounters",
    "DayPayload",
    "DayRecord",
    "Flood",
    "FloodShare",
    "FloodWatch",
    "HostRemoval",
    "KindDay",
    "Refusal",
    "Report",
    "ReportPlot",
    "ReportSection",
    "ReportTable",
    "Series",
    "TeamDay",
    "WaitCause",
    "advises",
    "decode_day",
    "encode_day",
    "encode_report",
    "make_report",
    "merge_days",
    "report_section",
    "time_of_day",
    "wait_at",
    "wait_class",
]
