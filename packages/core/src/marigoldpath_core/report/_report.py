"""The data types of the report, and a registry of functions that make sections."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.registry import Registry

from ._day import DayRecord

Cell = str | int | float


class ReportTable(NamedTuple):
    """A table; each row has one cell for each column."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]


class Series(NamedTuple):
    """One set of bars in a plot, with one value per label."""

    name: str
    values: tuple[float, ...]


class ReportPlot(NamedTuple):
    """A bar plot; each series has one value for each label."""

    title: str
    unit: str
    labels: tuple[str, ...]
    series: tuple[Series, ...]


class ReportSection(NamedTuple):
    """One section of the report; `summary` describes its data in sentences."""

    name: str
    title: str
    summary: tuple[str, ...]
    tables: tuple[ReportTable, ...] = ()
    plots: tuple[ReportPlot, ...] = ()


class Report(NamedTuple):
    """The report of one day."""

    title: str
    day: str
    sections: tuple[ReportSection, ...]


SectionBuilder = Callable[[DayRecord, Configuration], ReportSection]
REPORT_SECTIONS: Registry[str, SectionBuilder] = Registry("report section")
report_section = REPORT_SECTIONS.register


def make_report(record: DayRecord, configuration: Configuration) -> Report:
    """Return the report of a day under the active configuration."""
    zones = ", ".join(record.availability_zones)
    return Report(
        f"Work of {record.day} (UTC) in {zones}",
        record.day,
        tuple(REPORT_SECTIONS.get(n)(record, configuration) for n in REPORT_SECTIONS),
    )


def encode_report(report: Report) -> dict[str, Any]:
    """Convert a report to JSON."""
    return {
        "title": report.title,
        "day": report.day,
        "sections": [_encode_section(section) for section in report.sections],
    }


def _encode_section(section: ReportSection) -> dict[str, Any]:
    return {
        "name": section.name,
        "title": section.title,
        "summary": list(section.summary),
        "tables": [table._asdict() for table in section.tables],
        "plots": [
            {**plot._asdict(), "series": [series._asdict() for series in plot.series]}
            for plot in section.plots
        ],
    }
