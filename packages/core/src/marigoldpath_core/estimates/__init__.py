"""Corrected sizes and run times, and relief of hosts that run full."""

from ._estimates import Estimates
from ._estimators import estimator, estimators
from ._relief import relieve_host

__all__ = ["Estimates", "estimator", "estimators", "relieve_host"]
