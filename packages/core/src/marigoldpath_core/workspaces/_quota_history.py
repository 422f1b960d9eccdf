"""Finds the largest quotas of recent configurations."""

import math
from collections import deque

from marigoldpath_core.jobs import Resources, Workspace

# Long-running tasks that were started within a quota may run for minutes after it was
# lowered.
RETENTION_MS = 600_000
# A host that follows the configuration for a shorter time may not know a version within
# which the previous leader started tasks that still run. Most tasks end within this
# time.
MIN_FOLLOWED_MS = 20_000


class Version:
    """The workspaces of a version, and until when it was in force."""

    __slots__ = ("until_ms", "workspaces")

    def __init__(self, workspaces: dict[str, Workspace]) -> None:
        self.workspaces = workspaces
        self.until_ms = math.inf


class QuotaHistory:
    """The workspaces of the configurations that a host has followed."""

    def __init__(self) -> None:
        self._versions: deque[Version] = deque()
        self._began_ms = math.inf

    def record(self, workspaces: dict[str, Workspace], now_ms: float) -> None:
        """Record that a configuration with these workspaces is in force from now on."""
        self._began_ms = min(self._began_ms, now_ms)
        if self._versions:
            self._versions[-1].until_ms = now_ms
        self._versions.append(Version(workspaces))
        while self._versions[0].until_ms < now_ms - RETENTION_MS:
            self._versions.popleft()

    def largest(self, now_ms: float) -> dict[str, Resources] | None:
        """Return the largest quota of each workspace that every version has.

        An amount of 0 is no limit. None means that this host has not followed the
        configuration for long enough.
        """
        if now_ms - self._began_ms < MIN_FOLLOWED_MS:
            return None
        first, *others = (each.workspaces for each in self._versions)
        quotas = {name: workspace.quota for name, workspace in first.items()}
        for workspaces in others:
            quotas = {
                name: _larger(quota, workspaces[name].quota)
                for name, quota in quotas.items()
                if name in workspaces
            }
        return quotas


def _larger(one: Resources, other: Resources) -> Resources:
    return Resources(*(0 if 0 in pair else max(pair) for pair in zip(one, other)))
