"""What must hold at the end of a search, read from the workers' records."""

from collections.abc import Iterator
from typing import NamedTuple

from marigoldpath_bench.oracle import Interval
from marigoldpath_bench.zone_simulation import Call, Callers, ZoneSimulation
from marigoldpath_core.requests import OutcomeKind, parse_task_id


class Findings(NamedTuple):
    """Counts of outcomes and every fault with its evidence."""

    requests: int
    done: int
    not_run: int
    unknown: int
    faults: tuple[str, ...]


def check_invariants(simulation: ZoneSimulation, callers: Callers) -> Findings:
    """Judge a world whose callers have come to their ends."""
    verdict = simulation.verdict()
    faults = list(verdict.evidence)
    kinds: list[OutcomeKind | None] = []
    for call in callers.calls:
        runs = verdict.intervals.get(str(call.request.key), [])
        faults.extend(_call_faults(call, runs))
        kinds.append(call.outcome)
    return Findings(
        len(kinds),
        kinds.count(OutcomeKind.DONE) + kinds.count(OutcomeKind.ACCEPTED),
        kinds.count(OutcomeKind.NOT_RUN),
        kinds.count(OutcomeKind.UNKNOWN),
        tuple(faults),
    )


def _call_faults(call: Call, runs: list[Interval]) -> Iterator[str]:
    name = call.request.key.id
    if not call.told:
        yield f"unanswered: {name}"
        return
    for number, told in enumerate(call.told):
        outcome = told.outcome
        if outcome.answer is not None:
            yield from _answer_faults(call, outcome.answer.text)
        if outcome.kind is OutcomeKind.NOT_RUN:
            later = [ms for ms in call.asked_ms if ms >= told.at_ms]
            until_ms = later[0] if later else None
            for run in runs:
                if until_ms is None or run.start_ms < until_ms:
                    yield (
                        f"false not run: {name} told {outcome.code} at {told.at_ms} "
                        f"(number {number}), {run.task} ran from {run.start_ms}"
                    )
                    break
    if call.outcome is OutcomeKind.DONE and not runs:
        yield f"done without a run: {name}"


def _answer_faults(call: Call, text: str) -> Iterator[str]:
    task = text.removeprefix("answer of ")
    key, _, _ = parse_task_id(task)
    if key != call.request.key:
        yield f"wrong answer: {call.request.key.id} was given that of {key}"
