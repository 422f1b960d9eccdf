"""The sections of the report."""

from collections import Counter

from marigoldpath_core.configuration import Configuration

from ._day import HOURS_PER_DAY, DayRecord, KindDay, wait_percentile_ms
from ._descriptions import (
    advice,
    describe_removal_cause,
    describe_wait_cause,
    format_count,
    format_duration,
)
from ._report import (
    ReportPlot,
    ReportSection,
    ReportTable,
    Series,
    report_section,
)

# If the rate of completed requests of another kind falls below this fraction during a
# flood, the report recommends a higher floor for that kind.
MIN_KEPT_FRACTION = 0.95


@report_section("work")
def _work(record: DayRecord, configuration: Configuration) -> ReportSection:
    done = sum(kind.done for kind in record.kinds)
    refused = sum(kind.refused for kind in record.kinds)
    unknown = sum(kind.unknown for kind in record.kinds)
    summary = [f"{format_count(done, 'request')} ran and {refused:,} were refused."]
    if unknown:
        summary.append(
            f"For {format_count(unknown, 'request')} nobody can say whether they ran: "
            "look at these before you send them again."
        )
    rows = tuple(
        (
            kind.kind,
            kind.submitted,
            kind.done,
            kind.refused,
            kind.unknown,
            kind.cancelled,
            kind.still_waiting,
            kind.still_running,
        )
        for kind in record.kinds
    )
    columns = (
        "kind",
        "asked for",
        "ran",
        "refused",
        "not known",
        "cancelled",
        "still waiting",
        "still running",
    )
    teams = tuple(
        (team.team, team.done, team.refused, round(team.cpu_seconds / 3_600, 1))
        for team in record.teams
    )
    plot = ReportPlot(
        "Requests that ended in each hour",
        "requests",
        tuple(f"{hour:02}" for hour in range(HOURS_PER_DAY)),
        tuple(Series(kind.kind, kind.done_by_hour) for kind in record.kinds),
    )
    return ReportSection(
        "work",
        "What ran",
        tuple(summary),
        (
            ReportTable("By kind of work", columns, rows),
            ReportTable("By team", ("team", "ran", "refused", "core hours"), teams),
        ),
        (plot,),
    )


@report_section("waits")
def _waits(record: DayRecord, configuration: Configuration) -> ReportSection:
    causes = sorted(record.wait_causes, key=lambda cause: -cause.total_ms)
    summary = ["No work had to wait for a noted reason."]
    if causes:
        worst = causes[0]
        summary = [
            f"The most waiting was that of {worst.kind}, because "
            f"{describe_wait_cause(worst.cause)} "
            f"({format_count(worst.requests, 'request')})."
        ]
    waits = tuple(
        (kind.kind, _format_wait(kind, 0.5), _format_wait(kind, 0.99))
        for kind in record.kinds
    )
    reasons = tuple(
        (
            cause.kind,
            describe_wait_cause(cause.cause),
            cause.requests,
            format_duration(cause.total_ms / max(cause.requests, 1)),
        )
        for cause in causes
    )
    return ReportSection(
        "waits",
        "How long work waited, and why",
        tuple(summary),
        (
            ReportTable(
                "Time before the start",
                ("kind", "half started within", "99 of 100 started within"),
                waits,
            ),
            ReportTable(
                "Reasons",
                ("kind", "reason", "requests", "mean wait"),
                reasons,
            ),
        ),
    )


@report_section("refusals")
def _refusals(record: DayRecord, configuration: Configuration) -> ReportSection:
    refusals = sorted(record.refusals, key=lambda refusal: -refusal.requests)
    total = sum(refusal.requests for refusal in refusals)
    summary = ["Nothing was refused."]
    if refusals:
        summary = [
            f"{format_count(total, 'request')} were refused; none of them ran. The "
            "last column says what to change so that they fit."
        ]
    by_advice: Counter[tuple[str, str, str]] = Counter()
    for refusal in refusals:
        by_advice[refusal.kind, refusal.team, advice(refusal)] += refusal.requests
    rows = tuple(
        (kind, team, count, text)
        for (kind, team, text), count in by_advice.most_common()
    )
    table = ReportTable(
        "Refused work", ("kind", "team", "requests", "what to change"), rows
    )
    return ReportSection(
        "refusals", "What was refused, and what to change", tuple(summary), (table,)
    )


@report_section("floods")
def _floods(record: DayRecord, configuration: Configuration) -> ReportSection:
    floors = {kind.name: kind.floor for kind in configuration.kinds}
    summary = ["There was no flood."]
    if record.floods:
        summary = [
            f"{flood.kind} asked for far more than its share from {flood.began_at} "
            f"for {format_count(flood.minutes, 'minute')}."
            for flood in record.floods
        ]
    rows = []
    plots = []
    for flood in record.floods:
        others = [share for share in flood.shares if share.kind != flood.kind]
        for share in others:
            kept = share.done_during / share.done_before if share.done_before else 1.0
            floor = floors.get(share.kind, 0.0)
            rows.append(
                (
                    f"{flood.kind} at {flood.began_at}",
                    share.kind,
                    f"{100 * min(kept, 1.0):.0f}%",
                    f"{100 * floor:.0f}%",
                    "" if kept >= MIN_KEPT_FRACTION else "raise the floor of this kind",
                )
            )
        plots.append(
            ReportPlot(
                f"Requests that ended a minute, flood of {flood.kind} at "
                f"{flood.began_at}",
                "a minute",
                tuple(share.kind for share in others),
                (
                    Series("before", tuple(share.done_before for share in others)),
                    Series("during", tuple(share.done_during for share in others)),
                ),
            )
        )
    columns = ("flood", "other kind", "kept of its work", "floor", "advice")
    return ReportSection(
        "floods",
        "What other work kept during a flood",
        tuple(summary),
        (ReportTable("Shares", columns, tuple(rows)),),
        tuple(plots),
    )


@report_section("hosts")
def _hosts(record: DayRecord, configuration: Configuration) -> ReportSection:
    still_removed = [host for host in record.hosts if not host.back_at]
    summary = ["No host was taken out of service."]
    if record.hosts:
        summary = [
            f"{format_count(len(record.hosts), 'host')} taken out of service, of which "
            f"{len(still_removed):,} still out."
        ]
    rows = tuple(
        (
            host.host,
            host.availability_zone,
            describe_removal_cause(host.cause),
            host.out_at,
            host.back_at or "still out",
            host.failed_tasks,
        )
        for host in record.hosts
    )
    columns = ("host", "zone", "reason", "out at", "back at", "failed tasks")
    return ReportSection(
        "hosts",
        "Hosts taken out of service, and why",
        tuple(summary),
        (ReportTable("Hosts", columns, rows),),
    )


def _format_wait(kind: KindDay, fraction: float) -> str:
    bound = wait_percentile_ms(kind.waits, fraction)
    if bound is None:
        return "none started"
    return "over 1 h" if bound < 0 else format_duration(bound)
