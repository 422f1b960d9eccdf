"""Real processes and their callers, which scenarios share to save the start."""

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
    """The status and body of a reply; status 0 is no reply."""

    status: int
    body: dict[str, Any]


class ProcessHarness:
    """All processes of a deployment and the loop on which callers talk to them.

    Callers go on only while a step waits, as there is one loop on one thread.
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
        """Start all processes and wait until every zone is served."""
        self.fleet.__enter__()
        self.wait(self.fleet.start)

    def close(self) -> None:
        """End all processes, each by its id."""
        try:
            self.fleet.stop()
        finally:
            self._kernel.run(shutdown=True)

    def wait(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Run a function to its end while the callers go on."""
        return self._kernel.run(function, *args)

    def start_background_task(
        self, function: Callable[..., Awaitable[Any]], *args: Any
    ) -> None:
        """Run a function until the end of the scenario while other steps wait."""
        self._background.append(self.wait(curio.spawn, function, *args))

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self.wait(curio.sleep, seconds)

    def reset(self) -> None:
        """End all faults and start what has ended, without waiting for it."""
        self.load = None
        for process in self.fleet.processes:
            self.fleet.resume(process)
        self.wait(self._reset)
        for daemon in self.plan.daemons:
            if self.fleet.processes[daemon.name].exit_status is not None:
                self.fleet.start_daemon(daemon.name)

    def wait_until_ready(self) -> None:
        """Wait until every daemon is well and every zone is served."""
        self.wait(self.fleet.wait_ready, READY_TIMEOUT_S)

    def start_load(
        self, seconds: float, rate: float, deadline_ms: int | None = None
    ) -> None:
        """Have callers send a mixed load, on request with a deadline of its own."""
        self._scenario_count += 1
        settings = TraceSettings(self._scenario_count, seconds, rate)
        self.load = Load(self, settings, deadline_ms)
        self.wait(self.load.start)

    def wait_for_load(self) -> "Load":
        """Wait until each caller has its answer and return the load."""
        assert self.load is not None
        self.wait(self.load.finish)
        return self.load

    def clear_worker_faults(self) -> None:
        """End the faults of the workers."""
        self.wait(self._clear_worker_faults)

    def leader(self, zone: str) -> str:
        """Return the host that says that it serves a zone as its leader."""
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
        """Send a control message to the platform stand-in."""
        reply: dict[str, Any] = self.wait(
            lambda: self.control_platform_async(**payload)
        )
        return reply

    async def control_platform_async(self, **payload: Any) -> dict[str, Any]:
        """Send a control message to the platform stand-in while a step waits."""
        return await self.fleet.send_control(self.plan.platform.address, payload)

    def control_worker(self, name: str, **payload: Any) -> None:
        """Send a control message to a worker stand-in."""
        self.wait(self.fleet.send_control, self.address(name), payload)

    async def call(
        self, host: str, method: str, target: str, value: Any = None, team: str = ""
    ) -> Reply:
        """Return the reply of an entry host to a team or, without one, an operator."""
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
        """Return what the workers recorded."""
        return read_records(self.plan.record_paths)

    def verdict(self) -> Verdict:
        """Return the judgement of all records so far."""
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
    """The mixed load of one scenario and its judgement."""

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
        """The requests that have ended so far."""
        return self._client.results

    async def start(self) -> None:
        """Begin to send."""
        self._sending = await curio.spawn(self._client.run, self._trace)

    async def finish(self) -> None:
        """Wait until each caller has its answer and end the standing requests."""
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
        """Return the counts; the evidence of earlier scenarios is left out."""
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
        """Return the requests that ran once at most and whose worker lost the run."""
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
    """The processes that scenarios share; a failed scenario gets no successor."""

    def __init__(self) -> None:
        self._run: ProcessHarness | None = None

    def get(self) -> ProcessHarness:
        """Return the processes, started when there are none, all of them well."""
        if self._run is None:
            self._run = ProcessHarness()
            self._run.start()
        self._run.wait_until_ready()
        return self._run

    def after_scenario(self, failed: bool) -> None:
        """Repair the processes, or end them when the scenario failed."""
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
        """End the processes, if there are any."""
        run, self._run = self._run, None
        if run is not None:
            run.close()


SHARED_HARNESS = SharedHarness()


def request_name(request: Any) -> str:
    """Return the identity `team/zone/id`."""
    return f"{request['team']}/{request['availability_zone']}/{request['id']}"


def unfinished_runs(runs: list[Interval]) -> list[Interval]:
    """Return the runs that have not ended."""
    return [run for run in runs if run.end_ms is None]


def format_json(value: Any) -> str:
    """Return a value for the message of a failed check."""
    return json.dumps(value, indent=1, default=str)
