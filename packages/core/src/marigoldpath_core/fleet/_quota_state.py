"""The state by which the starts of workspaces are held within their quotas."""

import math

from marigoldpath_core.jobs import AcceptedJob, Resources, TaskKey, Workspace


class QuotaState:
    """What the leader knows about the workspaces and about runs that it cannot see."""

    def __init__(self) -> None:
        # The workspaces of the active configuration; None until it is known.
        self.workspaces: dict[str, Workspace] | None = None
        # Each workspace of any configuration of this term, as it was last configured.
        self.known: dict[str, Workspace] = {}
        # When a task of a workspace that is in no configuration first waited.
        self.unknown_since_ms: dict[str, float] = {}
        # The most that runs on workers that have not reported may be using, by
        # workspace; None until a scheduling pass needs it.
        self.hidden_usage: dict[str, Resources] | None = None
        # The largest quotas within which earlier leaders may have started the tasks
        # that run now; None if they are not known.
        self.inherited_quotas: dict[str, Resources] | None = None
        # The resources of the runs that this leader adopted from earlier ones, by
        # workspace, and these runs. They are recorded while workers have not reported.
        self.adopted: dict[str, Resources] = {}
        self.adopted_runs: set[tuple[TaskKey, int]] = set()
        # Jobs of earlier epochs that failed or were cancelled.
        self.ended_jobs: dict[str, AcceptedJob] = {}
        # When the usage of the workspaces was last logged.
        self.logged_ms = -math.inf
