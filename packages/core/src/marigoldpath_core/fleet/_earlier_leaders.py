"""Finds out when the commands and the leases of earlier leaders have ended.

An earlier leader sends commands as long as it can prove its authority, by its row or by
a majority of the workers. There are three proofs that it does so no more:

- A majority of the workers has reported to this leader, and refuses the earlier ones.
- The process of the leader before this one has ended or released the row, and that
  leader knew that those before it had ended.
- An earlier leader knew that those before it had ended, and stored for how long.

The stored row of a leader passes what is known on to its successor, so that the wait
for a worker that is lost goes on after a hand-over and does not begin anew.
"""

import math

from ._messages import EndedLeaders, RosterEntry
from ._settings import FleetSettings


class EarlierLeaders:
    """What a leader knows of the commands of the earlier ones.

    `ended` is what the row of this leader said at the beginning of its term.
    """

    def __init__(
        self,
        settings: FleetSettings,
        epoch: int,
        ended: tuple[EndedLeaders, ...],
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._epoch = epoch
        # From this time on, an earlier leader sends commands only while a majority of
        # the workers replies to it.
        self.began_ms = now_ms
        # When the leaders before each of these epochs had ended at the latest.
        self._ended_ms = {each.epoch: now_ms - each.elapsed_ms for each in ended}
        # None until a majority of the workers has reported to this leader.
        self.majority_reported_ms: float | None = None

    @property
    def commands_end_ms(self) -> float:
        """Return from when on no earlier leader sends commands, infinite if unknown."""
        inherited_ms = self._ended_ms.get(self._epoch, math.inf)
        if self.majority_reported_ms is None:
            return inherited_ms
        settings = self._settings
        settled_ms = max(
            self.began_ms + settings.row_authority_ms,
            self.majority_reported_ms + settings.majority_window_ms,
        )
        return min(inherited_ms, settled_ms)

    def leases_end_ms(self, unleased_since: int = 0) -> float:
        """Return when the leases of earlier leaders have ended, infinite if unknown.

        `unleased_since` is that of the worker's roster entry.
        """
        commands_end_ms = self.commands_end_ms
        if unleased_since:
            ends_ms = [
                ended_ms
                for epoch, ended_ms in self._ended_ms.items()
                if epoch >= unleased_since
            ]
            commands_end_ms = min([commands_end_ms, *ends_ms])
        return commands_end_ms + self._longest_lease_ms

    def ended(self, now_ms: float) -> tuple[EndedLeaders, ...]:
        """Return what the successor of this leader has to know, oldest epoch first.

        Of the leaders whose leases have all ended, only the last ones are included.
        """
        ended_ms = dict(self._ended_ms)
        if now_ms >= self.commands_end_ms:
            ended_ms[self._epoch] = self.commands_end_ms
        known = [
            EndedLeaders(epoch, now_ms - ended_ms[epoch]) for epoch in sorted(ended_ms)
        ]
        expired = [each for each in known if each.elapsed_ms > self._longest_lease_ms]
        return tuple(each for each in known if each not in expired[:-1])

    @property
    def _longest_lease_ms(self) -> float:
        return self._settings.longest_wait_ms(self._settings.lease_ms)


def inherit_ended_leaders(
    ended: tuple[EndedLeaders, ...], epoch: int, *, has_ended: bool
) -> tuple[EndedLeaders, ...]:
    """Return what the successor of the leader of an epoch knows at first.

    `ended` is what that leader knew, and `has_ended` whether it is certain that it
    sends no more commands.
    """
    if not has_ended or all(each.epoch != epoch for each in ended):
        return ended
    return (*ended, EndedLeaders(epoch + 1, 0.0))


def find_unleased(roster: dict[str, RosterEntry]) -> set[str]:
    """Return the workers that may get no lease while this roster could be stored."""
    return {worker_id for worker_id, entry in roster.items() if entry.unleased_since}
