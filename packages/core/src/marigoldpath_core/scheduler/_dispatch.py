"""Placement of waiting requests on workers, and their starts."""

import heapq
from collections.abc import Iterator
from contextlib import contextmanager

from marigoldpath_core.admission import QueuedRequest
from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.journal import Intent
from marigoldpath_core.messages import Start
from marigoldpath_core.request_state import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.requests import OutcomeKind, Request, Size, task_id

from ._codes import OutcomeCode
from ._outcomes import end_request
from ._preemption import preempt_for
from ._statistics import record_first_start
from ._zone import PendingEntry, PendingEntryPurpose, Zone

ATTEMPTS_PER_TERM = 1_000
# A long-running request whose run lasted this long is restarted without a delay.
STABLE_RUN_MS = 10_000
MIN_RESTART_DELAY_MS = 1_000
MAX_RESTART_DELAY_MS = 60_000


class Placer:
    """Choose workers for the requests that the queue offers in one scheduling pass."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone
        self._chosen: list[str] = []

    @property
    def chosen(self) -> list[str]:
        """The workers chosen by the last call of `can_place`, empty if none fit."""
        return self._chosen

    def can_place(self, queued: QueuedRequest) -> bool:
        """Return whether a request fits now, and store the workers chosen for it."""
        zone, request = self._zone, queued.request
        kind = zone.kinds.get(request.kind) or WorkKind(request.kind)
        size = estimated_size(zone, request)
        holder = str(request.key) if request.key == zone.reserved_for else ""
        names = (request.kind, request.key.team)
        if request.tasks == 1:
            with _excluding_failed_workers(zone, request):
                worker = zone.workers.choose_worker(
                    kind.placement, size, *names, reservation=holder
                )
            self._chosen = [] if worker is None else [worker]
        else:
            gang = zone.workers.choose_gang_workers(
                kind.placement, size, request.tasks, *names, reservation=holder
            )
            self._chosen = gang or []
        return bool(self._chosen)


@contextmanager
def _excluding_failed_workers(zone: Zone, request: Request) -> Iterator[None]:
    """Exclude the workers on which a request failed, unless no others are left.

    Before this exclusion existed, a request was tried three times on the same failing
    worker and then ended as failed.
    """
    state = zone.request_index.get(request.key)
    failed = state.failed_workers if state is not None else set()
    excluded = [name for name in sorted(failed) if name in zone.workers]
    if len(excluded) >= len(zone.workers):
        excluded = []
    for name in excluded:
        zone.workers.set_healthy(name, False)
    yield
    for name in excluded:
        zone.workers.set_healthy(name, zone.health.may_place(name, zone.now_ms))


def dispatch(zone: Zone, now_ms: int) -> None:
    """Run a scheduling pass: place as many waiting requests as fit.

    Then preempt tasks for the most urgent request that is still waiting, if any.
    """
    if not zone.needs_dispatch or zone.is_draining:
        return
    zone.needs_dispatch = False
    placer = Placer(zone)
    while (queued := zone.queue.next(now_ms, placer.can_place)) is not None:
        state = zone.request_index.get(queued.request.key)
        if state is not None and state.phase is RequestPhase.WAITING:
            place(zone, state, placer.chosen, now_ms)
    urgent = zone.queue.next_urgent_request()
    if urgent is not None:
        preempt_for(zone, urgent.request, now_ms)


def estimated_size(zone: Zone, request: Request) -> Size:
    """Return the size to allocate to each task of a request.

    It is the declared size, increased if tasks of the kind were observed to use more.
    """
    largest_capacity = zone.workers.largest_fitting_capacity(request.size)
    return zone.estimates.size(request.kind, request.size, largest_capacity)


def reserve_for_starving(zone: Zone, now_ms: int) -> None:
    """Reserve workers for the one request that has been skipped for longest."""
    starving_request = zone.queue.starving_request(now_ms)
    key = None if starving_request is None else starving_request.request.key
    if key == zone.reserved_for:
        return
    if zone.reserved_for is not None:
        zone.workers.unreserve(str(zone.reserved_for))
    zone.reserved_for = key
    if starving_request is not None:
        request = starving_request.request
        size = estimated_size(zone, request)
        zone.workers.reserve(str(key), size, request.tasks)
        zone.log("capacity_reserved", request=str(key), tasks=request.tasks)


def place(zone: Zone, state: RequestState, chosen: list[str], now_ms: int) -> None:
    """Allocate capacity on the chosen workers to a request, and start its tasks.

    The intent to start a request that is not repeatable is recorded in the journal
    first. It starts when that entry is durable.
    """
    request = state.request
    # The task ids of attempts in different terms must not collide.
    state.attempt = max(state.attempt, zone.leadership.epoch * ATTEMPTS_PER_TERM) + 1
    state.phase = RequestPhase.PLACED
    size = estimated_size(zone, request)
    for index, worker in enumerate(chosen):
        task = TaskState(task_id(request.key, state.attempt, index), worker, size)
        zone.request_index.add_task(state, task)
        zone.workers.allocate(worker, task.task, size, request.kind, request.key.team)
        zone.health.record_start(worker, request.key, request.kind)
        may_place = zone.health.may_place(worker, now_ms)
        zone.workers.set_healthy(worker, may_place)
    zone.queue.allocate(request, size)
    state.history.add(now_ms, "placed", f"on {', '.join(chosen)}")
    if request.repeatable:
        send_starts(zone, state, now_ms)
        return
    sequence = 0
    for worker in dict.fromkeys(chosen):
        tasks = tuple(t.task for t in state.tasks.values() if t.worker == worker)
        observation = zone.observation(worker)
        intent = Intent(tasks, worker, observation.incarnation, observation.clock_ms)
        sequence = zone.journal.append(intent, now_ms)
    zone.pending_entries[sequence] = PendingEntry(
        PendingEntryPurpose.START, request.key, state.attempt
    )


def send_starts(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Send the starts of a placed request, or requeue it if a claim was lost."""
    start_deadlines = {
        task.worker: zone.leadership.start_before_clock_ms(task.worker, now_ms)
        for task in state.tasks.values()
    }
    unclaimed = [
        worker
        for worker, start_deadline in start_deadlines.items()
        if start_deadline is None
    ]
    if unclaimed:
        for worker in unclaimed:
            # If the worker stayed ready, this pass would choose it again in an endless
            # loop. The worker's next poll makes it ready again if its claim is held.
            if worker in zone.workers:
                zone.workers.set_ready(worker, False)
        requeue(zone, state, now_ms, "the claim on a worker was lost before the start")
        return
    if state.attempt % ATTEMPTS_PER_TERM == 1:
        record_first_start(zone, state, now_ms)
    request = state.request
    work = {**request.work, "repeatable": request.repeatable}
    lease_ms = zone.settings.leadership.task_lease_ms
    for task in state.tasks.values():
        start_deadline = start_deadlines[task.worker]
        clock_ms = zone.leadership.worker_clock_ms(task.worker, now_ms)
        assert start_deadline is not None and clock_ms is not None
        task.phase = TaskPhase.STARTING
        task.incarnation = zone.observation(task.worker).incarnation
        task.start_before_clock_ms = start_deadline
        task.lease_expires_at_ms = lease_expiry_ms(zone, lease_ms, now_ms)
        start = Start(
            task.task,
            task.size,
            start_deadline,
            clock_ms + lease_ms,
            work,
            state.traceparent,
        )
        zone.add_start(task.worker, start)


