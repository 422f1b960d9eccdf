"""The state of one worker; no input or output, the clock is passed in.

Every method brings the state up to `now_ms` first. Ends that fell due earlier are
recorded with the time at which they fell due, so that a frozen worker that wakes up
reports the ends of leases as a real one enforces them.
"""

from collections.abc import Iterable
from typing import Any

from marigoldpath_core.requests import Size

from ._messages import (
    Event,
    Record,
    RunFaults,
    StartItem,
    StartStatus,
    TaskStatus,
    make_answer,
)

RETENTION_MS = 60_000
TWICE_AFTER_MS = 200
# Claims carry no work; they run until they are stopped or their lease ends.
CLAIM = "claim:"


class _Run:
    def __init__(self, item: StartItem, holder: str, sequence: int, now: int) -> None:
        self.task = item.task
        self.holder = holder
        self.sequence = sequence
        self.size = item.size
        self.lease_until_ms = item.lease_until_ms
        self.work = item.work
        use = item.work.get("use")
        self.real_size = item.size if use is None else Size(**use)
        self.started_ms = now
        self.percent = 100
        run_ms = item.work.get("run_ms", None if item.task.startswith(CLAIM) else 0)
        self.finish_ms = None if run_ms is None else now + int(run_ms)

    @property
    def end_ms(self) -> int:
        if self.finish_ms is None:
            return self.lease_until_ms
        return min(self.finish_ms, self.lease_until_ms)

    def throttle(self, percent: int, now: int) -> None:
        if self.finish_ms is not None:
            left = (self.finish_ms - now) * self.percent
            self.finish_ms = now + left // percent
        self.percent = percent

    def used(self) -> Size:
        size = self.real_size
        return size._replace(cpu_millis=size.cpu_millis * self.percent // 100)


class WorkerStateMachine:
    """Runs what it is given, under leases, and keeps answers for a minute."""

    def __init__(
        self, name: str, capacity: Size, incarnation: str, usage_lag_ms: int = 0
    ) -> None:
        self._name = name
        self._capacity = capacity
        self._incarnation = incarnation
        self._usage_lag_ms = usage_lag_ms
        self._behaviour = RunFaults()
        self._runs: dict[int, _Run] = {}
        self._total = Size()
        self._used = Size()
        self._sequence = 0
        self._events: list[Event] = []
        self._hidden: list[Event] = []
        self._event_sequence = 0
        self._records: list[Record] = []

    @property
    def incarnation(self) -> str:
        """The identity of the worker since its last restart."""
        return self._incarnation

    @property
    def next_change_ms(self) -> int | None:
        """When the next task ends or the next event shows, if any does."""
        times = [run.end_ms for run in self._runs.values()]
        times.extend(event.shown_ms for event in self._hidden)
        return min(times, default=None)

    def set_run_faults(self, behaviour: RunFaults) -> None:
        """Set the faults of runs that start or end from now on."""
        self._behaviour = behaviour

    def boot(self, now_ms: int, incarnation: str) -> None:
        """Start anew: no tasks, no answers, another incarnation."""
        self.advance(now_ms)
        for run in list(self._runs.values()):
            self._remove(run, now_ms, "lost")
        self._incarnation = incarnation
        self._sequence = 0
        self._events.clear()
        self._hidden.clear()
        self._event_sequence = 0
        self._records.append(
            Record(now_ms, self._name, "up", self._capacity, self._total)
        )

    def start(
        self, now_ms: int, holder: str, items: Iterable[StartItem]
    ) -> dict[str, StartStatus]:
        """Start tasks, whether they fit or not, unless their time has passed."""
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
            if self._behaviour.fail and not item.task.startswith(CLAIM):
                run.finish_ms = now_ms
            self._runs[run.sequence] = run
            self._total = self._total.plus(run.size)
            self._used = self._used.plus(run.real_size)
            self._record(now_ms, "started", item, holder, run=run.sequence)
        self.advance(now_ms)
        return statuses

    def renew(
        self, now_ms: int, holder: str, tasks: Iterable[str], lease_until_ms: int
    ) -> None:
        """Set the holder and the lease of the named tasks that run."""
        self.advance(now_ms)
        for run in self._named(tasks):
            run.holder = holder
            run.lease_until_ms = lease_until_ms

    def stop(self, now_ms: int, tasks: Iterable[str]) -> None:
        """Stop the named tasks that run."""
        self.advance(now_ms)
        for run in self._named(tasks):
            self._end(run, now_ms, TaskStatus.STOPPED)

    def throttle(self, now_ms: int, tasks: Iterable[str], percent: int) -> None:
        """Limit the processor time of tasks, which makes their runs longer."""
        self.advance(now_ms)
        for run in self._named(tasks):
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

    def events(self, now_ms: int, after: int) -> tuple[int, list[Event]]:
        """Return the newest sequence number and the kept events after `after`."""
        self.advance(now_ms)
        newer = [event for event in self._events if event.sequence > after]
        return self._event_sequence, newer

    def usage(self, now_ms: int) -> list[dict[str, Any]]:
        """Return what tasks use, once they have run for the lag."""
        self.advance(now_ms)
        return [
            {"task": run.task, "size": run.used()._asdict()}
            for run in self._runs.values()
            if run.started_ms + self._usage_lag_ms <= now_ms
        ]

    def take_records(self) -> list[Record]:
        """Return the records since the last call."""
        records, self._records = self._records, []
        return records

    def advance(self, now_ms: int) -> bool:
        """End what is due and show what was held back; return whether there was any.

        Events older than the retention time are forgotten.
        """
        due = [run for run in self._runs.values() if run.end_ms <= now_ms]
        due.sort(key=lambda run: (run.end_ms, run.sequence))
        for run in due:
            end_ms = max(run.end_ms, run.started_ms)
            self._end(run, end_ms, self._status(run))
        shown = self._show(now_ms)
        oldest_ms = now_ms - RETENTION_MS
        if self._events and self._events[0].shown_ms < oldest_ms:
            kept = [event for event in self._events if event.shown_ms >= oldest_ms]
            self._events = kept
        return bool(due) or shown

    def _show(self, now_ms: int) -> bool:
        shown = [event for event in self._hidden if event.shown_ms <= now_ms]
        if not shown:
            return False
        self._hidden = [event for event in self._hidden if event.shown_ms > now_ms]
        for event in sorted(shown, key=lambda event: event.shown_ms):
            self._event_sequence += 1
            self._events.append(event._replace(sequence=self._event_sequence))
        return True

    def _status(self, run: _Run) -> TaskStatus:
        if run.finish_ms is None or run.finish_ms > run.lease_until_ms:
            return TaskStatus.LEASE_EXPIRED
        if self._behaviour.fail or run.work.get("fail", False):
            return TaskStatus.FAILED
        return TaskStatus.DONE

    def _end(self, run: _Run, at_ms: int, status: TaskStatus) -> None:
        self._remove(run, at_ms, str(status))
        answer = None
        if status is TaskStatus.DONE:
            text = run.work.get("answer")
            answer = make_answer(f"answer of {run.task}" if text is None else text)
        for copy in range(self._behaviour.answers):
            event = Event(0, run.task, status, answer, at_ms + copy * TWICE_AFTER_MS)
            self._hidden.append(event)

    def _remove(self, run: _Run, at_ms: int, status: str) -> None:
        del self._runs[run.sequence]
        self._total = self._total.minus(run.size)
        self._used = self._used.minus(run.real_size)
        item = StartItem(run.task, run.size, 0, 0, run.work)
        self._record(at_ms, "ended", item, run.holder, run=run.sequence, status=status)

    def _named(self, tasks: Iterable[str]) -> list[_Run]:
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
            Record(
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
