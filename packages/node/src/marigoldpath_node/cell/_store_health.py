"""Whether an entry host reaches the store."""

import curio

from ._clock import now_s
from ._ports import CellDependencies, StoreError
from ._records import read_leader_row
from ._settings import CellSettings


class StoreHealth:
    """Records the outcomes of a host's store calls, and probes an unresponsive store.

    A probe reads one small row. A read whose duration depends on the amount of data
    says nothing about whether the store replies.
    """

    def __init__(self, settings: CellSettings, dependencies: CellDependencies) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._log = dependencies.log
        self._outage_since_s: float | None = None
        self._outage_began = curio.Event()
        self._outage_ended = curio.Event()

    @property
    def is_unresponsive(self) -> bool:
        """Whether the last store call of this host failed."""
        return self._outage_since_s is not None

    @property
    def outage_s(self) -> float:
        """Seconds since the store became unresponsive, 0 while it replies."""
        if self._outage_since_s is None:
            return 0.0
        return now_s() - self._outage_since_s

    async def record_call(self, *, is_working: bool, reason: str = "") -> None:
        """Record whether a store call of this host succeeded."""
        if is_working and self.is_unresponsive:
            self._log.info("store_answers", outage_s=round(self.outage_s, 2))
            self._outage_since_s = None
            self._outage_began.clear()
            await self._outage_ended.set()
        elif not is_working and not self.is_unresponsive:
            self._log.info("store_silent", reason=reason)
            self._outage_since_s = now_s()
            self._outage_ended.clear()
            await self._outage_began.set()

    async def wait_until_responsive(self, timeout_s: float) -> None:
        """Wait until the store replies again, for at most `timeout_s`."""
        if self.is_unresponsive:
            await curio.ignore_after(timeout_s, self._outage_ended.wait)

    async def run(self) -> None:
        """Probe the store while it is unresponsive, until cancelled."""
        while True:
            await self._outage_began.wait()
            await curio.sleep(self._settings.store_probe_interval_s)
            if self.is_unresponsive:
                await self._probe()

    async def _probe(self) -> None:
        try:
            await read_leader_row(self._store, self._settings.store_probe_timeout_s)
        except StoreError as error:
            await self.record_call(is_working=False, reason=repr(error))
        else:
            await self.record_call(is_working=True)
