"""Updates of the daily statistics on requests and workers."""

from marigoldpath_core.admission import QueuedRequest
from marigoldpath_core.messages import TaskStatus
from marigoldpath_core.report import DayRecord, Refusal
from marigoldpath_core.request_state import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.requests import Outcome, OutcomeKind, Request, Size

from ._codes import OutcomeCode
from ._zone import Zone

# Causes of waiting that are derived from events in the history of a request.
WAIT_CAUSE_BY_EVENT = {
    "recovered": "leader_change",
    "waiting": "platform",
    "delayed": "lease",
}


def record_refused_submission(zone: Zone, request: Request, outcome: Outcome) -> None:
    """Count a submission and its refusal, if this host leads."""
    if zone.leadership.epoch:
        zone.statistics.count_submitted(request.kind)
        _count_refusal(zone, request, outcome)


def record_outcome(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Count the outcome of a request in the daily statistics."""
    outcome, request = state.outcome, state.request
    assert outcome is not None
    if not request.kind:
        # The request is a placeholder. The leader that started it counted it already.
        return
    if outcome.code == OutcomeCode.CANCELLED:
        zone.statistics.count_cancelled(request.kind)
    elif outcome.kind is OutcomeKind.NOT_RUN:
        _count_refusal(zone, request, outcome)
    elif outcome.kind is OutcomeKind.UNKNOWN:
        zone.statistics.count_unknown(request.kind)
    else:
        zone.statistics.count_done(request.kind, request.key.team, now_ms)


def record_first_start(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Record how long a request waited for its first start, and the cause."""
    request = state.request
    cause, set_at_ms = zone.wait_causes.get((request.kind, request.key.team), ("", 0))
    if set_at_ms < state.submitted_at_ms:
        cause = ""
    for entry in state.history.entries:
        cause = WAIT_CAUSE_BY_EVENT.get(entry.event, cause)
    zone.statistics.count_started(request.kind, now_ms - state.submitted_at_ms, cause)


def record_task_termination(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int
) -> None:
    """Record a terminated task's CPU time, and whether it failed on its worker."""
    _record_cpu_time(zone, state, task, now_ms)
    zone.statistics.task_terminated(
        task.task, task.worker, task.status is TaskStatus.FAILED
    )


def update_statistics(zone: Zone, now_ms: int) -> None:
    """Record why requests wait and which workers are removed from service."""
    if zone.statistics.is_day_over(now_ms):
        zone.statistics.begin_day(now_ms, day_record(zone, now_ms))
    zone.statistics.advance(now_ms)
    removed = zone.health.removed()
    for host in zone.statistics.removed_hosts("failing") - removed.keys():
        zone.statistics.host_restored(host, "failing", now_ms)
    for host in removed:
        zone.statistics.host_removed(host, "failing", now_ms)
    kind_queues = zone.queue.nonempty_queues()
    unhealthy_free = _unhealthy_free_capacity(zone) if kind_queues else Size()
    for kind_queue in kind_queues:
        teams = set()
        for queued in kind_queue.next_candidates():
            team = queued.key.team
            if team not in teams:
                teams.add(team)
                cause = _waiting_cause(zone, queued, unhealthy_free)
                zone.wait_causes[queued.request.kind, team] = cause, now_ms


def day_record(zone: Zone, now_ms: int) -> DayRecord:
    """Return the statistics of the day so far."""
    waiting: dict[str, int] = {}
    running: dict[str, int] = {}
    for state in zone.request_index:
        kind = state.request.kind
        if state.phase is RequestPhase.ENDED or not kind:
            continue
        counts = running if state.phase is RequestPhase.PLACED else waiting
        counts[kind] = counts.get(kind, 0) + 1
        for task in state.tasks.values():
            if task.phase is TaskPhase.RUNNING:
                _record_cpu_time(zone, state, task, now_ms)
    return zone.statistics.record(waiting, running, now_ms)


def _record_cpu_time(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int
) -> None:
    request = state.request
    zone.statistics.count_cpu_time(
        task.task,
        request.kind,
        request.key.team,
        task.size.cpu_millis,
        (task.started_at_ms, now_ms),
    )


def _unhealthy_free_capacity(zone: Zone) -> Size:
    """Return the largest free amount of each dimension among unhealthy workers."""
    free = [v.free for v in zone.workers if v.removed and v.ready and not v.leaving]
    return Size(*(max(amounts) for amounts in zip(*free))) if free else Size()


def _waiting_cause(zone: Zone, queued: QueuedRequest, unhealthy_free: Size) -> str:
    """Return the cause for which a request is still waiting."""
    request = queued.request
    if not zone.queue.within_quota(request):
        return "quota"
    size = _total_size(request)
    headroom = zone.queue.headroom(request.kind)
    kind = zone.kinds.get(request.kind)
    if headroom is not None and not size.fits(headroom):
        allocated = zone.queue.allocated_to_kind(request.kind).plus(size)
        limit = _scaled(zone.workers.capacity, kind.ceiling if kind else 1.0)
        if kind is not None and kind.ceiling < 1.0 and not allocated.fits(limit):
            return "ceiling"
        if zone.queue.is_below_floor(request.kind):
            # The floors of other kinds do not limit a kind below its own floor. So the
            # zone has less capacity in service than its floors assume.
            return "unproven" if any(unhealthy_free) else "capacity"
        if size.fits(zone.workers.capacity.minus(zone.workers.used)):
            return "floor"
    if any(
        kind is not None and kind_queue.kind.priority < kind.priority
        for kind_queue in zone.queue.nonempty_queues()
    ):
        return "priority"
    if request.size.fits(unhealthy_free):
        return "unproven"
    return "gang" if request.tasks > 1 else "capacity"


def _count_refusal(zone: Zone, request: Request, outcome: Outcome) -> None:
    field, needed, limit = _refused_quantity(zone, request, outcome)
    team = request.key.team
    refusal = Refusal(
        request.kind, team, outcome.code, field, 1, needed, limit, outcome.message
    )
    zone.statistics.count_refused(refusal)


def _refused_quantity(
    zone: Zone, request: Request, outcome: Outcome
) -> tuple[str, int, int]:
    """Return the field that exceeded a limit, the amount requested and the limit.

    Both amounts are 0 if the refusal was not caused by a limit of a dimension.
    """
    if outcome.code == "queue_full" and request.kind in zone.kinds:
        return "", 0, zone.kinds[request.kind].queue_limit
    if outcome.field == "tasks":
        return "tasks", request.tasks, zone.workers.max_concurrent_tasks(request.size)
    needed, limit = request.size, Size()
    if outcome.code == OutcomeCode.NEVER_FITS:
        dimension = outcome.field.rpartition(".")[2]
        views = list(zone.workers)
        limit = Size(*(max(v.capacity[i] for v in views) for i in range(len(limit))))
    elif outcome.code == "over_quota":
        quotas = {quota.team: quota.limit for quota in zone.configuration.quotas}
        needed, limit = _total_size(request), quotas.get(request.key.team, limit)
        dimension = next(iter(needed.dimensions_exceeding(limit)), "")
    else:
        return outcome.field, 0, 0
    if dimension not in Size._fields:
        return outcome.field, 0, 0
    return dimension, getattr(needed, dimension), getattr(limit, dimension)


def _total_size(request: Request) -> Size:
    return Size(*(request.tasks * needed for needed in request.size))


def _scaled(size: Size, fraction: float) -> Size:
    return Size(*(int(amount * fraction) for amount in size))
