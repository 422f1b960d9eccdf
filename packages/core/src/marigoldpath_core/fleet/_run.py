"""The state of one run of a task."""

import math
from enum import Enum
from typing import TYPE_CHECKING

from marigoldpath_core.jobs import Resources

if TYPE_CHECKING:
    from ._work import Task

# The speed of a filler that another leader may have throttled.
UNKNOWN_SPEED = -1


class RunState(Enum):
    """The state of a run as the leader knows it.

    PLANNED: its start is sent once it is recorded in the store.
    """

    PLANNED = "planned"
    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on a worker; times in milliseconds.

    Times whose names contain `clock` are on the worker's clock. This leader sent the
    start at `sent_clock_ms`, as far as it knows the worker's clock. The worker
    refuses the start after `until_clock_ms`; 0 means that this leader has sent no start
    command for the run, and None that the time limit cannot be relied on, because the
    worker has restarted. A report from after
    `confirmed_clock_ms` shows whether the run exists. No report from before
    `progress_clock_ms` counts for the check whether the run makes progress.
    `started_ms` is the time on the leader's clock at which the start was sent or, once
    that is known, confirmed. It is minus infinity for an adopted run.
    `began_clock_ms` is when the run began. It is None if that is not known, if the run
    began from a checkpoint, or if the time of its end cannot be known.
    The speed of the run is measured from `measured_from_clock_ms` on, when it had
    `measured_from_percent`. That time is None as long as neither is known.
    """

    __slots__ = (
        "began_clock_ms",
        "confirmed_clock_ms",
        "had_copy",
        "is_done",
        "is_recorded",
        "load",
        "measured_from_clock_ms",
        "measured_from_percent",
        "need",
        "number",
        "percent",
        "progress_clock_ms",
        "sent_clock_ms",
        "speed_percent",
        "started_as_copy",
        "started_ms",
        "state",
        "stop_sent_ms",
        "task",
        "unchanged_reports",
        "until_clock_ms",
        "was_reported",
        "worker_id",
    )

    def __init__(
        self, task: "Task", number: int, worker_id: str, need: Resources, clock_ms: int
    ) -> None:
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.need = need
        self.state = RunState.SENT
        self.sent_clock_ms = 0
        self.until_clock_ms: int | None = 0
        self.was_reported = False
        self.confirmed_clock_ms: int | None = None
        self.percent = 0
        self.progress_clock_ms = clock_ms
        self.unchanged_reports = 0
        self.stop_sent_ms = 0.0
        self.load = 0
        self.speed_percent = 100
        self.started_ms = -math.inf
        self.began_clock_ms: int | None = None
        # Whether the start of a planned run is stored.
        self.is_recorded = False
        # Whether the worker has reported that the run is done.
        self.is_done = False
        # Whether this leader has seen a copy of the run, and whether the run is one.
        # A copy that has become the primary run still counts as started as a copy.
        self.had_copy = False
        self.started_as_copy = False
        self.measured_from_clock_ms: int | None = None
        self.measured_from_percent = 0

    def restart_stall_check(self, clock_ms: int) -> None:
        """Count the time without progress from `clock_ms` on."""
        self.progress_clock_ms = clock_ms
        self.unchanged_reports = 0
