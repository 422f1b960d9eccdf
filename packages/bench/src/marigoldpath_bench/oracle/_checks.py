"""Counts faults in the workers' records; no input or output."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from marigoldpath_core.requests import Size, parse_task_id

CLAIM_PREFIX = "claim:"
LIMITED = tuple(Size._fields)


class Interval(NamedTuple):
    """One run of one task, on the common clock; `end_ms` is None while it runs."""

    worker: str
    task: str
    start_ms: int
    end_ms: int | None
    repeatable: bool
    status: str = ""


class Verdict(NamedTuple):
    """Counts of faults, each with the records that show it.

    `overcommitted` counts starts that left a worker above its capacity,
    `overlapping_runs` the runs of a request that began while another attempt of it,
    or the same task, was running, and `repeated_starts` the starts after the first
    attempt of requests that may run once at most. `overused` counts starts after which
    the real use, which no scheduler knows beforehand, was above the capacity.
    `intervals` holds the runs of each request by `team/zone/id`.
    """

    overcommitted: int
    overlapping_runs: int
    repeated_starts: int
    overused: int
    evidence: tuple[str, ...]
    intervals: dict[str, list[Interval]]

    @property
    def duplicated(self) -> int:
        """Runs that should not have been."""
        return self.overlapping_runs + self.repeated_starts


def judge(records: Iterable[dict[str, Any]]) -> Verdict:
    """Return the counts over all records; those of one worker must be in its order."""
    listed = list(records)
    crowded = _above_capacity(listed, "total", "overcommitted")
    overused = _above_capacity(listed, "used", "overused")
    intervals = _intervals(listed)
    doubled = [fault for runs in intervals.values() for fault in _overlaps(runs)]
    again = [fault for runs in intervals.values() for fault in _started_again(runs)]
    return Verdict(
        len(crowded),
        len(doubled),
        len(again),
        len(overused),
        (*crowded, *doubled, *again, *overused),
        intervals,
    )


def _above_capacity(
    records: list[dict[str, Any]], measure: str, fault: str
) -> list[str]:
    """Return the starts after which a measure of a worker is above its capacity."""
    capacities: dict[str, dict[str, int]] = {}
    faults = []
    for record in records:
        worker = record["worker"]
        if record["event"] == "up":
            capacities[worker] = record["size"]
            continue
        if record["event"] != "started":
            continue
        capacity = capacities[worker]
        above = [
            name for name in LIMITED if record[measure][name] > capacity.get(name, 0)
        ]
        if above:
            faults.append(
                f"{fault}: {worker} by {record['task']} at {record['at_ms']} ms "
                f"in {', '.join(above)}"
            )
    return faults


def _intervals(records: list[dict[str, Any]]) -> dict[str, list[Interval]]:
    """Return the runs of each request; claims are left out."""
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


def _overlaps(runs: list[Interval]) -> list[str]:
    """Return each run that began while one it must not run beside was running."""
    ordered = sorted(runs, key=lambda run: run.start_ms)
    faults = []
    for number, later in enumerate(ordered):
        for earlier in ordered[:number]:
            if _are_members(earlier, later) or not _runs_at(earlier, later.start_ms):
                continue
            faults.append(
                f"twice at once: {later.task} on {later.worker} at {later.start_ms} ms "
                f"while {earlier.task} runs on {earlier.worker}"
            )
            break
    return faults


def _runs_at(run: Interval, at_ms: int) -> bool:
    return run.end_ms is None or run.end_ms > at_ms


def _are_members(one: Interval, other: Interval) -> bool:
    """Return whether two runs are different members of one attempt of a gang."""
    _, attempt, index = parse_task_id(one.task)
    _, other_attempt, other_index = parse_task_id(other.task)
    return attempt == other_attempt and index != other_index


def _started_again(runs: list[Interval]) -> list[str]:
    """Return the starts beyond the first of each task that may run once at most."""
    once = sorted(
        (run for run in runs if not run.repeatable), key=lambda run: run.start_ms
    )
    if not once:
        return []
    first_attempt = parse_task_id(once[0].task)[1]
    seen: set[str] = set()
    faults = []
    for run in once:
        if run.task in seen or parse_task_id(run.task)[1] != first_attempt:
            faults.append(
                f"started again: {run.task} on {run.worker} at {run.start_ms} ms"
            )
        seen.add(run.task)
    return faults


def _request(task: str) -> str:
    return str(parse_task_id(task)[0])
