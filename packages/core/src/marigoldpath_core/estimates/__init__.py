"""Correction of declared sizes and run times, and preemption on overloaded hosts."""

from ._estimates import Estimates
from ._estimators import estimator, estimators
from ._pressure import select_pressure_preemptions

__all__ = ["Estimates", "estimator", "estimators", "select_pressure_preemptions"]
