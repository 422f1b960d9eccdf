"""Sums up a run from the callers' results and the workers' records."""

from collections.abc import Iterable
from typing import NamedTuple

from marigoldpath_bench.load import CallOutcome, CallResult
from marigoldpath_bench.oracle import Interval, Verdict


class Summary(NamedTuple):
    """Counts of a run. `evidence` has one line for each thing that went wrong.

    A request is answered when its caller got the whole answer; a standing one when it
    was accepted, ran, and was not started again after its cancellation was confirmed.
    It is refused when its caller was told so and no worker ever started it. It is lost
    when its caller never learnt its end or was told one that the records contradict.
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
        """Whether nothing was lost, duplicated or overcommitted."""
        violations = self.lost + self.duplicated + self.overcommitted
        return violations == 0 and self.answered + self.refused == self.requests

    def line(self) -> str:
        """Return the last line of the demonstration."""
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
    """Return the counts for the requests named, each of which must have a result.

    `cancelled_ms` holds when each standing request was confirmed to be cancelled, on
    the common clock of the records.
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
    """Return whether there were runs, all ended, and none began after the time."""
    return bool(runs) and all(
        run.end_ms is not None and run.start_ms <= cancelled_ms for run in runs
    )
