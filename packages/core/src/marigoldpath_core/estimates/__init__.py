"""Corrected sizes and run times, and relief of hosts that run full."""

from ._estimates import Estimates
from ._estimators import estimator, estimators
from ._relief import select_pressure_preemptions

__all__ = ["Estimates", "estimator", "estimators", "select_pressure_preemptions"]
