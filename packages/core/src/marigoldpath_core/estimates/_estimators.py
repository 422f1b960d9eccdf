"""Estimators: how one observation changes a correction factor."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry

# A report moves a factor by at most 10%, however far off it is: twelve reports in a row
# are needed to triple an estimate, and a single false one is forgotten.
STEP = 0.1

Estimator = Callable[[float, float, float], float]
estimators: Registry[str, Estimator] = Registry("estimator")
estimator = estimators.register


@estimator("declared")
def declared(factor: float, observed: float, quantile: float) -> float:
    """Trust what was declared; the baseline."""
    return 1.0


@estimator("quantile")
def bounded_quantile(factor: float, observed: float, quantile: float) -> float:
    """Step towards the quantile of what was observed.

    The steps up and down balance where the part `quantile` of the observations lies
    below the factor.
    """
    if observed > factor:
        return min(factor * (1.0 + STEP * quantile), observed)
    return max(factor * (1.0 - STEP * (1.0 - quantile)), observed)
