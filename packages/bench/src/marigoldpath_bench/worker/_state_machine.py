"""The state machine of one worker; no input or output, the clock is passed in.

Each method first advances the state to `now_ms`. A termination that was due earlier is
recorded with the time at which it was due, so that a worker resumed after a freeze
reports the expiry of leases as a real worker enforces it.
"""

from collections.abc import Iterable
from typing import Any

from marigoldpath_core.requests import Size

from ._messages import (
    RunFaults,
    StartItem,
    StartStatus,
    TaskEvent,
    TaskStatus,
    WorkerRecord,
    make_answer,
)

EVENT_RETENTION_MS = 60_000
DUPLICATE_EVENT_DELAY_MS = 200
# Leadership claims have no work; they run until they are stopped or their lease
# expires.
CLAIM_PREFIX = "claim:"


class _Run:
    def __init__(
        self, item: StartItem, holder: str, sequence: int, now_ms: int
    ) -> None:
        self.task = item.task
        self.holder = holder
        self.sequence = sequence
        self.size = item.size
        self.lease_until_ms = item.lease_until_ms
        self.work = item.work
        use = item.work.get("use")
        self.used_size = item.size if use is None else Size(**use)
        self.started_ms = now_ms
        self.percent = 100
        run_ms = item.work.get(
            "run_ms", None if item.task.startswith(CLAIM_PREFIX) else 0
        )
        self.finish_ms = None if run_ms is None else now_ms + int(run_ms)

    @property
    def end_ms(self) -> int:
        if self.finish_ms is None:
            return self.lease_until_ms
        return min(self.finish_ms, self.lease_until_ms)

    def throttle(self, percent: int, now_ms: int) -> None:
        if self.finish_ms is not None:
            remaining = (self.finish_ms - now_ms) * self.percent
            self.finish_ms = now_ms + remaining // percent
        self.percent = percent

    def usage(self) -> Size:
        size = self.used_size
        return size._replace(cpu_millis=size.cpu_millis * self.percent // 100)


class WorkerStateMachine:
    """Run the tasks of one worker under leases and keep their events for a minute."""

    def __init__(
        self, name: str, capacity: Size, incarnation: str, usage_lag_ms: int = 0
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._incarnation = incarnation
        self._usage_lag_ms = usage_lag_ms
        self._run_faults = RunFaults()
        self._runs: dict[int, _Run] = {}
        self._total = Size()
        self._used = Size()
        self._sequence = 0
        self._events: list[TaskEvent] = []
        self._unpublished: list[TaskEvent] = []
        self._event_sequence = 0
        self._records: list[WorkerRecord] = []

    @property
    def incarnation(self) -> str:
        """The id of the worker's current incarnation, which a restart changes."""
        return self._incarnation

    @property
    def next_change_ms(self) -> int | None:
        """The time of the next termination or the next event to publish, or None."""
        times = [run.end_ms for run in self._runs.values()]
        times.extend(event.shown_ms for event in self._unpublished)
        return min(times, default=None)

    def set_run_faults(self, run_faults: RunFaults) -> None:
        """Set the faults of runs that start or terminate from now on."""
        self._run_faults = run_faults

    def boot(self, now_ms: int, incarnation: str) -> None:
        """Restart the worker without tasks and events, as a new incarnation."""
        self.advance(now_ms)
        for run in list(self._runs.values()):
            self._remove(run, now_ms, "lost")
        self._incarnation = incarnation
        self._sequence = 0
        self._events.clear()
        self._unpublished.clear()
        self._event_sequence = 0
        self._records.append(
            WorkerRecord(now_ms, self._name, "up", self._capacity, self._total)
        )

    def start(
        self, now_ms: int, holder: str, items: Iterable[StartItem]
    ) -> dict[str, StartStatus]:
        """Start tasks, even beyond the capacity, unless their start time has passed."""
        self.advance(now_ms)
        statuses = {}
        for item in items:
            if item.start_before_ms <= now_ms:
                statuses[item.task] = StartStatus.EXPIRED
                self._record(now_ms, "expired", item, holder)
                continue
            statuses[item.task] = StartStatus.STARTED
            self._sequence += 1
            run = _Run(item, holder, self._sequence, now_ms)
            if self._run_faults.fail and not item.task.startswith(CLAIM_PREFIX):
                run.finish_ms = now_ms
            self._runs[run.sequence] = run
            self._total = self._total.plus(run.size)
            self._used = self._used.plus(run.used_size)
            self._record(now_ms, "started", item, holder, run=run.sequence)
        self.advance(now_ms)
        return statuses

    def renew(
        self, now_ms: int, holder: str, tasks: Iterable[str], lease_until_ms: int
    ) -> None:
        """Set the holder and the lease of the named tasks that are running."""
        self.advance(now_ms)
        for run in self._runs_of(tasks):
            run.holder = holder
            run.lease_until_ms = lease_until_ms

    def stop(self, now_ms: int, tasks: Iterable[str]) -> None:
        """Stop the named tasks that are running."""
        self.advance(now_ms)
        for run in self._runs_of(tasks):
            self._terminate(run, now_ms, TaskStatus.STOPPED)

    def throttle(self, now_ms: int, tasks: Iterable[str], percent: int) -> None:
        """Limit the CPU share of tasks, which extends their runs."""
        self.advance(now_ms)
        for run in self._runs_of(tasks):
            run.throttle(max(1, percent), now_ms)

    def tasks(self, now_ms: int) -> list[dict[str, Any]]:
        """Return the running tasks in start order."""
        self.advance(now_ms)
        return [
            {
                "task": run.task,
                "holder": run.holder,
                "sequence": run.sequence,
                "size": run.size._asdict(),
                "lease_until_ms": run.lease_until_ms,
            }
            for run in self._runs.values()
        ]

    def events(self, now_ms: int, after: int) -> tuple[int, list[TaskEvent]]:
        """Return the newest sequence number and the kept events after `after`."""
        self.advance(now_ms)
        newer = [event for event in self._events if event.sequence > after]
        return self._event_sequence, newer

    def usage(self, now_ms: int) -> list[dict[str, Any]]:
        """Return the usage of the tasks that have run for at least the usage lag."""
        self.advance(now_ms)
        return [
            {"task": run.task, "size": run.usage()._asdict()}
            for run in self._runs.values()
            if run.started_ms + self._usage_lag_ms <= now_ms
        ]

    def take_records(self) -> list[WorkerRecord]:
        """Return and clear the records since the last call."""
        records, self._records = self._records, []
        return records

    def advance(self, now_ms: int) -> bool:
        """Terminate the runs and publish the events that are due.

        Events older than the retention time are removed. Returns whether any run was
        terminated or any event was published.
        """
        due = [run for run in self._runs.values() if run.end_ms <= now_ms]
        due.sort(key=lambda run: (run.end_ms, run.sequence))
        for run in due:
            end_ms = max(run.end_ms, run.started_ms)
            self._terminate(run, end_ms, self._final_status(run))
        shown = self._publish_due(now_ms)
        oldest_ms = now_ms - EVENT_RETENTION_MS
        if self._events and self._events[0].shown_ms < oldest_ms:
            kept = [event for event in self._events if event.shown_ms >= oldest_ms]
            self._events = kept
        return bool(due) or shown

    def _publish_due(self, now_ms: int) -> bool:
        shown = [event for event in self._unpublished if event.shown_ms <= now_ms]
        if not shown:
            return False
        self._unpublished = [
            event for event in self._unpublished if event.shown_ms > now_ms
        ]
        for event in sorted(shown, key=lambda event: event.shown_ms):
            self._event_sequence += 1
            self._events.append(event._replace(sequence=self._event_sequence))
        return True

    def _final_status(self, run: _Run) -> TaskStatus:
        if run.finish_ms is None or run.finish_ms > run.lease_until_ms:
            return TaskStatus.LEASE_EXPIRED
        if self._run_faults.fail or run.work.get("fail", False):
            return TaskStatus.FAILED
        return TaskStatus.DONE

    def _terminate(self, run: _Run, at_ms: int, status: TaskStatus) -> None:
        self._remove(run, at_ms, str(status))
        answer = None
        if status is TaskStatus.DONE:
            text = run.work.get("answer")
            answer = make_answer(f"answer of {run.task}" if text is None else text)
        for copy in range(self._run_faults.answers):
            event = TaskEvent(
                0, run.task, status, answer, at_ms + copy * DUPLICATE_EVENT_DELAY_MS
            )
            self._unpublished.append(event)

    def _remove(self, run: _Run, at_ms: int, status: str) -> None:
        del self._runs[run.sequence]
        self._total = self._total.minus(run.size)
        self._used = self._used.minus(run.used_size)
        item = StartItem(run.task, run.size, 0, 0, run.work)
        self._record(at_ms, "ended", item, run.holder, run=run.sequence, status=status)

    def _runs_of(self, tasks: Iterable[str]) -> list[_Run]:
        names = set(tasks)
        return [run for run in self._runs.values() if run.task in names]

    def _record(
        self,
        at_ms: int,
        event: str,
        item: StartItem,
        holder: str,
        *,
        run: int = 0,
        status: str = "",
    ) -> None:
        self._records.append(
            WorkerRecord(
                clock_ms=at_ms,
                worker=self._name,
                event=event,
                size=item.size,
                total=self._total,
                used=self._used,
                task=item.task,
                holder=holder,
                run=run,
                status=status,
                repeatable=item.work.get("repeatable", True) is not False,
            )
        )
