"""Correction of declared sizes and run times for each kind of work."""

from collections.abc import Iterable

from marigoldpath_core.requests import Size

from ._estimators import estimators

# Sizes are raised to what nineteen of twenty tasks stay below; run times are corrected
# to the median, because they order work and reserve nothing.
SIZE_QUANTILE = 0.95
RUN_QUANTILE = 0.5
# A size is never lowered: a task may use all that it declared at any moment, and a
# host must hold it then.
LEAST_SIZE_FACTOR = 1.0
MOST_SIZE_FACTOR = 8.0
LEAST_RUN_FACTOR = 0.01
MOST_RUN_FACTOR = 100.0
# Counts of accelerators, slots and connections are exact; only use of processors and
# memory differs from what was declared.
MEASURED = ("cpu_millis", "memory_mb")


class Estimates:
    """Correction factors by kind, learnt from lagging reports."""

    def __init__(self, estimator: str = "quantile") -> None:
        self._estimate = estimators.get(estimator)
        self._sizes: dict[tuple[str, str], float] = {}
        self._runs: dict[str, float] = {}
        self._undeclared_runs: dict[str, float] = {}

    def keep(self, kinds: Iterable[str]) -> None:
        """Forget what was learnt of other kinds."""
        kept = set(kinds)
        self._sizes = {key: x for key, x in self._sizes.items() if key[0] in kept}
        self._runs = {key: x for key, x in self._runs.items() if key in kept}
        undeclared = self._undeclared_runs
        self._undeclared_runs = {key: x for key, x in undeclared.items() if key in kept}

    def observe_usage(self, kind: str, declared: Size, used: Size) -> None:
        """Learn from what a task of a kind was seen to use."""
        for dimension in MEASURED:
            promised = getattr(declared, dimension)
            if promised <= 0:
                continue
            old = self._sizes.get((kind, dimension), 1.0)
            observed = getattr(used, dimension) / promised
            new = self._estimate(old, observed, SIZE_QUANTILE)
            new = min(max(new, LEAST_SIZE_FACTOR), MOST_SIZE_FACTOR)
            self._sizes[kind, dimension] = new

    def observe_run(self, kind: str, declared_ms: int, ran_ms: int) -> None:
        """Learn from the run time of a task that ended by itself."""
        if declared_ms > 0:
            old = self._runs.get(kind, 1.0)
            new = self._estimate(old, ran_ms / declared_ms, RUN_QUANTILE)
            self._runs[kind] = min(max(new, LEAST_RUN_FACTOR), MOST_RUN_FACTOR)
            return
        old = self._undeclared_runs.get(kind, float(ran_ms))
        self._undeclared_runs[kind] = max(
            self._estimate(old, float(ran_ms), RUN_QUANTILE), 1.0
        )

    def size(self, kind: str, declared: Size, most: Size | None = None) -> Size:
        """Return the size to reserve for a task.

        `most`, where given, is the capacity that the correction must not exceed, so
        that a correction never makes a request unplaceable.
        """
        cpu = int(declared.cpu_millis * self._sizes.get((kind, MEASURED[0]), 1.0))
        memory = int(declared.memory_mb * self._sizes.get((kind, MEASURED[1]), 1.0))
        if most is not None:
            cpu = max(min(cpu, most.cpu_millis), declared.cpu_millis)
            memory = max(min(memory, most.memory_mb), declared.memory_mb)
        return declared._replace(cpu_millis=cpu, memory_mb=memory)

    def run_ms(self, kind: str, declared_ms: int) -> int:
        """Return the expected run time, 0 for unknown."""
        if declared_ms > 0:
            return max(1, int(declared_ms * self._runs.get(kind, 1.0)))
        return int(self._undeclared_runs.get(kind, 0.0))
