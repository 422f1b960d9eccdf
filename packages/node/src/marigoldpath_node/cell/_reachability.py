"""Decides when a leader that reaches no majority of the workers gives up its term."""

import curio

from marigoldpath_core.fleet import FleetScheduler

from ._clock import now_ms, now_s
from ._settings import CellSettings

# The timeout is doubled for each term in a row without a majority, up to this number.
MAX_DOUBLINGS = 4


class Reachability:
    """Watches whether a majority of the workers replies to a leader.

    A host may be partitioned from the workers, or its link may be too slow for their
    reports. No other host is elected while it renews the leader's row, so it hands over
    after a time. If no host reaches a majority, hand-overs do not help: the times
    between them get longer. `unreachable_terms` is how many terms before this one were
    released for this reason.
    """

    def __init__(self, settings: CellSettings, unreachable_terms: int) -> None:
        self._settings = settings
        self._unreachable_terms = unreachable_terms

    @property
    def unreachable_terms(self) -> int:
        """The number of terms in a row without a majority before this one."""
        return self._unreachable_terms

    @property
    def timeout_s(self) -> float:
        """The time without a majority after which the term is given up."""
        doublings = min(self._unreachable_terms, MAX_DOUBLINGS)
        return self._settings.workers_unreachable_timeout_s * 2**doublings

    async def wait_until_lost(self, scheduler: FleetScheduler) -> None:
        """Return once no majority has replied for `timeout_s`."""
        reached_s = now_s()
        while now_s() - reached_s < self.timeout_s:
            await curio.sleep(self._settings.check_interval_s)
            has_majority = scheduler.is_majority_reachable(now_ms())
            if has_majority:
                self._unreachable_terms = 0
            if has_majority or not scheduler.workers:
                reached_s = now_s()
