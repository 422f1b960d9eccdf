"""Logs what the workspaces use and wait for."""

from collections import Counter

from ._fleet import Fleet
from ._pools import current_pools
from ._quotas import quota_of
from ._shares import share_of, weight_of

# The time between two groups of lines.
LOG_INTERVAL_MS = 10_000
# At most this many workspaces are logged in a group, those with the largest shares and
# then those with the most waiting tasks.
MAX_LOGGED_WORKSPACES = 20


def log_workspaces_if_due(fleet: Fleet) -> None:
    """Log the workspaces that have running or waiting tasks."""
    if fleet.now_ms - fleet.quotas.logged_ms < LOG_INTERVAL_MS:
        return
    fleet.quotas.logged_ms = fleet.now_ms
    waiting: Counter[str] = Counter()
    for step in fleet.open_steps.values():
        if step.job.accepted.workspace:
            waiting[step.job.accepted.workspace] += step.waiting_tasks
    names = {name for name, tasks in waiting.items() if tasks}
    names.update(fleet.usage.workspaces)
    if not names:
        return
    capacity = current_pools(fleet).capacity
    shares = {name: share_of(fleet, capacity, name) for name in names}
    largest = sorted(names, key=lambda name: (-shares[name], -waiting[name], name))
    for name in largest[:MAX_LOGGED_WORKSPACES]:
        fleet.log(
            "workspace_usage",
            workspace=name,
            runs=fleet.usage.runs(name),
            waiting=waiting[name],
            used=tuple(fleet.usage.used(name)),
            quota=tuple(quota_of(fleet, name)),
            share=round(shares[name], 3),
            weight=weight_of(fleet, name),
            jobs_per_s=round(
                fleet.shares.arrivals.jobs_per_second(name, fleet.wall_ms), 1
            ),
            omitted=max(0, len(names) - MAX_LOGGED_WORKSPACES),
        )
