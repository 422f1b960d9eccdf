"""Jobs of steps and tasks, the queues that they wait in, and their stored progress."""

from ._model import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    JobState,
    Progress,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)

__all__ = [
    "AcceptedJob",
    "AdvicePolicy",
    "JobSpec",
    "JobState",
    "Progress",
    "Queue",
    "Resources",
    "StepSpec",
    "TaskKey",
]
