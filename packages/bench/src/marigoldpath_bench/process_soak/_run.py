"""One seeded run of the soak: overlapping faults, recovery, then the checks."""

import time
from pathlib import Path
from random import Random
from typing import NamedTuple

import curio

from marigoldpath_bench.faults import FaultPlan
from marigoldpath_bench.fleet_simulation import SubmissionReply, Violation

from ._callers import Callers
from ._cell import Cell
from ._faults import faults
from ._hosts import SoakHost

JOB_INTERVAL_S = (0.1, 0.6)
FAULT_INTERVAL_S = (0.2, 1.5)
# After the last fault each host must serve within SERVING_TIMEOUT_S, and each job
# must be final within JOBS_TIMEOUT_S.
SERVING_TIMEOUT_S = 15.0
JOBS_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
SHUTDOWN_DELAY_S = 0.5


class SoakSettings(NamedTuple):
    """The numbers of hosts and workers, and the time during which faults start."""

    hosts: int = 4
    workers: int = 5
    faults_s: float = 12.0


class SoakResult(NamedTuple):
    """The submission replies, injected faults and violations of a run."""

    submission_replies: dict[SubmissionReply, int]
    injected_faults: tuple[str, ...]
    violations: tuple[Violation, ...]


class SoakRun:
    """Run of one seed; the seed determines the faults and jobs, but not the timing."""

    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self._random = Random(f"soak {seed}")
        self._settings = settings
        self._cell = Cell(
            Random(f"cell {seed}"), settings.hosts, settings.workers, folder
        )
        self._callers = Callers(self._cell)
        self._injected_faults: list[str] = []

    def run(self) -> SoakResult:
        """Run the soak, stop all processes and return the result."""
        try:
            curio.run(self._run_seed)
        finally:
            self._kill_hosts()
        violations = self._cell.oracle.violations(self._callers.states)
        submission_replies = list(self._callers.submission_replies.values())
        counts = {reply: submission_replies.count(reply) for reply in SubmissionReply}
        return SoakResult(counts, tuple(self._injected_faults), tuple(violations))

    async def _run_seed(self) -> None:
        await self._cell.start()
        await self._check_serving("START")
        submitter = await curio.spawn(self._submit_jobs, daemon=True)
        until_s = time.monotonic() + self._settings.faults_s
        async with curio.TaskGroup() as active_faults:
            while time.monotonic() < until_s:
                name = self._random.choice(sorted(faults))
                self._injected_faults.append(f"{self._cell.now_ms():.0f} ms {name}")
                await active_faults.spawn(faults.get(name), self._cell)
                await curio.sleep(self._random.uniform(*FAULT_INTERVAL_S))
        await self._clear_faults()
        await self._check_serving("RECOVER")
        await submitter.cancel()
        await self._cell.wait_until(lambda: not self._callers.open_jobs, JOBS_TIMEOUT_S)
        # Hosts that keep running would connect to fakes that are being shut down.
        self._kill_hosts()
        await curio.sleep(SHUTDOWN_DELAY_S)

    def _kill_hosts(self) -> None:
        for host in self._cell.hosts:
            host.kill()

    async def _submit_jobs(self) -> None:
        while True:
            await self._callers.submit_job()
            await curio.sleep(self._random.uniform(*JOB_INTERVAL_S))

    async def _clear_faults(self) -> None:
        cell = self._cell
        await cell.store.set_fault_plan(FaultPlan())
        for host in cell.hosts:
            if not host.is_running:
                cell.oracle.record_violation(
                    "EXIT",
                    cell.now_ms(),
                    f"{host.name} exited unexpectedly with {host.exit_status}",
                )
            host.start()

    async def _check_serving(self, rule: str) -> None:
        for host in self._cell.hosts:
            served = await curio.ignore_after(SERVING_TIMEOUT_S, self._is_served, host)
            if not served:
                self._cell.oracle.record_violation(
                    rule, self._cell.now_ms(), f"{host.name} does not serve"
                )

    async def _is_served(self, host: SoakHost) -> bool:
        while not await self._callers.is_served(host):
            await curio.sleep(POLL_INTERVAL_S)
        return True
