"""Estimates how many jobs the callers of each workspace send, refused ones included.

Refused jobs do not reach the leader. So each accepted job counts for all that were sent
for it, according to the share that hosts admitted when it was accepted.
"""

from collections import deque
from collections.abc import Container
from typing import NamedTuple

from ._rate_limit import ADMIT_ALL

# The rate is the mean over this time, counted in slots of `SLOT_MS`.
WINDOW_MS = 5_000
SLOT_MS = 500
WINDOW_SLOTS = WINDOW_MS // SLOT_MS
# Hosts follow a new share after up to this number of slots: they request the leader's
# status every 0.3 s, and the leader summarizes its jobs every 0.3 s.
LAG_SLOTS = 2
# A share rises at most by this factor in each slot, because few accepted jobs say
# little about the rate: with a small share there may be none for some seconds.
MAX_RISE_FACTOR = 1.5


class Slot(NamedTuple):
    """The estimated jobs sent in the slot that begins at `number` * SLOT_MS."""

    number: int
    sent: float


class Arrivals:
    """The rate at which jobs of each workspace are sent, by their accepted times."""

    def __init__(self) -> None:
        self._slots: dict[str, deque[Slot]] = {}
        # By workspace, the slots in which a share of new jobs to admit was published,
        # and these shares in thousandths.
        self._shares: dict[str, deque[tuple[int, int]]] = {}

    @property
    def workspaces(self) -> tuple[str, ...]:
        """The names of the workspaces that sent jobs lately."""
        return tuple(self._slots)

    def record(self, name: str, accepted_ms: int) -> None:
        """Count a job that was accepted."""
        number = accepted_ms // SLOT_MS
        sent = ADMIT_ALL / self._share_in_force(name, number)
        slots = self._slots.setdefault(name, deque(maxlen=2 * WINDOW_SLOTS))
        for index in range(len(slots) - 1, -1, -1):
            if slots[index].number == number:
                slots[index] = Slot(number, slots[index].sent + sent)
                return
            if slots[index].number < number:
                break
        slots.append(Slot(number, sent))

    def jobs_per_second(self, name: str, now_ms: int) -> float:
        """Return the number of jobs sent in a second, over the last `WINDOW_MS`."""
        oldest = now_ms // SLOT_MS - WINDOW_SLOTS
        slots = self._slots.get(name, ())
        return sum(each.sent for each in slots if each.number > oldest) / (
            WINDOW_MS / 1_000
        )

    def publish(self, name: str, per_mille: int, now_ms: int) -> int:
        """Record the share of new jobs to admit from now on, and return it.

        The result is less than `per_mille` if the share would rise by more than
        `MAX_RISE_FACTOR`.
        """
        number = now_ms // SLOT_MS
        shares = self._shares.setdefault(name, deque(maxlen=2 * WINDOW_SLOTS))
        if shares and shares[-1][0] == number:
            return shares[-1][1]
        if shares:
            per_mille = min(per_mille, int(shares[-1][1] * MAX_RISE_FACTOR) + 1)
        shares.append((number, per_mille))
        return per_mille

    def admit_all(self, now_ms: int, limited: Container[str] = ()) -> None:
        """Record that all jobs are admitted, except those of `limited` workspaces."""
        number = now_ms // SLOT_MS
        for name, shares in self._shares.items():
            if name not in limited and shares[-1][1] != ADMIT_ALL:
                shares.append((number, ADMIT_ALL))

    def remove_idle(self, now_ms: int) -> None:
        """Remove the workspaces that sent nothing lately, which bounds the memory."""
        oldest = now_ms // SLOT_MS - WINDOW_SLOTS
        for name, slots in list(self._slots.items()):
            if max(each.number for each in slots) <= oldest:
                del self._slots[name]
                self._shares.pop(name, None)

    def _share_in_force(self, name: str, number: int) -> int:
        """Return the largest share by which hosts may have accepted a job in a slot."""
        shares = self._shares.get(name)
        if not shares:
            return ADMIT_ALL
        in_force = ADMIT_ALL
        largest = 0
        for since, share in shares:
            if since <= number - LAG_SLOTS:
                in_force = share
            elif since <= number:
                largest = max(largest, share)
        return max(in_force, largest)
