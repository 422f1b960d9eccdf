"""The state of an accepted job in memory."""

import math

from marigoldpath_core.jobs import AcceptedJob, JobSpec, JobState, Progress, Queue

from ._progress import group_by_step, restore_step
from ._work import Step


class Job:
    """An accepted job whose final state, if any, is not stored yet.

    Of a job with several occurrences, only the steps of the open ones are kept: those
    that have begun and are not done. All occurrences below `begun_occurrences` have
    begun, and those in `begun_early`.
    """

    def __init__(self, accepted: AcceptedJob, progress: Progress | None) -> None:
        self.accepted = accepted
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], Step] = {}
        # The stored progress of the steps that have not been created yet.
        self._stored_steps = {} if progress is None else group_by_step(progress)
        # Whether the stored progress allows the job to run outside its zone, and
        # whether that permission has been requested.
        self.may_leave_zone = progress is not None and progress.may_leave_zone
        self.zone_exit_requested = self.may_leave_zone
        self.begun_occurrences = 0
        # Occurrences that a previous leader began, as a worker's report shows, and
        # whose predecessors this leader has not begun.
        self.begun_early: set[int] = set()
        # The number of incomplete steps of each open occurrence.
        self._incomplete_steps: dict[int, int] = {}
        # When it is due if all its steps run once.
        self.due_ms = 0.0
        # When it was last logged that occurrences wait.
        self.waiting_logged_ms = -math.inf
        # When it was accepted, on the leader's clock.
        self.accepted_at_ms = 0.0
        # Until when it comes after all other jobs, if its workspace sent it above its
        # rate.
        self.excess_until_ms = -math.inf
        self.has_started = False

    @property
    def spec(self) -> JobSpec:
        """Return the job as the caller submitted it."""
        return self.accepted.spec

    @property
    def queue(self) -> Queue:
        """Return the policy of the job's queue."""
        return self.accepted.queue

    @property
    def zone(self) -> str:
        """Return the availability zone the job is confined to, empty for none."""
        return "" if self.may_leave_zone else self.accepted.zone

    @property
    def was_excess(self) -> bool:
        """Return whether its workspace sent it above its rate, however long ago."""
        return self.excess_until_ms > -math.inf

    @property
    def has_runs(self) -> bool:
        """Return whether any task of the job has a run."""
        return any(
            step.remaining_tasks > step.waiting_tasks for step in self.steps.values()
        )

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.spec.occurrences)

    @property
    def open_occurrences(self) -> list[int]:
        """Return the occurrences that have begun and are not done."""
        return list(self._incomplete_steps)

    @property
    def is_done(self) -> bool:
        """Return whether all occurrences have begun and none is open."""
        return self.begun_occurrences >= self.occurrences and not self._incomplete_steps

    def is_open(self, occurrence: int) -> bool:
        """Return whether an occurrence has begun and is not done."""
        return occurrence in self._incomplete_steps

    def is_begun(self, occurrence: int) -> bool:
        """Return whether an occurrence has begun; it may be done."""
        return occurrence < self.begun_occurrences or occurrence in self.begun_early

    @property
    def last_due_ms(self) -> float:
        """When the last occurrence that has begun in order has to be done."""
        return self.occurrence_due_ms(max(0, self.begun_occurrences - 1))

    def occurrence_due_ms(self, occurrence: int) -> float:
        """Return when an occurrence has to be done to be on time."""
        spec = self.spec
        start_ms = spec.start_ms + occurrence * spec.interval_ms
        return self.due_ms + max(0, start_ms - self.accepted.accepted_ms)

    def begin_occurrence(self, occurrence: int) -> list[Step]:
        """Create the steps of an occurrence and restore their stored progress."""
        steps = [
            Step(self, occurrence, number) for number in range(len(self.spec.steps))
        ]
        for step in steps:
            self.steps[occurrence, step.number] = step
            stored = self._stored_steps.pop((occurrence, step.number), None)
            if stored is not None:
                restore_step(step, stored)
        incomplete_steps = sum(step.remaining_tasks > 0 for step in steps)
        self._incomplete_steps[occurrence] = incomplete_steps
        self._record_begun(occurrence)
        if not incomplete_steps:
            self._close_occurrence(occurrence)
        return steps

    def restore_begun(self, progress: Progress) -> None:
        """Restore which occurrences have begun; the open ones must still be created."""
        self.begun_occurrences = progress.begun_occurrences
        self.begun_early = set(progress.begun_early)

    def _record_begun(self, occurrence: int) -> None:
        if occurrence > self.begun_occurrences:
            self.begun_early.add(occurrence)
        elif occurrence == self.begun_occurrences:
            self.begun_occurrences += 1
            while self.begun_occurrences in self.begun_early:
                self.begun_early.discard(self.begun_occurrences)
                self.begun_occurrences += 1

    def complete_step(self, step: Step) -> None:
        """Record that all tasks of a step are done.

        The steps of its occurrence are removed with the last of them.
        """
        self._incomplete_steps[step.occurrence] -= 1
        if not self._incomplete_steps[step.occurrence]:
            self._close_occurrence(step.occurrence)

    def _close_occurrence(self, occurrence: int) -> None:
        del self._incomplete_steps[occurrence]
        for number in range(len(self.spec.steps)):
            del self.steps[occurrence, number]

    def successors(self, step: Step) -> list[Step]:
        """Return the steps of the same occurrence that wait for a step."""
        return [
            self.steps[step.occurrence, number]
            for number, spec in enumerate(self.spec.steps)
            if step.number in spec.after
        ]

    def predecessors_done(self, step: Step) -> bool:
        """Return whether all steps that `step` waits for are done."""
        return all(
            self.steps[step.occurrence, number].remaining_tasks == 0
            for number in step.spec.after
        )
