"""Places waiting requests on workers and sends their starts."""

import heapq
from collections.abc import Iterator
from contextlib import contextmanager

from marigoldpath_core.admission import QueuedRequest
from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.journal import Intent
from marigoldpath_core.ledger import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.messages import Start
from marigoldpath_core.requests import OutcomeKind, Request, Size, task_id

from ._codes import OutcomeCode
from ._day import note_first_start
from ._outcomes import end_request
from ._preemption import preempt_for
from ._zone import Ticket, TicketPurpose, Zone

ATTEMPTS_PER_TERM = 1_000
# A standing request whose run lasted this long is restarted without a delay.
STEADY_RUN_MS = 10_000
FIRST_DELAY_MS = 1_000
LONGEST_DELAY_MS = 60_000


class Placer:
    """Chooses workers for the requests that the queue offers in one turn."""

    def __init__(self, zone: Zone) -> None:
        self._zone = zone
        self._chosen: list[str] = []

    @property
    def chosen(self) -> list[str]:
        """The workers for the request that was accepted last."""
        return self._chosen

    def can_place(self, queued: QueuedRequest) -> bool:
        """Return whether a request fits now, and remember where."""
        zone, request = self._zone, queued.request
        kind = zone.kinds.get(request.kind) or WorkKind(request.kind)
        size = reserved_size(zone, request)
        holder = str(request.key) if request.key == zone.reserved_for else ""
        names = (request.kind, request.key.team)
        if request.tasks == 1:
            with _avoiding(zone, request):
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
def _avoiding(zone: Zone, request: Request) -> Iterator[None]:
    """Leave out the workers on which a request failed, while there are others.

    A request was tried three times on the same failing worker and given up.
    """
    state = zone.ledger.get(request.key)
    failed = state.failed_on if state is not None else set()
    left_out = [name for name in sorted(failed) if name in zone.workers]
    if len(left_out) >= len(zone.workers):
        left_out = []
    for name in left_out:
        zone.workers.set_healthy(name, False)
    yield
    for name in left_out:
        zone.workers.set_healthy(name, zone.health.may_place(name, zone.now_ms))


def dispatch(zone: Zone, now_ms: int) -> None:
    """Place as many waiting requests as fit."""
    if not zone.has_work or zone.is_draining:
        return
    zone.has_work = False
    placer = Placer(zone)
    while (queued := zone.queue.next(now_ms, placer.can_place)) is not None:
        state = zone.ledger.get(queued.request.key)
        if state is not None and state.phase is RequestPhase.WAITING:
            place(zone, state, placer.chosen, now_ms)
    urgent = zone.queue.next_urgent_request()
    if urgent is not None:
        preempt_for(zone, urgent.request, now_ms)


def reserved_size(zone: Zone, request: Request) -> Size:
    """Return what a task is counted with: its declared size, corrected upwards."""
    most = zone.workers.largest_fitting_capacity(request.size)
    return zone.estimates.size(request.kind, request.size, most)


def reserve_for_starving(zone: Zone, now_ms: int) -> None:
    """Keep workers free for the one request that was passed over for longest."""
    starving_request = zone.queue.starving_request(now_ms)
    key = None if starving_request is None else starving_request.request.key
    if key == zone.reserved_for:
        return
    if zone.reserved_for is not None:
        zone.workers.unreserve(str(zone.reserved_for))
    zone.reserved_for = key
    if starving_request is not None:
        request = starving_request.request
        size = reserved_size(zone, request)
        zone.workers.reserve(str(key), size, request.tasks)
        zone.log("capacity_reserved", request=str(key), tasks=request.tasks)


def place(zone: Zone, state: RequestState, chosen: list[str], now_ms: int) -> None:
    """Occupy workers for a request; start it, or record the intent first."""
    request = state.request
    # Attempts of different terms never share a task id.
    state.attempt = max(state.attempt, zone.leadership.epoch * ATTEMPTS_PER_TERM) + 1
    state.phase = RequestPhase.PLACED
    size = reserved_size(zone, request)
    for index, worker in enumerate(chosen):
        task = TaskState(task_id(request.key, state.attempt, index), worker, size)
        zone.ledger.attach(state, task)
        zone.workers.allocate(worker, task.task, size, request.kind, request.key.team)
        zone.health.record_start(worker, request.key, request.kind)
        may_place = zone.health.may_place(worker, now_ms)
        zone.workers.set_healthy(worker, may_place)
    zone.queue.allocate(request, size)
    state.history.add(now_ms, "placed", f"on {', '.join(chosen)}")
    if request.repeatable:
        send_starts(zone, state, now_ms)
        return
    ticket = 0
    for worker in dict.fromkeys(chosen):
        tasks = tuple(t.task for t in state.tasks.values() if t.worker == worker)
        watch = zone.watch(worker)
        intent = Intent(tasks, worker, watch.incarnation, watch.clock_ms)
        ticket = zone.journal.append(intent, now_ms)
    zone.tickets[ticket] = Ticket(TicketPurpose.START, request.key, state.attempt)


