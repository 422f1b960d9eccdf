"""Check the invariants at the end of a search against the workers' records."""

from collections.abc import Iterator
from typing import NamedTuple

from marigoldpath_bench.oracle import Interval
from marigoldpath_bench.zone_simulation import Call, Callers, ZoneSimulation
from marigoldpath_core.requests import OutcomeKind, parse_task_id


class Findings(NamedTuple):
    """Counts of outcomes, and a line for each violation of an invariant."""

    requests: int
    done: int
    not_run: int
    unknown: int
    violations: tuple[str, ...]


def check_invariants(simulation: ZoneSimulation, callers: Callers) -> Findings:
    """Check a simulation in which no request is open any more."""
    verdict = simulation.verdict()
    violations = list(verdict.evidence)
    kinds: list[OutcomeKind | None] = []
    for call in callers.calls:
        runs = verdict.intervals.get(str(call.request.key), [])
        violations.extend(_call_violations(call, runs))
        kinds.append(call.outcome)
    return Findings(
        len(kinds),
        kinds.count(OutcomeKind.DONE) + kinds.count(OutcomeKind.ACCEPTED),
        kinds.count(OutcomeKind.NOT_RUN),
        kinds.count(OutcomeKind.UNKNOWN),
        tuple(violations),
    )


def _call_violations(call: Call, runs: list[Interval]) -> Iterator[str]:
    name = call.request.key.id
    if not call.received:
        yield f"unanswered: {name}"
        return
    for number, received in enumerate(call.received):
        outcome = received.outcome
        if outcome.answer is not None:
            yield from _answer_violations(call, outcome.answer.text)
        if outcome.kind is OutcomeKind.NOT_RUN:
            later = [ms for ms in call.submitted_ms if ms >= received.at_ms]
            until_ms = later[0] if later else None
            for run in runs:
                if until_ms is None or run.start_ms < until_ms:
                    yield (
                        f"false not run: {name} told {outcome.code} "
                        f"at {received.at_ms} (number {number}), "
                        f"{run.task} ran from {run.start_ms}"
                    )
                    break
    if call.outcome is OutcomeKind.DONE and not runs:
        yield f"done without a run: {name}"


def _answer_violations(call: Call, text: str) -> Iterator[str]:
    task = text.removeprefix("answer of ")
    key, _, _ = parse_task_id(task)
    if key != call.request.key:
        yield f"wrong answer: {call.request.key.id} was given that of {key}"
