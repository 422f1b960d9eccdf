"""Summarise a run from the callers' results and the workers' records."""

from collections.abc import Iterable
from typing import NamedTuple

from marigoldpath_bench.load import CallOutcome, CallResult
from marigoldpath_bench.oracle import Interval, Verdict


class Summary(NamedTuple):
    """Counts of a run. `evidence` has one line for each violation.

    A request is answered when its caller received the intact answer. A long-running
    request is answered when it was accepted, ran, and was not started again after its
    cancellation was confirmed. A request is refused when its caller received a refusal
    and no worker ever started it. It is lost when its caller received no outcome, or
    one that contradicts the workers' records.
    """

    requests: int
    answered: int
    refused: int
    lost: int
    duplicated: int
    overcommitted: int
    evidence: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether no request was lost, duplicated or overcommitted."""
        violations = self.lost + self.duplicated + self.overcommitted
        return violations == 0 and self.answered + self.refused == self.requests

    def line(self) -> str:
        """Return the counts as the last output line of the demonstration."""
        return (
            f"demo: requests={self.requests} answered={self.answered} "
            f"refused={self.refused} lost={self.lost} duplicated={self.duplicated} "
            f"overcommitted={self.overcommitted}"
        )


def summarise(
    names: Iterable[str],
    results: Iterable[CallResult],
    verdict: Verdict,
    cancelled_ms: dict[str, int],
) -> Summary:
    """Return the counts for the named requests; one without a result is lost.

    `cancelled_ms` maps the name of each long-running request to the time at which its
    cancellation was confirmed, on the clock that the records use.
    """
    by_name = {result.name: result for result in results}
    answered = refused = lost = total = 0
    evidence = list(verdict.evidence)
    for name in names:
        total += 1
        result = by_name.get(name)
        runs = verdict.intervals.get(name, [])
        if result is None:
            lost += 1
            evidence.append(f"lost: {name} has no end")
        elif _is_answered(result, runs, cancelled_ms.get(name)):
            answered += 1
        elif result.ending is CallOutcome.NOT_RUN and not runs:
            refused += 1
        else:
            lost += 1
            evidence.append(
                f"lost: {name} ended {result.ending} ({result.code}) after "
                f"{result.latency_ms} ms with {len(runs)} runs"
            )
    return Summary(
        total,
        answered,
        refused,
        lost,
        verdict.duplicated,
        verdict.overcommitted,
        tuple(evidence),
    )


def _is_answered(
    result: CallResult, runs: list[Interval], cancelled_ms: int | None
) -> bool:
    if result.ending is CallOutcome.DONE:
        return any(run.status == "done" for run in runs)
    if result.ending is CallOutcome.FAILED:
        return any(run.status == "failed" for run in runs)
    if result.ending is CallOutcome.ACCEPTED:
        return cancelled_ms is not None and _stopped_by_cancellation(runs, cancelled_ms)
    return False


def _stopped_by_cancellation(runs: list[Interval], cancelled_ms: int) -> bool:
    """Return whether there are runs, all terminated and none started after the time."""
    return bool(runs) and all(
        run.end_ms is not None and run.start_ms <= cancelled_ms for run in runs
    )