def send_starts(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Send the starts of a placed request, or take the placement back."""
    limits = {
        task.worker: zone.leadership.start_before(task.worker, now_ms)
        for task in state.tasks.values()
    }
    lost = [worker for worker, limit in limits.items() if limit is None]
    if lost:
        for worker in lost:
            # It would be chosen again in this turn, and so on without end. The
            # worker's next poll makes it placeable again if its claim is held.
            if worker in zone.workers:
                zone.workers.set_ready(worker, False)
        requeue(zone, state, now_ms, "the claim on a worker was lost before the start")
        return
    if state.attempt % ATTEMPTS_PER_TERM == 1:
        note_first_start(zone, state, now_ms)
    request = state.request
    work = {**request.work, "repeatable": request.repeatable}
    lease_ms = zone.settings.leadership.task_lease_ms
    for task in state.tasks.values():
        limit = limits[task.worker]
        clock_ms = zone.leadership.worker_clock_ms(task.worker, now_ms)
        assert limit is not None and clock_ms is not None
        task.phase = TaskPhase.STARTING
        task.incarnation = zone.watch(task.worker).incarnation
        task.start_before_clock_ms = limit
        task.lease_over_at_ms = lease_over_at_ms(zone, lease_ms, now_ms)
        start = Start(
            task.task,
            task.size,
            limit,
            clock_ms + lease_ms,
            work,
            state.traceparent,
        )
        zone.add_start(task.worker, start)


def lease_over_at_ms(zone: Zone, lease_ms: int, now_ms: int) -> int:
    """Return when a lease that ends `lease_ms` from now is over on any clock.

    The worker's clock may run slower than this host's by the drift on both sides.
    """
    drift_percent = 2 * zone.settings.leadership.drift_percent
    return now_ms + lease_ms * (100 + drift_percent) // 100 + 1


def requeue(zone: Zone, state: RequestState, now_ms: int, reason: str) -> None:
    """Put a request back into the queue, once none of its tasks can run."""
    assert not state.may_run
    free(zone, state)
    state.requeue_reason = ""
    state.history.add(now_ms, "requeued", reason)
    zone.count("requeued")
    if state.is_cancelled:
        end_request(
            zone, state, OutcomeKind.NOT_RUN, now_ms, code=OutcomeCode.CANCELLED
        )
        return
    if state.is_adopted:
        zone.ledger.forget(state.request.key)
        return
    restore(zone, state, now_ms)


def requeue_later(
    zone: Zone, state: RequestState, ran_ms: int, now_ms: int, reason: str
) -> None:
    """Put a standing request back, later each time that its run was short.

    Without a delay a task that ends at once was started some 400 times a second.
    """
    free(zone, state)
    state.restarts = 0 if ran_ms >= STEADY_RUN_MS else state.restarts + 1
    delay_ms = min(LONGEST_DELAY_MS, FIRST_DELAY_MS * 2 ** (state.restarts - 1))
    if not state.restarts:
        delay_ms = 0
    state.phase = RequestPhase.WAITING
    state.history.add(now_ms, "delayed", f"{reason}; next run in {delay_ms} ms")
    heapq.heappush(zone.delayed, (now_ms + delay_ms, state.request.key))


def restore(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Queue a request that was taken in before; a standing one has no deadline."""
    since_ms = state.submitted_at_ms
    if is_standing(zone, state.request):
        since_ms = now_ms
    zone.queue.restore(state.request, now_ms, since_ms)
    state.phase = RequestPhase.WAITING
    zone.has_work = True


def restore_delayed(zone: Zone, now_ms: int) -> None:
    """Queue the standing requests whose delay is over."""
    while zone.delayed and zone.delayed[0][0] <= now_ms:
        _, key = heapq.heappop(zone.delayed)
        state = zone.ledger.get(key)
        if state is not None and state.phase is RequestPhase.WAITING:
            restore(zone, state, now_ms)


def free(zone: Zone, state: RequestState) -> None:
    """Give back what a request holds on workers and in quotas."""
    for task in list(state.tasks.values()):
        if task.phase is not TaskPhase.ENDED:
            task_over(zone, state, task, None, zone.now_ms)
        zone.ledger.detach(state, task)
    zone.queue.release(state.request.key)
    zone.has_work = True


def task_over(
    zone: Zone, state: RequestState, task: TaskState, ok: bool | None, now_ms: int
) -> None:
    """Free what a task held; `ok` is None when its end says nothing of the worker."""
    task.phase = TaskPhase.ENDED
    request = state.request
    zone.workers.release(task.worker, task.task)
    zone.health.record_end(task.worker, request.key, request.kind, ok, now_ms)
    if task.worker in zone.workers:
        may_place = zone.health.may_place(task.worker, now_ms)
        zone.workers.set_healthy(task.worker, may_place)
    zone.has_work = True


def is_standing(zone: Zone, request: Request) -> bool:
    """Return whether a request runs again and again until it is cancelled."""
    kind = zone.kinds.get(request.kind)
    return kind is not None and kind.standing
