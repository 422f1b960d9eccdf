"""Decides which steps get the slow advice requests.

The advice service processes one request of each host at a time, so only few slow
requests can be in flight. Steps that cannot be placed, however urgent, must not use all
of them to get tickets that they cannot use: the steps behind them would never start.

- A request is a first one if it includes a worker with room that was in no earlier
  request of the step, such as one that is back. First requests are sent by urgency.
- All others are repeated ones, most of them renewals. They are sent in turn: the step
  that has waited longest comes first, and one that could start a task has a lead.
- If both kinds wait, they take turns for the last request that may be sent. A request
  without which no task could start leaves the last one free, unless there is only one.
"""

import math
from collections.abc import Callable, Iterator

from ._advice_state import RepeatedRequest
from ._fleet import Fleet
from ._placement import has_capacity
from ._preemption import could_preempt
from ._work import Step
from ._worker import Worker

# A repeated request that could let a task start precedes others that have waited for up
# to this much longer.
ROOM_LEAD_MS = 10_000

# Returns the workers that a request of a step would include.
Selection = Callable[[Step], list[Worker]]


def request_limit(fleet: Fleet) -> int:
    """Return how many slow requests may be in flight.

    They may use only some of the hosts. The others stay free for fast requests, because
    the leader alone cannot send all of those.
    """
    return math.ceil(fleet.settings.slow_advice_share * fleet.slow_advice.hosts)


def choose_requests(
    fleet: Fleet, select: Selection
) -> Iterator[tuple[Step, list[Worker]]]:
    """Yield the steps whose requests to send now, with the workers to include.

    The caller sends each request before it takes the next one.
    """
    state = fleet.slow_advice
    candidates, state.candidates = state.candidates, []
    if fleet.prefetch_due:
        state.repeated_wait = any(step.asked_workers for step in candidates)
    if _count_free(fleet) <= 0:
        return
    first, repeated = _examine(fleet, candidates, select)
    if fleet.prefetch_due:
        state.repeated_wait = bool(repeated)
    while _count_free(fleet) > 0:
        taken = _take_next(fleet, first, repeated)
        if taken is None:
            return
        step, is_repeated = taken
        selected = select(step)
        if selected:
            state.last_was_repeated = is_repeated
            yield step, selected


def _count_free(fleet: Fleet) -> int:
    return request_limit(fleet) - len(fleet.slow_advice.in_flight)


def _examine(
    fleet: Fleet, candidates: list[Step], select: Selection
) -> tuple[list[Step], list[RepeatedRequest]]:
    """Return the steps with first requests, by urgency, and the repeated ones in turn.

    Steps that have no worker to request are omitted. A step without a first request is
    examined once for each Tick, as that takes longer than the rest of a pass.
    """
    first = []
    repeated = []
    for step in candidates:
        if not fleet.prefetch_due and step.examined_for_advice:
            continue
        step.examined_for_advice = True
        selected = select(step)
        if not selected:
            continue
        with_room = [each for each in selected if _has_room(fleet, step, each)]
        if any(not step.has_asked(worker) for worker in with_room):
            # It gets the next request that becomes free, also between two Ticks.
            step.examined_for_advice = False
            first.append(step)
        elif fleet.prefetch_due:
            repeated.append(RepeatedRequest(step, bool(with_room)))
    repeated.sort(key=_turn_ms)
    return first, repeated


def _turn_ms(request: RepeatedRequest) -> float:
    step = request.step
    waiting_since_ms = max(step.opened_ms, step.requested_ms)
    return waiting_since_ms - (ROOM_LEAD_MS if request.has_room else 0)


def _take_next(
    fleet: Fleet, first: list[Step], repeated: list[RepeatedRequest]
) -> tuple[Step, bool] | None:
    """Remove and return the next step, and whether its request is a repeated one.

    None means that all have to wait.
    """
    state = fleet.slow_advice
    is_last = _count_free(fleet) == 1
    is_only = request_limit(fleet) == 1
    eligible = [each for each in repeated if each.has_room or not is_last or is_only]
    # Between two Ticks it is not known which of the repeated ones could be sent.
    others_wait = bool(eligible) or (state.repeated_wait and not fleet.prefetch_due)
    if first and not (is_last and others_wait and not state.last_was_repeated):
        return first.pop(0), False
    if not eligible:
        return None
    repeated.remove(eligible[0])
    return eligible[0].step, True


def _has_room(fleet: Fleet, step: Step, worker: Worker) -> bool:
    """Return whether a task of the step could start on the worker with a ticket."""
    if worker.hold is not None and worker.hold.step is step:
        return True
    return has_capacity(fleet, step, worker) or could_preempt(fleet, step, worker)
