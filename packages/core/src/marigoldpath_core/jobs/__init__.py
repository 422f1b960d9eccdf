"""Jobs with their steps and tasks, queues, workspaces and stored progress."""

from ._model import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    JobState,
    Progress,
    Queue,
    RecordedStart,
    Resources,
    StepSpec,
    TaskKey,
    Workspace,
)

__all__ = [
    "AcceptedJob",
    "AdvicePolicy",
    "JobSpec",
    "JobState",
    "Progress",
    "Queue",
    "RecordedStart",
    "Resources",
    "StepSpec",
    "TaskKey",
    "Workspace",
]
