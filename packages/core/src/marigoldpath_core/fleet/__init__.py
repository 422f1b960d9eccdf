"""The scheduler of a cell, which assigns the tasks of jobs to workers.

A cell is the set of entry hosts and workers that share one leader.
"""

from ._admission import Backlog, Refusal, refuse_if_late
from ._earlier_leaders import inherit_ended_leaders
from ._messages import (
    AdviceReplied,
    Commit,
    Effect,
    EndedLeaders,
    Event,
    JobAccepted,
    JobCancelled,
    JobsRead,
    LogEvent,
    QueuesChanged,
    RequestAdvice,
    RosterEntry,
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    TerminatedRun,
    TerminationReason,
    ThrottleRun,
    Tick,
    WorkerEntry,
    WorkerReport,
    WorkersListed,
    WorkerUnresponsive,
    fencing_token,
)
from ._polls import WorkerPoll
from ._rate_limit import MAX_LIMITED_WORKSPACES, RateRefusal, refuse_if_rate_limited
from ._relay_assignment import choose_relays, find_relay
from ._scheduler import FleetScheduler
from ._settings import FleetSettings
from ._submission_checks import AdmissionState, Submission, find_refusal

__all__ = [
    "MAX_LIMITED_WORKSPACES",
    "AdmissionState",
    "AdviceReplied",
    "Backlog",
    "Commit",
    "Effect",
    "EndedLeaders",
    "Event",
    "FleetScheduler",
    "FleetSettings",
    "JobAccepted",
    "JobCancelled",
    "JobsRead",
    "LogEvent",
    "QueuesChanged",
    "RateRefusal",
    "Refusal",
    "RequestAdvice",
    "RosterEntry",
    "RunningTask",
    "StartReplied",
    "StartResult",
    "StartRun",
    "StopReplied",
    "StopRun",
    "Submission",
    "TerminatedRun",
    "TerminationReason",
    "ThrottleRun",
    "Tick",
    "WorkerEntry",
    "WorkerPoll",
    "WorkerReport",
    "WorkerUnresponsive",
    "WorkersListed",
    "choose_relays",
    "fencing_token",
    "find_refusal",
    "find_relay",
    "inherit_ended_leaders",
    "refuse_if_late",
    "refuse_if_rate_limited",
]
