"""The rows of a cell in the platform's store; commits depend on the leader's row."""

from marigoldpath_core.fleet import (
    Commit,
    EndedLeaders,
    RosterEntry,
    inherit_ended_leaders,
)
from marigoldpath_core.jobs import AcceptedJob, Progress


class SimulatedStore:
    """Jobs, progress, roster, and the leader's row as (epoch, heartbeat)."""

    def __init__(self) -> None:
        self.jobs: dict[str, AcceptedJob] = {}
        self.cancelled: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.roster: dict[str, RosterEntry] = {}
        self.leader = (0, 0)
        # What the leader's row says of the earlier leaders.
        self.ended: tuple[EndedLeaders, ...] = (EndedLeaders(0, 0.0),)

    def acquire_leadership(self, has_ended: bool) -> int:
        """Write a new leader's row and return its epoch.

        `has_ended` is whether the last leader certainly sends no more commands.
        """
        epoch = self.leader[0]
        self.ended = inherit_ended_leaders(self.ended, epoch, has_ended=has_ended)
        self.leader = (epoch + 1, 0)
        return self.leader[0]

    def commit(
        self,
        expected: tuple[int, int],
        commit: Commit,
        ended: tuple[EndedLeaders, ...],
    ) -> bool:
        """Apply a commit if the leader's row has the expected epoch and heartbeat."""
        if self.leader != expected:
            return False
        self.leader = (expected[0], expected[1] + 1)
        self.ended = ended
        self.progress.update(commit.progress)
        for job_id in commit.removed_jobs:
            self.progress.pop(job_id, None)
        if commit.roster is not None:
            self.roster = dict(commit.roster)
        return True
