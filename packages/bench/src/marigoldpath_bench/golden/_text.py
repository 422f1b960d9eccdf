"""Format a session as text, which the golden files hold."""

import io
from collections.abc import Iterator
from datetime import UTC, datetime

from marigoldpath_bench.zone_simulation import Call
from marigoldpath_cli._render import render
from marigoldpath_cli._report import REPORT_FORMATS
from marigoldpath_core.configuration import Configuration
from marigoldpath_core.report import DayRecord, make_report
from marigoldpath_core.requests import Outcome, Size

from ._session import Session


def session_text(session: Session) -> str:
    """Return the text of a session: sheet, events, requests and daily reports."""
    lines = [
        f"A day of {session.deployment.service} in {session.simulation.zone} "
        f"({session.deployment.region}), times in UTC",
        "",
        *_sheet_lines(session.configuration),
        "",
        "What happened",
        *(f"  {_time(note.at_ms)}  {note.text}" for note in session.notes),
        "",
        "Requests",
    ]
    for call in session.callers.calls:
        lines.extend(_call_lines(session, call))
    for number, record in enumerate(session.records, 1):
        lines.extend(["", f"Report {number} of {len(session.records)}", ""])
        lines.extend(_report_lines(record, session.configuration))
    return "".join(f"{line.rstrip()}\n" for line in lines)


def _sheet_lines(configuration: Configuration) -> Iterator[str]:
    yield f"Sheet version {configuration.version}"
    for kind in configuration.kinds:
        standing = ", standing" if kind.standing else ""
        yield (
            f"  kind {kind.name}: priority {kind.priority}, weight {kind.weight}, "
            f"floor {kind.floor:g}, ceiling {kind.ceiling:g}, queue limit "
            f"{kind.queue_limit}{standing}"
        )
    for quota in configuration.quotas:
        yield f"  team {quota.team}: weight {quota.weight}, {_size(quota.limit)}"
    for request in configuration.standing:
        yield f"  work {request.key}: {request.kind}, tasks {request.tasks}"


def _call_lines(session: Session, call: Call) -> Iterator[str]:
    request = call.request
    once = "" if request.repeatable else ", not repeatable"
    tasks = f", {request.tasks} tasks at once" if request.tasks > 1 else ""
    yield ""
    yield f"  {request.key}"
    yield f"    {request.kind}, {_size(request.size)}{tasks}{once}"
    yield f"    {_time(call.submitted_ms[0])}  asked"
    last = None
    for received in call.received:
        if received.outcome != last:
            yield f"    {_time(received.at_ms)}  told {_outcome(received.outcome)}"
        last = received.outcome
    for leader_state in session.last_states(request.key.id):
        yield f"    history at {leader_state.host}, {leader_state.state['state']}:"
        for entry in leader_state.state["history"]:
            reason = f": {entry['reason']}" if entry["reason"] else ""
            yield f"      {_time(entry['at_ms'])}  {entry['event']}{reason}"


def _outcome(outcome: Outcome) -> str:
    text = str(outcome.kind)
    if outcome.code:
        text += f" ({outcome.code})"
    if outcome.message:
        text += f": {outcome.message}"
    if outcome.answer is not None:
        text += f": {outcome.answer.text!r}"
    return text


def _report_lines(record: DayRecord, configuration: Configuration) -> list[str]:
    view = REPORT_FORMATS.get("text")(make_report(record, configuration))
    stream = io.StringIO()
    render(view, False, stream)
    return stream.getvalue().splitlines()


def _size(size: Size) -> str:
    accelerators = f", {size.accelerators} accelerators" if size.accelerators else ""
    return (
        f"{size.cpu_millis / 1_000:g} cores, {size.memory_mb / 1_000:g} GB, "
        f"{size.slots} slots, {size.connections} connections{accelerators}"
    )


def _time(at_ms: int) -> str:
    at = datetime.fromtimestamp(at_ms / 1_000, tz=UTC)
    return at.strftime("%H:%M:%S.%f")[:-3]
