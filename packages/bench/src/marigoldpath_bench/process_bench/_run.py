"""Benchmark runs of a deployment: plans, running fleets and the workers' records."""

import json
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import curio

from marigoldpath_bench.deployment import (
    Deployment,
    ProcessPlan,
    RunPlan,
    count_ports,
    plan_run,
)
from marigoldpath_bench.fleet import Fleet, free_base_port
from marigoldpath_core.requests import parse_task_id

from ._model import BenchSettings

READY_S = 40.0


class TaskRecord(NamedTuple):
    """The start or termination of a task in a worker's records, on the shared clock."""

    request: str
    worker: str
    event: str
    at_ms: int


def plan_benchmark_run(
    deployment: Deployment, settings: BenchSettings, name: str, per_process: int
) -> RunPlan:
    """Return a run with at most `per_process` fake workers in each process."""
    port = free_base_port(count_ports(deployment), settings.seed)
    whole = plan_run(deployment, port, settings.folder / name)
    return whole._replace(workers=split_workers(whole.workers, per_process))


def split_workers(
    processes: Iterable[ProcessPlan], per_process: int
) -> tuple[ProcessPlan, ...]:
    """Split processes into ones of at most `per_process` workers.

    Each process has its own record file, as concurrent appends would mix records.
    """
    parts = []
    for process in processes:
        workers = process.settings["workers"]
        record = Path(process.settings["record"])
        for number, first in enumerate(range(0, len(workers), per_process)):
            name = f"{process.name}-{number}"
            parts.append(
                process._replace(
                    name=name,
                    settings={
                        **process.settings,
                        "record": str(record.with_name(f"{name}.records.jsonl")),
                        "workers": workers[first : first + per_process],
                    },
                )
            )
    return tuple(parts)


@asynccontextmanager
async def running_fleet(run: RunPlan, settings: BenchSettings) -> AsyncIterator[Fleet]:
    """Start a fleet, yield it and stop it at the end of the block."""
    with Fleet(run, settings.daemon_python) as fleet:
        await fleet.start(READY_S)
        # Leaders may still claim their last workers when all zones are served.
        await curio.sleep(1.0)
        yield fleet
        await fleet.close()


def read_task_records(run: RunPlan) -> list[TaskRecord]:
    """Return the starts and terminations of requests' tasks, sorted by time."""
    records = []
    for path in run.record_paths:
        for line in path.read_text().splitlines():
            payload = json.loads(line)
            if payload["event"] not in ("started", "ended"):
                continue
            request = request_name(payload["task"])
            if request:
                records.append(
                    TaskRecord(
                        request,
                        payload["worker"],
                        payload["event"],
                        payload["at_ms"],
                    )
                )
    return sorted(records, key=lambda each: each.at_ms)


def request_name(task: str) -> str:
    """Return `team/zone/id` of a task, or an empty string for a claim."""
    try:
        key, _, _ = parse_task_id(task)
    except ValueError:
        return ""
    return f"{key.team}/{key.availability_zone}/{key.id}"


def count_starts(runs: Iterable[TaskRecord], begin_ms: int, end_ms: int) -> int:
    """Return the number of starts from `begin_ms` until before `end_ms`."""
    return sum(
        1
        for each in runs
        if each.event == "started" and begin_ms <= each.at_ms < end_ms
    )
