"""The command that shows the daily report."""

from collections.abc import Callable
from typing import Any

from marigoldpath_core.configuration import Configuration, decode_configuration
from marigoldpath_core.registry import Registry
from marigoldpath_core.report import (
    DayRecord,
    Report,
    decode_day,
    encode_report,
    make_report,
    merge_days,
)

from ._client import EntryClient, object_list
from ._errors import CommandError
from ._exit_codes import ExitCode
from ._files import write_file
from ._html import report_page
from ._view import Block, Document, Fields, Lines, Table, View

ReportFormat = Callable[[Report], View]
REPORT_FORMATS: Registry[str, ReportFormat] = Registry("report format")
report_format = REPORT_FORMATS.register


async def show_report(client: EntryClient, format_name: str, output: str) -> View:
    """Return the daily report in a registered format, or write it to `output`."""
    if format_name not in REPORT_FORMATS:
        known = ", ".join(REPORT_FORMATS)
        message = f"format {format_name!r} must be one of {known}"
        raise CommandError(ExitCode.WRONG_USE, message)
    payload = await client.call("GET", "/v1/report?zones=1")
    report = make_report(*_decode(payload))
    view = REPORT_FORMATS.get(format_name)(report)
    missing = tuple(_missing_line(zone) for zone in object_list(payload, "unreachable"))
    if not output:
        return _with_missing(view, missing)
    document = next((b for b in view.blocks if isinstance(b, Document)), None)
    if document is None:
        raise CommandError(ExitCode.WRONG_USE, "only html can go to a file")
    write_file(output, document.text)
    return View({"file": output}, (Lines((f"written to {output}", *missing)),))


def _missing_line(zone: dict[str, Any]) -> str:
    return f"zone {zone.get('availability_zone')} is missing: {zone.get('reason')}"


def _with_missing(view: View, missing: tuple[str, ...]) -> View:
    """Return the view with notes on the zones that are missing from the report."""
    payload = {**view.payload, "missing": list(missing)}
    if not missing or any(isinstance(b, Document) for b in view.blocks):
        return View(payload, view.blocks)
    return View(payload, (Lines(missing), *view.blocks))


@report_format("text")
def _text(report: Report) -> View:
    blocks: list[Block] = [Lines((report.title,))]
    for section in report.sections:
        blocks.append(Fields(f"\n{section.title}", {}))
        blocks.append(Lines(section.summary))
        blocks.extend(
            Table(table.title, table.columns, table.rows)
            for table in section.tables
            if table.rows
        )
    return View(encode_report(report), tuple(blocks))


@report_format("html")
def _html(report: Report) -> View:
    return View(encode_report(report), (Document(report_page(report)),))


def _decode(payload: dict[str, Any]) -> tuple[DayRecord, Configuration]:
    days = [decode_day(day) for day in payload.get("days", [])]
    errors = [day.unwrap_err() for day in days if day.is_err()]
    if errors:
        raise CommandError(ExitCode.FAILED, f"the report cannot be read: {errors[0]}")
    if not days:
        raise CommandError(ExitCode.NOT_FOUND, "no zone has a record of the day yet")
    configuration = decode_configuration(payload.get("configuration"))
    if configuration.is_err():
        message = f"the report cannot be read: {configuration.unwrap_err()}"
        raise CommandError(ExitCode.FAILED, message)
    return merge_days(day.unwrap() for day in days), configuration.unwrap()
