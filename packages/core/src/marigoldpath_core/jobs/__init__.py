"""Jobs with their steps and tasks, queues, and the stored progress of jobs."""

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
]
