"""The daily report for planners, as data."""

from . import _sections  # noqa: F401
from ._codec import DayPayload, decode_day, encode_day
from ._counters import DayCounters
from ._day import (
    HOURS_PER_DAY,
    WAIT_BOUNDS_MS,
    WAIT_BUCKET_COUNT,
    DayRecord,
    Flood,
    FloodShare,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
    wait_bucket,
    wait_percentile_ms,
)
from ._descriptions import advice_for
from ._flood_detector import FloodDetector, time_of_day
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
from ._statistics import DailyStatistics

__all__ = [
    "HOURS_PER_DAY",
    "REPORT_SECTIONS",
    "WAIT_BOUNDS_MS",
    "WAIT_BUCKET_COUNT",
    "DailyStatistics",
    "DayCounters",
    "DayPayload",
    "DayRecord",
    "Flood",
    "FloodDetector",
    "FloodShare",
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
    "advice_for",
    "decode_day",
    "encode_day",
    "encode_report",
    "make_report",
    "merge_days",
    "report_section",
    "time_of_day",
    "wait_bucket",
    "wait_percentile_ms",
]
