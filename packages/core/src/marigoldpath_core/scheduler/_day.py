"""Tells the day's book what becomes of requests and workers."""

from marigoldpath_core.admission import QueuedRequest
from marigoldpath_core.ledger import RequestPhase, RequestState, TaskPhase, TaskState
from marigoldpath_core.messages import TaskStatus
from marigoldpath_core.report import DayRecord, Refusal
from marigoldpath_core.requests import Outcome, OutcomeKind, Request, Size

from ._codes import OutcomeCode
from ._zone import Zone

# Why a request waited that an entry of its history tells.
CAUSE_OF_EVENT = {
    "recovered": "leader_change",
    "waiting": "platform",
    "delayed": "lease",
}


def note_refused_at_intake(zone: Zone, request: Request, outcome: Outcome) -> None:
    """Count a refusal of a request that was never taken in."""
    if zone.leadership.epoch:
        zone.day.submitted(request.kind)
        _note_refused(zone, request, outcome)


def note_ended(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Count the outcome of a request."""
    outcome, request = state.outcome, state.request
    assert outcome is not None
    if not request.kind:
        # Known from a worker only: the leader that started it counted it.
        return
    if outcome.code == OutcomeCode.CANCELLED:
        zone.day.cancelled(request.kind)
    elif outcome.kind is OutcomeKind.NOT_RUN:
        _note_refused(zone, request, outcome)
    elif outcome.kind is OutcomeKind.UNKNOWN:
        zone.day.unknown(request.kind)
    else:
        zone.day.done(request.kind, request.key.team, now_ms)


def note_first_start(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Count how long a request waited for its first start, and why."""
    request = state.request
    cause, noted_ms = zone.blocked.get((request.kind, request.key.team), ("", 0))
    if noted_ms < state.submitted_at_ms:
        cause = ""
    for entry in state.history.entries:
        cause = CAUSE_OF_EVENT.get(entry.event, cause)
    zone.day.started(request.kind, now_ms - state.submitted_at_ms, cause)


def note_task_ended(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int
) -> None:
    """Count what a task held, and a failure against its worker."""
    _charge(zone, state, task, now_ms)
    zone.day.task_ended(task.task, task.worker, task.status is TaskStatus.FAILED)


def note_tick(zone: Zone, now_ms: int) -> None:
    """Note which requests are passed over and which workers are out of service."""
    if zone.day.is_day_over(now_ms):
        zone.day.begin_day(now_ms, day_record(zone, now_ms))
    zone.day.advance(now_ms)
    removed = zone.health.removed()
    for host in zone.day.removed_hosts("failing") - removed.keys():
        zone.day.host_restored(host, "failing", now_ms)
    for host in removed:
        zone.day.host_removed(host, "failing", now_ms)
    lanes = zone.queue.nonempty_queues()
    held_back = _held_back(zone) if lanes else Size()
    for lane in lanes:
        teams = set()
        for queued in lane.next_candidates():
            team = queued.key.team
            if team not in teams:
                teams.add(team)
                cause = _cause(zone, queued, held_back)
                zone.blocked[queued.request.kind, team] = cause, now_ms


def day_record(zone: Zone, now_ms: int) -> DayRecord:
    """Return the record of the day so far."""
    waiting: dict[str, int] = {}
    running: dict[str, int] = {}
    for state in zone.ledger:
        kind = state.request.kind
        if state.phase is RequestPhase.ENDED or not kind:
            continue
        counts = running if state.phase is RequestPhase.PLACED else waiting
        counts[kind] = counts.get(kind, 0) + 1
        for task in state.tasks.values():
            if task.phase is TaskPhase.RUNNING:
                _charge(zone, state, task, now_ms)
    return zone.day.record(waiting, running, now_ms)


def _charge(zone: Zone, state: RequestState, task: TaskState, now_ms: int) -> None:
    request = state.request
    zone.day.count_cpu_time(
        task.task,
        request.kind,
        request.key.team,
        task.size.cpu_millis,
        (task.started_at_ms, now_ms),
    )


def _held_back(zone: Zone) -> Size:
    """Return the most that is free, by dimension, on workers held back by health."""
    free = [v.free for v in zone.workers if v.removed and v.ready and not v.leaving]
    return Size(*(max(amounts) for amounts in zip(*free))) if free else Size()


def _cause(zone: Zone, queued: QueuedRequest, held_back: Size) -> str:
    """Return why a waiting request was passed over."""
    request = queued.request
    if not zone.queue.within_quota(request):
        return "quota"
    size = _all_tasks(request)
    room = zone.queue.headroom(request.kind)
    kind = zone.kinds.get(request.kind)
    if room is not None and not size.fits(room):
        held = zone.queue.allocated_to_kind(request.kind).plus(size)
        limit = _part(zone.workers.capacity, kind.ceiling if kind else 1.0)
        if kind is not None and kind.ceiling < 1.0 and not held.fits(limit):
            return "ceiling"
        if zone.queue.is_below_floor(request.kind):
            # The floors of others do not hold it back, so the zone has shrunk.
            return "unproven" if any(held_back) else "capacity"
        if size.fits(zone.workers.capacity.minus(zone.workers.used)):
            return "floor"
    if any(
        kind is not None and lane.kind.priority < kind.priority
        for lane in zone.queue.nonempty_queues()
    ):
        return "priority"
    if request.size.fits(held_back):
        return "unproven"
    return "gang" if request.tasks > 1 else "capacity"


def _note_refused(zone: Zone, request: Request, outcome: Outcome) -> None:
    field, needed, limit = _figures(zone, request, outcome)
    team = request.key.team
    refusal = Refusal(
        request.kind, team, outcome.code, field, 1, needed, limit, outcome.message
    )
    zone.day.refused(refusal)


def _figures(zone: Zone, request: Request, outcome: Outcome) -> tuple[str, int, int]:
    """Return the field that did not fit, what was asked for and the limit."""
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
        needed, limit = _all_tasks(request), quotas.get(request.key.team, limit)
        dimension = next(iter(needed.dimensions_exceeding(limit)), "")
    else:
        return outcome.field, 0, 0
    if dimension not in Size._fields:
        return outcome.field, 0, 0
    return dimension, getattr(needed, dimension), getattr(limit, dimension)


def _all_tasks(request: Request) -> Size:
    return Size(*(request.tasks * needed for needed in request.size))


def _part(size: Size, part: float) -> Size:
    return Size(*(int(amount * part) for amount in size))
