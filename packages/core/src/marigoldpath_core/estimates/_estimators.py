"""Estimators, which update a correction factor from one observation.

An estimator is called with the current factor, the observed value and the quantile, and
returns the new factor. Undeclared run times have no factor: `Estimates` passes the
current estimate and the observation in milliseconds instead.
"""

from collections.abc import Callable

from marigoldpath_core.registry import Registry

# One report changes a factor by at most 10%, whatever value it contains. Tripling an
# estimate takes twelve consecutive reports, and later reports undo a single wrong one.
MAX_RELATIVE_STEP = 0.1

Estimator = Callable[[float, float, float], float]
estimators: Registry[str, Estimator] = Registry("estimator")
estimator = estimators.register


@estimator("declared")
def disable_correction(factor: float, observed: float, quantile: float) -> float:
    """Return a factor of 1, so that declared values are used unchanged.

    Undeclared run times are then estimated as 1 ms.
    """
    return 1.0


@estimator("quantile")
def step_towards_quantile(factor: float, observed: float, quantile: float) -> float:
    """Move the factor by a bounded step towards a quantile of the observed values.

    Upward and downward steps balance when the fraction `quantile` of the observations
    is below the factor.
    """
    if observed > factor:
        return min(factor * (1.0 + MAX_RELATIVE_STEP * quantile), observed)
    return max(factor * (1.0 - MAX_RELATIVE_STEP * (1.0 - quantile)), observed)
