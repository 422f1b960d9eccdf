"""Spreads questions to the advice service over the entry hosts."""

from typing import NamedTuple

from marigoldpath_core.jobs import TaskKey

from ._clock import now_s
from ._peers import HelpOffer, PeerClient, PeerError
from ._ports import Surroundings
from ._settings import CellSettings

# A helper that was not heard for this long gets no questions.
HELPER_AGE_S = 1.5


class Helper(NamedTuple):
    """An entry host that called: its last offer, when it came and when it started."""

    offer: HelpOffer
    heard_s: float
    started_s: float


class Helpers:
    """The entry hosts that call this leader, and the questions that each is asking."""

    def __init__(
        self, settings: CellSettings, surroundings: Surroundings, peers: PeerClient
    ) -> None:
        self._settings = settings
        self._advice = surroundings.advice
        self._log = surroundings.log
        self._peers = peers
        self._helpers: dict[str, Helper] = {}
        self._waiting_ms: dict[str, float] = {"": 0.0}

    @property
    def count(self) -> int:
        """The hosts besides this one that can be asked now."""
        return len(self._recent())

    def note_helper(self, offer: HelpOffer) -> None:
        """Note that an entry host called."""
        heard_s = now_s()
        helper = Helper(offer, heard_s, heard_s - offer.started_s)
        self._helpers[offer.address] = helper
        self._waiting_ms.setdefault(offer.address, 0.0)

    def successor(self) -> str:
        """Return the largest host that can lead, empty when none calls.

        Of those alike it is the youngest. Hosts are often stopped one after the other;
        the youngest one is the least likely to be next.
        """
        able = [each for each in self._recent() if each.offer.has_store]
        if not able:
            return ""
        best = max(able, key=lambda each: (each.offer.cores, each.started_s))
        return best.offer.address

    def larger(self) -> str:
        """Return a host that is much larger than this one, empty when there is none."""
        address = self.successor()
        if not address:
            return ""
        least = self._settings.larger_factor * self._settings.cores
        return address if self._helpers[address].offer.cores >= least else ""

    async def ask(
        self, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Return the tickets of the approved workers, None without an answer."""
        address = self._choose(cost_ms)
        self._waiting_ms[address] += cost_ms
        try:
            if not address:
                return await self._advice.ask(step, workers, cost_ms)
            return await self._peers.ask_advice(address, step, workers, cost_ms)
        except PeerError as fault:
            self._log.info("helper_failed", address=address, reason=repr(fault))
            self._helpers.pop(address, None)
            return None
        finally:
            self._waiting_ms[address] -= cost_ms

    def _choose(self, cost_ms: float) -> str:
        """Return the least busy helper, empty for this process itself."""
        helpers = [helper.offer.address for helper in self._recent()]
        # A slow question must not stand before the quick ones of this process.
        if cost_ms < self._settings.fleet.slow_advice_ms or not helpers:
            helpers.append("")
        return min(helpers, key=lambda each: self._waiting_ms[each] + 10 * bool(each))

    def _recent(self) -> list[Helper]:
        oldest_s = now_s() - HELPER_AGE_S
        return [each for each in self._helpers.values() if each.heard_s > oldest_s]
