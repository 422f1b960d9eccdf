"""Tracks a leader's followers and distributes its advice requests among them."""

from random import Random
from typing import NamedTuple

from marigoldpath_core.jobs import TaskKey

from ._clock import now_s
from ._peers import FollowerStatus, PeerClient, PeerError
from ._ports import CellDependencies
from ._settings import CellSettings

# A follower from which no status arrived for this time, and for this number of status
# intervals, gets no advice requests and cannot become the successor.
FOLLOWER_TIMEOUT_S = 1.5
FOLLOWER_TIMEOUT_INTERVALS = 2.5


class Follower(NamedTuple):
    """An entry host that follows this leader.

    `received_s` is the time at which its last status arrived, and `started_s` the time
    at which its process started; both are times of this host's clock.
    """

    status: FollowerStatus
    received_s: float
    started_s: float


class Followers:
    """The followers of a leader and the advice requests in flight at each of them.

    The empty address stands for the leader's own process.
    """

    def __init__(
        self, settings: CellSettings, dependencies: CellDependencies, peers: PeerClient
    ) -> None:
        self._settings = settings
        self._advice = dependencies.advice
        self._log = dependencies.log
        self._peers = peers
        self._followers: dict[str, Follower] = {}
        self._outstanding_ms: dict[str, float] = {"": 0.0}
        self._status_interval_s = settings.check_interval_s
        self._pruned_s = now_s()
        self._random = Random()

    @property
    def count(self) -> int:
        """The number of followers that can send advice requests now."""
        return len(self._recent_followers())

    @property
    def status_interval_s(self) -> float:
        """The interval in seconds at which each follower reports its status."""
        return self._status_interval_s

    def relay_candidates(self) -> dict[str, float]:
        """Return the cores of each follower that can relay commands, by address."""
        return {
            each.status.address: each.status.cores for each in self._recent_followers()
        }

    def remove(self, address: str) -> None:
        """Use a follower for nothing until its next status arrives."""
        self._followers.pop(address, None)

    def choose_writers(self) -> tuple[str, ...]:
        """Return followers that can store jobs for hosts that do not reach the store.

        They are chosen at random, so that the jobs of such hosts are spread.
        """
        able = [each for each in self._recent_followers() if each.status.has_store]
        chosen = self._random.sample(able, min(self._settings.max_writers, len(able)))
        return tuple(each.status.address for each in chosen)

    def record_status(self, status: FollowerStatus) -> None:
        """Record the status that a follower sent."""
        received_s = now_s()
        follower = Follower(status, received_s, received_s - status.started_s)
        self._followers[status.address] = follower
        self._outstanding_ms.setdefault(status.address, 0.0)
        self._status_interval_s = max(
            self._settings.check_interval_s,
            len(self._followers)
            / (self._settings.max_status_rate * self._settings.cores),
        )
        if received_s - self._pruned_s > self._timeout_s:
            self._pruned_s = received_s
            recent = self._recent_followers()
            self._followers = {each.status.address: each for each in recent}

    def choose_successor(self) -> str:
        """Return the address of the largest follower that can lead, or an empty string.

        Of hosts with equal `cores`, the one that started last is chosen. Hosts are
        often stopped one after the other, and that one is the least likely to be
        stopped next.
        """
        candidates = [
            each for each in self._recent_followers() if each.status.has_store
        ]
        if not candidates:
            return ""
        best = max(candidates, key=lambda each: (each.status.cores, each.started_s))
        return best.status.address

    async def notify_successor(self, address: str) -> None:
        """Make the successor check the leader's row now, not at its next report."""
        if not address:
            return
        try:
            await self._peers.request_check(address)
        except PeerError as error:
            self._log.info(
                "successor_not_notified", address=address, reason=repr(error)
            )

    def find_larger_host(self) -> str:
        """Return the address of a much larger follower, or an empty string.

        Its host has at least `larger_host_factor` times the cores of this host.
        """
        address = self.choose_successor()
        if not address:
            return ""
        min_cores = self._settings.larger_host_factor * self._settings.cores
        return address if self._followers[address].status.cores >= min_cores else ""

    async def request_advice(
        self, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Return the tickets of the approved workers, or None if no reply arrives.

        The request is sent by the least busy follower or by this process.
        """
        address = self._choose_sender(cost_ms)
        self._outstanding_ms[address] += cost_ms
        try:
            if not address:
                return await self._advice.request_advice(step, workers, cost_ms)
            return await self._peers.request_advice(address, step, workers, cost_ms)
        except PeerError as error:
            self._log.info("helper_failed", address=address, reason=repr(error))
            self.remove(address)
            return None
        finally:
            self._outstanding_ms[address] -= cost_ms

    def _choose_sender(self, cost_ms: float) -> str:
        """Return the least busy follower, or an empty string for this process."""
        addresses = [follower.status.address for follower in self._recent_followers()]
        # A slow request from this process would delay its quick ones, because the
        # advice service handles one request of a host at a time.
        if cost_ms < self._settings.fleet.slow_advice_ms or not addresses:
            addresses.append("")
        return min(
            addresses, key=lambda each: self._outstanding_ms[each] + 10 * bool(each)
        )

    @property
    def _timeout_s(self) -> float:
        return max(
            FOLLOWER_TIMEOUT_S, FOLLOWER_TIMEOUT_INTERVALS * self._status_interval_s
        )

    def _recent_followers(self) -> list[Follower]:
        oldest_s = now_s() - self._timeout_s
        return [each for each in self._followers.values() if each.received_s > oldest_s]
