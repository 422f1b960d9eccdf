"""Runs of a deployment for measuring: fleets, shares of processor and records."""

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
    """The start or the end of a task in a worker's records, on the shared clock."""

    request: str
    worker: str
    event: str
    at_ms: int


def plan_benchmark_run(
    deployment: Deployment, settings: BenchSettings, name: str, per_process: int
) -> RunPlan:
    """Return a run whose worker stand-ins are spread over more processes."""
    port = free_base_port(count_ports(deployment), settings.seed)
    whole = plan_run(deployment, port, settings.folder / name)
    return whole._replace(workers=split_workers(whole.workers, per_process))


def split_workers(
    processes: Iterable[ProcessPlan], per_process: int
) -> tuple[ProcessPlan, ...]:
    """Return processes of at most `per_process` workers, each with its own record."""
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
    """Run a fleet until the end of the block."""
    with Fleet(run, settings.daemon_python) as fleet:
        await fleet.start(READY_S)
        # Claims on the last workers settle after the first zones are served.
        await curio.sleep(1.0)
        yield fleet
        await fleet.close()


def read_task_records(run: RunPlan) -> list[TaskRecord]:
    """Return the starts and ends of requests' tasks in the order of time."""
    found = []
    for path in run.record_paths:
        for line in path.read_text().splitlines():
            payload = json.loads(line)
            if payload["event"] not in ("started", "ended"):
                continue
            request = request_name(payload["task"])
            if request:
                found.append(
                    TaskRecord(
                        request,
                        payload["worker"],
                        payload["event"],
                        payload["at_ms"],
                    )
                )
    return sorted(found, key=lambda each: each.at_ms)


def request_name(task: str) -> str:
    """Return `team/zone/id` of a task, empty for a claim."""
    try:
        key, _, _ = parse_task_id(task)
    except ValueError:
        return ""
    return f"{key.team}/{key.availability_zone}/{key.id}"


def count_starts(runs: Iterable[TaskRecord], begin_ms: int, end_ms: int) -> int:
    """Return the number of starts in a span of time."""
    return sum(
        1
        for each in runs
        if each.event == "started" and begin_ms <= each.at_ms < end_ms
    )
