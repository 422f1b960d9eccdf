"""Correction factors for the declared sizes and run times of each kind of work."""

from collections.abc import Iterable

from marigoldpath_core.requests import Size

from ._estimators import estimators

# Sizes reserve capacity, so they are raised to a usage that 19 of 20 tasks stay below.
# Run times order work and reserve nothing, so they are corrected to the median.
SIZE_QUANTILE = 0.95
RUN_TIME_QUANTILE = 0.5
# A size is never reduced: a task may use its whole declared size at any moment, and its
# host must have that capacity.
MIN_SIZE_FACTOR = 1.0
MAX_SIZE_FACTOR = 8.0
MIN_RUN_TIME_FACTOR = 0.01
MAX_RUN_TIME_FACTOR = 100.0
# Accelerators, slots and connections are used exactly as declared. Only the usage of
# CPU and memory differs from the declared size.
CORRECTED_DIMENSIONS = ("cpu_millis", "memory_mb")


class Estimates:
    """Maintains correction factors for each kind; usage reports arrive with a delay."""

    def __init__(self, estimator: str = "quantile") -> None:
        self._estimate = estimators.get(estimator)
        self._size_factors: dict[tuple[str, str], float] = {}
        self._run_time_factors: dict[str, float] = {}
        self._undeclared_run_times_ms: dict[str, float] = {}

    def retain_kinds(self, kinds: Iterable[str]) -> None:
        """Drop the factors and run times of all other kinds."""
        retained = set(kinds)
        self._size_factors = {
            key: factor
            for key, factor in self._size_factors.items()
            if key[0] in retained
        }
        self._run_time_factors = {
            key: factor
            for key, factor in self._run_time_factors.items()
            if key in retained
        }
        undeclared = self._undeclared_run_times_ms
        self._undeclared_run_times_ms = {
            key: factor for key, factor in undeclared.items() if key in retained
        }

    def observe_usage(self, kind: str, declared: Size, used: Size) -> None:
        """Update the size factors of a kind from the measured usage of a task."""
        for dimension in CORRECTED_DIMENSIONS:
            declared_amount = getattr(declared, dimension)
            if declared_amount <= 0:
                continue
            old = self._size_factors.get((kind, dimension), 1.0)
            observed = getattr(used, dimension) / declared_amount
            new = self._estimate(old, observed, SIZE_QUANTILE)
            new = min(max(new, MIN_SIZE_FACTOR), MAX_SIZE_FACTOR)
            self._size_factors[kind, dimension] = new

    def observe_run(self, kind: str, declared_ms: int, ran_ms: int) -> None:
        """Update the expected run time of a kind from a task that completed.

        If the task declared a run time, the factor for declared run times is updated.
        Otherwise (`declared_ms` is 0) the run time of undeclared tasks is updated.
        """
        if declared_ms > 0:
            old = self._run_time_factors.get(kind, 1.0)
            new = self._estimate(old, ran_ms / declared_ms, RUN_TIME_QUANTILE)
            self._run_time_factors[kind] = min(
                max(new, MIN_RUN_TIME_FACTOR), MAX_RUN_TIME_FACTOR
            )
            return
        old = self._undeclared_run_times_ms.get(kind, float(ran_ms))
        self._undeclared_run_times_ms[kind] = max(
            self._estimate(old, float(ran_ms), RUN_TIME_QUANTILE), 1.0
        )

    def size(self, kind: str, declared: Size, limit: Size | None = None) -> Size:
        """Return the size to reserve for a task.

        `limit`, if given, is the capacity that a correction must not exceed: a request
        that fits with its declared size must also fit with its corrected size.
        """
        cpu = int(
            declared.cpu_millis
            * self._size_factors.get((kind, CORRECTED_DIMENSIONS[0]), 1.0)
        )
        memory = int(
            declared.memory_mb
            * self._size_factors.get((kind, CORRECTED_DIMENSIONS[1]), 1.0)
        )
        if limit is not None:
            cpu = max(min(cpu, limit.cpu_millis), declared.cpu_millis)
            memory = max(min(memory, limit.memory_mb), declared.memory_mb)
        return declared._replace(cpu_millis=cpu, memory_mb=memory)

    def run_ms(self, kind: str, declared_ms: int) -> int:
        """Return the expected run time in ms, or 0 if it is unknown."""
        if declared_ms > 0:
            return max(1, int(declared_ms * self._run_time_factors.get(kind, 1.0)))
        return int(self._undeclared_run_times_ms.get(kind, 0.0))