def lease_expiry_ms(zone: Zone, lease_ms: int, now_ms: int) -> int:
    """Return the time on this host's clock when a lease has certainly expired.

    The lease expires `lease_ms` from now on the worker's clock, which may run slower
    than this host's by the drift of both clocks.
    """
    drift_percent = 2 * zone.settings.leadership.drift_percent
    return now_ms + lease_ms * (100 + drift_percent) // 100 + 1


def requeue(zone: Zone, state: RequestState, now_ms: int, reason: str) -> None:
    """Put a request back into the queue; none of its tasks may be running.

    A cancelled request is ended instead, and a placeholder is removed.
    """
    assert not state.may_run
    release_placement(zone, state)
    state.requeue_reason = ""
    state.history.add(now_ms, "requeued", reason)
    zone.count("requeued")
    if state.is_cancelled:
        end_request(
            zone, state, OutcomeKind.NOT_RUN, now_ms, code=OutcomeCode.CANCELLED
        )
        return
    if state.is_placeholder:
        zone.request_index.remove(state.request.key)
        return
    enqueue_admitted(zone, state, now_ms)


def requeue_after_delay(
    zone: Zone, state: RequestState, ran_ms: int, now_ms: int, reason: str
) -> None:
    """Queue a long-running request again, without a delay if its run was long enough.

    After short runs, the delay doubles with each one. Before this delay existed, a task
    that terminated at once was started about 400 times per second.
    """
    release_placement(zone, state)
    state.short_runs = 0 if ran_ms >= STABLE_RUN_MS else state.short_runs + 1
    delay_ms = min(
        MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** (state.short_runs - 1)
    )
    if not state.short_runs:
        delay_ms = 0
    state.phase = RequestPhase.WAITING
    state.history.add(now_ms, "delayed", f"{reason}; next run in {delay_ms} ms")
    heapq.heappush(zone.delayed_restarts, (now_ms + delay_ms, state.request.key))


def enqueue_admitted(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Queue a request that was admitted before.

    Its deadline counts from its submission, or from now if it is long-running.
    """
    since_ms = state.submitted_at_ms
    if is_long_running(zone, state.request):
        since_ms = now_ms
    zone.queue.restore(state.request, now_ms, since_ms)
    state.phase = RequestPhase.WAITING
    zone.needs_dispatch = True


def enqueue_delayed_restarts(zone: Zone, now_ms: int) -> None:
    """Queue the long-running requests whose restart delay has passed."""
    while zone.delayed_restarts and zone.delayed_restarts[0][0] <= now_ms:
        _, key = heapq.heappop(zone.delayed_restarts)
        state = zone.request_index.get(key)
        if state is not None and state.phase is RequestPhase.WAITING:
            enqueue_admitted(zone, state, now_ms)


def release_placement(zone: Zone, state: RequestState) -> None:
    """Release the resources allocated to a request on workers and in quotas."""
    for task in list(state.tasks.values()):
        if task.phase is not TaskPhase.ENDED:
            release_task(zone, state, task, None, zone.now_ms)
        zone.request_index.remove_task(state, task)
    zone.queue.release(state.request.key)
    zone.needs_dispatch = True


def release_task(
    zone: Zone,
    state: RequestState,
    task: TaskState,
    succeeded: bool | None,
    now_ms: int,
) -> None:
    """Release the resources of a terminated task.

    `succeeded` is None if the termination says nothing about the health of the worker.
    """
    task.phase = TaskPhase.ENDED
    request = state.request
    zone.workers.release(task.worker, task.task)
    zone.health.record_end(task.worker, request.key, request.kind, succeeded, now_ms)
    if task.worker in zone.workers:
        may_place = zone.health.may_place(task.worker, now_ms)
        zone.workers.set_healthy(task.worker, may_place)
    zone.needs_dispatch = True


def is_long_running(zone: Zone, request: Request) -> bool:
    """Return whether a request is restarted after each run until it is cancelled."""
    kind = zone.kinds.get(request.kind)
    return kind is not None and kind.standing
