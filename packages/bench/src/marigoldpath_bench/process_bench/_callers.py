"""Start caller processes and collect their results."""

import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

import curio

from marigoldpath_bench.deployment import REPOSITORY_ROOT, Deployment
from marigoldpath_bench.fleet import Fleet, ManagedProcess
from marigoldpath_bench.server import now_ms

from ._stats import ProcessorTimes, fleet_pids, processor_times

# Time for the caller processes to import their modules before the load starts.
START_DELAY_MS = 900
EXIT_TIMEOUT_S = 12.0
PACKAGES = ("core", "node", "cli", "bench")


class CompletedCall(NamedTuple):
    """One request: the time at which it was due, its reply and the reply's time."""

    name: str
    kind: str
    due_ms: int
    reply_ms: int
    status: int
    run_ms: int


class Load(NamedTuple):
    """Load of one caller process: an open loop if `rate` is set, else a closed loop.

    A closed loop has `concurrency` requests in flight. `max_requests` limits its
    number of requests; 0 means no limit. `rate` is in requests per second.
    """

    targets: list[dict[str, str]]
    kinds: list[dict[str, Any]]
    concurrency: int = 0
    rate: float = 0.0
    max_requests: int = 0


class LoadResult(NamedTuple):
    """The requests and the processor seconds of the measured interval."""

    calls: list[CompletedCall]
    begin_ms: int
    end_ms: int
    cpu_s: dict[str, float]
    machine_busy_s: float

    @property
    def seconds(self) -> float:
        """The duration of the measured interval."""
        return (self.end_ms - self.begin_ms) / 1_000

    def max_cpu_percent(self, prefix: str) -> float:
        """Return the maximum CPU use, in percent of a core, of the named processes."""
        shares = [
            cpu_s / self.seconds
            for name, cpu_s in self.cpu_s.items()
            if name.startswith(prefix)
        ]
        return 100 * max(shares, default=0.0)


class CallerRun:
    """Run of concurrent loads, measured after a warm-up."""

    def __init__(self, fleet: Fleet, name: str, seed: int) -> None:
        self._fleet = fleet
        self._name = name
        self._seed = seed

    async def run(
        self, loads: list[Load], warmup_s: float, measurement_s: float
    ) -> LoadResult:
        """Run the loads and return the requests after the first `warmup_s` seconds."""
        begin_ms = now_ms() + START_DELAY_MS
        end_ms = begin_ms + int(1_000 * (warmup_s + measurement_s))
        processes = []
        try:
            for number, load in enumerate(loads):
                processes.append(self._start(number, load, begin_ms, end_ms))
            pids = fleet_pids(self._fleet)
            pids.update((process.name, process.pid) for process in processes)
            measured_ms = begin_ms + int(1_000 * warmup_s)
            await curio.sleep((measured_ms - now_ms()) / 1_000)
            before = processor_times(pids)
            await curio.sleep((end_ms - now_ms()) / 1_000)
            after = processor_times(pids)
            for process in processes:
                await process.wait(EXIT_TIMEOUT_S)
        finally:
            for process in processes:
                process.stop(0)
        calls = [call for number in range(len(loads)) for call in self._read(number)]
        return _result(calls, (measured_ms, end_ms), before, after)

    def _start(
        self, number: int, load: Load, begin_ms: int, end_ms: int
    ) -> ManagedProcess:
        name = f"caller-{number}"
        settings: dict[str, Any] = {
            "name": f"{self._name}-{number}",
            "seed": self._seed,
            "targets": load.targets,
            "kinds": load.kinds,
            "begin_ms": begin_ms,
            "end_ms": end_ms,
            "output": str(self._output(number)),
        }
        if load.rate:
            settings["rate"] = load.rate
        else:
            settings["concurrency"] = load.concurrency
            settings["most"] = load.max_requests
        path = self._output(number).with_suffix(".json")
        path.write_text(json.dumps(settings))
        return ManagedProcess(
            name,
            [
                sys.executable,
                "-m",
                "marigoldpath_bench.process_bench.caller",
                str(path),
            ],
            path.with_suffix(".log"),
            ":".join(
                str(REPOSITORY_ROOT / "packages" / part / "src") for part in PACKAGES
            ),
        )

    def _output(self, number: int) -> Path:
        return self._fleet.plan.folder / f"calls-{self._name}-{number}.jsonl"

    def _read(self, number: int) -> list[CompletedCall]:
        path = self._output(number)
        if not path.exists():
            return []
        return [
            CompletedCall(**json.loads(line)) for line in path.read_text().splitlines()
        ]


def targets(
    deployment: Deployment, addresses: list[str], in_zone: bool
) -> list[dict[str, str]]:
    """Return every pair of an entry host and a zone that requests name.

    With `in_zone`, return only the pairs of an entry host and its own zone.
    """
    pairs = zip(deployment.entry_hosts, addresses)
    return [
        {"address": address, "availability_zone": zone}
        for host, address in pairs
        for zone in deployment.availability_zones
        if not in_zone or host.availability_zone == zone
    ]


def kind_settings(
    deployment: Deployment, name: str, run_ms: tuple[int, int], **fields: Any
) -> dict[str, Any]:
    """Return the caller settings of a kind of work in the deployment's mix."""
    part = next(part for part in deployment.mix if part.kind == name)
    return {
        "kind": name,
        "team": part.team,
        "key": deployment.key_of(part.team),
        "share": part.share,
        "run_ms": list(run_ms),
        "wait": part.wait,
        "repeatable": part.once_share < 1.0,
        "size": part.sizes[0]._asdict(),
        **fields,
    }


def _result(
    calls: list[CompletedCall],
    interval_ms: tuple[int, int],
    before: ProcessorTimes,
    after: ProcessorTimes,
) -> LoadResult:
    cpu_s = {
        name: seconds - before.seconds.get(name, 0.0)
        for name, seconds in after.seconds.items()
    }
    busy_s = after.machine_busy_s - before.machine_busy_s
    measured = [
        call for call in calls if interval_ms[0] <= call.due_ms < interval_ms[1]
    ]
    return LoadResult(measured, interval_ms[0], interval_ms[1], cpu_s, busy_s)
