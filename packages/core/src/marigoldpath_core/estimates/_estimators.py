"""Estimators, which update a correction factor from one observation."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry

# One report changes a factor by at most 10%, whatever value it contains. Tripling an
# estimate takes twelve consecutive reports, and later reports undo a single wrong one.
MAX_RELATIVE_STEP = 0.1

Estimator = Callable[[float, float, float], float]
estimators: Registry[str, Estimator] = Registry("estimator")
estimator = estimators.register


@estimator("declared")
def declared(factor: float, observed: float, quantile: float) -> float:
    """Keep the declared value, whatever is observed."""
    return 1.0


@estimator("quantile")
def bounded_quantile(factor: float, observed: float, quantile: float) -> float:
    """Move the factor towards a quantile of the observed values.

    Upward and downward steps balance when the fraction `quantile` of the observations
    is below the factor.
    """
    if observed > factor:
        return min(factor * (1.0 + MAX_RELATIVE_STEP * quantile), observed)
    return max(factor * (1.0 - MAX_RELATIVE_STEP * (1.0 - quantile)), observed)
