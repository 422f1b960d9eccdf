"""Count violations in the workers' records; no input or output."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from marigoldpath_core.requests import Size, parse_task_id

CLAIM_PREFIX = "claim:"
LIMITED_RESOURCES = tuple(Size._fields)


class Interval(NamedTuple):
    """One run of a task, on the common clock; `end_ms` is None while it runs."""

    worker: str
    task: str
    start_ms: int
    end_ms: int | None
    repeatable: bool
    status: str = ""


class Verdict(NamedTuple):
    """Counts of violations, with a line of `evidence` for each.

    `overcommitted` counts the starts that left a worker above its capacity.
    `overlapping_runs` counts the runs of a request that began while another attempt of
    the request, or the same task, was running. `repeated_starts` counts the starts
    after the first attempt of requests that may run at most once. `overused` counts the
    starts after which the measured use, which no scheduler knows beforehand, exceeded
    the capacity. `intervals` holds the runs of each request by `team/zone/id`.
    """

    overcommitted: int
    overlapping_runs: int
    repeated_starts: int
    overused: int
    evidence: tuple[str, ...]
    intervals: dict[str, list[Interval]]

    @property
    def duplicated(self) -> int:
        """The number of overlapping runs and repeated starts."""
        return self.overlapping_runs + self.repeated_starts


def judge(records: Iterable[dict[str, Any]]) -> Verdict:
    """Return the verdict on all records; each worker's records must be in order."""
    all_records = list(records)
    overcommitted = _starts_above_capacity(all_records, "total", "overcommitted")
    overused = _starts_above_capacity(all_records, "used", "overused")
    intervals = _intervals(all_records)
    overlapping = [
        violation
        for runs in intervals.values()
        for violation in _overlapping_runs(runs)
    ]
    repeated = [
        violation for runs in intervals.values() for violation in _repeated_starts(runs)
    ]
    return Verdict(
        len(overcommitted),
        len(overlapping),
        len(repeated),
        len(overused),
        (*overcommitted, *overlapping, *repeated, *overused),
        intervals,
    )


def _starts_above_capacity(
    records: list[dict[str, Any]], measure: str, violation: str
) -> list[str]:
    """Return a line for each start after which a worker's measure exceeds capacity."""
    capacities: dict[str, dict[str, int]] = {}
    violations = []
    for record in records:
        worker = record["worker"]
        if record["event"] == "up":
            capacities[worker] = record["size"]
            continue
        if record["event"] != "started":
            continue
        capacity = capacities[worker]
        exceeded = [
            name
            for name in LIMITED_RESOURCES
            if record[measure][name] > capacity.get(name, 0)
        ]
        if exceeded:
            violations.append(
                f"{violation}: {worker} by {record['task']} at {record['at_ms']} ms "
                f"in {', '.join(exceeded)}"
            )
    return violations


def _intervals(records: list[dict[str, Any]]) -> dict[str, list[Interval]]:
    """Return the runs of each request; leadership claims are skipped."""
    open_runs: dict[tuple[str, int], Interval] = {}
    runs: dict[str, list[Interval]] = {}
    for record in records:
        task, event, worker = record["task"], record["event"], record["worker"]
        if event == "up":
            continue
        if task.startswith(CLAIM_PREFIX):
            continue
        if event == "started":
            open_runs[worker, record["run"]] = Interval(
                worker, task, record["at_ms"], None, record["repeatable"]
            )
        elif event == "ended":
            run = open_runs.pop((worker, record["run"]))
            ended = run._replace(end_ms=record["at_ms"], status=record["status"])
            runs.setdefault(_request(task), []).append(ended)
    for run in open_runs.values():
        runs.setdefault(_request(run.task), []).append(run)
    return runs


def _overlapping_runs(runs: list[Interval]) -> list[str]:
    """Return a line for each run that began while a conflicting run was running."""
    ordered = sorted(runs, key=lambda run: run.start_ms)
    violations = []
    for number, later in enumerate(ordered):
        for earlier in ordered[:number]:
            if _are_gang_members(earlier, later) or not _runs_at(
                earlier, later.start_ms
            ):
                continue
            violations.append(
                f"twice at once: {later.task} on {later.worker} at {later.start_ms} ms "
                f"while {earlier.task} runs on {earlier.worker}"
            )
            break
    return violations


def _runs_at(run: Interval, at_ms: int) -> bool:
    return run.end_ms is None or run.end_ms > at_ms


def _are_gang_members(one: Interval, other: Interval) -> bool:
    """Return whether two runs are different members of one attempt of a gang."""
    _, attempt, index = parse_task_id(one.task)
    _, other_attempt, other_index = parse_task_id(other.task)
    return attempt == other_attempt and index != other_index


def _repeated_starts(runs: list[Interval]) -> list[str]:
    """Return a line for each repeated start of a task that may run at most once."""
    once = sorted(
        (run for run in runs if not run.repeatable), key=lambda run: run.start_ms
    )
    if not once:
        return []
    first_attempt = parse_task_id(once[0].task)[1]
    seen: set[str] = set()
    violations = []
    for run in once:
        if run.task in seen or parse_task_id(run.task)[1] != first_attempt:
            violations.append(
                f"started again: {run.task} on {run.worker} at {run.start_ms} ms"
            )
        seen.add(run.task)
    return violations


def _request(task: str) -> str:
    return str(parse_task_id(task)[0])
