"""Processes and callers that scenarios share, so that they start only once."""

import json
import os
import sys
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import curio

from marigoldpath_bench.demo import Summary, summarise
from marigoldpath_bench.deployment import (
    REPOSITORY_ROOT,
    count_ports,
    find_deployment,
    load_deployment,
    plan_run,
)
from marigoldpath_bench.fleet import Fleet, free_base_port
from marigoldpath_bench.load import (
    CANCELLATION_CONFIRMED,
    CallOutcome,
    CallResult,
    LoadClient,
    load_settings,
)
from marigoldpath_bench.oracle import Interval, Verdict, judge, read_records
from marigoldpath_bench.server import now_ms
from marigoldpath_bench.trace import TraceSettings, generate_trace
from marigoldpath_node.http import HttpClient, HttpClientSettings, HttpError

DEPLOYMENT_NAME = "skala"
READY_TIMEOUT_S = 30.0
REPLIES_TIMEOUT_S = 60.0
LONG_RUNNING_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
NO_WORKER_FAULTS = {"mode": "ok", "fail": False, "answer_delay_ms": 0, "answers": 1}


class Reply(NamedTuple):
    """The status and body of a reply; status 0 means no reply."""

    status: int
    body: dict[str, Any]


class ProcessHarness:
    """All processes of a deployment and the event loop on which callers run.

    There is one loop on one thread, so callers make progress only while a step runs
    `wait`, `sleep` or another method that runs the loop.
    """

    def __init__(self) -> None:
        folder = find_deployment(DEPLOYMENT_NAME)
        self.deployment = load_deployment(folder / "deployment.json")
        self.sheet = (folder / "sheet.csv").read_text()
        port = free_base_port(count_ports(self.deployment))
        path = REPOSITORY_ROOT / "run" / f"features-{port}"
        self.plan = plan_run(self.deployment, port, path)
        python = os.environ.get("MARIGOLDPATH_DAEMON_PYTHON", sys.executable)
        self.fleet = Fleet(self.plan, python)
        self.load: Load | None = None
        self._background: list[curio.Task] = []
        self._kernel = curio.Kernel()
        self._client = HttpClient(
            HttpClientSettings(connect_s=1.0, max_idle_connections=64)
        )
        self._scenario_count = 0

    def start(self) -> None:
        """Start all processes and wait until every zone has a serving leader."""
        self.fleet.__enter__()
        self.wait(self.fleet.start)

    def close(self) -> None:
        """Stop all processes and shut down the event loop."""
        try:
            self.fleet.stop()
        finally:
            self._kernel.run(shutdown=True)

    def wait(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run an async function and the background tasks until it returns."""
        return self._kernel.run(function, *args)

    def start_background_task(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Start an async function that is cancelled at the end of the scenario."""
        self._background.append(self.wait(curio.spawn, function, *args))

    def sleep(self, seconds: float) -> None:
        """Run the event loop for a time."""
        self.wait(curio.sleep, seconds)

    def reset(self) -> None:
        """Clear all faults and restart exited daemons without waiting for them."""
        self.load = None
        for process in self.fleet.processes:
            self.fleet.resume(process)
        self.wait(self._reset)
        for daemon in self.plan.daemons:
            if self.fleet.processes[daemon.name].exit_status is not None:
                self.fleet.start_daemon(daemon.name)

    def wait_until_ready(self) -> None:
        """Wait until every daemon is healthy and every zone has a serving leader."""
        self.wait(self.fleet.wait_ready, READY_TIMEOUT_S)

    def start_load(
        self, seconds: float, rate: float, deadline_ms: int | None = None
    ) -> None:
        """Start to send a mixed load; `deadline_ms` overrides all deadlines."""
        self._scenario_count += 1
        settings = TraceSettings(self._scenario_count, seconds, rate)
        self.load = Load(self, settings, deadline_ms)
        self.wait(self.load.start)

    def wait_for_load(self) -> "Load":
        """Wait until each request has an outcome and return the load."""
        assert self.load is not None
        self.wait(self.load.finish)
        return self.load

    def clear_worker_faults(self) -> None:
        """Clear the faults injected into the workers."""
        self.wait(self._clear_worker_faults)

    def leader(self, zone: str) -> str:
        """Return the only host whose health route reports that it serves the zone."""
        serving = [host for host in self.hosts(zone) if self._is_serving(host)]
        assert len(serving) == 1, f"zone {zone} is served by {serving}"
        return serving[0]

    def hosts(self, zone: str) -> list[str]:
        """Return the names of a zone's entry hosts."""
        return [
            host.name
            for host in self.deployment.entry_hosts
            if host.availability_zone == zone
        ]

    def address(self, name: str) -> str:
        """Return the address of an entry host or worker."""
        addresses = {daemon.name: daemon.address for daemon in self.plan.daemons}
        addresses.update(
            (worker.name, worker.address) for worker in self.plan.worker_hosts
        )
        return addresses[name]

    def control_platform(self, **payload: Any) -> dict[str, Any]:
        """Send a control message to the fake platform and run the loop meanwhile."""
        reply: dict[str, Any] = self.wait(
            lambda: self.control_platform_async(**payload)
        )
        return reply

    async def control_platform_async(self, **payload: Any) -> dict[str, Any]:
        """Send a control message to the fake platform."""
        return await self.fleet.send_control(self.plan.platform.address, payload)

    def control_worker(self, name: str, **payload: Any) -> None:
        """Send a control message to a fake worker and run the loop meanwhile."""
        self.wait(self.fleet.send_control, self.address(name), payload)

    async def call(
        self, host: str, method: str, target: str, value: Any = None, team: str = ""
    ) -> Reply:
        """Return the reply of an entry host; an empty team uses the operator's key."""
        try:
            response = await self._client.request(
                method,
                self.address(host),
                target,
                value=value,
                headers={"authorization": f"Bearer {self.deployment.key_of(team)}"},
                reply_s=30.0,
            )
            return Reply(response.status, response.json())
        except (HttpError, ValueError) as error:
            return Reply(0, {"fault": str(error)})

    def records(self) -> list[dict[str, Any]]:
        """Return the workers' records."""
        return read_records(self.plan.record_paths)

    def verdict(self) -> Verdict:
        """Return the oracle's verdict on all records so far."""
        return judge(self.records())

    def _is_serving(self, host: str) -> bool:
        return bool(self.wait(self.fleet.health, host).get("serving"))

    async def _reset(self) -> None:
        for task in self._background:
            await task.cancel()
        self._background.clear()
        await self.fleet.send_control(self.plan.platform.address, {"mode": "ok"})
        await self._clear_worker_faults()

    async def _clear_worker_faults(self) -> None:
        for worker in self.plan.worker_hosts:
            await self.fleet.send_control(worker.address, NO_WORKER_FAULTS)


class Load:
    """The mixed load of one scenario and the check of its outcomes."""

    def __init__(
        self, harness: ProcessHarness, settings: TraceSettings, deadline_ms: int | None
    ) -> None:
        self._harness = harness
        addresses = harness.fleet.daemon_addresses
        self._client = LoadClient(load_settings(harness.deployment, addresses))
        self._trace = generate_trace(harness.deployment, settings)
        if deadline_ms is not None:
            for item in self._trace:
                item.request["deadline_ms"] = deadline_ms
        self._earlier_evidence = set(harness.verdict().evidence)
        self._cancelled: dict[str, int] = {}
        self._sending: curio.Task | None = None
        self.started_ms = now_ms()

    @property
    def results(self) -> list[CallResult]:
        """The results of the requests that have an outcome so far."""
        return self._client.results

    async def start(self) -> None:
        """Start to send the trace in the background."""
        self._sending = await curio.spawn(self._client.run, self._trace)

    async def finish(self) -> None:
        """Wait until each request has an outcome, then cancel long-running requests."""
        assert self._sending is not None
        async with curio.ignore_after(REPLIES_TIMEOUT_S) as limit:
            await self._sending.join()
        if limit.expired:
            await self._sending.cancel()
        long_running = [
            each for each in self.results if each.ending is CallOutcome.ACCEPTED
        ]
        names = {each.name for each in long_running}
        await self._wait_for_runs(names, lambda runs: bool(runs))
        for result in long_running:
            if await self._client.cancel(result) == CANCELLATION_CONFIRMED:
                self._cancelled[result.name] = now_ms()
        await self._wait_for_runs(names, lambda runs: not unfinished_runs(runs))
        await self._client.close()

    def summary(self) -> Summary:
        """Return the counts without the evidence of earlier scenarios."""
        names = [request_name(item.request) for item in self._trace]
        summary = summarise(
            names, self.results, self._harness.verdict(), self._cancelled
        )
        evidence = [
            line
            for line in summary.evidence
            if line not in self._earlier_evidence and not line.startswith("overused")
        ]
        return summary._replace(evidence=tuple(evidence))

    def unknown_after_lost_run(self) -> set[str]:
        """Return non-repeatable requests whose worker lost the run."""
        intervals = self._harness.verdict().intervals
        return {
            result.name
            for result in self.results
            if result.ending is CallOutcome.UNKNOWN
            and not result.request["repeatable"]
            and any(run.status == "lost" for run in intervals.get(result.name, []))
        }

    async def _wait_for_runs(
        self, names: Iterable[str], is_met: Callable[[list[Interval]], bool]
    ) -> None:
        until_ms = now_ms() + LONG_RUNNING_TIMEOUT_S * 1_000
        while now_ms() < until_ms:
            intervals = self._harness.verdict().intervals
            if all(is_met(intervals.get(name, [])) for name in names):
                return
            await curio.sleep(POLL_INTERVAL_S)


class SharedHarness:
    """The harness that scenarios share; it is stopped after a failed scenario."""

    def __init__(self) -> None:
        self._run: ProcessHarness | None = None

    def get(self) -> ProcessHarness:
        """Return the harness once all its processes are ready; start it if needed."""
        if self._run is None:
            self._run = ProcessHarness()
            self._run.start()
        self._run.wait_until_ready()
        return self._run

    def after_scenario(self, failed: bool) -> None:
        """Clear all faults, or stop the processes if the scenario failed."""
        if self._run is None:
            return
        if failed:
            self.close()
            return
        try:
            self._run.reset()
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Stop the processes if they were started."""
        run, self._run = self._run, None
        if run is not None:
            run.close()


SHARED_HARNESS = SharedHarness()


def request_name(request: Any) -> str:
    """Return the identity `team/zone/id`."""
    return f"{request['team']}/{request['availability_zone']}/{request['id']}"


def unfinished_runs(runs: list[Interval]) -> list[Interval]:
    """Return the runs that have not terminated."""
    return [run for run in runs if run.end_ms is None]


def format_json(value: Any) -> str:
    """Return a value as indented JSON for an assertion message."""
    return json.dumps(value, indent=1, default=str)
