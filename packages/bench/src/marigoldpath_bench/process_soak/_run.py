"""One seeded run of the soak: faults that overlap, then repair, then the verdict."""

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

JOB_GAP_S = (0.1, 0.6)
FAULT_GAP_S = (0.2, 1.5)
# In this time after the last fault each host serves and each job ends.
SERVED_AGAIN_S = 15.0
REPAIR_S = 60.0
SERVED_STEP_S = 0.1
QUIET_S = 0.5


class SoakSettings(NamedTuple):
    """The size of a run, and how long its faults go on."""

    hosts: int = 4
    workers: int = 5
    faults_s: float = 12.0


class SoakResult(NamedTuple):
    """What happened in a run."""

    answers: dict[SubmissionReply, int]
    played: tuple[str, ...]
    faults: tuple[Violation, ...]


class SoakRun:
    """Plays one seed; the seed gives the faults and jobs, the machine the timing."""

    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self._random = Random(f"soak {seed}")
        self._settings = settings
        self._cell = Cell(
            Random(f"cell {seed}"), settings.hosts, settings.workers, folder
        )
        self._callers = Callers(self._cell)
        self._played: list[str] = []

    def play(self) -> SoakResult:
        """Play the run and return its result; all processes have ended then."""
        try:
            curio.run(self._play)
        finally:
            self._end_hosts()
        found = self._cell.oracle.violations(self._callers.states)
        answers = list(self._callers.answers.values())
        counts = {answer: answers.count(answer) for answer in SubmissionReply}
        return SoakResult(counts, tuple(self._played), tuple(found))

    async def _play(self) -> None:
        await self._cell.start()
        await self._wait_until_served("START")
        traffic = await curio.spawn(self._hand_in_jobs, daemon=True)
        until_s = time.monotonic() + self._settings.faults_s
        async with curio.TaskGroup() as playing:
            while time.monotonic() < until_s:
                name = self._random.choice(sorted(faults))
                self._played.append(f"{self._cell.now_ms():.0f} ms {name}")
                await playing.spawn(faults.get(name), self._cell)
                await curio.sleep(self._random.uniform(*FAULT_GAP_S))
        await self._mend()
        await self._wait_until_served("RECOVER")
        await traffic.cancel()
        await self._cell.until(lambda: not self._callers.open_jobs, REPAIR_S)
        # Hosts that live on would connect to stand-ins that are being shut down.
        self._end_hosts()
        await curio.sleep(QUIET_S)

    def _end_hosts(self) -> None:
        for host in self._cell.hosts:
            host.end()

    async def _hand_in_jobs(self) -> None:
        while True:
            await self._callers.hand_in()
            await curio.sleep(self._random.uniform(*JOB_GAP_S))

    async def _mend(self) -> None:
        cell = self._cell
        await cell.store.set_fault_plan(FaultPlan())
        for host in cell.hosts:
            if not host.is_running:
                cell.oracle.record_violation(
                    "EXIT",
                    cell.now_ms(),
                    f"{host.name} ended by itself with {host.exit_status}",
                )
            host.start()

    async def _wait_until_served(self, rule: str) -> None:
        for host in self._cell.hosts:
            served = await curio.ignore_after(SERVED_AGAIN_S, self._is_served, host)
            if not served:
                self._cell.oracle.record_violation(
                    rule, self._cell.now_ms(), f"{host.name} does not serve"
                )

    async def _is_served(self, host: SoakHost) -> bool:
        while not await self._callers.is_served(host):
            await curio.sleep(SERVED_STEP_S)
        return True
