"""Count outcomes and wait times; this module performs no input or output."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from ._call import CallOutcome, CallResult


class KindTally(NamedTuple):
    """The outcomes of one kind of work and the wait times of its completed requests."""

    kind: str
    endings: dict[str, int]
    wait_p50_ms: int
    wait_p99_ms: int
    codes: dict[str, int]

    def encode(self) -> dict[str, Any]:
        """Return the JSON form."""
        return self._asdict()


def tally_by_kind(results: Iterable[CallResult]) -> list[KindTally]:
    """Return one tally for each kind of work, ordered by name."""
    by_kind: dict[str, list[CallResult]] = {}
    for result in results:
        by_kind.setdefault(result.request["kind"], []).append(result)
    return [_tally(kind, by_kind[kind]) for kind in sorted(by_kind)]


def _tally(kind: str, results: list[CallResult]) -> KindTally:
    waits = sorted(each.wait_ms for each in results if each.ending is CallOutcome.DONE)
    endings = Counter(str(each.ending) for each in results)
    unanswered = (CallOutcome.NOT_RUN, CallOutcome.UNKNOWN)
    codes = Counter(each.code for each in results if each.ending in unanswered)
    return KindTally(
        kind, dict(endings), _percentile(waits, 50), _percentile(waits, 99), dict(codes)
    )


def _percentile(ordered: list[int], percent: int) -> int:
    """Return the nearest-rank percentile, or 0 without values."""
    if not ordered:
        return 0
    rank = -(-len(ordered) * percent // 100)
    return ordered[rank - 1]
